// Ends that reach an owner unexpectedly: of occurrences not yet due, of earlier runs, of jobs without a queue.

#include "support/JobClusterHelpers.h"

#include <catch2/catch.hpp>

using namespace lycheeledge;
using namespace lycheeledge::jobs;
using namespace lycheeledge::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a task of an occurrence that is not yet due by the next owner's clock does not run again", "[takeover]")
{
    // The last owner's clock was ahead. The end of the task was not stored when the owner died.
    JobCluster cluster(2);
    addWorkers(cluster, 1);
    const std::string owner = *cluster.owner();
    JobSpec spec { .payload = {}, .steps = { simpleStep(1, 1000) } };
    spec.firstDueUnixMs = cluster.unixMs() + 8000;
    spec.intervalMs = 60000;
    spec.repetitions = 1;
    REQUIRE(cluster.submit(owner, "urgent", 1, spec));
    cluster.advance(seconds(1));
    cluster.store.setFault(FakeClusterStore::Fault::Silent);
    cluster.clockOffsetsMs[owner] = 8000;
    REQUIRE(cluster.waitFor([&] { return cluster.workers.starts().size() == 1; }, seconds(1)));
    REQUIRE(cluster.waitFor([&] { return cluster.workers.running() == 0; }, seconds(1)));
    cluster.kill(owner);
    cluster.store.setFault(FakeClusterStore::Fault::None);
    cluster.advance(seconds(12));
    CHECK(cluster.workers.violations().empty());
    CHECK(cluster.waitForState(1, "urgent", JobState::Completed, seconds(1)));
    CHECK(cluster.workers.starts().size() == 1);
}

TEST_CASE("a task whose earlier run completed it is stored as done while another run exists", "[takeover]")
{
    // The end of the earlier run is acknowledged. Guards against a further start by the next owner.
    Job job;
    job.id = JobId(jobName(1));
    job.submission.spec = { .payload = {}, .steps = { simpleStep(2, 1000) } };
    job.state = JobState::Running;
    Task& task = *job.openOccurrence(0, TimePoint(seconds(1))).steps[0].tasks.find(1);
    task.phase = TaskPhase::Stopping;
    task.doneWhenRunEnds = true;
    Job next;
    next.id = job.id;
    next.submission = job.submission;
    next.restore(job.progress(), TimePoint(seconds(2)));
    CHECK(next.open.at(0).steps[0].tasks[0].phase == TaskPhase::Waiting);
    CHECK(next.open.at(0).steps[0].tasks[1].phase == TaskPhase::Done);
    CHECK(next.open.at(0).steps[0].done == 1);
}

TEST_CASE("a task whose last attempt fails while its queue is gone does not start when the queue is back", "[jobs]")
{
    JobCluster cluster(1);
    cluster.workers.endOf = [](const TaskKey&, const std::string&) { return EndKind::Failed; };
    addWorkers(cluster, 3);
    REQUIRE(cluster.submit("m0", "batch", 1, { .payload = {}, .steps = { simpleStep(1, 1000) } }));
    REQUIRE(cluster.waitFor([&] { return cluster.workers.starts().size() == 3; }));
    auto configuration = simpleConfiguration();
    configuration.queues.pop_back();
    configuration.version = 2;
    cluster.setConfiguration(configuration);
    cluster.advance(seconds(2));
    configuration = simpleConfiguration();
    configuration.version = 3;
    cluster.setConfiguration(configuration);
    CHECK(cluster.waitForState(1, "batch", JobState::Failed, seconds(3)));
    CHECK(cluster.workers.starts().size() == 3);
}

TEST_CASE("a found run that fails does not start again while an earlier failure may be listed elsewhere", "[takeover]")
{
    JobCluster cluster(2);
    cluster.workers.maxAttempts = 2;
    auto configuration = simpleConfiguration();
    configuration.queues[1].maxAttempts = 2;
    cluster.setConfiguration(configuration);
    addWorkers(cluster, 3);
    const std::string owner = *cluster.owner();
    const std::string next = owner == "m0" ? "m1" : "m0";
    cluster.workers.runTime
        = [&](const TaskKey&) { return cluster.workers.starts().empty() ? milliseconds(1500) : milliseconds(3500); };
    cluster.workers.endOf = [](const TaskKey&, const std::string&) { return EndKind::Failed; };
    REQUIRE(cluster.submit(owner, "batch", 1, { .payload = {}, .steps = { simpleStep(1, 1000) } }));
    // The first failure is seen, but neither stored nor acknowledged, and its worker is silent for a while.
    REQUIRE(cluster.waitFor([&] { return cluster.workers.starts().size() == 1; }, seconds(2)));
    const std::string first = cluster.workers.starts()[0].worker;
    auto record = cluster.workers.record(first);
    record.draining = true; // so that the task starts again elsewhere
    cluster.registerWorker(record);
    cluster.advance(seconds(1));
    cluster.store.setFault(owner, FakeClusterStore::Fault::Silent);
    REQUIRE(cluster.waitFor([&] { return cluster.workers.starts().size() == 2; }, seconds(3)));
    REQUIRE(cluster.workers.starts()[1].worker != first);
    cluster.workers.setDisconnected(first, true);
    cluster.kill(owner);
    cluster.runtime.after(seconds(4), [&] { cluster.workers.setDisconnected(first, false); });
    REQUIRE(cluster.waitFor([&] { return cluster.log.counts["run_adopted"] == 1; }, seconds(4)));
    CHECK(cluster.waitFor([&] { return cluster.state(next, "batch", 1) == JobState::Failed; }, seconds(30)));
    CHECK(cluster.workers.starts().size() == 2);
    CHECK(cluster.workers.violations().empty());
}
