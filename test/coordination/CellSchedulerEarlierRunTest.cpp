// Tests of ends that the cell scheduler learns of only after it gave up the run.

#include "support/SchedulerHarness.h"

#include <catch2/catch.hpp>

using namespace lycheeledge;
using namespace lycheeledge::test;
using namespace std::chrono_literals;

namespace {

WorkSpec repeatableSpec(const std::string& request, WorkKind kind = WorkKind::Batch)
{
    WorkSpec spec = SchedulerHarness::spec(request, "a", kind);
    spec.repeatable = true;
    return spec;
}

FinishedTask finished(const WorkSpec& spec, std::uint32_t run, bool succeeded)
{
    return { { spec.id, 0, run }, succeeded, succeeded ? "" : "failed", 2, "", succeeded ? "ok" : "" };
}

/** @brief Report of a worker that came back with its memory and kept these ends. */
LeaseReport reportWith(const WorkerDescription& worker, std::vector<FinishedTask> ends)
{
    LeaseReport report = SchedulerHarness::report(worker);
    report.finished = std::move(ends);
    return report;
}

} // namespace

TEST_CASE("Work whose lost run is reported as done does not start again", "[scheduler][earlier-run]")
{
    SchedulerHarness cell;
    const auto worker = SchedulerHarness::worker("w1");
    cell.add(worker);
    cell.scheduler->activate({});
    const auto spec = repeatableSpec("r1", GENERATE(WorkKind::Batch, WorkKind::Request));
    cell.submit(spec);
    cell.scheduler->workerUnreachable(worker.id);
    cell.scheduler->workerLost(worker.id);
    cell.runtime.settle();
    SECTION("in the report of the worker that comes back")
    {
        // The end of another task frees capacity before that of the lost run is read.
        const auto other = repeatableSpec("r0");
        cell.scheduler->workerAvailable(
            worker, reportWith(worker, { finished(other, 1, true), finished(spec, 1, true) }));
    }
    SECTION("in an event") { cell.scheduler->taskFinished(worker.id, finished(spec, 1, true)); }
    cell.add(SchedulerHarness::worker("w2"));
    cell.runtime.advance(5s);
    CHECK(cell.pool.starts.size() == 1);
    CHECK(cell.scheduler->status(spec.id)->reason == "succeeded");
}

TEST_CASE("Work does not start a third time after its first run was reported as done", "[scheduler][earlier-run]")
{
    SchedulerHarness cell;
    const auto w1 = SchedulerHarness::worker("w1");
    const auto w2 = SchedulerHarness::worker("w2");
    cell.add(w1);
    cell.scheduler->activate({});
    const auto spec = repeatableSpec("r1", GENERATE(WorkKind::Batch, WorkKind::Request));
    cell.submit(spec);
    cell.scheduler->workerUnreachable(w1.id);
    cell.add(w2);
    cell.scheduler->workerLost(w1.id);
    cell.runtime.advance(1s);
    REQUIRE(cell.pool.starts.size() == 2);
    cell.scheduler->workerAvailable(w1, reportWith(w1, { finished(spec, 1, true) }));
    cell.runtime.settle();
    CHECK(cell.scheduler->status(spec.id)->phase == WorkPhase::Running);
    SECTION("when the second run fails") { cell.end(1, false); }
    SECTION("when the second run is lost") { cell.scheduler->workerLost(w2.id); }
    cell.runtime.advance(5s);
    CHECK(cell.pool.starts.size() == 2);
    CHECK(cell.scheduler->status(spec.id)->reason == "succeeded");
}

TEST_CASE("A recovered job does not start again after an earlier run was reported as done", "[scheduler][earlier-run]")
{
    SchedulerHarness cell;
    const auto w1 = SchedulerHarness::worker("w1");
    const auto w2 = SchedulerHarness::worker("w2");
    const auto job = repeatableSpec("j1");
    const auto later = reportWith(w2, { finished(job, 2, false) });
    const auto earlier = reportWith(w1, { finished(job, 1, true) });
    SECTION("when the later run is reported first")
    {
        cell.scheduler->recover({ JobSubmitted { job } });
        cell.scheduler->workerAvailable(w2, later);
        cell.scheduler->workerAvailable(w1, earlier);
    }
    SECTION("when both are reported before the journal is read")
    {
        cell.scheduler->workerAvailable(w2, later);
        cell.scheduler->workerAvailable(w1, earlier);
        cell.scheduler->recover({ JobSubmitted { job } });
    }
    cell.scheduler->activate({});
    cell.runtime.advance(5s);
    CHECK(cell.pool.starts.empty());
    CHECK(cell.scheduler->status(job.id)->reason == "succeeded");
}

TEST_CASE("A running task of a recovered job does not start again after an earlier run was reported as done",
    "[scheduler][earlier-run]")
{
    SchedulerHarness cell;
    const auto w1 = SchedulerHarness::worker("w1");
    const auto w2 = SchedulerHarness::worker("w2");
    const auto job = repeatableSpec("j1");
    const bool reportsFirst = GENERATE(true, false);
    if (!reportsFirst)
        cell.scheduler->recover({ JobSubmitted { job } });
    LeaseReport running = SchedulerHarness::report(w2);
    running.running.push_back({ { job.id, 0, 2 }, job.perTask, {} });
    cell.scheduler->workerAvailable(w2, running);
    cell.scheduler->workerAvailable(w1, reportWith(w1, { finished(job, 1, true) }));
    if (reportsFirst)
        cell.scheduler->recover({ JobSubmitted { job } });
    cell.scheduler->activate({});
    cell.scheduler->workerLost(w2.id);
    cell.runtime.advance(5s);
    CHECK(cell.pool.starts.empty());
    CHECK(cell.scheduler->status(job.id)->reason == "succeeded");
}
