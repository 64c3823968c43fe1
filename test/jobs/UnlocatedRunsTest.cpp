// Upper limits of client accounts while a new owner does not know of all runs of the earlier ones.

#include "support/JobCluster.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace lycheeledge;
using namespace lycheeledge::jobs;
using namespace lycheeledge::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

Resources cpu(std::int64_t milliCpu)
{
    Resources result;
    result.milliCpu = milliCpu;
    return result;
}

/** @brief Cluster of two members, with the account "account-1" limited to 4 cores and an account without jobs. */
class LimitedCluster {
public:
    explicit LimitedCluster(int workers)
        : cluster(2)
    {
        auto configuration = simpleConfiguration();
        configuration.accounts[0].upperLimit = cpu(4000);
        ClientAccount quiet = configuration.accounts[0];
        quiet.id = AccountId("account-2");
        quiet.keys = { "key-2" };
        configuration.accounts.push_back(quiet);
        cluster.setConfiguration(configuration);
        cluster.workers.runTime = [](const TaskKey&) { return seconds(4); };
        for (int i = 0; i < workers; ++i)
            cluster.addWorker("w" + std::to_string(i), 8000);
        cluster.advance(seconds(2));
    }

    /** @brief Kills the owner. Until `answering` returns true for it, no worker's response reaches the next one. */
    std::string replaceOwner(std::function<bool(const std::string& worker)> answering)
    {
        const std::string owner = *cluster.owner();
        cluster.workers.losesPollResponses
            = [answering = std::move(answering)](const std::string& worker) { return !answering(worker); };
        cluster.kill(owner);
        REQUIRE(cluster.waitFor([this] { return cluster.owner().has_value(); }, seconds(4)));
        return *cluster.owner();
    }

    /** @brief Announces a capacity of half a core for a worker, less than any task. Its runs go on. */
    void shrink(const std::string& worker)
    {
        cluster.workers.setCapacity(worker, capacityOf(500));
        cluster.registerWorker(cluster.workers.record(worker));
        cluster.advance(seconds(1));
    }

    /** @brief Number of running tasks of jobs from `first` to `last`. */
    std::size_t running(std::uint64_t first, std::uint64_t last) const
    {
        const auto& starts = cluster.workers.starts();
        return static_cast<std::size_t>(std::count_if(starts.begin(), starts.end(), [&](const auto& it) {
            const std::string& job = it.run.task.job.value();
            return !it.endedAt && job >= jobName(first) && job <= jobName(last);
        }));
    }

    /** @brief Highest number of running tasks of jobs from `first` to `last` within `duration`. */
    std::size_t mostRunning(std::uint64_t first, std::uint64_t last, Duration duration)
    {
        std::size_t most = 0;
        for (Duration passed {}; passed < duration; passed += milliseconds(10)) {
            cluster.advance(milliseconds(10));
            most = std::max(most, running(first, last));
        }
        return most;
    }

    JobCluster cluster;
};

} // namespace

TEST_CASE("a new owner starts no jobs beyond an account's limit while a worker has not reported", "[takeover]")
{
    LimitedCluster limited(3);
    JobCluster& cluster = limited.cluster;
    REQUIRE(cluster.submit(*cluster.owner(), "urgent", 1, { .payload = {}, .steps = { simpleStep(4, 1000) } }));
    REQUIRE(cluster.waitFor([&] { return cluster.workers.running() == 4; }));
    REQUIRE(cluster.workers.runsOn("w0") > 0);
    const TimePoint silentUntil = cluster.runtime.now() + seconds(3);
    const auto owner = limited.replaceOwner(
        [&](const std::string& worker) { return worker != "w0" || cluster.runtime.now() >= silentUntil; });
    REQUIRE(cluster.submit(owner, "urgent", 2, { .payload = {}, .steps = { simpleStep(4, 1000) } }));
    CHECK(limited.mostRunning(1, 2, seconds(8)) == 4);
    CHECK(cluster.waitForState(2, "urgent", JobState::Completed, seconds(10)));
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("an account without earlier jobs is not held back by a worker that has not reported", "[takeover]")
{
    LimitedCluster limited(3);
    JobCluster& cluster = limited.cluster;
    REQUIRE(cluster.submit(*cluster.owner(), "urgent", 1, { .payload = {}, .steps = { simpleStep(4, 1000) } }));
    REQUIRE(cluster.waitFor([&] { return cluster.workers.running() == 4; }));
    const auto owner = limited.replaceOwner([](const std::string& worker) { return worker != "w0"; });
    const std::string body = "body-2";
    cluster.submissions.specs[body] = { .payload = {}, .steps = { simpleStep(4, 1000) } };
    (void)cluster.call(owner, CallVerb::Submit, "/urgent/" + jobName(2), body, "key-2");
    CHECK(cluster.waitFor([&] { return limited.running(2, 2) == 4; }, milliseconds(500)));
}

TEST_CASE("an account's limit holds while a worker that the owner lost in a takeover keeps its lease", "[takeover]")
{
    // The worker leaves the registry before it reports, so its capacity is unknown.
    LimitedCluster limited(3);
    JobCluster& cluster = limited.cluster;
    auto step = simpleStep(4, 1000);
    step.maxTasksPerWorker = 2;
    REQUIRE(cluster.submit(*cluster.owner(), "urgent", 1, { .payload = {}, .steps = { step } }));
    REQUIRE(cluster.waitFor([&] { return cluster.workers.running() == 4; }));
    std::string silent;
    for (const auto* name : { "w0", "w1", "w2" })
        silent = cluster.workers.runsOn(name) > 0 ? name : silent;
    cluster.unregisterWorker(silent);
    cluster.workers.runTime = [](const TaskKey&) { return seconds(20); };
    const auto owner = limited.replaceOwner([&](const std::string& worker) { return worker != silent; });
    REQUIRE(cluster.submit(owner, "urgent", 2, { .payload = {}, .steps = { simpleStep(4, 1000) } }));
    CHECK(limited.mostRunning(1, 2, seconds(8)) == 4);
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("an account's limit covers runs of a cancelled job until they have ended", "[takeover]")
{
    // The owner died before its stop orders arrived, and the next one does not know the sizes of the tasks.
    LimitedCluster limited(2);
    JobCluster& cluster = limited.cluster;
    cluster.workers.runTime = [](const TaskKey&) { return seconds(20); };
    const std::string owner = *cluster.owner();
    REQUIRE(cluster.submit(owner, "urgent", 1, { .payload = {}, .steps = { simpleStep(4, 1000) } }));
    REQUIRE(cluster.submit(owner, "urgent", 2, { .payload = {}, .steps = { simpleStep(4, 1000) } }));
    REQUIRE(cluster.waitFor([&] { return cluster.workers.running() == 4; }));
    cluster.addWorker("w2", 8000);
    cluster.advance(seconds(1));
    cluster.workers.setDisconnected("w0", true);
    cluster.workers.setDisconnected("w1", true);
    const auto reply = cluster.call(owner, CallVerb::Cancel, "/urgent/" + jobName(1));
    REQUIRE(cluster.waitFor([&] { return reply->has_value(); }, seconds(1)));
    cluster.kill(owner);
    cluster.workers.setDisconnected("w0", false);
    cluster.workers.setDisconnected("w1", false);
    CHECK(limited.mostRunning(1, 2, seconds(5)) == 4);
    CHECK(limited.running(2, 2) == 4);
}

TEST_CASE("an account's limit covers runs on a silent worker that has shrunk below them", "[takeover][capacity]")
{
    LimitedCluster limited(3);
    JobCluster& cluster = limited.cluster;
    cluster.workers.runTime = [](const TaskKey&) { return seconds(20); };
    auto step = simpleStep(4, 1000);
    step.maxTasksPerWorker = 2;
    REQUIRE(cluster.submit(*cluster.owner(), "urgent", 1, { .payload = {}, .steps = { step } }));
    REQUIRE(cluster.waitFor([&] { return cluster.workers.running() == 4; }));
    std::string silent;
    for (const auto* name : { "w0", "w1", "w2" })
        silent = cluster.workers.runsOn(name) == 2 ? name : silent;
    limited.shrink(silent);
    const auto owner = limited.replaceOwner([&](const std::string& worker) { return worker != silent; });
    REQUIRE(cluster.submit(owner, "urgent", 2, { .payload = {}, .steps = { simpleStep(4, 1000) } }));
    CHECK(limited.mostRunning(1, 2, seconds(6)) == 4);
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE(
    "an account's limit covers runs of a cancelled job on workers that have shrunk below them", "[takeover][capacity]")
{
    LimitedCluster limited(2);
    JobCluster& cluster = limited.cluster;
    cluster.workers.runTime = [](const TaskKey&) { return seconds(20); };
    cluster.workers.stopTime = seconds(3);
    const std::string owner = *cluster.owner();
    REQUIRE(cluster.submit(owner, "urgent", 1, { .payload = {}, .steps = { simpleStep(4, 1000) } }));
    REQUIRE(cluster.submit(owner, "urgent", 2, { .payload = {}, .steps = { simpleStep(4, 1000) } }));
    REQUIRE(cluster.waitFor([&] { return cluster.workers.running() == 4; }));
    cluster.addWorker("w2", 8000);
    cluster.advance(seconds(1));
    limited.shrink("w0");
    limited.shrink("w1");
    cluster.workers.setDisconnected("w0", true);
    cluster.workers.setDisconnected("w1", true);
    const auto reply = cluster.call(owner, CallVerb::Cancel, "/urgent/" + jobName(1));
    REQUIRE(cluster.waitFor([&] { return reply->has_value(); }, seconds(1)));
    cluster.kill(owner);
    cluster.workers.setDisconnected("w0", false);
    cluster.workers.setDisconnected("w1", false);
    CHECK(limited.mostRunning(1, 2, seconds(8)) == 4);
    CHECK(limited.running(2, 2) == 4);
}

TEST_CASE("a cancelled job holds back its account by no more than it ran", "[takeover]")
{
    // One of its tasks ran on a worker that stays silent; the others of the account go on.
    LimitedCluster limited(3);
    JobCluster& cluster = limited.cluster;
    cluster.workers.runTime = [](const TaskKey&) { return seconds(20); };
    const std::string owner = *cluster.owner();
    REQUIRE(cluster.submit(owner, "urgent", 1, { .payload = {}, .steps = { simpleStep(1, 1000) } }));
    REQUIRE(cluster.waitFor([&] { return cluster.workers.running() == 1; }));
    const auto reply = cluster.call(owner, CallVerb::Cancel, "/urgent/" + jobName(1));
    REQUIRE(cluster.waitFor([&] { return reply->has_value(); }, seconds(1)));
    cluster.advance(seconds(1));
    const auto next = limited.replaceOwner([](const std::string& worker) { return worker != "w0"; });
    REQUIRE(cluster.submit(next, "urgent", 2, { .payload = {}, .steps = { simpleStep(4, 1000) } }));
    CHECK(cluster.waitFor([&] { return limited.running(2, 2) == 3; }, milliseconds(500)));
    CHECK(limited.mostRunning(1, 2, seconds(3)) == 3);
}

TEST_CASE("an account's limit covers the idle CPU that a cancelled job uses on silent workers", "[takeover]")
{
    // Tasks on idle CPU reserve none, so the capacity of a worker does not bound what they use.
    LimitedCluster limited(2);
    JobCluster& cluster = limited.cluster;
    cluster.workers.runTime = [](const TaskKey&) { return seconds(20); };
    cluster.workers.stopTime = seconds(20);
    const std::string owner = *cluster.owner();
    auto step = simpleStep(4, 1000);
    step.usesIdleCpu = true;
    REQUIRE(cluster.submit(owner, "urgent", 1, { .payload = {}, .steps = { step } }));
    REQUIRE(cluster.waitFor([&] { return cluster.workers.running() == 4; }));
    limited.shrink("w0");
    limited.shrink("w1");
    cluster.addWorker("w2", 8000);
    cluster.advance(seconds(1));
    const auto reply = cluster.call(owner, CallVerb::Cancel, "/urgent/" + jobName(1));
    REQUIRE(cluster.waitFor([&] { return reply->has_value(); }, seconds(1)));
    const auto next = limited.replaceOwner([](const std::string& worker) { return worker == "w2"; });
    REQUIRE(cluster.submit(next, "urgent", 2, { .payload = {}, .steps = { simpleStep(4, 1000) } }));
    CHECK(limited.mostRunning(1, 2, seconds(3)) == 4);
}
