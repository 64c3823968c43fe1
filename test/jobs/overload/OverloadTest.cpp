// Submissions to a cluster that cannot serve all of them in time.

#include "support/JobClusterHelpers.h"
#include "support/LoadPlay.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace lycheeledge;
using namespace lycheeledge::jobs;
using namespace lycheeledge::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Three times the objective of a job of two steps of 0.5 s: 1.5 x 1 s + 0.3 s.
constexpr Duration usefulTime = milliseconds(5400);

/** @brief Jobs of two steps of two tasks of one core for 0.5 s each; 16 cores serve eight of them a second. */
Load twoStepLoad(Duration interval, Duration length)
{
    Load load;
    load.spec = { .payload = {}, .steps = { simpleStep(2, 1000), simpleStep(2, 1000, { 0 }) } };
    load.interval = interval;
    load.length = length;
    return load;
}

void print(const char* name, const LoadOutcome& outcome)
{
    std::cout << name << ": " << outcome.submitted << " submitted, " << outcome.useful << " useful, " << outcome.failed
              << " failed, " << outcome.refused << " refused, " << outcome.unknown << " unknown, Retry-After "
              << outcome.shortestRetryS << " to " << outcome.longestRetryS << " s\n";
}

/** @brief Restarts the members of a new cluster with settings that refuse jobs which cannot be served in time. */
void restartRefusing(JobCluster& cluster)
{
    cluster.settings.service.refusesUnservable = true;
    for (const auto& name : cluster.memberNames()) {
        cluster.kill(name);
        cluster.startMember(name);
    }
}

LoadOutcome playOverload(JobCluster& cluster, Duration length)
{
    addWorkers(cluster, 2);
    cluster.advance(seconds(4));
    LoadPlay play(cluster, usefulTime);
    play.add(twoStepLoad(milliseconds(40), length));
    play.advance(length + seconds(10));
    return play.outcome();
}

} // namespace

TEST_CASE("an overload that is accepted as a whole makes most jobs end too late", "[jobs][overload]")
{
    // The loss that the refusal of submissions prevents, at three times the capacity for 20 s.
    JobCluster cluster(1);
    const auto outcome = playOverload(cluster, seconds(20));
    print("accepted as a whole", outcome);
    CHECK(outcome.submitted == 500);
    CHECK(outcome.refused == 0);
    CHECK(outcome.failed > outcome.submitted / 2);
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("an overload with refusals lets fewer jobs fail and no fewer complete in time", "[jobs][overload]")
{
    // Guards against accepting jobs that cannot be served: half as many may fail, and at least as many must be useful.
    // Work that still waits when the overload ends is of use; 40 s make that part small.
    JobCluster accepting(1);
    const auto before = playOverload(accepting, seconds(40));
    JobCluster cluster(1);
    restartRefusing(cluster);
    const auto after = playOverload(cluster, seconds(40));
    print("accepted as a whole", before);
    print("with refusals", after);
    CHECK(after.submitted == before.submitted);
    CHECK(2 * after.failed <= before.failed);
    CHECK(after.useful >= before.useful);
    CHECK(after.shortestRetryS >= 1);
    CHECK(after.longestRetryS <= 30);
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("a refused submission never starts, and may be accepted later", "[jobs][overload]")
{
    JobCluster cluster(1);
    restartRefusing(cluster);
    addWorkers(cluster, 2);
    cluster.advance(seconds(4));
    LoadPlay play(cluster, usefulTime);
    const Load load = twoStepLoad(milliseconds(40), seconds(20));
    play.add(load);
    play.advance(seconds(40));
    const auto refused = play.refusedJobs();
    REQUIRE_FALSE(refused.empty());
    std::size_t starts = 0;
    for (const auto& start : cluster.workers.starts()) {
        for (const auto job : refused)
            starts += start.run.task.job == JobId(jobName(job)) ? 1 : 0;
    }
    CHECK(starts == 0);
    const auto& session = cluster.member("m0").node.session();
    CHECK(session.service().counters().refusedByPrediction == refused.size());
    CHECK(session.scheduler().job(JobId(jobName(refused.front()))) == nullptr);
    REQUIRE(cluster.submit("m0", "urgent", refused.front(), load.spec));
    CHECK(cluster.waitForState(refused.front(), "urgent", JobState::Completed, seconds(5)));
}

TEST_CASE("calm load and a burst that is worked off in time cause no refusals", "[jobs][overload]")
{
    // Guards against refusing jobs that wait for a moment only.
    JobCluster cluster(1);
    restartRefusing(cluster);
    addWorkers(cluster, 2);
    cluster.advance(seconds(4));
    LoadPlay play(cluster, usefulTime);
    play.add(twoStepLoad(milliseconds(500), seconds(20)));
    play.advance(seconds(5));
    // Nearly three times the capacity for 1.5 s.
    Load burst = twoStepLoad(milliseconds(50), milliseconds(1500));
    burst.firstJob = 1000;
    play.add(burst);
    play.advance(seconds(25));
    const auto outcome = play.outcome();
    print("calm with a burst", outcome);
    CHECK(outcome.refused == 0);
    CHECK(outcome.failed == 0);
}

TEST_CASE("a stuck step does not cause refusals while workers are free", "[jobs][overload]")
{
    // Guards against counting work that waits for something else than the pool's resources.
    JobCluster cluster(1);
    restartRefusing(cluster);
    addWorkers(cluster, 2);
    cluster.advance(seconds(4));
    auto stuck = simpleStep(2000, 1000);
    stuck.gang = true;
    REQUIRE(cluster.submit("m0", "urgent", 5000, { .payload = {}, .steps = { stuck } }));
    LoadPlay play(cluster, usefulTime);
    play.add(twoStepLoad(milliseconds(200), seconds(20)));
    play.advance(seconds(25));
    const auto outcome = play.outcome();
    CHECK(outcome.refused == 0);
    CHECK(outcome.failed == 0);
}

TEST_CASE("another account and another priority are served during one account's overload", "[jobs][overload]")
{
    // Guards against a prediction that lets an account wait for the surplus of another one.
    JobCluster cluster(1);
    restartRefusing(cluster);
    auto configuration = simpleConfiguration();
    configuration.accounts.push_back(configuration.accounts.front());
    configuration.accounts.back().id = AccountId("account-2");
    configuration.accounts.back().keys = { "key-2" };
    cluster.setConfiguration(configuration);
    addWorkers(cluster, 2);
    cluster.advance(seconds(4));
    LoadPlay play(cluster, usefulTime);
    auto overload = twoStepLoad(milliseconds(30), seconds(20));
    overload.queue = "batch";
    play.add(overload);
    Load calm = overload;
    calm.key = "key-2";
    calm.interval = milliseconds(500);
    calm.firstJob = 10000;
    play.add(calm);
    Load urgent = calm;
    urgent.queue = "urgent";
    urgent.firstJob = 20000;
    play.add(urgent);
    play.advance(seconds(30));
    const auto outcome = play.outcome("urgent");
    CHECK(outcome.refused == 0);
    CHECK(outcome.failed == 0);
    const auto refused = play.refusedJobs();
    CHECK_FALSE(refused.empty());
    CHECK(std::none_of(refused.begin(), refused.end(), [](auto job) { return job >= 10000; }));
}

TEST_CASE("a takeover during an overload leads to the same decisions", "[jobs][overload]")
{
    // Guards against a load that the next owner cannot rebuild from the store and the reports.
    const auto play = [](bool takeOver) {
        JobCluster cluster(2);
        restartRefusing(cluster);
        addWorkers(cluster, 2);
        cluster.advance(seconds(6));
        LoadPlay play(cluster, usefulTime);
        play.add(twoStepLoad(milliseconds(40), seconds(40)));
        play.advance(seconds(15));
        const std::string owner = cluster.owner().value();
        if (takeOver)
            cluster.kill(owner);
        play.advance(seconds(10)); // the next owner predicts nothing for its first 3 s
        const auto atHalf = play.outcome();
        play.advance(seconds(15));
        const auto atEnd = play.outcome();
        play.advance(seconds(20));
        CHECK(cluster.workers.violations().empty());
        return atEnd.refused - atHalf.refused;
    };
    const auto same = play(false);
    const auto other = play(true);
    std::cout << "refused in 15 s: " << same << " by the first owner, " << other << " by the next one\n";
    CHECK(same > 0);
    CHECK(other * 10 >= same * 8);
    CHECK(other * 10 <= same * 12);
}

TEST_CASE("the loss of most workers causes refusals, and most accepted jobs end in time", "[jobs][overload]")
{
    // Guards against counting the capacity of workers that are out of reach. Clients submit refused jobs once more, as
    // asked: what is refused shortly before the workers return could have been served.
    const auto play = [](bool refuses) {
        JobCluster cluster(1);
        if (refuses)
            restartRefusing(cluster);
        addWorkers(cluster, 10);
        cluster.advance(seconds(4));
        LoadPlay play(cluster, usefulTime);
        auto load = twoStepLoad(milliseconds(50), seconds(30));
        load.retries = true;
        play.add(load);
        play.advance(seconds(5));
        for (int i = 1; i < 10; ++i)
            cluster.workers.setDisconnected("w" + std::to_string(i), true);
        play.advance(seconds(15));
        for (int i = 1; i < 10; ++i)
            cluster.workers.setDisconnected("w" + std::to_string(i), false);
        play.advance(seconds(25));
        CHECK(cluster.workers.violations().empty());
        return play.outcome();
    };
    const auto before = play(false);
    const auto after = play(true);
    print("most workers lost, accepted as a whole", before);
    print("most workers lost, with refusals", after);
    CHECK(after.refused > 0);
    CHECK(2 * after.failed <= before.failed);
    CHECK(after.useful >= before.useful);
}

TEST_CASE("wrong estimates cause no refusals in calm", "[jobs][overload]")
{
    // Guards against predictions from an estimate of zero, a tenth or ten times the run time.
    const auto estimate = GENERATE(milliseconds(0), milliseconds(50), milliseconds(5000), milliseconds(3600000));
    JobCluster cluster(1);
    restartRefusing(cluster);
    addWorkers(cluster, 2);
    cluster.advance(seconds(4));
    LoadPlay play(cluster, usefulTime);
    auto load = twoStepLoad(milliseconds(200), seconds(20));
    for (auto& step : load.spec.steps)
        step.estimatedRunTime = estimate;
    play.add(load);
    play.advance(seconds(25));
    CHECK(play.outcome().refused == 0);
    CHECK(play.outcome().failed == 0);
}

TEST_CASE("a call that an earlier owner had is not refused by the next one", "[jobs][overload]")
{
    // Guards against "not run" about a job that an earlier owner may have stored. The next owner predicts at once.
    JobCluster cluster(2);
    cluster.settings.scheduler.predictionDelay = Duration::zero();
    restartRefusing(cluster);
    addWorkers(cluster, 2);
    cluster.advance(seconds(6));
    const std::string owner = cluster.owner().value();
    LoadPlay play(cluster, usefulTime);
    const Load load = twoStepLoad(milliseconds(25), seconds(12));
    play.add(load);
    play.advance(seconds(11));
    REQUIRE(play.outcome().refused > 100);
    const std::string member = owner == "m0" ? "m1" : "m0";
    std::vector<std::shared_ptr<std::optional<ClientReply>>> replies;
    for (std::uint64_t n = 0; n < 5; ++n)
        replies.push_back(cluster.call(member, CallVerb::Submit, "/urgent/" + jobName(90000 + n), "body-1"));
    cluster.kill(owner);
    cluster.advance(seconds(4));
    for (const auto& reply : replies) {
        REQUIRE(reply->has_value());
        CHECK((*reply)->kind != ReplyKind::Refused);
    }
}

TEST_CASE("known, long-running and later jobs and queues without an objective are not refused", "[jobs][overload]")
{
    // Guards against refusals of work that has no time of use, or may run already.
    JobCluster cluster(1);
    restartRefusing(cluster);
    auto configuration = simpleConfiguration();
    configuration.queues.push_back(configuration.queues[0]);
    configuration.queues.back().name = "open-ended";
    configuration.queues.back().prefix = "/open-ended/";
    configuration.queues.back().latencyObjective = Duration::zero();
    cluster.setConfiguration(configuration);
    addWorkers(cluster, 2);
    cluster.advance(seconds(4));
    LoadPlay play(cluster, usefulTime);
    const Load load = twoStepLoad(milliseconds(25), seconds(12));
    play.add(load);
    play.advance(seconds(11));
    // All at once, so that the last of them finds no room in time.
    std::shared_ptr<std::optional<ClientReply>> last;
    for (std::uint64_t n = 0; n < 40; ++n)
        last = cluster.call("m0", CallVerb::Submit, "/urgent/" + jobName(91000 + n), "body-1");
    REQUIRE(last->has_value());
    REQUIRE((*last)->kind == ReplyKind::Refused);
    CHECK(cluster.submit("m0", "urgent", 1, load.spec));
    JobSpec lasting = load.spec;
    lasting.steps.resize(1);
    lasting.steps.front().longRunning = true;
    CHECK(cluster.submit("m0", "urgent", 90001, lasting));
    JobSpec later = load.spec;
    later.repetitions = 1;
    later.firstDueUnixMs = cluster.unixMs() + 60000;
    CHECK(cluster.submit("m0", "urgent", 90002, later));
    CHECK(cluster.submit("m0", "open-ended", 90003, load.spec));
}
