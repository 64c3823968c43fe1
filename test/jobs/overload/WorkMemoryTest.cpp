// Bound of the memory of accepted jobs.

#include "support/JobClusterHelpers.h"

#include <lycheeledge/jobs/overload/WorkMemory.h>

#include <catch2/catch.hpp>

using namespace lycheeledge;
using namespace lycheeledge::jobs;
using namespace lycheeledge::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

ClusterConfiguration twoAccounts()
{
    auto result = simpleConfiguration();
    result.accounts[0].weight = 1;
    result.accounts.push_back({ .id = AccountId("account-2"),
        .keys = { "key-2" },
        .weight = 1,
        .upperLimit = {},
        .submissionsPerSecond = std::nullopt });
    return result;
}

void restart(JobCluster& cluster, const std::string& member)
{
    cluster.kill(member);
    cluster.startMember(member);
}

/** @brief Submits jobs that no worker can run until one is refused, at most 1000. @return number of accepted ones. */
int fill(JobCluster& cluster, std::uint64_t firstJob, std::size_t payloadBytes)
{
    for (int n = 0; n < 1000; ++n) {
        const JobSpec spec { .payload = std::string(payloadBytes, 'x'), .steps = { simpleStep(10, 1000000) } };
        if (!cluster.submit("m0", "batch", firstJob + static_cast<std::uint64_t>(n), spec))
            return n;
    }
    return 1000;
}

} // namespace

TEST_CASE("an account may always use its part of the memory, and all stay within the limit", "[memory]")
{
    const auto configuration = twoAccounts();
    const AccountId one = configuration.accounts[0].id;
    const AccountId two = configuration.accounts[1].id;
    WorkMemory memory(1000); // parts of 250
    CHECK(memory.admits(one, 750, configuration));
    CHECK_FALSE(memory.admits(one, 751, configuration));
    memory.replace(one, 0, 750);
    CHECK_FALSE(memory.admits(one, 1, configuration));
    CHECK(memory.admits(two, 250, configuration));
    CHECK_FALSE(memory.admits(two, 251, configuration));
    CHECK_FALSE(memory.admits(AccountId("other"), 1, configuration));
    memory.replace(one, 750, 300);
    CHECK(memory.admits(two, 700, configuration));
    CHECK_FALSE(memory.admits(two, 701, configuration));
    memory.replace(one, 300, 0);
    CHECK(memory.used() == 0);
}

TEST_CASE("work beyond the limit that earlier owners accepted leaves accounts within their part some room", "[memory]")
{
    const auto configuration = twoAccounts();
    WorkMemory memory(1000);
    memory.replace(configuration.accounts[0].id, 0, 1400);
    CHECK_FALSE(memory.admits(configuration.accounts[0].id, 1, configuration));
    CHECK(memory.admits(configuration.accounts[1].id, 100, configuration));
    CHECK_FALSE(memory.admits(configuration.accounts[1].id, 101, configuration));
}

// Guards against accepted jobs that together exceed the memory of the VM, whatever their kind.
TEST_CASE("submissions are refused while accepted work takes the memory", "[memory]")
{
    JobCluster cluster(1);
    cluster.settings.scheduler.maxWorkBytes = 1 << 20;
    restart(cluster, "m0");
    cluster.setConfiguration(twoAccounts());
    addWorkers(cluster, 1);
    const int accepted = fill(cluster, 1, 4000);
    CHECK(accepted > 50);
    CHECK(accepted < 250);
    const auto& scheduler = cluster.member("m0").node.session().scheduler();
    CHECK(scheduler.workMemory().used() <= scheduler.workMemory().limit());
    CHECK(cluster.member("m0").node.session().service().counters().refusedForMemory == 1);

    // Another account still has its part, and its jobs run.
    cluster.submissions.specs["small"] = { .payload = {}, .steps = { simpleStep(1, 1000) } };
    const auto reply = cluster.call("m0", CallVerb::Submit, "/batch/" + jobName(5000), "small", "key-2");
    cluster.advance(seconds(3));
    REQUIRE(reply->has_value());
    CHECK((*reply)->kind == ReplyKind::Accepted);
    const auto refused = cluster.call("m0", CallVerb::Submit, "/batch/" + jobName(5001), "small", "key-1");
    cluster.advance(seconds(1));
    REQUIRE(refused->has_value());
    CHECK((*refused)->kind == ReplyKind::Accepted); // a small job still fits
    CHECK(cluster.waitForState(5000, "batch", JobState::Completed, seconds(10)));
}

TEST_CASE("memory is free again once jobs have ended and are forgotten", "[memory]")
{
    JobCluster cluster(1);
    cluster.settings.scheduler.maxWorkBytes = 1 << 20;
    cluster.settings.scheduler.statusRetention = seconds(10);
    restart(cluster, "m0");
    const int accepted = fill(cluster, 1, 4000);
    const auto& memory = cluster.member("m0").node.session().scheduler().workMemory();
    for (int n = 0; n < accepted; ++n)
        (void)cluster.call("m0", CallVerb::Cancel, "/batch/" + jobName(static_cast<std::uint64_t>(n) + 1));
    cluster.advance(seconds(5));
    CHECK(memory.used() < memory.limit() / 4);
    cluster.advance(seconds(15));
    CHECK(memory.used() == 0);
    CHECK(fill(cluster, 3000, 4000) >= accepted);
}

// Guards against a next owner that counts the recovered work wrong, and so accepts without bound or nothing more.
TEST_CASE("the next owner counts the work that it recovers", "[memory][takeover]")
{
    JobCluster cluster(2);
    cluster.settings.scheduler.maxWorkBytes = 1 << 20;
    restart(cluster, "m0");
    restart(cluster, "m1");
    cluster.advance(seconds(3));
    REQUIRE(fill(cluster, 1, 10) > 0);
    const std::string first = *cluster.owner();
    const std::size_t used = cluster.member(first).node.session().scheduler().workMemory().used();
    cluster.kill(first);
    REQUIRE(cluster.waitFor([&] { return hasOtherOwner(cluster, first); }, seconds(20)));
    const std::string next = *cluster.owner();
    CHECK(cluster.member(next).node.session().scheduler().workMemory().used() == used);
}

// Guards against overdue occurrences of many jobs that together exceed the memory, each within its own limit.
TEST_CASE("overdue occurrences are released within the memory of accepted work", "[memory]")
{
    JobCluster cluster(1);
    cluster.settings.scheduler.maxWorkBytes = 1 << 20;
    restart(cluster, "m0");
    cluster.advance(seconds(3));
    JobSpec spec { .payload = {}, .steps = { simpleStep(1, 1000) } };
    spec.repetitions = 1000;
    spec.firstDueUnixMs = cluster.unixMs() - 1000000;
    spec.intervalMs = 1000;
    for (std::uint64_t n = 1; n <= 10; ++n)
        REQUIRE(cluster.submit("m0", "batch", n, spec));
    cluster.advance(seconds(2));
    const auto& scheduler = cluster.member("m0").node.session().scheduler();
    CHECK(scheduler.workMemory().used() <= scheduler.workMemory().limit());
    for (std::uint64_t n = 1; n <= 10; ++n)
        CHECK_FALSE(scheduler.job(JobId(jobName(n)))->open.empty());
    CHECK(cluster.submit("m0", "batch", 11, { .payload = {}, .steps = { simpleStep(1, 1000) } }));
}

// Guards against a next owner on a smaller VM, or after a version without a limit, that cannot hold what was accepted.
TEST_CASE("payloads beyond the memory of the next owner are read when their tasks start", "[memory][takeover]")
{
    JobCluster cluster(1);
    cluster.advance(seconds(3));
    constexpr std::size_t jobs = 40;
    const auto payloadOf = [](std::size_t n) { return std::string(4000, static_cast<char>('a' + n % 26)); };
    for (std::size_t n = 1; n <= jobs; ++n) {
        auto step = simpleStep(static_cast<std::uint32_t>(n % 5 + 1), 1000);
        step.gang = n % 7 == 0;
        REQUIRE(cluster.submit(
            "m0", "batch", n, { .payload = payloadOf(n), .steps = { step, simpleStep(1, 1000, { 0 }) } }));
    }
    cluster.kill("m0");
    cluster.settings.scheduler.maxWorkBytes = 64 << 10;
    cluster.startMember("m1");
    REQUIRE(cluster.waitFor([&] { return cluster.owner() == "m1"; }, seconds(20)));
    const auto& scheduler = cluster.member("m1").node.session().scheduler();
    CHECK(scheduler.jobCount() == jobs);
    CHECK(scheduler.workMemory().used() < jobs * 4000);
    addWorkers(cluster, 2);
    cluster.store.setFault("m1", FakeClusterStore::Fault::Refuse); // the reads that fail are repeated
    cluster.advance(milliseconds(300));
    cluster.store.setFault("m1", FakeClusterStore::Fault::None);
    for (std::size_t n = 1; n <= jobs; ++n)
        CHECK(cluster.waitFor([&] { return cluster.state("m1", "batch", n) == JobState::Completed; }, seconds(60)));
    for (const auto& start : cluster.workers.starts())
        CHECK(start.payload == payloadOf(std::stoul(start.run.task.job.value())));
    CHECK(cluster.workers.violations().empty());
}
