// Tests of the limit on failed runs of batch tasks across takeovers.

#include "support/SchedulerHarness.h"

#include <catch2/catch.hpp>

using namespace lycheeledge;
using namespace lycheeledge::test;
using namespace std::chrono_literals;

namespace {

WorkSpec repeatableJob()
{
    WorkSpec job = SchedulerHarness::spec("j1", "a", WorkKind::Batch);
    job.repeatable = true;
    return job;
}

/** @brief Fails the last started run, and lets the backoff of the next one end. */
void failRun(SchedulerHarness& cell)
{
    cell.end(cell.pool.starts.size() - 1, false);
    cell.runtime.advance(5s);
}

} // namespace

TEST_CASE("Failed runs of a batch task count across takeovers", "[scheduler][retry-budget]")
{
    const WorkSpec job = repeatableJob();
    const auto worker = SchedulerHarness::worker("w1");
    SchedulerHarness first;
    first.add(worker);
    first.scheduler->activate({});
    first.submit(job);
    failRun(first);
    failRun(first);
    REQUIRE(first.pool.starts.size() == 3); // the third run is under way

    SchedulerHarness second;
    LeaseReport report = SchedulerHarness::report(worker);
    std::uint32_t runs = 3;
    SECTION("when the worker reports them")
    {
        for (const std::uint32_t run : { 1U, 2U, 3U })
            report.finished.push_back({ { job.id, 0, run }, false, "failed", 0, "", "" });
    }
    SECTION("when the worker has restarted, so that the third run was lost") { runs = 4; }
    const bool reportFirst = GENERATE(true, false);
    if (reportFirst)
        second.scheduler->workerAvailable(worker, report);
    second.scheduler->recover(first.journal.records);
    if (!reportFirst)
        second.scheduler->workerAvailable(worker, report);
    second.scheduler->activate({});
    second.runtime.advance(5s);
    for (int i = 0; i < 5 && second.scheduler->status(job.id)->phase != WorkPhase::Finished; ++i)
        failRun(second);
    CHECK(3 + second.pool.starts.size() == runs);
    CHECK(second.scheduler->status(job.id)->phase == WorkPhase::Finished);
}

TEST_CASE("A failed batch task runs again only once its failure is durable", "[scheduler][retry-budget]")
{
    SchedulerHarness cell;
    cell.add(SchedulerHarness::worker("w1"));
    cell.scheduler->activate({});
    cell.submit(repeatableJob());
    cell.journal.holding = true;
    failRun(cell);
    CHECK(cell.pool.starts.size() == 1);
    cell.journal.release();
    cell.runtime.advance(100ms);
    CHECK(cell.pool.starts.size() == 2);
}

TEST_CASE("Refused and lost starts of a batch task do not count as failed runs", "[scheduler][retry-budget]")
{
    const WorkSpec job = repeatableJob();
    SchedulerHarness cell;
    cell.pool.accepting = false;
    cell.add(SchedulerHarness::worker("w1"));
    cell.scheduler->activate({});
    cell.submit(job);
    for (std::size_t n = 0; n < 4; ++n) {
        REQUIRE(cell.pool.starts.size() == n + 1);
        cell.pool.answer(n, n % 2 == 0 ? CommandOutcome::Refused : CommandOutcome::Unknown);
        cell.runtime.advance(5s);
    }
    CHECK(cell.journal.count<TaskStarting>() == 0);
    CHECK(cell.scheduler->status(job.id)->phase != WorkPhase::Finished);
}
