// Calls that the next owner handles after a lost owner has carried them out.

#include "support/JobClusterHelpers.h"

#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>

using namespace lycheeledge;
using namespace lycheeledge::jobs;
using namespace lycheeledge::test;
using std::chrono::seconds;

namespace {

/** @brief Three members, of which the owner stores what it is sent but learns of no commit. */
struct LostOwner {
    LostOwner()
        : cluster(3)
    {
        addWorkers(cluster, 1);
        owner = *cluster.owner();
        cluster.store.setFault(owner, FakeClusterStore::Fault::LoseAnswers);
        cluster.submissions.specs["x"] = { .payload = {}, .steps = { simpleStep(1, 1000) } };
    }

    /** @brief Submits a job through a member, and waits until the owner has stored it. */
    void submit(const std::string& member)
    {
        reply = cluster.call(member, CallVerb::Submit, "/urgent/" + jobName(1), "x");
        REQUIRE(cluster.waitFor([&] { return cluster.store.count("lycheeledge/submission/") == 1; }, seconds(1)));
        REQUIRE_FALSE(reply->has_value());
    }
    void removeQueue()
    {
        auto configuration = simpleConfiguration();
        configuration.version = 2;
        configuration.queues.erase(configuration.queues.begin());
        cluster.setConfiguration(configuration);
    }
    std::optional<ReplyKind> replyKind()
    {
        cluster.waitFor([&] { return reply->has_value(); }, seconds(4));
        return reply->has_value() ? std::optional((*reply)->kind) : std::nullopt;
    }
    bool isStarted()
    {
        return cluster.waitFor([&] { return !cluster.workers.starts().empty(); }, seconds(15));
    }

    JobCluster cluster;
    std::string owner;
    std::shared_ptr<std::optional<ClientReply>> reply;
};

} // namespace

// Guards against a rejection by the next owner, which runs the job: it knows the call's key or queue no longer.
TEST_CASE("a submission that the lost owner has stored is not rejected by the next one", "[service][takeover]")
{
    const bool dropsQueue = GENERATE(false, true);
    for (const std::string member : { "m0", "m1", "m2" }) {
        LostOwner lost;
        if (member == lost.owner)
            continue;
        CAPTURE(dropsQueue, member);
        lost.submit(member);
        lost.cluster.kill(lost.owner);
        if (dropsQueue)
            lost.removeQueue();
        else
            withdrawKey(lost.cluster);
        CHECK(lost.replyKind() == ReplyKind::Unknown);
        if (!dropsQueue)
            CHECK(lost.isStarted());
    }
}

// The same for a client of the owner, whose calls in progress go to the next owner.
TEST_CASE(
    "a submission that an owner has stored before it resigned is not rejected by the next one", "[service][takeover]")
{
    LostOwner lost;
    lost.submit(lost.owner);
    lost.cluster.member(lost.owner).node.resign([] {});
    withdrawKey(lost.cluster);
    CHECK(lost.replyKind() == ReplyKind::Unknown);
    CHECK(lost.isStarted());
}

// Only calls that an owner may have carried out are answered so.
TEST_CASE("a submission that no owner has received is rejected after a takeover", "[service][takeover]")
{
    LostOwner lost;
    lost.cluster.kill(lost.owner);
    withdrawKey(lost.cluster);
    REQUIRE(lost.cluster.waitFor([&] { return hasOtherOwner(lost.cluster, lost.owner); }, seconds(5)));
    lost.reply = lost.cluster.call(*lost.cluster.owner(), CallVerb::Submit, "/urgent/" + jobName(1), "x");
    CHECK(lost.replyKind() == ReplyKind::Unauthorized);
}
