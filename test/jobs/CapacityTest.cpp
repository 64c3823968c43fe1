// Workers whose capacity shrinks and grows while tasks run and stop on them.

#include "support/JobCluster.h"

#include <catch2/catch.hpp>

#include <random>

using namespace lycheeledge;
using namespace lycheeledge::jobs;
using namespace lycheeledge::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// The platform counts a smaller capacity once an owner in touch, 3 s, and one heartbeat of the worker, 1.5 s, have
// passed.
constexpr Duration shrinkCountsAfter = milliseconds(4500);

JobSpec jobOf(std::uint32_t tasks) { return { .payload = {}, .steps = { simpleStep(tasks, 1000) } }; }

/** @brief Announces another CPU capacity of a worker. */
void resize(JobCluster& cluster, const std::string& worker, std::int64_t milliCpu)
{
    cluster.workers.setCapacity(worker, capacityOf(milliCpu), shrinkCountsAfter);
    cluster.registerWorker(cluster.workers.record(worker));
}

void checkCapacities(JobCluster& cluster)
{
    cluster.workers.sizeOf = [](const TaskKey&) {
        Resources size;
        size.milliCpu = 1000;
        return size;
    };
}

} // namespace

TEST_CASE("no task starts on a worker that has shrunk below what it runs", "[capacity]")
{
    JobCluster cluster(1);
    checkCapacities(cluster);
    cluster.workers.runTime = [](const TaskKey& task) { return seconds(6 + task.index); };
    cluster.addWorker("w0", 8000);
    cluster.advance(seconds(2));
    REQUIRE(cluster.submit("m0", "batch", 1, jobOf(8)));
    REQUIRE(cluster.submit("m0", "batch", 2, jobOf(8)));
    REQUIRE(cluster.waitFor([&] { return cluster.workers.running() == 8; }));
    resize(cluster, "w0", 3000);
    CHECK(cluster.waitFor([&] { return cluster.workers.running() == 3; }, seconds(20)));
    cluster.advance(seconds(2));
    CHECK(cluster.workers.running() <= 3);
    resize(cluster, "w0", 8000);
    CHECK(cluster.waitFor([&] { return cluster.workers.running() > 3; }, seconds(1)));
    CHECK(cluster.waitForState(2, "batch", JobState::Completed, seconds(60)));
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("a stopping task counts against the capacity of a worker that has shrunk", "[capacity]")
{
    JobCluster cluster(1);
    checkCapacities(cluster);
    cluster.workers.runTime = [](const TaskKey&) { return seconds(30); };
    cluster.workers.stopTime = seconds(6);
    cluster.addWorker("w0", 8000);
    cluster.advance(seconds(2));
    REQUIRE(cluster.submit("m0", "batch", 1, jobOf(8)));
    REQUIRE(cluster.submit("m0", "batch", 2, jobOf(8)));
    REQUIRE(cluster.waitFor([&] { return cluster.workers.running() == 8; }));
    resize(cluster, "w0", 4000);
    cluster.advance(seconds(1));
    (void)cluster.call("m0", CallVerb::Cancel, "/batch/" + jobName(1));
    cluster.advance(seconds(5));
    CHECK(cluster.workers.startsOf({ JobId(jobName(2)), 0, 0, 0 }) == 0);
    CHECK(cluster.waitFor([&] { return cluster.workers.running() == 4; }, seconds(5)));
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("capacities that shrink and grow under running and stopping tasks are kept", "[capacity][load]")
{
    for (const std::uint64_t seed : { 1, 2, 3, 4 }) {
        JobCluster cluster(2, seed);
        checkCapacities(cluster);
        std::mt19937_64 random(seed);
        cluster.workers.runTime = [&random](const TaskKey&) { return milliseconds(300 + random() % 4000); };
        for (int i = 0; i < 4; ++i)
            cluster.addWorker("w" + std::to_string(i), 8000);
        cluster.advance(seconds(2));
        constexpr std::uint64_t jobs = 40;
        for (std::uint64_t n = 1; n <= jobs; ++n) {
            REQUIRE(cluster.submit("m0", n % 3 == 0 ? "batch" : "urgent", n, jobOf(6)));
            cluster.workers.stopTime = milliseconds(100 + random() % 2000);
            resize(cluster, "w" + std::to_string(random() % 4), static_cast<std::int64_t>(1000 * (1 + random() % 8)));
            if (n % 4 == 0)
                (void)cluster.call("m0", CallVerb::Cancel, "/urgent/" + jobName(n - 3 + random() % 2));
            cluster.advance(milliseconds(random() % 900));
        }
        for (int i = 0; i < 4; ++i)
            resize(cluster, "w" + std::to_string(i), 8000);
        for (std::uint64_t n = 1; n <= jobs; ++n)
            CHECK(cluster.waitFor(
                [&] {
                    const auto state = cluster.state("m0", n % 3 == 0 ? "batch" : "urgent", n);
                    return state && isFinal(*state);
                },
                seconds(60)));
        INFO("seed " << seed);
        CHECK(cluster.workers.violations().empty());
    }
}
