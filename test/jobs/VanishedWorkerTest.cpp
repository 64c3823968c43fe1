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
