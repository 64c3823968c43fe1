// Replaced owners that still act, and what an owner must know of its workers before it starts a task again.

#include "support/JobClusterHelpers.h"

#include <catch2/catch.hpp>

using namespace lycheeledge;
using namespace lycheeledge::jobs;
using namespace lycheeledge::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("an owner that was replaced does not restart a task whose worker only its successor reaches", "[takeover]")
{
    // The successor has renewed the lease that the former owner takes for expired.
    JobCluster cluster(2);
    cluster.workers.runTime = [](const TaskKey&) { return seconds(20); };
    addWorkers(cluster, 2);
    const std::string owner = *cluster.owner();
    const std::string successor = owner == "m0" ? "m1" : "m0";
    REQUIRE(cluster.submit(owner, "batch", 1, { .payload = {}, .steps = { simpleStep(1, 1000) } }));
    REQUIRE(cluster.waitFor([&] { return cluster.workers.running() == 1; }));
    const std::string worker = cluster.workers.starts().front().worker;
    cluster.member(owner).workers.isCutOff = [worker](const std::string& id) { return id == worker; };
    cluster.member(successor).workers.isCutOff = [worker](const std::string& id) { return id != worker; };
    cluster.setCutOff(owner, true);
    cluster.advance(seconds(12));
    CHECK(cluster.owner() == successor);
    CHECK(cluster.workers.starts().size() == 1);
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("an owner that was replaced does not restart a task that its successor knows to be done", "[takeover]")
{
    // The former owner finds that the worker has restarted, but not that the task had ended before.
    JobCluster cluster(2);
    cluster.workers.runTime = [](const TaskKey&) { return seconds(3); };
    addWorkers(cluster, 2);
    const std::string owner = *cluster.owner();
    const std::string successor = owner == "m0" ? "m1" : "m0";
    REQUIRE(cluster.submit(owner, "batch", 1, { .payload = {}, .steps = { simpleStep(1, 1000) } }));
    REQUIRE(cluster.waitFor([&] { return cluster.workers.running() == 1; }));
    const std::string worker = cluster.workers.starts().front().worker;
    cluster.member(owner).workers.isCutOff = [worker](const std::string& id) { return id == worker; };
    cluster.member(successor).workers.isCutOff = [worker](const std::string& id) { return id != worker; };
    cluster.setCutOff(owner, true);
    REQUIRE(cluster.waitFor([&] { return cluster.workers.starts().front().acknowledged; }, seconds(6)));
    cluster.member(successor).workers.isCutOff = [](const std::string&) { return true; };
    cluster.workers.restart(worker);
    cluster.member(owner).workers.isCutOff = [](const std::string&) { return false; };
    cluster.advance(seconds(6));
    CHECK(cluster.workers.starts().size() == 1);
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("an owner that was replaced starts no task because a worker never reported to it", "[takeover]")
{
    // The first owner keeps the worker's lease alive, then the third one does; the second never reaches the worker.
    JobCluster cluster(3);
    cluster.workers.runTime = [](const TaskKey&) { return seconds(60); };
    addWorkers(cluster, 2);
    const std::string first = *cluster.owner();
    REQUIRE(cluster.submit(first, "batch", 1, { .payload = {}, .steps = { simpleStep(1, 1000) } }));
    REQUIRE(cluster.waitFor([&] { return cluster.workers.running() == 1; }));
    const std::string worker = cluster.workers.starts().front().worker;
    const auto others = [worker](const std::string& id) { return id != worker; };
    for (const auto& name : cluster.memberNames())
        cluster.member(name).workers.isCutOff = [worker](const std::string& id) { return id == worker; };
    cluster.member(first).workers.isCutOff = others;
    cluster.setCutOff(first, true);
    REQUIRE(cluster.waitFor([&] { return hasOtherOwner(cluster, first); }, seconds(5)));
    std::string second;
    for (const auto& name : cluster.memberNames())
        second = name != first && cluster.member(name).node.lease().isOwner() ? name : second;
    cluster.advance(seconds(6));
    for (const auto& name : cluster.memberNames()) {
        if (name != first && name != second)
            cluster.member(name).workers.isCutOff = others;
    }
    cluster.setCutOff(second, true);
    cluster.advance(seconds(12));
    CHECK(cluster.workers.starts().size() == 1);
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("an owner that was replaced starts no task because a worker had left before it reported", "[takeover]")
{
    // Its successor has read and acknowledged the end of the task before the worker left.
    JobCluster cluster(3);
    cluster.workers.runTime = [](const TaskKey&) { return seconds(6); };
    addWorkers(cluster, 2);
    const std::string first = *cluster.owner();
    REQUIRE(cluster.submit(first, "batch", 1, { .payload = {}, .steps = { simpleStep(1, 1000) } }));
    REQUIRE(cluster.waitFor([&] { return cluster.workers.running() == 1; }));
    const std::string worker = cluster.workers.starts().front().worker;
    for (const auto& name : cluster.memberNames())
        cluster.member(name).workers.isCutOff = [worker](const std::string& id) { return id == worker; };
    cluster.kill(first);
    REQUIRE(cluster.waitFor([&] { return cluster.owner().has_value(); }, seconds(5)));
    const std::string second = *cluster.owner();
    const std::string third = cluster.memberNames()[cluster.memberNames().front() == second ? 1 : 0];
    cluster.member(third).workers.isCutOff = [worker](const std::string& id) { return id != worker; };
    cluster.setCutOff(second, true);
    REQUIRE(cluster.waitFor([&] { return cluster.workers.starts().front().acknowledged; }, seconds(8)));
    REQUIRE(cluster.member(second).node.lease().maySendOrders());
    cluster.member(second).workers.isReplaced = [worker](const std::string& id) { return id == worker; };
    cluster.advance(seconds(8));
    CHECK(cluster.workers.starts().size() == 1);
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("an owner does not restore its record after another member has owned the jobs", "[takeover]")
{
    JobCluster cluster(2);
    addWorkers(cluster, 1);
    const std::string owner = *cluster.owner();
    const std::string successor = owner == "m0" ? "m1" : "m0";
    cluster.member(owner).workers.isCutOff = [](const std::string&) { return true; };
    cluster.setCutOff(owner, true);
    REQUIRE(cluster.waitFor([&] { return hasOtherOwner(cluster, owner); }, seconds(5)));
    cluster.kill(successor);
    cluster.advance(seconds(2)); // its lease ends
    cluster.setCutOff(owner, false);
    REQUIRE(cluster.waitFor([&] { return cluster.member(owner).node.lease().epoch() != 1; }, seconds(1)));
    CHECK(cluster.log.counts["ownership_reclaimed"] == 0);
    CHECK(cluster.waitFor([&] { return cluster.owner() == owner; }, seconds(2)));
}

TEST_CASE("a new owner waits for a worker that came back while the stored set was written without it", "[takeover]")
{
    JobCluster cluster(0);
    cluster.settings.scheduler.tickInterval = seconds(60); // removals of workers are noticed late
    cluster.startMember("m0");
    cluster.advance(seconds(1));
    cluster.settings.scheduler.tickInterval = JobSchedulerSettings().tickInterval;
    cluster.startMember("m1");
    cluster.workers.runTime = [](const TaskKey&) { return seconds(20); };
    cluster.addWorker("w0", 8000);
    cluster.addWorker("w1", 1000);
    cluster.advance(seconds(2));
    REQUIRE(cluster.owner() == "m0");
    cluster.workers.setDisconnected("w0", true);
    REQUIRE(cluster.waitFor([&] { return cluster.log.counts["worker_reachability"] > 2; }, seconds(5)));
    cluster.unregisterWorker("w0");
    cluster.addWorker("w2", 1000); // its addition writes the set
    REQUIRE(cluster.waitFor([&] { return cluster.log.counts["worker_unregistered"] > 0; }, seconds(2)));
    cluster.workers.setDisconnected("w0", false);
    cluster.registerWorker(cluster.workers.record("w0"));
    REQUIRE(cluster.submit("m0", "batch", 1, { .payload = {}, .steps = { simpleStep(1, 4000) } }));
    REQUIRE(cluster.waitFor([&] { return cluster.workers.runsOn("w0") == 1; }, seconds(5)));
    cluster.unregisterWorker("w0");
    cluster.workers.losesPollResponses = [](const std::string& id) { return id == "w0"; };
    cluster.addWorker("w3", 8000);
    cluster.kill("m0");
    cluster.advance(seconds(8));
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("the stored set of workers follows a worker to its new address", "[takeover]")
{
    // Guards against a new owner that finds another worker at the earlier address and takes this one for ended.
    JobCluster cluster(1);
    addWorkers(cluster, 1);
    const auto storedAddress = [&cluster] {
        const auto set = cluster.codec.decodeWorkerSet(cluster.store.entry(LedgerKeys().workers)->value);
        return set.ok() && !set->workers.empty() ? set->workers.front().address : std::string();
    };
    REQUIRE(storedAddress() == "w0:80");
    cluster.workers.restart("w0");
    auto moved = cluster.workers.record("w0");
    moved.address = "w0:81";
    cluster.registerWorker(moved);
    cluster.advance(seconds(1));
    CHECK(storedAddress() == "w0:81");
}

TEST_CASE("a watch that the store answers does not confirm an ownership that has ended", "[takeover]")
{
    // Renewals and the watch of the owner record get no answer, so the owner learns of no successor.
    JobCluster cluster(2);
    addWorkers(cluster, 1);
    const std::string owner = *cluster.owner();
    cluster.member(owner).workers.isCutOff = [](const std::string&) { return true; };
    cluster.store.answeredWatch = cluster.records.operatorPrefix();
    cluster.setCutOff(owner, true);
    REQUIRE(cluster.waitFor([&] { return hasOtherOwner(cluster, owner); }, seconds(5)));
    CHECK(cluster.member(owner).node.lease().isOwner());
    cluster.advance(seconds(8));
    CHECK_FALSE(cluster.member(owner).node.lease().maySendOrders());
}

TEST_CASE("a commit whose outcome is read after a freeze confirms the ownership only as of its sending", "[takeover]")
{
    // The response of the first copy is lost, and the process is frozen before it reads that of the second.
    JobCluster cluster(1);
    addWorkers(cluster, 1);
    cluster.submissions.specs["x"] = { .payload = {}, .steps = { simpleStep(1, 1000) } };
    cluster.store.setFault(FakeClusterStore::Fault::LoseAnswers);
    const std::size_t before = cluster.store.commits;
    (void)cluster.call("m0", CallVerb::Submit, "/urgent/" + jobName(1), "x");
    REQUIRE(cluster.waitFor([&] { return cluster.store.commits > before; }, seconds(1)));
    cluster.store.setFault(FakeClusterStore::Fault::None);
    for (int ms = 0; ms < 1000 && cluster.store.commits == before + 1; ++ms)
        cluster.runtime.advance(milliseconds(1));
    REQUIRE(cluster.store.commits == before + 2);
    auto& member = cluster.member("m0");
    member.runtime.pause();
    const TimePoint frozenAt = cluster.runtime.now();
    cluster.advance(seconds(3));
    member.runtime.resume();
    REQUIRE(member.node.session().ledger().commits() > 0);
    CHECK(*member.node.session().ledger().lastCommit() <= frozenAt);
}
