// Long-running tasks after a takeover, and the stored placements that tell the next owner where they run.

#include "support/JobClusterHelpers.h"

#include <catch2/catch.hpp>

using namespace lycheeledge;
using namespace lycheeledge::jobs;
using namespace lycheeledge::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** @brief Three long-running tasks on one worker each, and a fourth worker that is free. */
struct LongRunningJob {
    explicit LongRunningJob(std::size_t members)
        : cluster(members)
    {
        addWorkers(cluster, 3);
        auto step = simpleStep(3, 1000);
        step.longRunning = true;
        step.maxTasksPerWorker = 1;
        cluster.workers.runTime = [this](const TaskKey& task) { return task == failing ? seconds(6) : seconds(600); };
        cluster.workers.endOf = [](const TaskKey&, const std::string&) { return EndKind::Failed; };
        REQUIRE(cluster.submit("m0", "batch", 1, { .payload = {}, .steps = { step } }));
        REQUIRE(cluster.waitFor([&] { return cluster.workers.running() == 3; }));
        cluster.addWorker("w3", 8000);
        cluster.advance(seconds(1));
    }
    /** @brief First start of a task that does not fail. */
    RecordedStart startOfOther() const
    {
        const auto& starts = cluster.workers.starts();
        return *std::find_if(starts.begin(), starts.end(), [this](const auto& it) { return it.run.task != failing; });
    }
    void lose(const std::string& worker)
    {
        cluster.workers.restart(worker);
        cluster.workers.setDisconnected(worker, true);
        cluster.unregisterWorker(worker);
    }

    JobCluster cluster;
    TaskKey failing { JobId(jobName(1)), 0, 0, 1 }; ///< fails 6 s after each start
};

} // namespace

TEST_CASE("a long-running task that fails after a takeover does not wait for workers that are silent", "[takeover]")
{
    // The last owner's VM is gone, so whether it has stopped is known only after 8 s.
    LongRunningJob job(2);
    JobCluster& cluster = job.cluster;
    const auto& starts = cluster.workers.starts();
    const auto start = std::find_if(
        starts.begin(), starts.end(), [&job](const RecordedStart& it) { return it.run.task == job.failing; });
    job.lose(start->worker == "w0" ? "w1" : "w0");
    cluster.kill(*cluster.owner());
    REQUIRE(cluster.waitFor([&] { return cluster.workers.startsOf(job.failing) == 2; }, seconds(7)));
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("a long-running task does not start again while the store may name its earlier run", "[takeover]")
{
    // The next owner would start it a second time, since the worker of the earlier run has no run of it.
    LongRunningJob job(2);
    JobCluster& cluster = job.cluster;
    cluster.advance(seconds(3));
    cluster.store.setFault(FakeClusterStore::Fault::Silent);
    cluster.advance(milliseconds(2500)); // the task has failed
    CHECK(cluster.workers.startsOf(job.failing) == 1);
    cluster.store.setFault(FakeClusterStore::Fault::None);
    CHECK(cluster.waitFor([&] { return cluster.workers.startsOf(job.failing) == 2; }, seconds(5)));
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE(
    "a long-running task of a lost worker does not wait for a lost owner's orders and another lease", "[takeover]")
{
    LongRunningJob job(2);
    JobCluster& cluster = job.cluster;
    const RecordedStart lost = job.startOfOther();
    job.lose(lost.worker);
    cluster.kill(*cluster.owner());
    REQUIRE(cluster.waitFor([&] { return cluster.owner().has_value(); }, seconds(3)));
    CHECK(cluster.waitFor([&] { return cluster.workers.startsOf(lost.run.task) == 2; }, seconds(9)));
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("a long-running task does not start beside the run that a cut-off owner keeps alive", "[takeover]")
{
    LongRunningJob job(2);
    JobCluster& cluster = job.cluster;
    const RecordedStart kept = job.startOfOther();
    const std::string first = *cluster.owner();
    const std::string second = first == "m0" ? "m1" : "m0";
    cluster.member(first).workers.isCutOff = [&kept](const std::string& id) { return id != kept.worker; };
    cluster.member(second).workers.isCutOff = [&kept](const std::string& id) { return id == kept.worker; };
    cluster.setCutOff(first, true);
    REQUIRE(cluster.waitFor([&] { return hasOtherOwner(cluster, first); }, seconds(5)));
    CHECK(cluster.waitFor([&] { return cluster.workers.startsOf(kept.run.task) == 2; }, seconds(9)));
    cluster.advance(seconds(5));
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("running tasks survive an outage of the store in which the owner's lease ends", "[takeover]")
{
    const auto fault = GENERATE(FakeClusterStore::Fault::Silent, FakeClusterStore::Fault::Refuse);
    LongRunningJob job(2);
    JobCluster& cluster = job.cluster;
    cluster.workers.runTime = [](const TaskKey&) { return seconds(600); };
    const RecordedStart first = job.startOfOther();
    cluster.store.setFault(fault);
    cluster.advance(seconds(5));
    cluster.store.setFault(FakeClusterStore::Fault::None);
    cluster.advance(seconds(5));
    CHECK(cluster.workers.startsOf(first.run.task) == 1);
    CHECK(cluster.log.counts["ownership_gained"] == 1);
    CHECK(cluster.workers.violations().empty());
}
