// Replies to client calls: acceptance, repeated submissions, keys, refusals.

#include "support/JobClusterHelpers.h"

#include <catch2/catch.hpp>

using namespace lycheeledge;
using namespace lycheeledge::jobs;
using namespace lycheeledge::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::optional<ClientReply> replyOf(JobCluster& cluster, const std::shared_ptr<std::optional<ClientReply>>& reply)
{
    cluster.waitFor([&] { return reply->has_value(); }, seconds(4));
    return *reply;
}

} // namespace

TEST_CASE("a repeated submission creates only one job", "[service]")
{
    JobCluster cluster(2);
    cluster.addWorker("w0", 8000);
    cluster.advance(seconds(2));
    const JobSpec spec { .payload = {}, .steps = { simpleStep(2, 1000) } };
    REQUIRE(cluster.submit("m0", "urgent", 1, spec));
    REQUIRE(cluster.submit("m1", "urgent", 1, spec));
    REQUIRE(cluster.waitForState(1, "urgent", JobState::Completed, seconds(5)));
    REQUIRE(cluster.submit("m1", "urgent", 1, spec));
    cluster.advance(seconds(2));
    CHECK(cluster.workers.starts().size() == 2);
}

TEST_CASE("invalid calls are answered with the matching kind of error", "[service]")
{
    JobCluster cluster(1);
    cluster.addWorker("w0", 8000);
    cluster.advance(seconds(2));
    const std::string path = "/urgent/" + jobName(1);
    CHECK(replyOf(cluster, cluster.call("m0", CallVerb::Submit, path, "x", "no-key"))->kind == ReplyKind::Unauthorized);
    CHECK(replyOf(cluster, cluster.call("m0", CallVerb::Submit, "/other/1", "x"))->kind == ReplyKind::NoSuchQueue);
    CHECK(replyOf(cluster, cluster.call("m0", CallVerb::Submit, path, "malformed"))->kind == ReplyKind::BadRequest);
    CHECK(replyOf(cluster, cluster.call("m0", CallVerb::Submit, "/urgent/short", "x"))->kind == ReplyKind::BadRequest);
    CHECK(replyOf(cluster, cluster.call("m0", CallVerb::Read, path))->kind == ReplyKind::NoSuchJob);
    CHECK(replyOf(cluster, cluster.call("m0", CallVerb::Cancel, path))->kind == ReplyKind::NoSuchJob);
}

TEST_CASE("a submission is not accepted under a key that was withdrawn before its commit", "[service]")
{
    JobCluster cluster(1);
    cluster.addWorker("w0", 8000);
    cluster.advance(seconds(2));
    cluster.submissions.specs["x"] = { .payload = {}, .steps = { simpleStep(1, 1000) } };
    // The member has not yet received the new configuration when the call arrives.
    withdrawKey(cluster);
    const auto reply = replyOf(cluster, cluster.call("m0", CallVerb::Submit, "/urgent/" + jobName(1), "x"));
    REQUIRE(reply.has_value());
    CHECK(reply->kind == ReplyKind::Unauthorized);
    cluster.advance(seconds(3));
    CHECK(cluster.workers.starts().empty());
    CHECK(cluster.store.count("lycheeledge/submission/") == 0);
}

TEST_CASE("reads with a key are refused once the configuration is no longer confirmed", "[service]")
{
    JobCluster cluster(1);
    cluster.addWorker("w0", 8000);
    cluster.advance(seconds(2));
    REQUIRE(cluster.submit("m0", "urgent", 1, { .payload = {}, .steps = { simpleStep(1, 1000) } }));
    cluster.store.setFault(FakeClusterStore::Fault::Silent);
    cluster.advance(seconds(3));
    CHECK(cluster.state("m0", "urgent", 1).has_value());
    cluster.advance(seconds(2)); // a withdrawn key may be accepted for at most 5 s
    CHECK(replyOf(cluster, cluster.call("m0", CallVerb::Read, "/urgent/" + jobName(1)))->kind == ReplyKind::Refused);
}

// Guards against the acceptance of a withdrawn key by an owner that answers from its memory.
TEST_CASE("a known job is not accepted again under a key that may have been withdrawn", "[service]")
{
    JobCluster cluster(1);
    cluster.addWorker("w0", 8000);
    cluster.advance(seconds(2));
    REQUIRE(cluster.submit("m0", "urgent", 1, { .payload = {}, .steps = { simpleStep(1, 1000) } }));
    const auto replyToRepetition = [&] {
        return replyOf(cluster, cluster.call("m0", CallVerb::Submit, "/urgent/" + jobName(1), "body-1"))->kind;
    };
    cluster.store.setFault(FakeClusterStore::Fault::Silent);
    withdrawKey(cluster);
    cluster.advance(seconds(3));
    CHECK(replyToRepetition() == ReplyKind::Accepted);
    cluster.advance(seconds(2)); // a withdrawn key may be accepted for at most 5 s
    // Not refused, which would say that the job does not run.
    CHECK(replyToRepetition() == ReplyKind::Unknown);
    cluster.store.setFault(FakeClusterStore::Fault::None);
    cluster.advance(seconds(1));
    CHECK(replyToRepetition() == ReplyKind::Unauthorized);
}

// Guards against a refusal, which says that the job never runs.
TEST_CASE("a submission of a known job is not refused because the configuration is not confirmed", "[service]")
{
    JobCluster cluster(1);
    cluster.addWorker("w0", 8000);
    cluster.advance(seconds(2));
    REQUIRE(cluster.submit("m0", "urgent", 1, { .payload = {}, .steps = { simpleStep(1, 1000) } }));
    withdrawKey(cluster);
    cluster.advance(milliseconds(100));
    cluster.store.setFault(FakeClusterStore::Fault::Silent);
    cluster.advance(seconds(2));
    const auto replyTo = [&](const std::string& path) {
        return replyOf(cluster, cluster.call("m0", CallVerb::Submit, path + jobName(1), "body-1"))->kind;
    };
    CHECK(replyTo("/urgent/") == ReplyKind::Unknown);
    CHECK(replyTo("/removed/") == ReplyKind::Unknown);
}

// The same for a job whose commit was applied, but not confirmed to the owner.
TEST_CASE("a job that is being stored is not accepted again under a key that may have been withdrawn", "[service]")
{
    JobCluster cluster(1);
    cluster.addWorker("w0", 8000);
    cluster.advance(seconds(2));
    cluster.submissions.specs["x"] = { .payload = {}, .steps = { simpleStep(1, 1000) } };
    const std::string path = "/urgent/" + jobName(1);
    cluster.store.setFault(FakeClusterStore::Fault::LoseAnswers);
    const auto first = cluster.call("m0", CallVerb::Submit, path, "x");
    REQUIRE(cluster.waitFor([&] { return cluster.store.count("lycheeledge/submission/") == 1; }, seconds(1)));
    cluster.store.setFault(FakeClusterStore::Fault::Silent);
    withdrawKey(cluster);
    cluster.advance(milliseconds(5500));
    const auto repeated = cluster.call("m0", CallVerb::Submit, path, "x");
    cluster.store.setFault(FakeClusterStore::Fault::None);
    CHECK(replyOf(cluster, first)->kind == ReplyKind::Unknown);
    CHECK(replyOf(cluster, repeated)->kind == ReplyKind::Unknown);
}

TEST_CASE("an owner denies no queue or key by a configuration that it cannot confirm", "[service]")
{
    // The store turns the owner away while an operator adds a queue and a key, and no member takes over.
    JobCluster cluster(1);
    cluster.addWorker("w0", 8000);
    cluster.advance(seconds(2));
    cluster.submissions.specs["x"] = { .payload = {}, .steps = { simpleStep(1, 1000) } };
    const auto replyTo = [&](const char* queue, const char* key) {
        return replyOf(cluster, cluster.call("m0", CallVerb::Submit, queue + jobName(1), "x", key))->kind;
    };
    CHECK(replyTo("/added/", "key-1") == ReplyKind::NoSuchQueue);
    CHECK(replyTo("/urgent/", "key-2") == ReplyKind::Unauthorized);
    cluster.store.setFault(FakeClusterStore::Fault::Silent);
    auto configuration = simpleConfiguration();
    configuration.queues[1].prefix = "/added/";
    configuration.accounts[0].keys.push_back("key-2");
    cluster.setConfiguration(configuration);
    cluster.advance(seconds(2)); // changes must be in force 2 s after their confirmation
    CHECK(replyTo("/added/", "key-1") == ReplyKind::Refused);
    CHECK(replyTo("/urgent/", "key-2") == ReplyKind::Refused);
    cluster.store.setFault(FakeClusterStore::Fault::None);
    cluster.advance(seconds(1));
    CHECK(replyTo("/urgent/", "key-2") == ReplyKind::Accepted);
}

TEST_CASE("a refused submission never runs", "[service]")
{
    JobCluster cluster(1);
    cluster.addWorker("w0", 8000);
    cluster.advance(seconds(2));
    cluster.submissions.specs["x"] = { .payload = {}, .steps = { simpleStep(1, 1000) } };
    cluster.store.setFault(FakeClusterStore::Fault::Refuse);
    const auto first = cluster.call("m0", CallVerb::Submit, "/urgent/" + jobName(1), "x");
    cluster.advance(seconds(2));
    // The store is now known to fail, so the next submission is refused immediately.
    const auto second = cluster.call("m0", CallVerb::Submit, "/urgent/" + jobName(2), "x");
    cluster.advance(milliseconds(20));
    REQUIRE(second->has_value());
    CHECK((*second)->kind == ReplyKind::Refused);
    CHECK((*second)->retryAfterS > 0);
    cluster.store.setFault(FakeClusterStore::Fault::None);
    cluster.advance(seconds(3));
    for (const auto& start : cluster.workers.starts())
        CHECK(start.run.task.job != JobId(jobName(2)));
    const bool firstRefused = first->has_value() && (*first)->kind == ReplyKind::Refused;
    for (const auto& start : cluster.workers.starts())
        CHECK_FALSE((firstRefused && start.run.task.job == JobId(jobName(1))));
}

TEST_CASE("submissions are accepted again once the store recovers, even if no other changes are pending", "[service]")
{
    // Guards against permanent refusal: if every submission is refused, no commit is sent that could detect the
    // recovery.
    JobCluster cluster(1);
    cluster.addWorker("w0", 8000);
    cluster.advance(seconds(2));
    cluster.submissions.specs["x"] = { .payload = {}, .steps = { simpleStep(1, 1000) } };
    cluster.store.setFault(FakeClusterStore::Fault::Refuse);
    (void)cluster.call("m0", CallVerb::Submit, "/urgent/" + jobName(1), "x");
    cluster.advance(seconds(2));
    cluster.store.setFault(FakeClusterStore::Fault::None);
    cluster.advance(seconds(1));
    CHECK(cluster.submit("m0", "urgent", 2, { .payload = {}, .steps = { simpleStep(1, 1000) } }));
}

TEST_CASE("submissions are stored in time despite slow calls to the store", "[service][load]")
{
    // The store takes 240 ms per call, 60 times its usual latency, and 46 urgent jobs a second arrive for 5 s. Each job
    // has 16 task ends to store, and must complete within 1.5 times its critical path of 2 s, plus 0.3 s. A single
    // commit at a time stores 28 changes in 240 ms and falls behind by seconds.
    JobCluster cluster(1);
    cluster.workers.runTime = [](const TaskKey& task) { return milliseconds(300 + 100 * task.index); };
    for (int i = 0; i < 24; ++i)
        cluster.addWorker("w" + std::to_string(i), 64000);
    cluster.advance(seconds(2));
    cluster.submissions.specs["x"] = { .payload = {}, .steps = { simpleStep(8, 500), simpleStep(8, 500, { 0 }) } };
    cluster.store.setLatency(milliseconds(240));
    constexpr int jobs = 46 * 5;
    constexpr Duration objective = milliseconds(3300);
    const auto& scheduler = cluster.member("m0").node.session().scheduler();
    std::vector<TimePoint> submitted(jobs);
    std::vector<TimePoint> completed(jobs);
    for (int round = 0; round < jobs + 300; ++round) {
        if (round < jobs) {
            submitted[round] = cluster.runtime.now();
            (void)cluster.call("m0", CallVerb::Submit, "/urgent/" + jobName(round), "x");
        }
        cluster.advance(milliseconds(20));
        for (int n = 0; n < std::min(round, jobs); ++n) {
            const auto* job = scheduler.job(JobId(jobName(n)));
            if (completed[n] == TimePoint() && job != nullptr && job->storedState == JobState::Completed)
                completed[n] = cluster.runtime.now();
        }
    }
    int late = 0;
    for (int n = 0; n < jobs; ++n)
        late += completed[n] == TimePoint() || completed[n] - submitted[n] > objective ? 1 : 0;
    CHECK(late == 0);
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("a submission that the store certainly did not receive is refused instead of left unknown", "[service]")
{
    // A store that refuses connections executes nothing, so the client can be told immediately that the job has not
    // run.
    JobCluster cluster(1);
    cluster.addWorker("w0", 8000);
    cluster.advance(seconds(2));
    cluster.submissions.specs["x"] = { .payload = {}, .steps = { simpleStep(1, 1000) } };
    cluster.store.setFault(FakeClusterStore::Fault::Refuse);
    const auto reply = cluster.call("m0", CallVerb::Submit, "/urgent/" + jobName(1), "x");
    cluster.advance(milliseconds(600));
    REQUIRE(reply->has_value());
    CHECK((*reply)->kind == ReplyKind::Refused);
    cluster.store.setFault(FakeClusterStore::Fault::None);
    cluster.advance(seconds(3));
    CHECK(cluster.workers.starts().empty());
}

TEST_CASE("the count of waiting jobs includes accepted jobs without a started task", "[service]")
{
    JobCluster cluster(1);
    cluster.addWorker("w0", 1000);
    cluster.advance(seconds(2));
    cluster.workers.runTime = [](const TaskKey&) { return seconds(60); };
    for (std::uint64_t n = 1; n <= 4; ++n)
        REQUIRE(cluster.submit("m0", "urgent", n, { .payload = {}, .steps = { simpleStep(1, 1000) } }));
    cluster.advance(milliseconds(500));
    const auto reply = replyOf(cluster, cluster.call("m0", CallVerb::Read, "/urgent/"));
    REQUIRE(reply.has_value());
    CHECK(reply->kind == ReplyKind::Count);
    CHECK(reply->count == 3);
}
