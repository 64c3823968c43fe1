// Jobs on a simulated cluster with a manual clock: steps, limits, lost messages and worker failures.

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

const RecordedStart* firstStart(const JobCluster& cluster, const TaskKey& task)
{
    for (const auto& start : cluster.workers.starts()) {
        if (start.run.task == task)
            return &start;
    }
    return nullptr;
}

} // namespace

TEST_CASE("the steps of a job run in order, and the job completes", "[jobs]")
{
    JobCluster cluster(1);
    addWorkers(cluster, 3);
    REQUIRE(cluster.submit(
        "m0", "urgent", 1, { .payload = "x", .steps = { simpleStep(4, 1000), simpleStep(2, 2000, { 0 }) } }));
    REQUIRE(cluster.waitForState(1, "urgent", JobState::Completed, seconds(5)));
    CHECK(cluster.workers.starts().size() == 6);
    // No task of the second step may start before all tasks of the first have ended.
    const auto* second = firstStart(cluster, taskOf(1, 1, 0));
    REQUIRE(second != nullptr);
    for (std::uint32_t i = 0; i < 4; ++i)
        CHECK(*firstStart(cluster, taskOf(1, 0, i))->endedAt <= second->at);
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("workers are never overcommitted while more tasks wait than fit", "[jobs]")
{
    JobCluster cluster(1);
    cluster.workers.sizeOf = [](const TaskKey&) { return capacityOf(3000); };
    cluster.workers.sizeOf = [](const TaskKey&) {
        Resources size;
        size.milliCpu = 3000;
        return size;
    };
    addWorkers(cluster, 2);
    REQUIRE(cluster.submit("m0", "batch", 1, { .payload = {}, .steps = { simpleStep(20, 3000) } }));
    REQUIRE(cluster.waitForState(1, "batch", JobState::Completed, seconds(30)));
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("running tasks of an account never exceed its upper limit", "[jobs]")
{
    JobCluster cluster(1);
    auto configuration = simpleConfiguration();
    configuration.accounts[0].upperLimit.milliCpu = 4000;
    cluster.setConfiguration(configuration);
    addWorkers(cluster, 3);
    REQUIRE(cluster.submit("m0", "batch", 1, { .payload = {}, .steps = { simpleStep(10, 1000) } }));
    std::size_t most = 0;
    cluster.waitFor([&] {
        most = std::max(most, cluster.workers.running());
        return cluster.state("m0", "batch", 1) == JobState::Completed;
    });
    CHECK(most == 4);
}

TEST_CASE("a start whose response was lost is not carried out a second time", "[jobs]")
{
    // The run of the first order ends before the repeated order arrives, so the worker rejects the latter as stale.
    // Guards against treating this as a refusal and starting the task again after it has ended as done.
    JobCluster cluster(1);
    cluster.workers.runTime = [](const TaskKey&) { return milliseconds(100); };
    int orders = 0;
    cluster.workers.startFault = [&orders](const std::string&) {
        return orders++ == 0 ? FakeJobWorkers::OrderFault::AnswerLost : FakeJobWorkers::OrderFault::None;
    };
    addWorkers(cluster, 1);
    REQUIRE(cluster.submit("m0", "urgent", 1, { .payload = {}, .steps = { simpleStep(1, 1000) } }));
    REQUIRE(cluster.waitForState(1, "urgent", JobState::Completed, seconds(5)));
    CHECK(cluster.workers.startsOf(taskOf(1, 0, 0)) == 1);
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("orders that are carried out late start no task twice", "[jobs]")
{
    JobCluster cluster(1);
    int orders = 0;
    cluster.workers.startFault = [&orders](const std::string&) {
        return orders++ % 3 == 0 ? FakeJobWorkers::OrderFault::Late : FakeJobWorkers::OrderFault::None;
    };
    addWorkers(cluster, 3);
    REQUIRE(cluster.submit("m0", "urgent", 1, { .payload = {}, .steps = { simpleStep(9, 1000) } }));
    REQUIRE(cluster.waitForState(1, "urgent", JobState::Completed, seconds(30)));
    cluster.advance(seconds(10));
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("a job fails when a task reaches its maximum number of attempts", "[jobs]")
{
    JobCluster cluster(1);
    cluster.workers.endOf
        = [](const TaskKey& task, const std::string&) { return task.index == 1 ? EndKind::Failed : EndKind::Done; };
    addWorkers(cluster, 2);
    REQUIRE(cluster.submit("m0", "urgent", 1, { .payload = {}, .steps = { simpleStep(2, 1000) } }));
    REQUIRE(cluster.waitForState(1, "urgent", JobState::Failed, seconds(20)));
    CHECK(cluster.workers.startsOf(taskOf(1, 0, 1)) == 3);
    CHECK(cluster.workers.startsOf(taskOf(1, 0, 0)) == 1);
}

TEST_CASE("jobs complete although one worker fails every task", "[jobs]")
{
    JobCluster cluster(1);
    cluster.workers.endOf
        = [](const TaskKey&, const std::string& worker) { return worker == "w0" ? EndKind::Failed : EndKind::Done; };
    addWorkers(cluster, 4);
    for (std::uint64_t n = 1; n <= 10; ++n)
        REQUIRE(cluster.submit("m0", "urgent", n, { .payload = {}, .steps = { simpleStep(3, 1000) } }));
    for (std::uint64_t n = 1; n <= 10; ++n)
        CHECK(cluster.waitForState(n, "urgent", JobState::Completed, seconds(20)));
}

TEST_CASE("the tasks of a cancelled job stop, and the job stays cancelled", "[jobs]")
{
    JobCluster cluster(1);
    cluster.workers.runTime = [](const TaskKey&) { return seconds(60); };
    addWorkers(cluster, 2);
    REQUIRE(cluster.submit("m0", "batch", 1, { .payload = {}, .steps = { simpleStep(4, 1000) } }));
    REQUIRE(cluster.waitFor([&] { return cluster.workers.running() == 4; }));
    const auto reply = cluster.call("m0", CallVerb::Cancel, "/batch/" + jobName(1));
    REQUIRE(cluster.waitFor([&] { return reply->has_value(); }));
    CHECK((*reply)->kind == ReplyKind::Cancelled);
    CHECK(cluster.waitFor([&] { return cluster.workers.running() == 0; }, seconds(1)));
    cluster.advance(seconds(3));
    CHECK(cluster.workers.starts().size() == 4);
    CHECK(cluster.state("m0", "batch", 1) == JobState::Cancelled);
}

TEST_CASE("tasks of an unreachable worker start elsewhere only after its lease has ended", "[jobs]")
{
    JobCluster cluster(1);
    cluster.workers.runTime = [](const TaskKey&) { return seconds(3); };
    addWorkers(cluster, 2);
    REQUIRE(cluster.submit("m0", "batch", 1, { .payload = {}, .steps = { simpleStep(10, 1000) } }));
    REQUIRE(cluster.waitFor([&] { return cluster.workers.running() == 10; }));
    cluster.workers.setDisconnected("w0", true);
    cluster.unregisterWorker("w0");
    REQUIRE(cluster.waitForState(1, "batch", JobState::Completed, seconds(30)));
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("tasks are started again after their worker restarted under the same id", "[jobs]")
{
    JobCluster cluster(1);
    cluster.workers.runTime = [](const TaskKey&) { return seconds(2); };
    addWorkers(cluster, 1);
    REQUIRE(cluster.submit("m0", "batch", 1, { .payload = {}, .steps = { simpleStep(3, 1000) } }));
    REQUIRE(cluster.waitFor([&] { return cluster.workers.running() == 3; }));
    cluster.workers.restart("w0");
    REQUIRE(cluster.waitForState(1, "batch", JobState::Completed, seconds(10)));
    CHECK(cluster.workers.starts().size() == 6);
}

TEST_CASE("all members of a gang start in the same run on one rack, and one that ends as done completes it", "[jobs]")
{
    JobCluster cluster(1);
    addWorkers(cluster, 4);
    auto step = simpleStep(6, 2000);
    step.gang = true;
    step.sameRack = true;
    REQUIRE(cluster.submit("m0", "batch", 1, { .payload = {}, .steps = { step } }));
    REQUIRE(cluster.waitForState(1, "batch", JobState::Completed, seconds(5)));
    REQUIRE(cluster.workers.starts().size() == 6);
    // A rack has two workers, on which eight of its tasks fit.
    const bool firstRack = cluster.workers.starts()[0].worker < "w2";
    for (const auto& start : cluster.workers.starts()) {
        CHECK(start.run.run == cluster.workers.starts()[0].run.run);
        CHECK((start.worker < "w2") == firstRack);
    }
}

TEST_CASE("no member of a gang starts if the gang does not fit", "[jobs]")
{
    JobCluster cluster(1);
    addWorkers(cluster, 2);
    auto step = simpleStep(20, 2000);
    step.gang = true;
    REQUIRE(cluster.submit("m0", "batch", 1, { .payload = {}, .steps = { step } }));
    cluster.advance(seconds(3));
    CHECK(cluster.workers.starts().empty());
}

TEST_CASE("maxTasksPerWorker limits the tasks of a step on a worker", "[jobs]")
{
    JobCluster cluster(1);
    cluster.workers.runTime = [](const TaskKey&) { return seconds(60); };
    addWorkers(cluster, 3);
    auto step = simpleStep(5, 100);
    step.maxTasksPerWorker = 1;
    REQUIRE(cluster.submit("m0", "urgent", 1, { .payload = {}, .steps = { step } }));
    cluster.advance(seconds(3));
    CHECK(cluster.workers.starts().size() == 3);
}

TEST_CASE("a step runs only on workers with its required label", "[jobs]")
{
    JobCluster cluster(1);
    addWorkers(cluster, 4);
    auto step = simpleStep(4, 1000);
    step.requiredLabel = "r1";
    REQUIRE(cluster.submit("m0", "urgent", 1, { .payload = {}, .steps = { step } }));
    REQUIRE(cluster.waitForState(1, "urgent", JobState::Completed, seconds(5)));
    for (const auto& start : cluster.workers.starts())
        CHECK(start.worker >= "w2");
}

TEST_CASE("a long-running task is restarted after each failure, and its job does not fail", "[jobs]")
{
    JobCluster cluster(1);
    addWorkers(cluster, 2);
    auto step = simpleStep(1, 1000);
    step.longRunning = true;
    cluster.workers.endOf = [](const TaskKey&, const std::string&) { return EndKind::Failed; };
    REQUIRE(cluster.submit("m0", "batch", 1, { .payload = {}, .steps = { step } }));
    cluster.advance(seconds(20));
    CHECK(cluster.workers.starts().size() > 5);
    CHECK(cluster.state("m0", "batch", 1) == JobState::Running);
}

TEST_CASE("occurrences of a scheduled job start at their due times", "[jobs]")
{
    JobCluster cluster(1);
    addWorkers(cluster, 2);
    const std::int64_t first = cluster.unixMs() + 2000;
    JobSpec spec {
        .payload = {}, .steps = { simpleStep(1, 1000) }, .repetitions = 3, .firstDueUnixMs = first, .intervalMs = 1000
    };
    REQUIRE(cluster.submit("m0", "batch", 1, spec));
    REQUIRE(cluster.waitForState(1, "batch", JobState::Completed, seconds(10)));
    REQUIRE(cluster.workers.starts().size() == 3);
    for (std::uint32_t k = 0; k < 3; ++k) {
        const auto* start = firstStart(cluster, taskOf(1, 0, 0, k));
        REQUIRE(start != nullptr);
        const auto at = std::chrono::duration_cast<milliseconds>(start->at.time_since_epoch()).count();
        CHECK(at >= first + std::int64_t { 1000 } * k);
        CHECK(at < first + std::int64_t { 1000 } * k + 300);
    }
}

TEST_CASE("a draining worker receives no new tasks", "[jobs]")
{
    JobCluster cluster(1);
    addWorkers(cluster, 2);
    auto record = cluster.workers.record("w0", "r0");
    record.draining = true;
    cluster.registerWorker(record);
    cluster.advance(seconds(2)); // bound for noticing the change
    REQUIRE(cluster.submit("m0", "urgent", 1, { .payload = {}, .steps = { simpleStep(4, 1000) } }));
    REQUIRE(cluster.waitForState(1, "urgent", JobState::Completed, seconds(5)));
    for (const auto& start : cluster.workers.starts())
        CHECK(start.worker == "w1");
}

TEST_CASE("idle-CPU tasks are throttled while a task on the same worker exceeds its latency target", "[jobs]")
{
    JobCluster cluster(1);
    cluster.workers.runTime = [](const TaskKey&) { return seconds(60); };
    addWorkers(cluster, 1);
    auto latencyStep = simpleStep(1, 4000);
    latencyStep.longRunning = true;
    latencyStep.latencyTarget = milliseconds(100);
    auto idleCpuStep = simpleStep(1, 4000);
    idleCpuStep.usesIdleCpu = true;
    REQUIRE(cluster.submit("m0", "urgent", 1, { .payload = {}, .steps = { latencyStep } }));
    REQUIRE(cluster.submit("m0", "batch", 2, { .payload = {}, .steps = { idleCpuStep } }));
    REQUIRE(cluster.waitFor([&] { return cluster.workers.running() == 2; }));
    cluster.advance(seconds(2));
    CHECK(cluster.workers.paces.empty());
    cluster.workers.usageOf = [](const TaskKey& task) { return task.job == JobId(jobName(1)) ? 150.0 : 0.0; };
    REQUIRE(cluster.waitFor([&] { return !cluster.workers.paces.empty(); }, seconds(2)));
    CHECK(cluster.workers.paces.back().percent == 0);
    CHECK(cluster.workers.paces.back().task.job == JobId(jobName(2)));
    cluster.workers.usageOf = [](const TaskKey&) { return 10.0; };
    CHECK(cluster.waitFor([&] { return cluster.workers.paces.back().percent == 100; }, seconds(20)));
}

TEST_CASE("tickets are requested before a start, and renewed after they expire", "[jobs]")
{
    JobCluster cluster(1);
    auto configuration = simpleConfiguration();
    configuration.queues[0].admission
        = AdmissionPolicy { milliseconds(15), std::chrono::microseconds(200), seconds(2) };
    cluster.setConfiguration(configuration);
    cluster.admission.allows = [](const WorkerId& worker) { return worker.value() == "w1"; };
    addWorkers(cluster, 3);
    REQUIRE(cluster.submit("m0", "urgent", 1, { .payload = {}, .steps = { simpleStep(24, 1000) } }));
    cluster.workers.runTime = [](const TaskKey&) { return milliseconds(1500); };
    REQUIRE(cluster.waitForState(1, "urgent", JobState::Completed, seconds(20)));
    for (const auto& start : cluster.workers.starts())
        CHECK(start.worker == "w1");
    REQUIRE(cluster.admission.calls.size() >= 2);
    // Replies do not change, so later requests name only workers that were allowed or not named before.
    CHECK(cluster.admission.calls.back().request.workers == std::vector<WorkerId> { WorkerId("w1") });
}

TEST_CASE("a later step starts as soon as the earlier ones have ended, even while the store is down", "[jobs]")
{
    // Guards against missing the objective of short jobs in a store outage by waiting for the commit of each end.
    JobCluster cluster(1);
    addWorkers(cluster, 2);
    REQUIRE(cluster.submit(
        "m0", "urgent", 1, { .payload = {}, .steps = { simpleStep(2, 1000), simpleStep(2, 1000, { 0 }) } }));
    cluster.store.setFault(FakeClusterStore::Fault::Silent);
    cluster.advance(seconds(1));
    CHECK(cluster.workers.starts().size() == 4);
    CHECK(cluster.state("m0", "urgent", 1) == JobState::Running); // not reported as completed before that is stored
    cluster.store.setFault(FakeClusterStore::Fault::None);
    CHECK(cluster.waitForState(1, "urgent", JobState::Completed, seconds(3)));
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("tickets for the next urgent step are requested before the preceding step ends", "[jobs]")
{
    JobCluster cluster(1);
    auto configuration = simpleConfiguration();
    configuration.queues[0].admission
        = AdmissionPolicy { milliseconds(15), std::chrono::microseconds(200), seconds(2) };
    cluster.setConfiguration(configuration);
    cluster.admission.answerTime = milliseconds(60);
    addWorkers(cluster, 2);
    REQUIRE(cluster.submit(
        "m0", "urgent", 1, { .payload = {}, .steps = { simpleStep(2, 1000), simpleStep(2, 1000, { 0 }) } }));
    REQUIRE(cluster.waitForState(1, "urgent", JobState::Completed, seconds(5)));
    const auto* first = firstStart(cluster, taskOf(1, 0, 0));
    const auto* second = firstStart(cluster, taskOf(1, 1, 0));
    REQUIRE(second != nullptr);
    CHECK(second->at - *first->endedAt < milliseconds(30));
}

TEST_CASE("a step with maxTasksPerWorker requests more workers once the allowed ones are full", "[jobs]")
{
    // The step runs one task per worker. Guards against renewing the tickets of the same few workers again and again,
    // which left the other tasks waiting forever although there were free workers that no admission request named.
    JobCluster cluster(1);
    cluster.settings.scheduler.maxWorkersPerAdmissionCall = 3;
    cluster.startMember("m1");
    cluster.kill("m0");
    auto configuration = simpleConfiguration();
    configuration.queues[0].admission
        = AdmissionPolicy { milliseconds(15), std::chrono::microseconds(200), milliseconds(120) };
    cluster.setConfiguration(configuration);
    cluster.workers.runTime = [](const TaskKey&) { return seconds(60); };
    for (int i = 0; i < 9; ++i)
        cluster.addWorker("w" + std::to_string(i), 8000);
    cluster.advance(seconds(4));
    auto step = simpleStep(6, 1000);
    step.maxTasksPerWorker = 1;
    REQUIRE(cluster.submit("m1", "urgent", 1, { .payload = {}, .steps = { step } }));
    CHECK(cluster.waitFor([&] { return cluster.workers.running() == 6; }, seconds(10)));
}

TEST_CASE("urgent jobs run on the faster workers while these have free capacity", "[jobs][load]")
{
    // On a fleet that is a quarter full, tasks take 1.5 times as long on every third worker. An urgent step with a task
    // on such a worker misses an objective of 1.5 times its run time plus 0.3 s.
    JobCluster cluster(1);
    cluster.workers.speedOf = [](const std::string& id) { return id.back() % 3 == 0 ? 1 / 1.5 : 1.0; };
    cluster.workers.runTime = [](const TaskKey&) { return seconds(1); };
    addWorkers(cluster, 9);
    std::uint64_t job = 0;
    const auto runJob = [&](const std::string& queue) {
        REQUIRE(cluster.submit("m0", queue, ++job, { .payload = {}, .steps = { simpleStep(6, 2000) } }));
        REQUIRE(cluster.waitForState(job, queue, JobState::Completed, seconds(5)));
    };
    for (int i = 0; i < 12; ++i)
        runJob("urgent");
    const std::size_t startsBefore = cluster.workers.starts().size();
    for (int i = 0; i < 10; ++i)
        runJob("urgent");
    const auto& starts = cluster.workers.starts();
    CHECK(std::none_of(starts.begin() + static_cast<std::ptrdiff_t>(startsBefore), starts.end(),
        [&cluster](const auto& start) { return cluster.workers.speedOf(start.worker) < 1; }));
}

TEST_CASE("a stalled task restarts on another worker", "[jobs][load]")
{
    // The tasks of a faulty worker make no progress although the worker responds: without a restart the job never ends.
    JobCluster cluster(1);
    cluster.workers.speedOf = [](const std::string& id) { return id == "w0" ? 0.0 : 1.0; };
    addWorkers(cluster, 3);
    for (std::uint64_t n = 1; n <= 4; ++n)
        REQUIRE(cluster.submit("m0", "urgent", n, { .payload = {}, .steps = { simpleStep(6, 1000) } }));
    for (std::uint64_t n = 1; n <= 4; ++n)
        CHECK(cluster.waitForState(n, "urgent", JobState::Completed, seconds(8)));
    CHECK(cluster.log.counts["task_stalled"] > 0);
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("a gang that does not fit on its allowed workers requests more workers", "[jobs]")
{
    // Guards against renewing only the tickets of the same few workers: tickets expire every 2 s, so some always had to
    // be renewed, and no admission request named another worker.
    JobCluster cluster(1);
    auto configuration = simpleConfiguration();
    configuration.queues[1].admission
        = AdmissionPolicy { .perCall = milliseconds(400), .perWorker = milliseconds(5), .validity = seconds(2) };
    cluster.setConfiguration(configuration);
    cluster.admission.answerTime = milliseconds(500);
    // Every fifth worker is allowed; a request for 30 of 70 workers grants 6, on which 12 tasks of 4 cores fit.
    cluster.admission.allows = [](const WorkerId& id) { return std::stoi(id.value().substr(1)) % 5 == 0; };
    addWorkers(cluster, 70);
    auto step = simpleStep(22, 4000);
    step.gang = true;
    REQUIRE(cluster.submit("m0", "batch", 1, { .payload = {}, .steps = { step } }));
    CHECK(cluster.waitForState(1, "batch", JobState::Completed, seconds(15)));
}

TEST_CASE("a start order without a response is repeated within 0.3 s", "[jobs][load]")
{
    // A twentieth of the orders are carried out seconds late. An urgent step of 6 tasks has a margin of 0.3 s.
    JobCluster cluster(1);
    int orders = 0;
    cluster.workers.startFault = [&orders](const std::string&) {
        return orders++ == 2 ? FakeJobWorkers::OrderFault::Late : FakeJobWorkers::OrderFault::None;
    };
    addWorkers(cluster, 3);
    REQUIRE(cluster.submit("m0", "urgent", 1, { .payload = {}, .steps = { simpleStep(6, 1000) } }));
    const TimePoint submitted = cluster.runtime.now();
    REQUIRE(cluster.waitForState(1, "urgent", JobState::Completed, seconds(5)));
    CHECK(orders > 6);
    for (std::uint32_t i = 0; i < 6; ++i)
        CHECK(firstStart(cluster, taskOf(1, 0, i))->at - submitted < milliseconds(300));
    cluster.advance(seconds(10));
    CHECK(cluster.workers.starts().size() == 6);
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("urgent tasks avoid a worker after its first failure", "[jobs][load]")
{
    // A worker that fails everything is quarantined after failures of two jobs; the second one need not happen while
    // other workers have free capacity.
    JobCluster cluster(1);
    cluster.workers.endOf
        = [](const TaskKey&, const std::string& worker) { return worker == "w0" ? EndKind::Failed : EndKind::Done; };
    addWorkers(cluster, 4);
    for (std::uint64_t n = 1; n <= 3; ++n) {
        REQUIRE(cluster.submit("m0", "urgent", n, { .payload = {}, .steps = { simpleStep(4, 1000) } }));
        REQUIRE(cluster.waitForState(n, "urgent", JobState::Completed, seconds(5)));
    }
    const auto& starts = cluster.workers.starts();
    CHECK(std::count_if(starts.begin(), starts.end(), [](const auto& start) { return start.worker == "w0"; }) == 1);
}

TEST_CASE("a refused second start attempt does not mean that the first was refused", "[jobs]")
{
    // Guards against starting a task elsewhere while its first start order, whose response was lost, is carried out:
    // the ticket may expire between the two attempts, so that the second one is refused. Worker reports are lost
    // meanwhile.
    JobCluster cluster(1);
    addWorkers(cluster, 3);
    std::size_t sent = 0;
    TimePoint firstSent;
    cluster.workers.startFault = [&](const std::string&) {
        firstSent = sent == 0 ? cluster.runtime.now() : firstSent;
        return ++sent == 1 ? FakeJobWorkers::OrderFault::AnswerLost : FakeJobWorkers::OrderFault::None;
    };
    cluster.workers.losesPollResponses
        = [&](const std::string&) { return sent > 0 && cluster.runtime.now() - firstSent < seconds(2); };
    std::size_t carriedOut = 0;
    cluster.workers.refuses = [&carriedOut](const RunKey& run) -> std::optional<OrderOutcome> {
        if (run.run == 1 && ++carriedOut == 2)
            return OrderOutcome::TicketRejected;
        return std::nullopt;
    };
    cluster.workers.runTime = [](const TaskKey&) { return seconds(2); };
    REQUIRE(cluster.submit("m0", "urgent", 1, { .payload = {}, .steps = { simpleStep(1, 1000) } }));
    CHECK(cluster.waitForState(1, "urgent", JobState::Completed, seconds(10)));
    CHECK(cluster.workers.violations().empty());
}
