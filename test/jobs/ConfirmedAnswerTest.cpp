// Answers of a replaced owner, which does not know the jobs that the next one has accepted.

#include "support/JobClusterHelpers.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>

using namespace lycheeledge;
using namespace lycheeledge::jobs;
using namespace lycheeledge::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** @brief Three members, of which one still acts as the owner after another has taken over and accepted a job. */
struct ReplacedOwner {
    ReplacedOwner()
        : cluster(3)
    {
        addWorkers(cluster, 1);
        cluster.workers.runTime = [](const TaskKey&) { return seconds(60); };
        former = *cluster.owner();
        cluster.setCutOff(former, true);
        cluster.member(former).workers.isCutOff = [](const std::string&) { return true; };
        REQUIRE(cluster.waitFor([this] { return hasOtherOwner(cluster, former); }, seconds(4)));
        const auto names = cluster.memberNames();
        const auto next = std::find_if(names.begin(), names.end(),
            [this](const auto& name) { return name != former && cluster.member(name).node.session().isActive(); });
        REQUIRE(cluster.submit(*next, "urgent", 1, { .payload = {}, .steps = { simpleStep(1, 1000) } }));
        REQUIRE(cluster.member(former).node.lease().isOwner());
    }

    std::shared_ptr<std::optional<ClientReply>> callFormer(CallVerb verb)
    {
        return cluster.call(former, verb, "/urgent/" + jobName(1));
    }
    std::optional<ReplyKind> wait(const std::shared_ptr<std::optional<ClientReply>>& reply)
    {
        cluster.waitFor([&] { return reply->has_value(); }, seconds(4));
        return reply->has_value() ? std::optional((*reply)->kind) : std::nullopt;
    }

    JobCluster cluster;
    std::string former;
};

} // namespace

// Guards against a cancellation that is confirmed because of an outdated memory, while the job goes on.
TEST_CASE(
    "a replaced owner does not answer that a job is unknown which the next owner has accepted", "[service][takeover]")
{
    const auto verb = GENERATE(CallVerb::Cancel, CallVerb::Read);
    ReplacedOwner replaced;
    const auto reply = replaced.callFormer(verb);
    CHECK(replaced.wait(reply) == ReplyKind::Unknown);
}

TEST_CASE(
    "a replaced owner forwards cancellations of unknown jobs once it learns of the next owner", "[service][takeover]")
{
    ReplacedOwner replaced;
    const auto reply = replaced.callFormer(CallVerb::Cancel);
    replaced.cluster.advance(milliseconds(100));
    replaced.cluster.setCutOff(replaced.former, false);
    CHECK(replaced.wait(reply) == ReplyKind::Cancelled);
    CHECK(replaced.cluster.waitForState(1, "urgent", JobState::Cancelled, seconds(2)));
}

TEST_CASE("an owner answers that a job is unknown once its ownership is confirmed", "[service]")
{
    JobCluster cluster(1);
    addWorkers(cluster, 1);
    for (const CallVerb verb : { CallVerb::Cancel, CallVerb::Read }) {
        const auto reply = cluster.call("m0", verb, "/urgent/" + jobName(1));
        REQUIRE(cluster.waitFor([&] { return reply->has_value(); }, milliseconds(400)));
        CHECK((*reply)->kind == ReplyKind::NoSuchJob);
    }
}
