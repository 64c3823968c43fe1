// Tests of the cell scheduler after takeovers and with lost workers.

#include "support/SchedulerHarness.h"

#include <catch2/catch.hpp>

using namespace lycheeledge;
using namespace lycheeledge::test;
using namespace std::chrono_literals;

namespace {

LeaseReport runningReport(const WorkerDescription& worker, const WorkSpec& spec, std::uint32_t run = 1)
{
    LeaseReport report = SchedulerHarness::report(worker);
    report.running.push_back({ { spec.id, 0, run }, spec.perTask, {} });
    return report;
}

} // namespace

TEST_CASE("A reported running task is attached to the resubmitted request", "[scheduler][recovery]")
{
    SchedulerHarness cell;
    const auto worker = SchedulerHarness::worker("w1");
    WorkSpec spec = SchedulerHarness::spec("r1");
    cell.scheduler->workerAvailable(worker, runningReport(worker, spec));
    cell.scheduler->activate({});
    CHECK(cell.scheduler->overview().workers[0].reserved == spec.perTask);
    CHECK(cell.scheduler->overview().teams[0].runningTasks == 1);
    spec.attempt = 2;
    cell.submit(spec);
    CHECK(cell.pool.starts.empty());
    cell.scheduler->taskFinished(worker.id, { { spec.id, 0, 1 }, true, "", 2, "", "ok" });
    cell.runtime.settle();
    REQUIRE(cell.answer(spec));
    CHECK(cell.answer(spec)->body == "ok");
    CHECK(cell.scheduler->overview().workers[0].reserved.isZero());
}

TEST_CASE("A reported outcome answers the resubmitted request", "[scheduler][recovery]")
{
    SchedulerHarness cell;
    const auto worker = SchedulerHarness::worker("w1");
    WorkSpec spec = SchedulerHarness::spec("r1");
    spec.attempt = 2;
    LeaseReport report = SchedulerHarness::report(worker);
    SECTION("with the body")
    {
        report.finished.push_back({ { spec.id, 0, 1 }, true, "", 2, "", "ok" });
        cell.scheduler->workerAvailable(worker, report);
        cell.scheduler->activate({});
        cell.submit(spec);
        CHECK(cell.answer(spec)->body == "ok");
    }
    SECTION("without the body, since an earlier owner acknowledged the outcome")
    {
        report.finished.push_back({ { spec.id, 0, 1 }, true, "", 2, "", "" });
        cell.scheduler->workerAvailable(worker, report);
        cell.scheduler->activate({});
        cell.submit(spec);
        CHECK(cell.answer(spec)->error == ErrorKind::Truncated);
        CHECK(cell.answer(spec)->run == RunState::Run);
    }
    CHECK(cell.pool.starts.empty());
}

TEST_CASE("A request that may have run on a missing worker", "[scheduler][recovery]")
{
    SchedulerHarness cell;
    const auto missing = SchedulerHarness::worker("w2");
    cell.add(SchedulerHarness::worker("w1"));
    cell.scheduler->activate({ missing.id });
    WorkSpec spec = SchedulerHarness::spec("r1");
    SECTION("runs at once if it is declared as the first attempt")
    {
        cell.submit(spec);
        CHECK(cell.pool.starts.size() == 1);
    }
    SECTION("has an unknown outcome if it is not repeatable")
    {
        spec.attempt = 2;
        cell.submit(spec);
        CHECK(cell.answer(spec)->run == RunState::Unknown);
        cell.scheduler->workerLost(missing.id);
        cell.runtime.advance(9min);
        cell.submit(spec);
        CHECK(cell.answer(spec)->run == RunState::Unknown);
        CHECK(cell.pool.starts.empty());
        cell.runtime.advance(2min); // the deduplication window has ended
        cell.submit(spec);
        CHECK(cell.pool.starts.size() == 1);
    }
    SECTION("waits for the worker if it is repeatable")
    {
        spec.attempt = 0;
        spec.repeatable = true;
        cell.submit(spec);
        CHECK(cell.pool.starts.empty());
        SECTION("and is attached to the run found there")
        {
            cell.scheduler->workerAvailable(missing, runningReport(missing, spec));
            CHECK(cell.pool.starts.empty());
            CHECK(cell.scheduler->status(spec.id)->phase == WorkPhase::Running);
        }
        SECTION("and starts when the worker is lost")
        {
            cell.scheduler->workerLost(missing.id);
            CHECK(cell.pool.starts.size() == 1);
        }
    }
}

TEST_CASE("Recovered jobs start only once every worker has reported or is lost", "[scheduler][recovery]")
{
    SchedulerHarness cell;
    const auto missing = SchedulerHarness::worker("w2");
    WorkSpec repeatable = SchedulerHarness::spec("j1", "a", WorkKind::Batch);
    repeatable.repeatable = true;
    const WorkSpec begun = SchedulerHarness::spec("j2", "a", WorkKind::Batch);
    const WorkSpec fresh = SchedulerHarness::spec("j3", "a", WorkKind::Batch);
    const WorkSpec cancelled = SchedulerHarness::spec("j4", "a", WorkKind::Batch);
    const WorkSpec ended = SchedulerHarness::spec("j5", "a", WorkKind::Batch);
    cell.scheduler->recover({ JobSubmitted { repeatable }, JobSubmitted { begun }, JobSubmitted { fresh },
        JobSubmitted { cancelled }, JobSubmitted { ended }, TaskStarting { { begun.id, 0, 1 } },
        JobCancelled { cancelled.id }, JobEnded { { ended.id, RunState::Run, ErrorKind::None, "", "" } } });
    cell.add(SchedulerHarness::worker("w1"));
    cell.scheduler->activate({ missing.id });
    cell.runtime.advance(1s);
    CHECK(cell.pool.starts.empty());
    cell.scheduler->workerLost(missing.id);
    cell.runtime.settle();
    REQUIRE(cell.pool.starts.size() == 2);
    CHECK(cell.pool.starts[0].task.work == repeatable.id);
    CHECK(cell.pool.starts[1].task.work == fresh.id);
    CHECK(cell.scheduler->status(begun.id)->phase == WorkPhase::Finished);
    CHECK(cell.scheduler->status(cancelled.id)->phase == WorkPhase::Finished);
    CHECK(cell.scheduler->status(ended.id)->reason == "succeeded");
    cell.submit(ended);
    CHECK(cell.answer(ended)->message == "accepted");
    CHECK(cell.pool.starts.size() == 2);
}

TEST_CASE("A recovered job is attached to its running task, reported before or after recovery", "[scheduler][recovery]")
{
    SchedulerHarness cell;
    const auto worker = SchedulerHarness::worker("w1");
    const WorkSpec job = SchedulerHarness::spec("j1", "a", WorkKind::Batch);
    const std::vector<JournalRecord> records { JobSubmitted { job }, TaskStarting { { job.id, 0, 3 } } };
    const bool reportFirst = GENERATE(true, false);
    if (reportFirst)
        cell.scheduler->workerAvailable(worker, runningReport(worker, job, 3));
    cell.scheduler->recover(records);
    if (!reportFirst)
        cell.scheduler->workerAvailable(worker, runningReport(worker, job, 3));
    cell.scheduler->activate({});
    CHECK(cell.scheduler->status(job.id)->phase == WorkPhase::Running);
    cell.scheduler->taskFinished(worker.id, { { job.id, 0, 3 }, true, "", 0, "", "" });
    CHECK(cell.scheduler->status(job.id)->reason == "succeeded");
    CHECK(cell.pool.starts.empty());
}

TEST_CASE("A reported running task of a cancelled job is stopped", "[scheduler][recovery]")
{
    SchedulerHarness cell;
    const auto worker = SchedulerHarness::worker("w1");
    const WorkSpec job = SchedulerHarness::spec("j1", "a", WorkKind::Batch);
    cell.scheduler->recover({ JobSubmitted { job }, TaskStarting { { job.id, 0, 1 } }, JobCancelled { job.id } });
    cell.scheduler->workerAvailable(worker, runningReport(worker, job));
    REQUIRE(cell.pool.actions.size() == 1);
    CHECK(cell.pool.actions[0].action == TaskAction::Stop);
}

TEST_CASE("Reported tasks are reserved even beyond capacity and prevent new placements", "[scheduler][recovery]")
{
    SchedulerHarness cell;
    const auto worker = SchedulerHarness::worker("w1", "z1", { 1000, 1000, 0, 1, 1 });
    LeaseReport report = SchedulerHarness::report(worker);
    for (const char* id : { "r1", "r2" })
        report.running.push_back({ { { TeamId("a"), RequestId(id) }, 0, 1 }, { 1000, 1000, 0, 1, 1 }, {} });
    cell.scheduler->workerAvailable(worker, report);
    cell.scheduler->activate({});
    cell.submit(SchedulerHarness::spec("r3"));
    cell.scheduler->taskFinished(worker.id, { report.running[0].id, true, "", 0, "", "" });
    CHECK(cell.pool.starts.empty());
    cell.scheduler->taskFinished(worker.id, { report.running[1].id, true, "", 0, "", "" });
    CHECK(cell.pool.starts.size() == 1);
}

TEST_CASE("Work on a lost worker", "[scheduler][recovery]")
{
    SchedulerHarness cell;
    const auto worker = SchedulerHarness::worker("w1");
    cell.add(worker);
    cell.scheduler->activate({});
    WorkSpec spec = SchedulerHarness::spec("r1");
    SECTION("is restarted elsewhere if repeatable, and the delayed end of the first run is ignored")
    {
        spec.repeatable = true;
        cell.submit(spec);
        cell.scheduler->workerUnreachable(worker.id);
        cell.add(SchedulerHarness::worker("w2"));
        cell.runtime.advance(1s);
        CHECK(cell.pool.starts.size() == 1); // the task may still be running
        cell.scheduler->workerLost(worker.id);
        cell.runtime.advance(1s);
        REQUIRE(cell.pool.starts.size() == 2);
        CHECK(cell.pool.starts[1].worker == VmId("w2"));
        cell.end(0);
        CHECK_FALSE(cell.answer(spec));
        cell.end(1);
        CHECK(cell.answer(spec)->ok());
    }
    SECTION("has an unknown outcome otherwise")
    {
        cell.submit(spec);
        cell.scheduler->workerLost(worker.id);
        cell.runtime.settle();
        CHECK(cell.answer(spec)->error == ErrorKind::WorkerLost);
        CHECK(cell.answer(spec)->run == RunState::Unknown);
    }
    SECTION("is placed again if its start was not journalled yet")
    {
        cell.submit(SchedulerHarness::spec("j0", "a", WorkKind::Batch));
        cell.journal.holding = true;
        spec = SchedulerHarness::spec("j1", "a", WorkKind::Batch);
        cell.submit(spec);
        cell.journal.release();
        cell.runtime.settle(); // the job is accepted; its start waits for the journal
        cell.scheduler->workerLost(worker.id);
        cell.add(SchedulerHarness::worker("w2"));
        cell.journal.release();
        cell.runtime.settle();
        REQUIRE(cell.pool.starts.size() == 2);
        CHECK(cell.pool.starts[1].task.work == spec.id);
        CHECK(cell.pool.starts[1].worker == VmId("w2"));
    }
}

TEST_CASE("A request that may have run on a worker that restarted around a takeover does not run again",
    "[scheduler][recovery]")
{
    SchedulerHarness cell;
    const auto worker = SchedulerHarness::worker("w1");
    cell.add(SchedulerHarness::worker("w2"));
    WorkSpec spec = SchedulerHarness::spec("r1");
    spec.attempt = 2;
    const bool beforeActivation = GENERATE(true, false);
    if (!beforeActivation)
        cell.scheduler->activate({ worker.id });
    cell.scheduler->workerLost(worker.id);
    cell.add(worker); // its report is empty
    if (beforeActivation)
        cell.scheduler->activate({});
    cell.submit(spec);
    REQUIRE(cell.answer(spec));
    CHECK(cell.answer(spec)->run == RunState::Unknown);
    CHECK(cell.pool.starts.empty());
}
