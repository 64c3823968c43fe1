// Workers that go out of reach just after they have started a task: cut off, crashed, or gone for good.

#include "support/JobClusterHelpers.h"

#include <catch2/catch.hpp>

#include <functional>
#include <string>

using namespace lycheeledge;
using namespace lycheeledge::jobs;
using namespace lycheeledge::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Long enough for the start to be confirmed, and too short for the run to be cleared.
constexpr Duration afterStart = milliseconds(20);

TaskKey firstTask() { return { JobId(jobName(1)), 0, 0, 0 }; }

JobSpec oneTask() { return { .payload = {}, .steps = { simpleStep(1, 1000) } }; }

/** @brief Calls `after` with the worker of each of the first `count` start orders, soon after it has started. */
void afterStarts(JobCluster& cluster, int count, std::function<void(const std::string& worker)> after)
{
    cluster.workers.startFault = [&cluster, count, after = std::move(after)](const std::string& worker) mutable {
        if (count > 0) {
            --count;
            cluster.runtime.after(afterStart, [after, worker] { after(worker); });
        }
        return FakeJobWorkers::OrderFault::None;
    };
}

} // namespace

TEST_CASE("a crash does not count against a run that its worker had lost with the lease", "[crash][vanished]")
{
    JobCluster cluster(1);
    cluster.workers.runTime = [](const TaskKey&) { return seconds(12); };
    afterStarts(cluster, 2, [&cluster](const std::string& worker) {
        cluster.workers.setDisconnected(worker, true);
        cluster.runtime.after(seconds(7), [&cluster, worker] {
            cluster.workers.restart(worker);
            cluster.workers.setDisconnected(worker, false);
        });
    });
    addWorkers(cluster, 6);
    REQUIRE(cluster.submit("m0", "batch", 1, oneTask()));
    CHECK(cluster.waitForState(1, "batch", JobState::Completed, seconds(40)));
    CHECK(cluster.workers.startsOf(firstTask()) == 3);
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("a job does not fail because the workers that had just started it went out of sight", "[crash][vanished]")
{
    // They are gone from the registry as well, and come back after the owner has removed them.
    const int losses = GENERATE(2, 8);
    JobCluster cluster(1);
    cluster.workers.runTime = [](const TaskKey&) { return seconds(8); };
    afterStarts(cluster, losses, [&cluster](const std::string& worker) {
        cluster.workers.setDisconnected(worker, true);
        cluster.unregisterWorker(worker);
        cluster.runtime.after(seconds(9), [&cluster, worker] {
            cluster.workers.setDisconnected(worker, false);
            cluster.registerWorker(cluster.workers.record(worker));
        });
    });
    addWorkers(cluster, 6);
    REQUIRE(cluster.submit("m0", "batch", 1, oneTask()));
    CHECK(cluster.waitForState(1, "batch", JobState::Completed, seconds(90)));
    CHECK(cluster.workers.startsOf(firstTask()) == static_cast<std::size_t>(losses) + 1);
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("losses of workers that stay away do not add up over the life of a long-running task", "[crash][vanished]")
{
    JobCluster cluster(1);
    cluster.workers.runTime = [](const TaskKey&) { return seconds(600); };
    const auto cutOff = [&cluster](const std::string& worker) {
        cluster.workers.setDisconnected(worker, true);
        cluster.unregisterWorker(worker);
    };
    addWorkers(cluster, 12);
    JobSpec spec = oneTask();
    spec.steps[0].longRunning = true;
    afterStarts(cluster, 1, cutOff);
    REQUIRE(cluster.submit("m0", "batch", 1, spec));
    for (std::size_t n = 2; n <= 10; n += 2) {
        // Every second start is cut off at once, and the ones between after a while.
        REQUIRE(cluster.waitFor([&] { return cluster.workers.startsOf(firstTask()) == n; }, seconds(20)));
        cluster.advance(seconds(3));
        afterStarts(cluster, 1, cutOff);
        cutOff(cluster.workers.starts().back().worker);
        REQUIRE(cluster.waitFor([&] { return cluster.workers.startsOf(firstTask()) == n + 1; }, seconds(20)));
    }
    CHECK(cluster.state("m0", "batch", 1) == JobState::Running);
}

TEST_CASE("a task that crashes workers which come back out of sight is given up", "[crash][vanished]")
{
    JobCluster cluster(1);
    cluster.workers.crashesWorker = [](const TaskKey&) { return true; };
    const bool underOtherId = GENERATE(false, true);
    // The crashed worker is back after 3 s, and in sight again after 9 s.
    afterStarts(cluster, 100, [&cluster, underOtherId](const std::string& worker) {
        cluster.unregisterWorker(worker);
        const std::string successor = underOtherId ? worker + "x" : worker;
        cluster.runtime.after(seconds(3), [&cluster, worker, successor] {
            auto record = cluster.workers.add(successor, capacityOf(8000));
            record.address = worker + ":80";
            cluster.workers.setDisconnected(worker, true);
            cluster.workers.setDisconnected(successor, true);
            cluster.runtime.after(seconds(6), [&cluster, record, successor] {
                cluster.workers.setDisconnected(successor, false);
                cluster.registerWorker(record);
            });
        });
    });
    addWorkers(cluster, 8);
    REQUIRE(cluster.submit("m0", "urgent", 1, oneTask()));
    CHECK(cluster.waitForState(1, "urgent", JobState::Failed, seconds(60)));
    cluster.advance(seconds(10));
    CHECK(cluster.workers.startsOf(firstTask()) <= 3);
    CHECK(cluster.log.counts["worker_crashed"] == 2);
}

TEST_CASE(
    "a task that crashes workers which never come back is given up, across takeovers", "[crash][vanished][takeover]")
{
    const int takeovers = GENERATE(0, 1);
    const Duration killAfter = GENERATE(seconds(1), seconds(7));
    JobCluster cluster(3);
    cluster.workers.crashesWorker = [](const TaskKey&) { return true; };
    cluster.workers.crashDowntime = seconds(600);
    addWorkers(cluster, 12);
    int kills = takeovers;
    cluster.workers.startFault = [&](const std::string& worker) {
        cluster.runtime.after(seconds(2), [&cluster, worker] { cluster.unregisterWorker(worker); });
        if (kills-- > 0)
            cluster.runtime.after(killAfter, [&cluster] { cluster.kill(*cluster.owner()); });
        return FakeJobWorkers::OrderFault::None;
    };
    REQUIRE(cluster.submit("m2", "urgent", 1, oneTask()));
    CHECK(cluster.waitFor([&] { return cluster.log.counts["job_ended"] > 0; }, seconds(120)));
    cluster.advance(seconds(10));
    // The platform allows two starts after the third crash.
    CHECK(cluster.workers.startsOf(firstTask()) <= 5);
}

TEST_CASE("tasks lost in a partition do not wait for one another before they start again", "[crash][vanished][load]")
{
    JobCluster cluster(1);
    cluster.workers.runTime = [](const TaskKey&) { return seconds(600); };
    addWorkers(cluster, 4);
    JobSpec spec { .payload = {}, .steps = { simpleStep(16, 1000) } };
    spec.steps[0].longRunning = true;
    REQUIRE(cluster.submit("m0", "batch", 1, spec));
    REQUIRE(cluster.waitFor([&] { return cluster.workers.running() == 16; }, seconds(5)));
    cluster.advance(afterStart);
    int disconnected = 0;
    for (const std::string worker : { "w0", "w1", "w2", "w3" }) {
        if (cluster.workers.runsOn(worker) > 0 && ++disconnected <= 2)
            cluster.workers.setDisconnected(worker, true);
    }
    REQUIRE(cluster.waitFor([&] { return cluster.log.counts["run_lost"] > 0; }, seconds(10)));
    CHECK(cluster.waitFor([&] { return cluster.workers.running() == 16; }, milliseconds(500)));
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("a worker out of sight counts as crashed only if its successor began within the lease", "[crash][vanished]")
{
    const TimePoint heard { seconds(100) };
    const VanishedWorker worker { .id = WorkerId("w0"),
        .address = "w0:80",
        .incarnationStartUnixMs = 1,
        .heardAt = heard,
        .leaseEnd = heard + seconds(5),
        .suspects = { { firstTask(), 1 } } };
    CHECK(crashedUnderRuns(worker, heard + seconds(3)));
    CHECK_FALSE(crashedUnderRuns(worker, heard + seconds(6)));
    // The clock of that successor did not begin with it.
    CHECK_FALSE(crashedUnderRuns(worker, heard - seconds(1)));

    VanishedWorkers workers;
    workers.add(worker);
    CHECK_FALSE(workers.take(WorkerId("w1"), "w1:80"));
    CHECK(workers.take(WorkerId("w1"), "w0:80") == worker);
    workers.add(worker);
    workers.clear(firstTask());
    CHECK(workers.size() == 0);
    workers.add(worker);
    workers.expire(worker.leaseEnd + seconds(1));
    CHECK(workers.size() == 0);
}

TEST_CASE("a crash that an earlier build counted, when silence was enough, does not fail a job", "[crash][vanished]")
{
    Job job;
    job.id = firstTask().job;
    job.submission.spec = oneTask();
    ProgressRecord record;
    record.state = JobState::Running;
    record.nextOccurrence = 1;
    record.open = { { .occurrence = 0, .steps = { StepProgress {} } } };
    record.crashCounts = { { .crashes = 1, .interruptions = 3 } };
    job.restore(record, TimePoint());
    CHECK(job.find(firstTask())->suspicions() == 0);
    CHECK(job.find(firstTask())->interruptions == 3);

    job.find(firstTask())->crashes = 1;
    job.find(firstTask())->unexplainedLosses = 2;
    Job next;
    next.id = job.id;
    next.submission = job.submission;
    next.restore(job.progress(), TimePoint());
    CHECK(next.find(firstTask())->crashes == 1);
    CHECK(next.find(firstTask())->unexplainedLosses == 2);
    CHECK(next.find(firstTask())->interruptions == 3);
}
