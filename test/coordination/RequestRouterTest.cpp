// Tests of the routing of submissions to the owner of a cell, including changes of owner.

#include "support/ManualRuntime.h"

#include <lycheeledge/coordination/RequestRouter.h>

#include <catch2/catch.hpp>

#include <utility>
#include <vector>

using namespace lycheeledge;
using namespace std::chrono_literals;

namespace {

class FakeLink final : public PeerLink {
public:
    struct Sent {
        MemberId to;
        PeerMessage message;
        SendFailed failed;
    };

    void gossip(const Address&, const Gossip&) override { }
    void send(const MemberId& to, const Address&, PeerMessage message, SendFailed failed) override
    {
        sent.push_back({ to, std::move(message), std::move(failed) });
    }
    void reply(const MemberId& to, PeerMessage message) override { replies.emplace_back(to, std::move(message)); }

    const SubmitMessage& lastSubmit() const { return std::get<SubmitMessage>(sent.back().message); }

    std::vector<Sent> sent;
    std::vector<std::pair<MemberId, PeerMessage>> replies;
};

class FakeOwners final : public OwnerDirectory {
public:
    std::optional<OwnerLocation> ownerOf(const CellId&) const override { return owner; }

    std::optional<OwnerLocation> owner;
};

class FakeCell final : public LocalCell {
public:
    bool isActive() const override { return active; }
    void submit(WorkSpec spec, const std::string&, std::function<void(WorkResult)> done) override
    {
        submitted.emplace_back(std::move(spec), std::move(done));
    }
    void cancel(const WorkId&, std::function<void(std::optional<WorkStatus>)> done) override { done(std::nullopt); }
    std::optional<WorkStatus> status(const WorkId&) const override { return std::nullopt; }
    std::string overview() const override { return "{}"; }

    bool active = false;
    std::vector<std::pair<WorkSpec, std::function<void(WorkResult)>>> submitted;
};

struct Fixture {
    WorkSpec request(std::uint32_t attempt = 1)
    {
        WorkSpec spec;
        spec.id = { TeamId("t"), RequestId("r1") };
        spec.deadline = 10s;
        spec.attempt = attempt;
        return spec;
    }
    void submit(std::uint32_t attempt = 1)
    {
        router.submit(request(attempt), "", [this](WorkResult result) { results.push_back(std::move(result)); });
    }
    WorkResult success() { return { request().id, RunState::Run, ErrorKind::None, "", "answer" }; }
    static OwnerLocation location(const std::string& member, Epoch epoch)
    {
        return { MemberId(member), { "127.0.0.1", 1 }, epoch };
    }

    test::ManualRuntime runtime;
    FakeLink link;
    FakeOwners owners;
    FakeCell cell;
    RequestRouter router { runtime, link, owners, cell, { .self = MemberId("self"), .cell = CellId("c") } };
    std::vector<WorkResult> results;
};

} // namespace

TEST_CASE("Work that finds no owner before its deadline is reported as not run", "[router]")
{
    Fixture f;
    f.submit();
    f.runtime.advance(9s);
    CHECK(f.results.empty());
    f.runtime.advance(2s);
    REQUIRE(f.results.size() == 1);
    CHECK(f.results[0].run == RunState::NotRun);
    CHECK(f.results[0].error == ErrorKind::Unavailable);
    CHECK(f.link.sent.empty());
}

TEST_CASE("After a change of owner the work is sent again as a later attempt", "[router]")
{
    Fixture f;
    f.owners.owner = Fixture::location("a", 1);
    f.submit();
    REQUIRE(f.link.sent.size() == 1);
    CHECK(f.link.lastSubmit().spec.attempt == 1);
    const std::uint64_t firstCall = f.link.lastSubmit().call;

    f.owners.owner = Fixture::location("b", 2);
    f.router.ownerChanged();
    REQUIRE(f.link.sent.size() == 2);
    CHECK(f.link.sent.back().to == MemberId("b"));
    CHECK(f.link.lastSubmit().spec.attempt == 2);

    SECTION("a late refusal by the previous owner is ignored")
    {
        const WorkResult refused { f.request().id, RunState::NotRun, ErrorKind::Overloaded, "late", "" };
        f.router.messageReceived(MemberId("a"), SubmitReply { firstCall, false, refused });
        CHECK(f.results.empty());
    }
    f.router.messageReceived(MemberId("b"), SubmitReply { f.link.lastSubmit().call, false, f.success() });
    REQUIRE(f.results.size() == 1);
    CHECK(f.results[0].body == "answer");
}

TEST_CASE("A broken connection causes a retry, and a missing reply an unknown outcome", "[router]")
{
    Fixture f;
    f.owners.owner = Fixture::location("a", 1);
    f.submit();
    f.link.sent[0].failed(true);
    f.runtime.advance(100ms);
    REQUIRE(f.link.sent.size() == 2);
    CHECK(f.link.lastSubmit().spec.attempt == 1); // same owner, which deduplicates
    f.runtime.advance(13s);
    REQUIRE(f.results.size() == 1);
    CHECK(f.results[0].run == RunState::Unknown);
}

TEST_CASE("Work sent to a member that does not own the cell is reported as not run", "[router]")
{
    Fixture f;
    f.owners.owner = Fixture::location("a", 1);
    f.submit();
    f.router.messageReceived(MemberId("a"), SubmitReply { f.link.lastSubmit().call, true, {} });
    f.owners.owner.reset();
    f.runtime.advance(13s);
    REQUIRE(f.results.size() == 1);
    CHECK(f.results[0].run == RunState::NotRun);
}

TEST_CASE("Work submitted to a local cell that closes is sent to the next owner", "[router]")
{
    Fixture f;
    f.cell.active = true;
    f.owners.owner = Fixture::location("self", 1);
    f.submit(0);
    REQUIRE(f.cell.submitted.size() == 1);
    f.cell.active = false;
    f.router.localCellClosed();
    f.owners.owner = Fixture::location("b", 2);
    f.runtime.advance(100ms);
    REQUIRE(f.link.sent.size() == 1);
    CHECK(f.link.lastSubmit().spec.attempt == 2);
    // A late result of the closed scheduler must be ignored.
    f.cell.submitted[0].second({ f.request().id, RunState::NotRun, ErrorKind::Cancelled, "", "" });
    CHECK(f.results.empty());
}

TEST_CASE("Submissions from other members reach the local cell only while it is active", "[router]")
{
    Fixture f;
    SubmitMessage message;
    message.call = 5;
    message.cell = CellId("c");
    message.spec = f.request();
    f.router.messageReceived(MemberId("x"), message);
    REQUIRE(f.link.replies.size() == 1);
    CHECK(std::get<SubmitReply>(f.link.replies[0].second).notOwner);
    f.cell.active = true;
    f.router.messageReceived(MemberId("x"), message);
    REQUIRE(f.cell.submitted.size() == 1);
    f.cell.submitted[0].second(f.success());
    CHECK(std::get<SubmitReply>(f.link.replies[1].second).result == f.success());
}

TEST_CASE("A reply of another kind than the query fails the query, and the process goes on", "[router]")
{
    Fixture fixture;
    fixture.owners.owner = Fixture::location("owner", 1);
    std::vector<absl::Status> ended;
    fixture.router.status(fixture.request().id, [&ended](const auto& result) { ended.push_back(result.status()); });
    fixture.router.overview([&ended](const auto& result) { ended.push_back(result.status()); });
    REQUIRE(fixture.link.sent.size() == 2);
    const auto statusCall = std::get<StatusMessage>(fixture.link.sent[0].message).call;
    const auto overviewCall = std::get<OverviewMessage>(fixture.link.sent[1].message).call;
    OverviewReply overview;
    overview.call = statusCall;
    fixture.router.messageReceived(MemberId("owner"), overview);
    StatusReply status;
    status.call = overviewCall;
    fixture.router.messageReceived(MemberId("owner"), status);
    REQUIRE(ended.size() == 2);
    CHECK(absl::IsUnavailable(ended[0]));
    CHECK(absl::IsUnavailable(ended[1]));
}

TEST_CASE("Work for an unreachable owner is reported as not run", "[router]")
{
    Fixture f;
    f.owners.owner = Fixture::location("a", 1);
    f.submit();
    f.link.sent[0].failed(false);
    f.owners.owner.reset();
    f.runtime.advance(13s);
    REQUIRE(f.results.size() == 1);
    CHECK(f.results[0].run == RunState::NotRun);
}
