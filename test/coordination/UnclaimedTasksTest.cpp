// Tests of the reported tasks of work that has not been submitted to this owner.

#include "support/SchedulerHarness.h"

#include <lycheeledge/coordination/UnclaimedTasks.h>

#include <catch2/catch.hpp>

using namespace lycheeledge;
using namespace lycheeledge::test;
using namespace std::chrono_literals;

TEST_CASE("A done run is not replaced by a failed run with the same number", "[scheduler][unclaimed]")
{
    SchedulerHarness cell;
    WorkSpec job = SchedulerHarness::spec("j1", "a", WorkKind::Batch);
    job.repeatable = true;
    // The body of the done run is absent, as it was acknowledged.
    const FinishedTask done { { job.id, 0, 1 }, true, "", 2, "", "" };
    const FinishedTask failed { { job.id, 0, 1 }, false, "failed", 0, "", "" };
    const bool doneFirst = GENERATE(true, false);
    for (const char* id : { "w1", "w2" }) {
        const auto worker = SchedulerHarness::worker(id);
        LeaseReport report = SchedulerHarness::report(worker);
        report.finished.push_back((worker.id == VmId("w1")) == doneFirst ? done : failed);
        cell.scheduler->workerAvailable(worker, report);
    }
    cell.scheduler->recover({ JobSubmitted { job } });
    cell.scheduler->activate({});
    cell.runtime.advance(5s);
    CHECK(cell.pool.starts.empty());
    CHECK(cell.scheduler->status(job.id)->reason == "succeeded");
}

TEST_CASE("A request that ended minutes after the takeover does not run again", "[scheduler][unclaimed]")
{
    SchedulerHarness cell;
    const auto worker = SchedulerHarness::worker("w1");
    WorkSpec spec = SchedulerHarness::spec("r1");
    spec.attempt = 2;
    LeaseReport report = SchedulerHarness::report(worker);
    report.running.push_back({ { spec.id, 0, 1 }, spec.perTask, {} });
    cell.scheduler->workerAvailable(worker, report);
    cell.scheduler->activate({});
    cell.runtime.advance(9min);
    SECTION("when its end is known")
    {
        cell.scheduler->taskFinished(worker.id, { { spec.id, 0, 1 }, true, "", 2, "", "ok" });
        cell.runtime.advance(9min);
        cell.submit(spec);
        REQUIRE(cell.answer(spec));
        CHECK(cell.answer(spec)->body == "ok");
    }
    SECTION("when its worker was lost")
    {
        cell.scheduler->workerLost(worker.id);
        cell.add(SchedulerHarness::worker("w2"));
        cell.runtime.advance(9min);
        cell.submit(spec);
        REQUIRE(cell.answer(spec));
        CHECK(cell.answer(spec)->run == RunState::Unknown);
    }
    CHECK(cell.pool.starts.empty());
}

TEST_CASE("Work that ended is kept for the retention time and then removed", "[scheduler][unclaimed]")
{
    const TimePoint start { 1h };
    const TaskId task { { TeamId("a"), RequestId("r1") }, 0, 1 };
    UnclaimedTasks unclaimed(10min);
    unclaimed.addRunning(start, task, 0);
    unclaimed.expire(start + 25min);
    CHECK(unclaimed.contains(task.work)); // it may still be running
    unclaimed.addFinished(start + 26min, { task, true, "", 0, "", "" }, 0);
    unclaimed.expire(start + 35min);
    CHECK(unclaimed.contains(task.work));
    unclaimed.expire(start + 36min);
    CHECK_FALSE(unclaimed.contains(task.work));
}
