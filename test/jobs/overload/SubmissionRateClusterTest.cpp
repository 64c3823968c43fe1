// Submissions beyond the rate of their account, in the simulated job cluster.

#include "support/JobClusterHelpers.h"

#include <catch2/catch.hpp>

using namespace lycheeledge;
using namespace lycheeledge::jobs;
using namespace lycheeledge::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** @brief Adds "account-2" with "key-2" and a rate of 5 to simpleConfiguration(), and gives "account-1" this rate. */
ClusterConfiguration ratedConfiguration(std::optional<double> rate)
{
    auto result = simpleConfiguration();
    result.accounts[0].weight = 5;
    result.accounts[0].submissionsPerSecond = rate;
    result.accounts.push_back(result.accounts[0]);
    result.accounts[1].id = AccountId("account-2");
    result.accounts[1].keys = { "key-2" };
    result.accounts[1].submissionsPerSecond = 5;
    return result;
}

/** @brief Submits a job of one task of 1 core, without waiting for the reply. */
auto post(JobCluster& cluster, const std::string& queue, std::uint64_t n, const std::string& key = "key-1")
{
    const std::string body = "body-" + std::to_string(n);
    cluster.submissions.specs[body] = { .payload = {}, .steps = { simpleStep(1, 1000) } };
    return cluster.call(cluster.memberNames().back(), CallVerb::Submit, "/" + queue + "/" + jobName(n), body, key);
}

const JobScheduler& schedulerOf(JobCluster& cluster)
{
    return cluster.member(*cluster.owner()).node.session().scheduler();
}

bool isBeyondRate(JobCluster& cluster, std::uint64_t n)
{
    const Job* job = schedulerOf(cluster).job(JobId(jobName(n)));
    REQUIRE(job != nullptr);
    REQUIRE(job->accepted);
    return job->submission.beyondRate;
}

/** @brief Runs of a minute: the jobs outlast a takeover. */
void makeRunsLong(JobCluster& cluster)
{
    cluster.workers.runTime = [](const TaskKey&) { return seconds(60); };
}

} // namespace

TEST_CASE("an account at eight times its rate does not delay the jobs of another account", "[jobs][rate]")
{
    // Guards against surplus that goes before batch jobs of other accounts because its queue has the higher priority.
    JobCluster cluster(1);
    cluster.setConfiguration(ratedConfiguration(5));
    addWorkers(cluster, 2);
    std::map<JobId, TimePoint> posted; // jobs of the other account
    constexpr int submissions = 400; // in 10 s, each of half a core second, on 16 cores
    for (std::uint64_t n = 1; n <= submissions; ++n) {
        post(cluster, "urgent", n);
        if (n % 20 == 0) {
            for (const std::string queue : { "urgent", "batch" }) {
                const std::uint64_t id = 1000 + 2 * n + (queue == "batch" ? 1 : 0);
                post(cluster, queue, id, "key-2");
                posted[JobId(jobName(id))] = cluster.runtime.now();
            }
        }
        cluster.advance(milliseconds(25));
    }
    // Nothing is lost, and the surplus ends as soon as there is room.
    const auto& counters = schedulerOf(cluster).counters();
    CHECK(cluster.waitFor([&] { return counters.jobsCompleted == submissions + posted.size(); }, seconds(10)));
    CHECK(counters.submissionsBeyondRate >= 343); // 400 less a burst of 5 and 10 s at the rate
    CHECK(counters.submissionsBeyondRate <= 347);
    Duration longestWait {};
    for (const auto& start : cluster.workers.starts()) {
        if (const auto it = posted.find(start.run.task.job); it != posted.end())
            longestWait = std::max(longestWait, start.at - it->second);
    }
    INFO("longest wait in ms: " << std::chrono::duration_cast<milliseconds>(longestWait).count());
    CHECK(longestWait < milliseconds(700)); // one run of the surplus, and the commit of the job
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("submissions beyond the rate run on an idle fleet, also if their account is removed", "[jobs][rate]")
{
    JobCluster cluster(1);
    cluster.setConfiguration(ratedConfiguration(0));
    addWorkers(cluster, 1);
    for (std::uint64_t n = 1; n <= 8; ++n)
        post(cluster, "batch", n);
    CHECK(cluster.waitFor([&] { return cluster.workers.running() == 8; }, milliseconds(300)));
    for (std::uint64_t n = 9; n <= 16; ++n)
        post(cluster, "batch", n);
    cluster.advance(milliseconds(100));
    CHECK(isBeyondRate(cluster, 16));
    auto configuration = ratedConfiguration(0);
    configuration.version = 2;
    configuration.accounts.erase(configuration.accounts.begin());
    cluster.setConfiguration(configuration);
    CHECK(cluster.waitFor([&] { return schedulerOf(cluster).counters().jobsCompleted == 16; }, seconds(3)));
}

TEST_CASE("a next owner keeps the verdicts and the account's bucket, whatever its wall clock", "[jobs][rate]")
{
    // Guards against verdicts made again, and against a full bucket after each takeover.
    const std::int64_t offsetMs = GENERATE(0, -3600000);
    JobCluster cluster(2);
    cluster.setConfiguration(ratedConfiguration(0.02)); // a token in 50 s
    makeRunsLong(cluster);
    addWorkers(cluster, 1);
    REQUIRE(cluster.waitFor([&] { return cluster.owner().has_value(); }));
    const std::string first = *cluster.owner();
    for (std::uint64_t n = 1; n <= 4; ++n)
        post(cluster, "batch", n);
    post(cluster, "batch", 1); // a repetition takes no token
    cluster.advance(milliseconds(500));
    const auto verdicts = [&] {
        std::vector<bool> result;
        for (std::uint64_t n = 1; n <= 4; ++n)
            result.push_back(isBeyondRate(cluster, n));
        return result;
    };
    const auto before = verdicts();
    CHECK(std::count(before.begin(), before.end(), true) == 3);
    cluster.clockOffsetsMs[first == "m0" ? "m1" : "m0"] = offsetMs;
    cluster.kill(first);
    REQUIRE(cluster.waitFor([&] { return cluster.owner().has_value(); }));
    CHECK(verdicts() == before);
    post(cluster, "batch", 5);
    cluster.advance(milliseconds(500));
    CHECK(isBeyondRate(cluster, 5));
}

TEST_CASE("a submission whose owner is lost before the commit is evaluated anew", "[jobs][rate]")
{
    // Guards against a token that is used up by a submission which was never stored.
    JobCluster cluster(2);
    cluster.setConfiguration(ratedConfiguration(0.02));
    makeRunsLong(cluster);
    addWorkers(cluster, 1);
    REQUIRE(cluster.waitFor([&] { return cluster.owner().has_value(); }));
    const std::string first = *cluster.owner();
    cluster.store.setFault(first, FakeClusterStore::Fault::Silent);
    post(cluster, "batch", 1);
    cluster.advance(milliseconds(50));
    const Job* pending = cluster.member(first).node.session().scheduler().job(JobId(jobName(1)));
    REQUIRE(pending != nullptr);
    CHECK_FALSE(pending->accepted);
    cluster.kill(first);
    REQUIRE(cluster.waitFor([&] { return cluster.owner().has_value(); }));
    post(cluster, "batch", 1);
    cluster.advance(milliseconds(500));
    CHECK_FALSE(isBeyondRate(cluster, 1));
    post(cluster, "batch", 2);
    cluster.advance(milliseconds(500));
    CHECK(isBeyondRate(cluster, 2));
}

TEST_CASE("a submission that the store refuses returns its token", "[jobs][rate]")
{
    // Guards against an outage of the store that makes the submissions after it count as beyond the rate.
    JobCluster cluster(1);
    cluster.setConfiguration(ratedConfiguration(0.02));
    addWorkers(cluster, 1);
    cluster.store.setFault(FakeClusterStore::Fault::Refuse);
    const auto refused = post(cluster, "batch", 1);
    REQUIRE(cluster.waitFor([&] { return refused->has_value(); }, seconds(4)));
    REQUIRE((*refused)->kind == ReplyKind::Refused);
    cluster.store.setFault(FakeClusterStore::Fault::None);
    cluster.advance(seconds(4));
    post(cluster, "batch", 1);
    cluster.advance(milliseconds(500));
    CHECK_FALSE(isBeyondRate(cluster, 1));
}

TEST_CASE("overdue steps within the rate get admission before older ones beyond it", "[jobs][rate][load]")
{
    // Guards against a turn of the queue that goes to the oldest step although it is beyond the rate.
    JobCluster cluster(1);
    auto configuration = ratedConfiguration(0);
    configuration.queues[0].admission
        = AdmissionPolicy { milliseconds(30), std::chrono::microseconds(400), seconds(2) };
    configuration.queues[1].admission = AdmissionPolicy { milliseconds(400), milliseconds(6), seconds(2) };
    configuration.queues[0].openToAll = true; // without a rate
    cluster.setConfiguration(configuration);
    cluster.admission.answerTime = milliseconds(60);
    addWorkers(cluster, 20);
    for (std::uint64_t n = 1; n <= 300; ++n)
        post(cluster, "urgent", n, "");
    for (std::uint64_t n = 301; n <= 400; ++n)
        post(cluster, "batch", n);
    cluster.advance(milliseconds(100));
    post(cluster, "batch", 500, "key-2");
    const TaskKey task { JobId(jobName(500)), 0, 0, 0 };
    CHECK(cluster.waitFor([&] { return cluster.workers.startsOf(task) > 0; }, seconds(3)));
}
