// Review of the crash counts: workers that restart out of the owner's reach, longest leases, takeovers, lost answers.

#include "support/JobClusterHelpers.h"

#include <catch2/catch.hpp>

#include <functional>
#include <set>
#include <string>

using namespace lycheeledge;
using namespace lycheeledge::jobs;
using namespace lycheeledge::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Long enough for the start to be confirmed, and too short for the run to be cleared.
constexpr Duration afterStart = milliseconds(20);
// The platform allows two starts after the third crash.
constexpr std::size_t allowedStarts = 5;

TaskKey firstTask() { return { JobId(jobName(1)), 0, 0, 0 }; }

JobSpec oneTask() { return { .payload = {}, .steps = { simpleStep(1, 1000) } }; }

/** @brief Calls `after` with the worker of each start order, soon after it has started. */
void afterEachStart(JobCluster& cluster, std::function<void(const std::string& worker)> after)
{
    cluster.workers.startFault = [&cluster, after = std::move(after)](const std::string& worker) {
        cluster.runtime.after(afterStart, [after, worker] { after(worker); });
        return FakeJobWorkers::OrderFault::None;
    };
}

void restartAllExcept(JobCluster& cluster, const std::set<std::string>& kept, int count)
{
    for (int i = 0; i < count; ++i) {
        const std::string id = "w" + std::to_string(i);
        if (!kept.contains(id))
            cluster.workers.restart(id);
    }
}

} // namespace

TEST_CASE("a crash that only the registry tells of is not taken back when the next incarnation is heard from",
    "[crash][vanished]")
{
    JobCluster cluster(1);
    // Crashes, is back in the registry after 3 s, and in the owner's reach after 15 s.
    afterEachStart(cluster, [&cluster](const std::string& worker) {
        cluster.workers.restart(worker);
        cluster.workers.setDisconnected(worker, true);
        cluster.runtime.after(
            seconds(3), [&cluster, worker] { cluster.registerWorker(cluster.workers.record(worker)); });
        cluster.runtime.after(seconds(15), [&cluster, worker] { cluster.workers.setDisconnected(worker, false); });
    });
    addWorkers(cluster, 8);
    REQUIRE(cluster.submit("m0", "urgent", 1, oneTask()));
    CHECK(cluster.waitForState(1, "urgent", JobState::Failed, seconds(100)));
    CHECK(cluster.workers.startsOf(firstTask()) <= allowedStarts);
}

TEST_CASE("a crash does not count against a run that had lapsed before, though the owner assumes the longest lease",
    "[crash][vanished]")
{
    // Workers that have just restarted may hold a longer lease than they were granted.
    constexpr int workers = 6;
    JobCluster cluster(1);
    cluster.workers.runTime = [](const TaskKey&) { return seconds(12); };
    std::set<std::string> cutOff;
    int cuts = 0;
    afterEachStart(cluster, [&cluster, &cutOff, &cuts](const std::string& worker) {
        if (++cuts > 2)
            return;
        cutOff.insert(worker);
        cluster.workers.setDisconnected(worker, true);
        cluster.runtime.after(seconds(5), [&cluster, &cutOff] { restartAllExcept(cluster, cutOff, workers); });
        cluster.runtime.after(seconds(7), [&cluster, worker] {
            CHECK(cluster.workers.runsOn(worker) == 0);
            cluster.workers.restart(worker);
            cluster.workers.setDisconnected(worker, false);
        });
    });
    addWorkers(cluster, workers);
    restartAllExcept(cluster, {}, workers);
    cluster.advance(seconds(1));
    REQUIRE(cluster.submit("m0", "batch", 1, oneTask()));
    CHECK(cluster.waitForState(1, "batch", JobState::Completed, seconds(60)));
    REQUIRE(cluster.workers.starts().size() >= 2);
    CHECK(cluster.workers.starts()[0].leaseExpired);
    CHECK(cluster.workers.starts()[1].leaseExpired);
}

TEST_CASE("a long-running task does not fail for workers that crash just after takeovers", "[crash][takeover]")
{
    JobCluster cluster(4);
    cluster.workers.runTime = [](const TaskKey&) { return seconds(600); };
    addWorkers(cluster, 6);
    JobSpec spec = oneTask();
    spec.steps[0].longRunning = true;
    REQUIRE(cluster.submit("m0", "batch", 1, spec));
    for (std::size_t i = 1; i <= 2; ++i) {
        REQUIRE(cluster.waitFor([&] { return cluster.workers.running() == 1; }, seconds(20)));
        cluster.advance(seconds(10));
        cluster.kill(*cluster.owner());
        REQUIRE(cluster.waitFor([&] { return cluster.log.counts["run_adopted"] == i; }, seconds(20)));
        cluster.workers.crash(cluster.workers.starts().back().worker);
    }
    cluster.advance(seconds(20));
    CHECK(cluster.log.counts["job_ended"] == 0);
    CHECK(cluster.workers.running() == 1);
}

TEST_CASE("a task that crashes workers which never come back is given up, across two takeovers",
    "[crash][vanished][takeover]")
{
    const Duration killAfter = GENERATE(seconds(1), seconds(4));
    const int firstKill = GENERATE(1, 2, 3);
    JobCluster cluster(4);
    cluster.workers.crashesWorker = [](const TaskKey&) { return true; };
    cluster.workers.crashDowntime = seconds(600);
    addWorkers(cluster, 12);
    int starts = 0;
    cluster.workers.startFault = [&](const std::string& worker) {
        cluster.runtime.after(seconds(2), [&cluster, worker] { cluster.unregisterWorker(worker); });
        ++starts;
        if (starts == firstKill || starts == firstKill + 1) {
            cluster.runtime.after(killAfter, [&cluster] {
                if (const auto owner = cluster.owner())
                    cluster.kill(*owner);
            });
        }
        return FakeJobWorkers::OrderFault::None;
    };
    REQUIRE(cluster.submit("m3", "urgent", 1, oneTask()));
    CHECK(cluster.waitFor([&] { return cluster.log.counts["job_ended"] > 0; }, seconds(200)));
    cluster.advance(seconds(10));
    CHECK(cluster.workers.startsOf(firstTask()) <= allowedStarts);
}

TEST_CASE("a task that crashes its workers before their answers arrive is given up", "[crash][vanished][known-red]")
{
    const Duration downtime = GENERATE(seconds(3), seconds(8), seconds(600));
    JobCluster cluster(1);
    cluster.workers.crashesWorker = [](const TaskKey&) { return true; };
    cluster.workers.crashDowntime = downtime;
    cluster.workers.startFault = [](const std::string&) { return FakeJobWorkers::OrderFault::AnswerLost; };
    addWorkers(cluster, 12);
    REQUIRE(cluster.submit("m0", "urgent", 1, oneTask()));
    INFO("downtime " << downtime.count());
    CHECK(cluster.waitForState(1, "urgent", JobState::Failed, seconds(120)));
    CHECK(cluster.workers.startsOf(firstTask()) <= allowedStarts);
}

TEST_CASE("a task that crashes its workers late is given up if they come back after the lease",
    "[crash][vanished][known-red]")
{
    const Duration downtime = GENERATE(seconds(3), seconds(8), seconds(600));
    JobCluster cluster(1);
    cluster.workers.crashesWorker = [](const TaskKey&) { return true; };
    cluster.workers.crashDelay = seconds(2);
    cluster.workers.crashDowntime = downtime;
    cluster.workers.runTime = [](const TaskKey&) { return seconds(3); };
    addWorkers(cluster, 16);
    REQUIRE(cluster.submit("m0", "batch", 1, oneTask()));
    INFO("downtime " << downtime.count());
    CHECK(cluster.waitForState(1, "batch", JobState::Failed, seconds(120)));
    CHECK(cluster.workers.startsOf(firstTask()) <= allowedStarts);
}
