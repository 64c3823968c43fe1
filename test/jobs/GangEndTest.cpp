// Ends of gangs whose members are only known to have ended because of the end of another member.

#include "support/JobClusterHelpers.h"

#include <catch2/catch.hpp>

#include <string>

using namespace lycheeledge;
using namespace lycheeledge::jobs;
using namespace lycheeledge::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** @brief Two workers, and a recurring job with a gang that needs both of them for 1.5 s, every 12 s. */
struct RecurringGang {
    static constexpr std::uint32_t repetitions = 3;

    RecurringGang()
        : cluster(1)
    {
        cluster.workers.runTime = [](const TaskKey&) { return milliseconds(1500); };
        addWorkers(cluster, 2);
        StepSpec step = simpleStep(2, 1000);
        step.gang = true;
        step.maxTasksPerWorker = 1;
        JobSpec spec { .payload = {}, .steps = { step } };
        spec.repetitions = repetitions;
        spec.firstDueUnixMs = cluster.unixMs() + 500;
        spec.intervalMs = 12000;
        REQUIRE(cluster.submit("m0", "batch", 1, spec));
    }

    std::size_t starts(std::uint32_t occurrence) const
    {
        return cluster.workers.startsOf({ JobId(jobName(1)), occurrence, 0, 0 });
    }
    bool waitForStart(std::uint32_t occurrence)
    {
        return cluster.waitFor([&] { return starts(occurrence) > 0 && cluster.workers.running() == 2; }, seconds(14));
    }

    JobCluster cluster;
};

} // namespace

// Guards against the abort of an owner that put a step of an erased occurrence among the ready ones.
TEST_CASE("a recurring job goes on after a gang is done while the worker of a member is out of reach", "[jobs][gang]")
{
    RecurringGang gang;
    for (std::uint32_t n = 0; n < RecurringGang::repetitions; ++n) {
        CAPTURE(n);
        REQUIRE(gang.waitForStart(n));
        gang.cluster.advance(milliseconds(200));
        gang.cluster.workers.setDisconnected("w1", true);
        REQUIRE_NOTHROW(gang.cluster.advance(milliseconds(8000)));
        gang.cluster.workers.setDisconnected("w1", false);
    }
    REQUIRE(gang.cluster.waitForState(1, "batch", JobState::Completed, seconds(5)));
    for (std::uint32_t n = 0; n < RecurringGang::repetitions; ++n)
        CHECK(gang.starts(n) == 1);
    CHECK(gang.cluster.workers.violations().empty());
}
