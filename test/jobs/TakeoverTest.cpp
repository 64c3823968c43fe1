// Loss of the owner: takeover, fencing, preserved state, and store outages.

#include "support/JobClusterHelpers.h"

#include <catch2/catch.hpp>

using namespace lycheeledge;
using namespace lycheeledge::jobs;
using namespace lycheeledge::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::string survivor(const JobCluster& cluster) { return cluster.memberNames().front(); }

} // namespace

TEST_CASE("another member takes over from a killed owner and continues its jobs", "[takeover]")
{
    JobCluster cluster(3);
    cluster.workers.runTime = [](const TaskKey&) { return seconds(4); };
    addWorkers(cluster, 3);
    const auto owner = cluster.owner();
    REQUIRE(owner.has_value());
    REQUIRE(cluster.submit(
        *owner, "batch", 1, { .payload = {}, .steps = { simpleStep(6, 1000), simpleStep(2, 1000, { 0 }) } }));
    REQUIRE(cluster.waitFor([&] { return cluster.workers.running() == 6; }));
    cluster.kill(*owner);
    // The lease of the dead owner lasts at most 2 s; recovery then takes a few calls to the store.
    REQUIRE(cluster.waitFor([&] { return cluster.owner().has_value(); }, seconds(3)));
    REQUIRE(cluster.waitForState(1, "batch", JobState::Completed, seconds(20)));
    CHECK(cluster.workers.starts().size() == 8); // the running tasks were adopted, not restarted
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("an accepted job survives the loss of all members", "[takeover]")
{
    JobCluster cluster(3);
    addWorkers(cluster, 2);
    for (std::uint64_t n = 1; n <= 5; ++n)
        REQUIRE(cluster.submit(
            "m1", "urgent", n, { .payload = {}, .steps = { simpleStep(3, 1000), simpleStep(1, 500, { 0 }) } }));
    for (const auto& name : cluster.memberNames())
        cluster.kill(name);
    cluster.advance(seconds(1));
    for (const auto* name : { "m0", "m1", "m2" })
        cluster.startMember(name);
    for (std::uint64_t n = 1; n <= 5; ++n)
        CHECK(cluster.waitForState(n, "urgent", JobState::Completed, seconds(30)));
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("a paused owner sends no orders after it was replaced", "[takeover]")
{
    JobCluster cluster(3);
    cluster.workers.runTime = [](const TaskKey&) { return milliseconds(700); };
    addWorkers(cluster, 3);
    const std::string owner = *cluster.owner();
    for (std::uint64_t n = 1; n <= 8; ++n)
        REQUIRE(cluster.submit(
            owner, "urgent", n, { .payload = {}, .steps = { simpleStep(6, 1500), simpleStep(6, 1500, { 0 }) } }));
    cluster.member(owner).runtime.pause();
    REQUIRE(cluster.waitFor([&] { return hasOtherOwner(cluster, owner); }, seconds(4)));
    cluster.advance(seconds(1));
    cluster.member(owner).runtime.resume();
    for (std::uint64_t n = 1; n <= 8; ++n)
        CHECK(cluster.waitForState(n, "urgent", JobState::Completed, seconds(30)));
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("an owner that wakes after its replacement starts no task on a worker that has forgotten the replacement",
    "[takeover][crash]")
{
    JobCluster cluster(2);
    cluster.workers.runTime = [](const TaskKey&) { return milliseconds(300); };
    addWorkers(cluster, 1);
    const std::string first = *cluster.owner();
    REQUIRE(cluster.submit(first, "batch", 1, { .payload = {}, .steps = { simpleStep(8, 1000) } }));
    REQUIRE(cluster.submit(first, "batch", 2, { .payload = {}, .steps = { simpleStep(1, 1000) } })); // w0 is full
    REQUIRE(cluster.workers.starts().size() == 8);
    cluster.member(first).runtime.pause(); // the ends of the first job are in the answer that it reads when it wakes
    REQUIRE(cluster.waitFor([&] { return hasOtherOwner(cluster, first); }, seconds(5)));
    REQUIRE(cluster.waitFor([&] { return cluster.workers.starts().size() == 9; }, seconds(3)));
    cluster.advance(seconds(1)); // the end of the second job is acknowledged
    const std::string second = first == "m0" ? "m1" : "m0";
    cluster.member(second).workers.isCutOff = [](const std::string&) { return true; };
    cluster.workers.restart("w0");
    cluster.member(first).runtime.resume();
    cluster.advance(seconds(2));
    CHECK(cluster.workers.starts().size() == 9);
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("the owner keeps starting known tasks while the store is down", "[takeover]")
{
    JobCluster cluster(2);
    cluster.workers.runTime = [](const TaskKey&) { return milliseconds(500); };
    addWorkers(cluster, 1);
    REQUIRE(cluster.submit("m0", "batch", 1, { .payload = {}, .steps = { simpleStep(40, 1000) } }));
    cluster.store.setFault(FakeClusterStore::Fault::Silent);
    const std::size_t before = cluster.workers.starts().size();
    cluster.advance(seconds(4));
    // Eight tasks run at a time, each for half a second.
    CHECK(cluster.workers.starts().size() >= before + 24);
    cluster.store.setFault(FakeClusterStore::Fault::None);
    CHECK(cluster.waitForState(1, "batch", JobState::Completed, seconds(20)));
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("writes that are applied late do not overwrite later ones", "[takeover]")
{
    JobCluster cluster(1);
    addWorkers(cluster, 2);
    REQUIRE(cluster.submit(
        "m0", "urgent", 1, { .payload = {}, .steps = { simpleStep(4, 1000), simpleStep(4, 1000, { 0 }) } }));
    cluster.store.setFault(FakeClusterStore::Fault::ExecuteLate);
    cluster.advance(milliseconds(600));
    cluster.store.setFault(FakeClusterStore::Fault::None);
    REQUIRE(cluster.waitForState(1, "urgent", JobState::Completed, seconds(20)));
    cluster.advance(seconds(5));
    // A late copy of an earlier commit would restore an earlier state, which the next owner would read.
    cluster.kill("m0");
    cluster.startMember("m0");
    REQUIRE(cluster.waitFor([&] { return cluster.owner().has_value(); }, seconds(5)));
    CHECK(cluster.state("m0", "urgent", 1) == JobState::Completed);
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("commits whose responses are lost still take effect", "[takeover]")
{
    JobCluster cluster(1);
    addWorkers(cluster, 2);
    cluster.store.setFault(FakeClusterStore::Fault::LoseAnswers);
    cluster.submissions.specs["x"] = { .payload = {}, .steps = { simpleStep(2, 1000) } };
    const auto reply = cluster.call("m0", CallVerb::Submit, "/urgent/" + jobName(1), "x");
    cluster.advance(milliseconds(500));
    cluster.store.setFault(FakeClusterStore::Fault::None);
    REQUIRE(cluster.waitFor([&] { return reply->has_value(); }, seconds(3)));
    CHECK((*reply)->kind == ReplyKind::Accepted);
    CHECK(cluster.waitForState(1, "urgent", JobState::Completed, seconds(5)));
}

TEST_CASE("an owner whose lease expires during a store outage keeps its epoch", "[takeover]")
{
    JobCluster cluster(1);
    addWorkers(cluster, 1);
    REQUIRE(cluster.owner().has_value());
    const Epoch epoch = cluster.member("m0").node.lease().epoch();
    cluster.store.setFault(FakeClusterStore::Fault::Refuse);
    cluster.advance(seconds(4));
    cluster.store.setFault(FakeClusterStore::Fault::None);
    cluster.advance(seconds(2));
    CHECK(cluster.member("m0").node.lease().epoch() == epoch);
    REQUIRE(cluster.submit("m0", "urgent", 1, { .payload = {}, .steps = { simpleStep(2, 1000) } }));
    CHECK(cluster.waitForState(1, "urgent", JobState::Completed, seconds(5)));
}

TEST_CASE("a planned stop hands over immediately", "[takeover]")
{
    JobCluster cluster(3);
    addWorkers(cluster, 2);
    const std::string owner = *cluster.owner();
    bool resigned = false;
    cluster.member(owner).node.resign([&resigned] { resigned = true; });
    REQUIRE(cluster.waitFor(
        [&] {
            const auto next = cluster.owner();
            return resigned && next && *next != owner;
        },
        milliseconds(500)));
    // The stopping member forwards its client calls to the new owner.
    REQUIRE(cluster.waitFor([&] { return cluster.member(owner).node.isReady(); }, seconds(1)));
    CHECK(cluster.submit(owner, "urgent", 1, { .payload = {}, .steps = { simpleStep(1, 1000) } }));
    CHECK(cluster.waitForState(1, "urgent", JobState::Completed, seconds(5)));
    CHECK(survivor(cluster) == "m0");
}

TEST_CASE("an end is acknowledged only after all earlier ends of its worker are stored", "[takeover]")
{
    // Each commit holds one job, and commits are far apart. Job 2 changes before job 1, so its snapshot is stored
    // first; it contains an end that the worker reported after the end of job 1. Acknowledging that end would lose the
    // end of job 1.
    JobCluster cluster(0);
    cluster.settings.ledger.commitInterval = milliseconds(1500);
    cluster.settings.ledger.maxEntries = 6;
    cluster.startMember("m0");
    cluster.startMember("m1");
    cluster.addWorker("w0", 2000);
    cluster.addWorker("w1", 2000);
    cluster.advance(seconds(4));
    const TimePoint end = cluster.runtime.now() + seconds(24);
    cluster.workers.runTime = [&cluster, end](const TaskKey& task) {
        const auto after = [&task] {
            if (task.job == JobId(jobName(1)))
                return milliseconds(20);
            if (task.job == JobId(jobName(3)))
                return milliseconds(-20);
            return milliseconds(task.index == 0 ? 5 : 40);
        }();
        return std::max<Duration>(milliseconds(10), end + after - cluster.runtime.now());
    };
    const std::string owner = *cluster.owner();
    auto spread = simpleStep(2, 1000);
    spread.maxTasksPerWorker = 1;
    REQUIRE(cluster.submit(owner, "batch", 2, { .payload = {}, .steps = { spread } }));
    cluster.advance(seconds(5));
    REQUIRE(cluster.submit(owner, "batch", 3, { .payload = {}, .steps = { simpleStep(1, 1000) } }));
    cluster.advance(seconds(5));
    REQUIRE(cluster.submit(
        owner, "batch", 1, { .payload = {}, .steps = { simpleStep(1, 1000), simpleStep(1, 1000, { 0 }) } }));
    REQUIRE(cluster.waitFor([&] { return cluster.workers.running() == 4; }));
    const auto workerOf = [&cluster](std::uint64_t job, std::uint32_t index) {
        for (const auto& start : cluster.workers.starts()) {
            if (start.run.task.job == JobId(jobName(job)) && start.run.task.index == index)
                return start.worker;
        }
        return std::string();
    };
    REQUIRE(workerOf(1, 0) == workerOf(2, 1));
    cluster.advance(end + milliseconds(2200) - cluster.runtime.now());
    cluster.kill(owner);
    CHECK(cluster.waitForState(1, "batch", JobState::Completed, seconds(30)));
    CHECK(cluster.waitForState(2, "batch", JobState::Completed, seconds(30)));
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("failures count as attempts in whatever order a new owner receives them", "[takeover]")
{
    // The owner cannot store the failures of two runs. The next owner reads them from the workers' reports, the later
    // run first; counting only runs with a higher number than the last counted one would allow a fourth attempt. The
    // timeouts below determine the order in which the ends become known.
    JobCluster cluster(0);
    cluster.settings.scheduler.startTimeout = milliseconds(300);
    cluster.settings.scheduler.stopTimeout = milliseconds(300);
    cluster.settings.scheduler.link.pollTimeout = milliseconds(400);
    cluster.startMember("m0");
    cluster.startMember("m1");
    cluster.addWorker("w0", 8000);
    cluster.addWorker("w1", 8000);
    cluster.advance(seconds(2));
    const std::string owner = *cluster.owner();
    const JobId failing(jobName(1));
    cluster.workers.endOf = [failing](const TaskKey& task, const std::string&) {
        return task.job == failing ? EndKind::Failed : EndKind::Done;
    };
    cluster.workers.runTime
        = [failing](const TaskKey& task) { return task.job == failing ? milliseconds(300) : milliseconds(60000); };
    REQUIRE(cluster.submit(owner, "urgent", 9, { .payload = {}, .steps = { simpleStep(1, 1000) } }));
    REQUIRE(cluster.waitFor([&] { return cluster.workers.running() == 1; }));
    REQUIRE(cluster.workers.starts().back().worker == "w0");
    REQUIRE(cluster.submit(owner, "urgent", 1, { .payload = {}, .steps = { simpleStep(1, 1000) } }));
    cluster.store.setFault(owner, FakeClusterStore::Fault::Silent);
    const TaskKey task { failing, 0, 0, 0 };
    REQUIRE(cluster.waitFor([&] { return cluster.workers.startsOf(task) == 1; }));
    REQUIRE(cluster.workers.starts().back().worker == "w1");
    cluster.advance(milliseconds(310)); // the worker has recorded the end
    cluster.workers.setDisconnected("w1", true);
    REQUIRE(cluster.waitFor([&] { return cluster.workers.startsOf(task) == 2; }));
    REQUIRE(cluster.workers.starts().back().worker == "w0");
    cluster.workers.setDisconnected("w1", false);
    cluster.advance(seconds(30));
    CHECK(cluster.workers.startsOf(task) == 3);
}

TEST_CASE("a member that restarts ends the lease of its earlier process", "[takeover]")
{
    // Otherwise recovery from the loss of all processes has to wait for the full time to live of the lease.
    JobCluster cluster(1);
    addWorkers(cluster, 1);
    REQUIRE(cluster.owner().has_value());
    cluster.advance(milliseconds(1000));
    cluster.kill("m0");
    cluster.startMember("m0");
    CHECK(cluster.waitFor([&] { return cluster.owner().has_value(); }, milliseconds(400)));
}

TEST_CASE("calls in progress at the loss of the owner are forwarded to the next one", "[takeover]")
{
    JobCluster cluster(3);
    addWorkers(cluster, 2);
    const std::string owner = *cluster.owner();
    const std::string other = cluster.memberNames().front() == owner ? "m1" : cluster.memberNames().front();
    cluster.submissions.specs["x"] = { .payload = {}, .steps = { simpleStep(2, 1000) } };
    const auto reply = cluster.call(other, CallVerb::Submit, "/urgent/" + jobName(1), "x");
    cluster.kill(owner);
    REQUIRE(cluster.waitFor([&] { return reply->has_value(); }, seconds(3)));
    CHECK((*reply)->kind == ReplyKind::Accepted);
    CHECK(cluster.waitFor([&] { return cluster.state(other, "urgent", 1) == JobState::Completed; }, seconds(10)));
    CHECK(cluster.workers.starts().size() == 2);
}

TEST_CASE("a run of a later step is adopted before the ends of earlier steps are known", "[takeover]")
{
    // The previous owner had received those ends but could not store them. Their worker may report after the worker of
    // the later step.
    JobCluster cluster(2);
    cluster.addWorker("w0", 1000);
    cluster.addWorker("w1", 1000);
    cluster.advance(seconds(2));
    cluster.workers.runTime
        = [](const TaskKey& task) { return task.step == 0 ? milliseconds(300) : milliseconds(6000); };
    const std::string owner = *cluster.owner();
    REQUIRE(cluster.submit(
        owner, "urgent", 1, { .payload = {}, .steps = { simpleStep(2, 1000), simpleStep(1, 1000, { 0 }) } }));
    REQUIRE(cluster.waitFor([&] { return cluster.workers.running() == 2; }));
    cluster.store.setFault(owner, FakeClusterStore::Fault::Silent);
    REQUIRE(cluster.waitFor([&] { return cluster.workers.starts().size() == 3; }));
    cluster.kill(owner);
    REQUIRE(cluster.waitForState(1, "urgent", JobState::Completed, seconds(15)));
    CHECK(cluster.workers.starts().size() == 3);
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("a worker gets no tasks while runs of unknown jobs still occupy it", "[takeover]")
{
    // The job was cancelled, and the owner died before the stop orders arrived. The next owner does not know the sizes
    // of its tasks.
    JobCluster cluster(2);
    cluster.workers.sizeOf = [](const TaskKey& task) {
        Resources size;
        size.milliCpu = task.job == JobId(jobName(1)) ? 8000 : 1000;
        return size;
    };
    cluster.addWorker("w0", 8000);
    cluster.advance(seconds(2));
    cluster.workers.runTime = [](const TaskKey&) { return seconds(20); };
    const std::string owner = *cluster.owner();
    REQUIRE(cluster.submit(owner, "urgent", 1, { .payload = {}, .steps = { simpleStep(1, 8000) } }));
    REQUIRE(cluster.submit(owner, "urgent", 2, { .payload = {}, .steps = { simpleStep(8, 1000) } }));
    REQUIRE(cluster.waitFor([&] { return cluster.workers.running() == 1; }));
    cluster.workers.setDisconnected("w0", true); // the stop order does not arrive
    const auto reply = cluster.call(owner, CallVerb::Cancel, "/urgent/" + jobName(1));
    REQUIRE(cluster.waitFor([&] { return reply->has_value(); }, seconds(1)));
    cluster.kill(owner);
    cluster.workers.setDisconnected("w0", false);
    REQUIRE(cluster.waitFor([&] { return cluster.workers.running() == 8; }, seconds(10)));
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("a planned stop under load hands over immediately", "[takeover]")
{
    // Ends arrive faster than they can be committed, so there are always pending changes.
    JobCluster cluster(2);
    addWorkers(cluster, 8);
    std::uint64_t n = 0;
    cluster.workers.runTime = [&n](const TaskKey&) { return milliseconds(100 + 7 * (n++ % 40)); };
    for (std::uint64_t job = 1; job <= 40; ++job)
        REQUIRE(cluster.submit("m0", "urgent", job, { .payload = {}, .steps = { simpleStep(60, 1000) } }));
    const std::string owner = *cluster.owner();
    bool resigned = false;
    cluster.member(owner).node.resign([&resigned] { resigned = true; });
    cluster.advance(milliseconds(200));
    CHECK(resigned);
    CHECK(cluster.waitFor([&] { return hasOtherOwner(cluster, owner); }, milliseconds(500)));
}

TEST_CASE("a planned stop does not wait for a store that does not answer", "[takeover]")
{
    JobCluster cluster(1);
    addWorkers(cluster, 1);
    cluster.submissions.specs["x"] = { .payload = {}, .steps = { simpleStep(1, 1000) } };
    cluster.store.setFault(FakeClusterStore::Fault::Silent);
    (void)cluster.call("m0", CallVerb::Submit, "/urgent/" + jobName(1), "x");
    cluster.advance(milliseconds(50));
    bool resigned = false;
    cluster.member("m0").node.resign([&resigned] { resigned = true; });
    cluster.advance(seconds(1));
    CHECK(resigned);
}

TEST_CASE("calls in progress are answered when a stopping member shuts down", "[takeover]")
{
    // Guards against closing client connections without a response after a planned stop while there is no owner.
    JobCluster cluster(2);
    addWorkers(cluster, 1);
    const std::string owner = *cluster.owner();
    const std::string other = owner == "m0" ? "m1" : "m0";
    cluster.member(other).node.resign([] {});
    cluster.kill(owner);
    cluster.submissions.specs["x"] = { .payload = {}, .steps = { simpleStep(1, 1000) } };
    const auto reply = cluster.call(other, CallVerb::Submit, "/urgent/" + jobName(1), "x");
    cluster.member(other).node.endCalls();
    REQUIRE(reply->has_value());
    CHECK((*reply)->kind == ReplyKind::Unknown); // the lost owner may have stored it
    const auto late = cluster.call(other, CallVerb::Submit, "/urgent/" + jobName(2), "x");
    REQUIRE(late->has_value());
    CHECK((*late)->kind == ReplyKind::Refused);
}

TEST_CASE("runs adopted by a new owner do not make other runs appear slow", "[takeover]")
{
    // Guards against using the time since adoption as the run time of a task: the other tasks of the step would
    // repeatedly be stopped as too slow.
    JobCluster cluster(2);
    addWorkers(cluster, 3);
    cluster.workers.runTime = [](const TaskKey& task) { return seconds(task.index < 6 ? 4 : 9); };
    REQUIRE(cluster.submit("m0", "batch", 1, { .payload = {}, .steps = { simpleStep(12, 1000) } }));
    REQUIRE(cluster.waitFor([&] { return cluster.workers.running() == 12; }));
    cluster.advance(milliseconds(1500));
    cluster.kill(*cluster.owner());
    CHECK(cluster.waitForState(1, "batch", JobState::Completed, seconds(20)));
    CHECK(cluster.workers.starts().size() == 12);
}

TEST_CASE("tasks of lost workers restart early once the last owner is known to have stopped", "[takeover]")
{
    // Guards against waiting 13 s for an owner that might only be disconnected although its VM already runs a new
    // process.
    JobCluster cluster(2);
    addWorkers(cluster, 3);
    auto step = simpleStep(3, 1000);
    step.longRunning = true;
    step.maxTasksPerWorker = 1;
    cluster.workers.runTime = [](const TaskKey&) { return seconds(600); };
    REQUIRE(cluster.submit("m0", "batch", 1, { .payload = {}, .steps = { step } }));
    REQUIRE(cluster.waitFor([&] { return cluster.workers.running() == 3; }));
    cluster.addWorker("w3", 8000);
    cluster.advance(seconds(1));
    const std::string owner = *cluster.owner();
    cluster.kill(owner);
    cluster.workers.restart("w0");
    cluster.workers.setDisconnected("w0", true);
    cluster.unregisterWorker("w0");
    cluster.startMember(owner);
    // The time of a takeover plus a lease of 5 s, which the last owner may have renewed just before it died.
    CHECK(cluster.waitFor([&] { return cluster.workers.running() == 3; }, seconds(9)));
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("a new owner does not wait for workers that had left before without runs", "[takeover]")
{
    // The last owner's VM is gone, so whether it has stopped is known only after 8 s.
    JobCluster cluster(2);
    cluster.workers.runTime = [](const TaskKey&) { return seconds(1); };
    addWorkers(cluster, 2);
    cluster.workers.setDisconnected("w0", true);
    cluster.unregisterWorker("w0");
    REQUIRE(cluster.waitFor([&] { return cluster.log.counts["worker_unregistered"] > 0; }, seconds(2)));
    REQUIRE(cluster.waitFor([&] { return cluster.log.counts["worker_reachability"] > 2; }, seconds(5)));
    cluster.advance(milliseconds(100)); // for the commit
    REQUIRE(cluster.submit("m0", "batch", 1, { .payload = {}, .steps = { simpleStep(24, 1000) } }));
    REQUIRE(cluster.waitFor([&] { return cluster.workers.running() == 8; }));
    REQUIRE(cluster.log.counts["worker_lost"] == 0);
    cluster.kill(*cluster.owner());
    CHECK(cluster.waitForState(1, "batch", JobState::Completed, seconds(8)));
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("a worker that left without runs receives orders again after it has come back", "[takeover]")
{
    JobCluster cluster(1);
    addWorkers(cluster, 1);
    cluster.workers.setDisconnected("w0", true);
    cluster.unregisterWorker("w0");
    REQUIRE(cluster.waitFor([&] { return cluster.log.counts["worker_reachability"] > 1; }, seconds(5)));
    cluster.advance(milliseconds(100));
    cluster.workers.setDisconnected("w0", false);
    cluster.registerWorker(cluster.workers.record("w0"));
    REQUIRE(cluster.submit("m0", "urgent", 1, { .payload = {}, .steps = { simpleStep(1, 1000) } }));
    CHECK(cluster.waitForState(1, "urgent", JobState::Completed, seconds(4)));
}

TEST_CASE("a gang of which one member is stored as done is done as a whole", "[takeover]")
{
    // Its other members were about to end when the owner changed. Guards against starting one of them again: it would
    // wait for the others in vain, run after run.
    Job job;
    job.id = JobId(jobName(1));
    auto step = simpleStep(3, 1000);
    step.gang = true;
    job.submission.spec = { .payload = {}, .steps = { step, simpleStep(2, 1000) } };
    ProgressRecord record;
    record.state = JobState::Running;
    const TaskProgress done { 1, true, {}, "" };
    record.open = { { 0, { { {}, false, { done } }, { {}, false, { done } } } } };
    job.restore(record, TimePoint(seconds(1)));
    CHECK(job.open.at(0).steps[0].isDone());
    CHECK(job.open.at(0).steps[1].done == 1); // not a gang
}
