// Workers that restart under the same id while the owner cannot reach them.

#include "support/JobClusterHelpers.h"

#include <catch2/catch.hpp>

using namespace lycheeledge;
using namespace lycheeledge::jobs;
using namespace lycheeledge::test;
using std::chrono::milliseconds;
using std::chrono::seconds;
using OrderFault = FakeJobWorkers::OrderFault;

namespace {

/** @brief Completes a job on worker w0, so that ends of its incarnation are acknowledged. */
void completeJobOn(JobCluster& cluster, std::uint64_t job)
{
    cluster.workers.runTime = [](const TaskKey&) { return milliseconds(300); };
    REQUIRE(cluster.submit("m0", "batch", job, { .payload = {}, .steps = { simpleStep(6, 1000) } }));
    REQUIRE(cluster.waitForState(job, "batch", JobState::Completed, seconds(5)));
    cluster.advance(seconds(1));
}

} // namespace

TEST_CASE("no task runs twice on a worker whose restart the registry told before the worker itself", "[jobs][crash]")
{
    // The numbering of ends begins anew, so the new ends have numbers that the owner has already acknowledged.
    JobCluster cluster(1);
    cluster.workers.runTime = [](const TaskKey&) { return seconds(1); };
    addWorkers(cluster, 1);
    REQUIRE(cluster.submit("m0", "batch", 1, { .payload = {}, .steps = { simpleStep(6, 1000) } }));
    REQUIRE(cluster.waitForState(1, "batch", JobState::Completed, seconds(5)));
    cluster.advance(seconds(1));
    cluster.workers.setDisconnected("w0", true);
    cluster.workers.restart("w0");
    cluster.registerWorker(cluster.workers.record("w0"));
    cluster.advance(seconds(2));
    cluster.workers.setDisconnected("w0", false);
    REQUIRE(cluster.submit("m0", "batch", 2, { .payload = {}, .steps = { simpleStep(4, 1000) } }));
    CHECK(cluster.waitForState(2, "batch", JobState::Completed, seconds(10)));
    CHECK(cluster.workers.starts().size() == 10);
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("a registry entry from before two restarts of its worker ends no runs", "[jobs][crash]")
{
    JobCluster cluster(1);
    cluster.workers.runTime = [](const TaskKey&) { return seconds(4); };
    addWorkers(cluster, 2);
    for (int i = 0; i < 2; ++i) {
        cluster.workers.restart("w0");
        cluster.advance(seconds(2));
    }
    REQUIRE(cluster.submit("m0", "batch", 1, { .payload = {}, .steps = { simpleStep(12, 1000) } }));
    CHECK(cluster.waitForState(1, "batch", JobState::Completed, seconds(10)));
    CHECK(cluster.workers.starts().size() == 12);
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("a registry entry from between two restarts of its worker does not silence the worker", "[jobs][crash]")
{
    JobCluster cluster(1);
    addWorkers(cluster, 1);
    completeJobOn(cluster, 1);
    cluster.workers.restart("w0");
    const WorkerRecord between = cluster.workers.record("w0");
    cluster.workers.restart("w0");
    cluster.advance(seconds(4)); // the worker itself tells of the second restart
    cluster.registerWorker(between);
    cluster.advance(seconds(1));
    REQUIRE(cluster.submit("m0", "batch", 2, { .payload = {}, .steps = { simpleStep(4, 1000) } }));
    CHECK(cluster.waitForState(2, "batch", JobState::Completed, seconds(10)));
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("no end is acknowledged unseen after a restart that left a poll without response", "[jobs][crash]")
{
    // Starts reach the new incarnation while the poll still waits for the earlier one.
    JobCluster cluster(1);
    addWorkers(cluster, 1);
    completeJobOn(cluster, 1);
    cluster.workers.restart("w0");
    REQUIRE(cluster.submit("m0", "batch", 2, { .payload = {}, .steps = { simpleStep(4, 1000) } }));
    CHECK(cluster.waitForState(2, "batch", JobState::Completed, seconds(10)));
    CHECK(cluster.workers.starts().size() == 10);
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("a task that runs on a restarted worker does not start elsewhere once the registry tells of the restart",
    "[jobs][crash]")
{
    JobCluster cluster(1);
    addWorkers(cluster, 2);
    completeJobOn(cluster, 1);
    cluster.workers.runTime = [](const TaskKey&) { return seconds(4); };
    cluster.workers.restart("w0");
    REQUIRE(cluster.submit("m0", "batch", 2, { .payload = {}, .steps = { simpleStep(12, 1000) } }));
    cluster.registerWorker(cluster.workers.record("w0"));
    CHECK(cluster.waitForState(2, "batch", JobState::Completed, seconds(12)));
    CHECK(cluster.workers.starts().size() == 18);
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("a start that the next incarnation of a worker carries out late does not run beside its replacement",
    "[jobs][crash]")
{
    JobCluster cluster(1);
    addWorkers(cluster, 1);
    completeJobOn(cluster, 1);
    cluster.workers.runTime = [](const TaskKey&) { return seconds(3); };
    cluster.workers.startFault = [](const std::string&) { return OrderFault::Late; };
    REQUIRE(cluster.submit("m0", "batch", 2, { .payload = {}, .steps = { simpleStep(8, 1000) } }));
    cluster.advance(milliseconds(100));
    cluster.workers.startFault = [](const std::string&) { return OrderFault::None; };
    cluster.workers.setDisconnected("w0", true);
    cluster.workers.restart("w0");
    cluster.registerWorker(cluster.workers.record("w0"));
    cluster.addWorker("w1", 8000);
    cluster.advance(seconds(5)); // the late orders arrive
    cluster.workers.setDisconnected("w0", false);
    CHECK(cluster.waitForState(2, "batch", JobState::Completed, seconds(20)));
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("tasks of a restarted worker that is cut off wait for a lease on the clock of its earlier incarnation",
    "[jobs][crash]")
{
    // A poll sent to the earlier incarnation extends the lease of the next one to the longest that it accepts.
    JobCluster cluster(1);
    addWorkers(cluster, 2);
    completeJobOn(cluster, 1);
    cluster.advance(seconds(10)); // the clock of the earlier incarnation is far ahead
    cluster.workers.lateOrderDelay = milliseconds(1500);
    cluster.workers.pollFault
        = [](const std::string& worker) { return worker == "w0" ? OrderFault::Late : OrderFault::None; };
    cluster.advance(seconds(1));
    cluster.workers.restart("w0");
    cluster.advance(milliseconds(200));
    cluster.workers.pollFault = [](const std::string&) { return OrderFault::None; };
    cluster.advance(milliseconds(2100));
    cluster.workers.runTime = [](const TaskKey&) { return milliseconds(1500); };
    REQUIRE(cluster.submit("m0", "batch", 2, { .payload = {}, .steps = { simpleStep(16, 1000) } }));
    cluster.advance(milliseconds(300));
    cluster.workers.setDisconnected("w0", true);
    cluster.advance(seconds(6));
    cluster.workers.setDisconnected("w0", false);
    CHECK(cluster.waitForState(2, "batch", JobState::Completed, seconds(15)));
    cluster.advance(seconds(2)); // the ends on w0 are acknowledged
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("a run whose end is behind a full list of ends is not taken for lost", "[jobs]")
{
    JobCluster cluster(1);
    addWorkers(cluster, 2);
    cluster.workers.maxListedEnds = maxListedEnds;
    cluster.workers.runTime = [](const TaskKey& task) { return task.step == 0 ? milliseconds(10) : seconds(2); };
    cluster.store.setFault(FakeClusterStore::Fault::None);
    REQUIRE(cluster.submit("m0", "batch", 1, { .payload = {}, .steps = { simpleStep(1200, 100) } }));
    cluster.store.setFault(FakeClusterStore::Fault::Silent); // so no end is acknowledged
    cluster.advance(seconds(4));
    cluster.store.setFault(FakeClusterStore::Fault::None);
    CHECK(cluster.waitForState(1, "batch", JobState::Completed, seconds(15)));
    CHECK(cluster.workers.starts().size() == 1200);
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE(
    "a task whose end is behind a full list of ends does not start again under the next owner", "[jobs][takeover]")
{
    JobCluster cluster(2);
    addWorkers(cluster, 2);
    cluster.workers.maxListedEnds = maxListedEnds;
    cluster.workers.runTime = [](const TaskKey&) { return milliseconds(10); };
    REQUIRE(cluster.submit("m0", "batch", 1, { .payload = {}, .steps = { simpleStep(1800, 100) } }));
    cluster.store.setFault(FakeClusterStore::Fault::Silent); // so no end is acknowledged
    cluster.advance(seconds(4));
    cluster.kill(*cluster.owner());
    cluster.store.setFault(FakeClusterStore::Fault::None);
    CHECK(cluster.waitForState(1, "batch", JobState::Completed, seconds(30)));
    CHECK(cluster.workers.starts().size() == 1800);
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("the acknowledgement in a late poll does not erase ends of the next incarnation", "[jobs][crash]")
{
    JobCluster cluster(1);
    addWorkers(cluster, 1);
    completeJobOn(cluster, 1);
    cluster.workers.lateOrderDelay = milliseconds(1500);
    cluster.workers.pollFault = [](const std::string&) { return OrderFault::Late; };
    cluster.advance(milliseconds(900)); // beyond the wait of the poll in progress
    cluster.workers.pollFault = [](const std::string&) { return OrderFault::None; };
    cluster.workers.restart("w0");
    cluster.workers.runTime = [](const TaskKey&) { return milliseconds(100); };
    REQUIRE(cluster.submit("m0", "batch", 2, { .payload = {}, .steps = { simpleStep(4, 1000) } }));
    CHECK(cluster.waitForState(2, "batch", JobState::Completed, seconds(10)));
    CHECK(cluster.workers.starts().size() == 10);
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("an idle worker receives tasks as soon as it has told of its restart", "[jobs][crash]")
{
    JobCluster cluster(1);
    addWorkers(cluster, 1);
    completeJobOn(cluster, 1);
    cluster.workers.restart("w0");
    REQUIRE(cluster.waitFor([&] { return cluster.log.counts["worker_restarted"] == 1; }, seconds(5)));
    REQUIRE(cluster.submit("m0", "batch", 2, { .payload = {}, .steps = { simpleStep(1, 1000) } }));
    CHECK(cluster.waitFor([&] { return cluster.workers.starts().size() == 7; }, milliseconds(200)));
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("a late poll erases no ends of an incarnation that has answered a start but no poll", "[jobs][crash]")
{
    JobCluster cluster(1);
    addWorkers(cluster, 1);
    completeJobOn(cluster, 1);
    REQUIRE(cluster.submit("m0", "batch", 2, { .payload = {}, .steps = { simpleStep(1, 1000) } }));
    cluster.workers.lateOrderDelay = milliseconds(1000);
    int latePolls = 0;
    cluster.workers.pollFault = [&latePolls](const std::string&) {
        ++latePolls;
        return OrderFault::Late;
    };
    REQUIRE(cluster.waitFor([&] { return latePolls == 1; }, seconds(2))); // it acknowledges the end of job 2
    cluster.workers.pollFault = [](const std::string&) { return OrderFault::None; };
    cluster.workers.restart("w0");
    REQUIRE(cluster.submit("m0", "batch", 3, { .payload = {}, .steps = { simpleStep(4, 1000) } }));
    CHECK(cluster.waitForState(3, "batch", JobState::Completed, seconds(10)));
    CHECK(cluster.workers.starts().size() == 11);
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("a late poll erases no ends of a restarted worker although the first poll after the restart is late, too",
    "[jobs][crash]")
{
    JobCluster cluster(1);
    addWorkers(cluster, 1);
    completeJobOn(cluster, 1);
    REQUIRE(cluster.submit("m0", "batch", 2, { .payload = {}, .steps = { simpleStep(1, 1000) } }));
    int polls = 0;
    cluster.workers.pollFault = [&](const std::string&) {
        ++polls;
        // The first one acknowledges the end of job 2, the second one is sent after the restart is known.
        cluster.workers.lateOrderDelay = polls == 1 ? milliseconds(1000) : milliseconds(4000);
        return polls <= 2 ? OrderFault::Late : OrderFault::None;
    };
    REQUIRE(cluster.waitFor([&] { return polls == 1; }, seconds(2)));
    cluster.workers.restart("w0");
    REQUIRE(cluster.submit("m0", "batch", 3, { .payload = {}, .steps = { simpleStep(4, 1000) } }));
    CHECK(cluster.waitForState(3, "batch", JobState::Completed, seconds(10)));
    CHECK(cluster.workers.starts().size() == 11);
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("a new owner waits for the longest lease of a silent worker once the registry tells of its restart",
    "[takeover][crash]")
{
    JobCluster cluster(2);
    addWorkers(cluster, 2);
    cluster.advance(seconds(10)); // the clock of the earlier incarnation is far ahead
    cluster.workers.runTime = [](const TaskKey&) { return seconds(2); };
    const std::string first = *cluster.owner();
    cluster.workers.restart("w0");
    REQUIRE(cluster.submit(first, "batch", 1, { .payload = {}, .steps = { simpleStep(16, 1000) } }));
    cluster.advance(seconds(1));
    cluster.workers.setDisconnected("w0", true);
    cluster.kill(first);
    cluster.startMember(first); // so the next owner knows that the earlier one has stopped
    cluster.advance(seconds(4));
    cluster.registerWorker(cluster.workers.record("w0"));
    cluster.advance(milliseconds(4300));
    cluster.workers.setDisconnected("w0", false);
    CHECK(cluster.waitForState(1, "batch", JobState::Completed, seconds(15)));
    cluster.advance(seconds(2)); // the ends on w0 are acknowledged
    CHECK(cluster.workers.starts().size() == 16);
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("the next owner waits for a lease on the clock of an earlier incarnation of a worker that it reaches",
    "[jobs][takeover]")
{
    // A poll of the last owner is carried out late by the next incarnation, before the next owner has reached it.
    JobCluster cluster(2);
    addWorkers(cluster, 2);
    completeJobOn(cluster, 1);
    cluster.advance(seconds(10)); // the clock of the earlier incarnation is far ahead
    const std::string owner = *cluster.owner();
    const std::string next = owner == "m0" ? "m1" : "m0";
    int latePolls = 0;
    cluster.workers.lateOrderDelay = seconds(3);
    cluster.workers.pollFault = [&latePolls](const std::string& worker) {
        latePolls += worker == "w0" ? 1 : 0;
        return worker == "w0" ? OrderFault::Late : OrderFault::None;
    };
    REQUIRE(cluster.waitFor([&] { return latePolls == 1; }, seconds(2)));
    cluster.workers.pollFault = [](const std::string&) { return OrderFault::None; };
    cluster.member(next).workers.isCutOff = [](const std::string& worker) { return worker == "w0"; };
    cluster.workers.restart("w0");
    cluster.registerWorker(cluster.workers.record("w0"));
    cluster.kill(owner);
    cluster.advance(milliseconds(3100));
    cluster.member(next).workers.isCutOff = [](const std::string&) { return false; };
    cluster.advance(milliseconds(2000));
    cluster.workers.runTime = [](const TaskKey&) { return milliseconds(1000); };
    REQUIRE(cluster.submit(next, "batch", 2, { .payload = {}, .steps = { simpleStep(16, 1000) } }));
    REQUIRE(cluster.waitFor([&] { return cluster.workers.runsOn("w0") > 0; }, milliseconds(300)));
    cluster.workers.setDisconnected("w0", true);
    cluster.advance(milliseconds(5800));
    cluster.workers.setDisconnected("w0", false);
    cluster.advance(seconds(3)); // the ends on w0 are acknowledged
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("the next owner waits for a lease on the clock of an earlier incarnation of a worker that it cannot reach",
    "[jobs][takeover]")
{
    // A start that is sent before the restart is known carries the lease.
    JobCluster cluster(2);
    addWorkers(cluster, 2);
    completeJobOn(cluster, 1);
    cluster.advance(seconds(10)); // the clock of the earlier incarnation is far ahead
    const std::string owner = *cluster.owner();
    cluster.workers.runTime = [](const TaskKey&) { return milliseconds(1000); };
    cluster.workers.restart("w0");
    REQUIRE(cluster.submit(owner, "batch", 2, { .payload = {}, .steps = { simpleStep(16, 1000) } }));
    REQUIRE(cluster.waitFor([&] { return cluster.workers.runsOn("w0") > 0; }, milliseconds(300)));
    cluster.advance(milliseconds(100));
    cluster.workers.setDisconnected("w0", true);
    cluster.kill(owner);
    cluster.startMember(owner); // so the next owner knows that the last one has stopped
    cluster.advance(milliseconds(7500));
    cluster.workers.setDisconnected("w0", false);
    cluster.advance(seconds(3)); // the ends on w0 are acknowledged
    CHECK(cluster.workers.violations().empty());
}
