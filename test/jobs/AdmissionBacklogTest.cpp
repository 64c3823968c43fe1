// Admission of steps while more of them wait than the admission service answers.

#include "support/JobCluster.h"

#include <lycheeledge/jobs/StepOrder.h>

#include <catch2/catch.hpp>

using namespace lycheeledge;
using namespace lycheeledge::jobs;
using namespace lycheeledge::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

TaskKey taskOf(std::uint64_t job, std::uint32_t step, std::uint32_t index, std::uint32_t occurrence = 0)
{
    return { JobId(jobName(job)), occurrence, step, index };
}

/** @brief Adds workers w0, w1, ... of 8 cores each, two per rack, and waits until they are known. */
JobCluster& addWorkers(JobCluster& cluster, int count)
{
    for (int i = 0; i < count; ++i)
        cluster.addWorker("w" + std::to_string(i), 8000, "r" + std::to_string(i / 2));
    cluster.advance(seconds(2));
    return cluster;
}

/** @brief Urgent steps of `cluster` ask for admission faster than the service answers. */
void limitAdmission(JobCluster& cluster)
{
    auto configuration = simpleConfiguration();
    configuration.queues[0].admission
        = AdmissionPolicy { milliseconds(30), std::chrono::microseconds(400), seconds(2) };
    configuration.queues[1].admission = AdmissionPolicy { milliseconds(400), milliseconds(6), seconds(2) };
    cluster.setConfiguration(configuration);
    cluster.admission.answerTime = milliseconds(60);
}

} // namespace

TEST_CASE("a batch step starts within 3 s although a backlog of urgent steps waits for admission", "[jobs][load]")
{
    // One client account sends many times its usual load: urgent steps ask for admission faster than the service
    // answers, while most workers are idle. Guards against asking in scheduling order only.
    JobCluster cluster(1);
    limitAdmission(cluster);
    addWorkers(cluster, 40);
    for (std::uint64_t n = 1; n <= 200; ++n)
        REQUIRE(cluster.submit("m0", "urgent", n, { .payload = {}, .steps = { simpleStep(1, 1000) } }));
    REQUIRE(cluster.submit("m0", "batch", 500, { .payload = {}, .steps = { simpleStep(4, 1000) } }));
    CHECK(cluster.waitFor([&] { return cluster.workers.startsOf(taskOf(500, 0, 0)) > 0; }, seconds(3)));
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("a long-running task restarts within 6 s although urgent steps wait for admission", "[jobs][load]")
{
    // Guards against counting its step as served because other tasks of it still run.
    JobCluster cluster(1);
    limitAdmission(cluster);
    cluster.workers.runTime
        = [](const TaskKey& task) { return task.job == JobId(jobName(500)) ? seconds(600) : milliseconds(500); };
    addWorkers(cluster, 40);
    auto step = simpleStep(4, 1000);
    step.longRunning = true;
    step.maxTasksPerWorker = 2;
    REQUIRE(cluster.submit("m0", "batch", 500, { .payload = {}, .steps = { step } }));
    REQUIRE(cluster.waitFor([&] { return cluster.workers.running() == 4; }, seconds(5)));
    cluster.advance(seconds(3)); // the tickets run out
    for (std::uint64_t n = 1; n <= 300; ++n)
        REQUIRE(cluster.submit("m0", "urgent", n, { .payload = {}, .steps = { simpleStep(1, 1000) } }));
    const auto isRunning = [&] {
        const auto& starts = cluster.workers.starts();
        return std::count_if(starts.begin(), starts.end(),
            [](const auto& it) { return it.run.task.job == JobId(jobName(500)) && !it.endedAt; });
    };
    cluster.workers.restart(cluster.workers.starts().front().worker);
    REQUIRE(isRunning() < 4);
    CHECK(cluster.waitFor([&] { return isRunning() == 4; }, seconds(6)));
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("long-running steps that lose their workers at once run again within 6 s in a backlog", "[jobs][load]")
{
    // Guards against one call at a time for them, in turn with overdue steps of other queues.
    constexpr std::uint64_t services = 16;
    constexpr std::uint64_t firstService = 5000;
    JobCluster cluster(6);
    auto configuration = simpleConfiguration();
    configuration.queues[0].admission
        = AdmissionPolicy { milliseconds(15), std::chrono::microseconds(220), seconds(2) };
    configuration.queues[1].admission = AdmissionPolicy { milliseconds(400), milliseconds(6), seconds(2) };
    auto lasting = configuration.queues[1];
    lasting.name = "lasting";
    lasting.prefix = "/lasting/";
    lasting.priority = 1;
    configuration.queues.push_back(lasting);
    cluster.setConfiguration(configuration);
    cluster.workers.runTime
        = [](const TaskKey& task) { return task.job.value() >= jobName(firstService) ? seconds(600) : seconds(1); };
    addWorkers(cluster, 40);
    auto step = simpleStep(2, 1000);
    step.longRunning = true;
    for (std::uint64_t n = 0; n < services; ++n)
        REQUIRE(cluster.submit("m0", "lasting", firstService + n, { .payload = {}, .steps = { step } }));
    const auto runningServices = [&] {
        const auto& starts = cluster.workers.starts();
        return std::count_if(starts.begin(), starts.end(),
            [](const auto& it) { return it.run.task.job.value() >= jobName(firstService) && !it.endedAt; });
    };
    REQUIRE(cluster.waitFor([&] { return runningServices() == 2 * services; }, seconds(15)));
    cluster.advance(seconds(3)); // the tickets run out
    cluster.admission.answerTime = milliseconds(580);
    for (std::uint64_t n = 1; n <= 400; ++n)
        REQUIRE(cluster.submit("m0", "urgent", n, { .payload = {}, .steps = { simpleStep(1, 1000) } }));
    for (std::uint64_t n = 401; n <= 440; ++n)
        REQUIRE(cluster.submit("m0", "batch", n, { .payload = {}, .steps = { simpleStep(1, 1000) } }));
    for (int i = 0; i < 40; ++i)
        cluster.workers.restart("w" + std::to_string(i));
    REQUIRE(runningServices() == 0);
    CHECK(cluster.waitFor([&] { return runningServices() == 2 * services; }, seconds(6)));
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("urgent steps get admission while many long-running steps wait for it", "[jobs][load]")
{
    // Guards against long-running steps that take all relays.
    JobCluster cluster(6);
    limitAdmission(cluster);
    addWorkers(cluster, 40);
    cluster.admission.answerTime = milliseconds(580);
    cluster.workers.runTime
        = [](const TaskKey& task) { return task.job == JobId(jobName(500)) ? milliseconds(500) : seconds(600); };
    auto step = simpleStep(1, 1000);
    step.longRunning = true;
    for (std::uint64_t n = 1; n <= 100; ++n)
        REQUIRE(cluster.submit("m0", "batch", n, { .payload = {}, .steps = { step } }));
    cluster.advance(seconds(3)); // all of them are overdue
    REQUIRE(cluster.submit("m0", "urgent", 500, { .payload = {}, .steps = { simpleStep(1, 1000) } }));
    CHECK(cluster.waitFor([&] { return cluster.workers.startsOf(taskOf(500, 0, 0)) > 0; }, milliseconds(700)));
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("steps whose result has expired start in the order of their age", "[jobs][load]")
{
    const TimePoint now(seconds(100));
    const ObjectiveOrder order(0.2);
    StepUrgency longer;
    longer.objective = now - seconds(20);
    longer.resultExpiry = now - seconds(10);
    longer.remaining = seconds(8);
    longer.releaseOrder = 1;
    StepUrgency shorter = longer;
    shorter.remaining = seconds(1);
    shorter.releaseOrder = 2;
    CHECK(order.before(longer, shorter, now));
}

TEST_CASE("an admission request that has few workers with free capacity also names busy ones", "[jobs][load]")
{
    // A call takes much longer than naming a further worker, and the answer stays valid. Guards against one call after
    // another that names a single worker on a nearly full pool.
    JobCluster cluster(1);
    auto configuration = simpleConfiguration();
    configuration.queues[1].admission = AdmissionPolicy { milliseconds(400), milliseconds(6), seconds(2) };
    cluster.setConfiguration(configuration);
    cluster.workers.runTime = [](const TaskKey& task) { return task.step == 0 ? seconds(4) : milliseconds(100); };
    addWorkers(cluster, 12);
    REQUIRE(cluster.submit("m0", "urgent", 1, { .payload = {}, .steps = { simpleStep(11, 8000) } }));
    cluster.advance(seconds(1));
    REQUIRE(cluster.submit("m0", "batch", 2, { .payload = {}, .steps = { simpleStep(4, 8000) } }));
    cluster.advance(seconds(1));
    REQUIRE_FALSE(cluster.admission.calls.empty());
    CHECK(cluster.admission.calls.front().request.workers.size() == 12);
}
