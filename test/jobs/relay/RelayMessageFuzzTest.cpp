// Malformed and absurd messages between the owner and relaying members: whatever arrives, the process goes on.

#include "support/JobCluster.h"
#include "support/Mutation.h"

#include <lycheeledge/jobs/relay/WorkerRelay.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <limits>

using namespace lycheeledge;
using namespace lycheeledge::jobs;
using namespace lycheeledge::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

class IgnoringMemberPort final : public MemberPort {
public:
    MemberConnection connect(const std::string&, std::uint16_t) override { return 1; }
    void send(MemberConnection, const MemberMessage& message) override
    {
        if (const auto* batch = std::get_if<WorkerReplyBatch>(&message))
            replies.insert(replies.end(), batch->replies.begin(), batch->replies.end());
        if (const auto* batch = std::get_if<WorkerCallBatch>(&message))
            calls.insert(calls.end(), batch->calls.begin(), batch->calls.end());
    }
    void close(MemberConnection) override { }

    std::vector<WorkerReply> replies;
    std::vector<WorkerCall> calls;
};

std::vector<MemberMessage> sampleMessages()
{
    const TaskKey task { JobId(jobName(1)), 0, 1, 2 };
    const WorkerTarget target { WorkerId("w0"), "w0:80", {} };
    WorkerCallBatch calls { 1000, 20, {} };
    calls.calls.push_back({ 1, target, 200, StartOrder { task, 3, "payload", "checkpoint", "ticket", 4, 5000 } });
    calls.calls.push_back({ 2, target, 200, StopOrder { task, 3, 4 } });
    calls.calls.push_back({ 3, target, 2300, PollRequest { 4, 5, 6000, milliseconds(800) } });
    PollReport report { .clockMs = 7,
        .incarnationStartUnixMs = 8,
        .running = { { { task, 3 }, "saved", 50, 1.5 } },
        .ended = { { 9, { task, 3 }, EndKind::Done, "" } } };
    return { calls, WorkerReplyBatch { 1000, { { 1, OrderOutcome::Done, true, 7, report } } },
        RelayOffer { "dc", 1000 }, HandoverRequest { 2 } };
}

} // namespace

TEST_CASE("mutated messages are rejected, or handled without ending the process", "[relay][fuzz]")
{
    JobCluster cluster(2);
    cluster.settings.relay.maxDirectWorkers = 0;
    cluster.addWorker("w0", 8000);
    cluster.advance(seconds(3));
    MemberListener& owner = cluster.member(*cluster.owner()).node.memberListener();
    const bool holds = rc::check("mutated member messages", [&owner] {
        const auto message = decodeMemberMessage(mutated(encodeMemberMessage(*rc::gen::elementOf(sampleMessages()))));
        if (message.ok())
            owner.received(12345, *message);
    });
    CHECK(holds);
    cluster.advance(seconds(1));
    REQUIRE(cluster.submit("m0", "urgent", 1, { .payload = {}, .steps = { simpleStep(2, 1000) } }));
    CHECK(cluster.waitForState(1, "urgent", JobState::Completed, seconds(5)));
}

TEST_CASE("calls with absurd times are not made", "[relay][fuzz]")
{
    constexpr auto most = std::numeric_limits<std::int64_t>::max();
    constexpr auto least = std::numeric_limits<std::int64_t>::min();
    ManualRuntime runtime;
    runtime.advance(seconds(100));
    FakeJobWorkers workers(runtime);
    (void)workers.add("w0", capacityOf(8000));
    IgnoringMemberPort members;
    WorkerRelay relay(runtime, workers, members, "dc");
    relay.sendOffer(1);
    const auto batch = std::get<WorkerCallBatch>(sampleMessages().front());
    for (const auto clock : { most, least, std::int64_t(-1) }) {
        for (const auto held : { most, least, std::int64_t(0) })
            relay.received(1, { clock, held, batch.calls });
    }
    CHECK(relay.calls() == 0);
    CHECK(relay.expiredCalls() == 9 * batch.calls.size());
    runtime.advance(seconds(1));
    REQUIRE(members.replies.size() == relay.expiredCalls());
    CHECK(members.replies.front().outcome == OrderOutcome::NotSent);
    auto endless = batch;
    endless.memberClockMs = std::chrono::duration_cast<milliseconds>(runtime.now().time_since_epoch()).count();
    endless.heldMs = 0;
    for (auto& call : endless.calls)
        call.timeoutMs = most;
    relay.received(1, endless);
    CHECK(relay.calls() == batch.calls.size());
}

TEST_CASE("an order that waited while the owner was frozen has no time left", "[relay]")
{
    ManualRuntime base;
    base.advance(seconds(100));
    ProcessRuntime runtime(base);
    FakeJobWorkers workers(base);
    IgnoringMemberPort members;
    RecordingLog log;
    RelayedWorkers owner(runtime, workers, members, log, { .maxDirectWorkers = 0 });
    owner.setWorkerCount([] { return std::size_t(1); });
    owner.addMember(1, "m1", 0.5);
    owner.received(1, RelayOffer { "dc", 1000 });
    owner.start({ WorkerId("w0"), "w0:80", {} }, {}, milliseconds(200), [](const OrderResult&) {});
    runtime.pause(); // before the batch is sent
    base.advance(seconds(9));
    runtime.resume();
    REQUIRE(members.calls.size() == 1);
    CHECK(members.calls.front().timeoutMs <= 0);
}
