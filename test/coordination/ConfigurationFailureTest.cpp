// Tests of keys, freshness and acknowledgement while processes, the store and the network fail.

#include "support/Cluster.h"

#include <catch2/catch.hpp>

using namespace lycheeledge;
using namespace lycheeledge::test;
using namespace std::chrono_literals;

namespace {

const std::string keyText = "feed-key.feed-secret";

/** @brief Six processes, a team and a key that is in force everywhere. */
struct Fixture {
    explicit Fixture(std::size_t size = 6)
        : cluster(size)
    {
        cluster.advance(5s);
        auto& commands = cluster[0].commands;
        commands.setTeam({ "t", {} }, { TeamId("feed"), 1, std::nullopt, 0 }, [](const auto&) {});
        cluster.advance(2s);
        CommandProbe probe;
        commands.createKey(
            { "k", {} }, KeyId("feed-key"), TeamId("feed"), KeyRole::Caller, "feed-secret", probe.callback());
        cluster.advance(2s);
        REQUIRE(probe.result().inForce);
    }

    bool accepts(std::size_t slot) { return cluster[slot].authenticator.authenticate(keyText).ok(); }

    /** @brief Withdraws the key at process 0 and advances until the answer. */
    CommandResult withdraw()
    {
        CommandProbe probe;
        cluster[0].commands.withdrawKey({ "w", {} }, KeyId("feed-key"), probe.callback());
        for (int i = 0; i < 25000 && !probe.answered(); ++i)
            cluster.advance(1ms);
        return probe.result();
    }

    Cluster cluster;
};

} // namespace

// Guards against a process that cannot read the store and goes on serving with a withdrawn key.
TEST_CASE("A key withdrawn while one process cannot reach the store works nowhere once acknowledged", "[failure]")
{
    const bool alsoIsolated = GENERATE(false, true);
    Fixture f;
    f.cluster[5].store.setCut(true);
    if (alsoIsolated)
        f.cluster.isolate(5, true);
    f.cluster.advance(GENERATE(0ms, 900ms, 5s));
    const auto result = f.withdraw();
    CHECK(result.inForce);
    for (std::size_t slot = 0; slot < 6; ++slot)
        CHECK_FALSE(f.accepts(slot));
    CHECK(f.cluster[5].authenticator.authenticate(keyText).error == ErrorKind::Unavailable);
    f.cluster[5].store.setCut(false);
    f.cluster.isolate(5, false);
    f.cluster.advance(3s);
    CHECK(f.cluster[5].authenticator.authenticate(keyText).error == ErrorKind::Unauthenticated);
}

// Guards against an acknowledgement that counts on an ended lease alone: such a member may have been kept current by
// the gossip of others until a moment ago.
TEST_CASE("A member without a lease is excused only once its last news has expired", "[failure]")
{
    Fixture f;
    f.cluster[5].store.setCut(true);
    f.cluster.advance(20s);
    CHECK(f.accepts(5));
    f.cluster.isolate(5, true);
    CHECK(f.withdraw().inForce);
    CHECK_FALSE(f.accepts(5));
}

// Guards against an acknowledgement while a member that renews its lease has not confirmed: it may still serve.
TEST_CASE("A change names the members it waits for", "[failure]")
{
    Fixture f;
    f.cluster.isolate(4, true);
    const auto result = f.withdraw();
    CHECK_FALSE(result.inForce);
    CHECK(result.stored == Stored::Yes);
    CHECK(result.waitingFor == std::vector { MemberId("m4") });
}

// Guards against an outage of the store that stops all service, or that lets an isolated process go on.
TEST_CASE("While the store is down for all, only processes that hear a majority serve", "[failure]")
{
    Fixture f;
    f.cluster.store.setDown(true);
    f.cluster.isolate(3, true);
    f.cluster.advance(10min);
    for (const std::size_t slot : { 0, 1, 2, 4, 5 })
        CHECK(f.accepts(slot));
    CHECK_FALSE(f.accepts(3));
    CHECK_FALSE(f.cluster[0].membership.storeReachable());
    CHECK_FALSE(f.cluster[0].membership.storeLease());
    CHECK(f.cluster[0].membership.liveMembers().size() == 5);
    const auto refused = f.withdraw();
    CHECK(refused.error == ErrorKind::Unavailable);
    CHECK(refused.stored == Stored::No);

    f.cluster.store.setDown(false);
    f.cluster.isolate(3, false);
    f.cluster.advance(3s);
    CHECK(f.accepts(3));
    CHECK(f.cluster[0].membership.storeLease());
    CHECK(f.cluster[0].membership.roster().size() == 6);
}

// Guards against a withdrawal that a majority cut off from the store never hears of, once its records are removed.
TEST_CASE("A majority without the store keeps a change from being acknowledged while it serves", "[failure]")
{
    Fixture f;
    for (std::size_t slot = 2; slot < 6; ++slot) {
        f.cluster[slot].store.setCut(true);
        f.cluster.setCut(0, slot, true);
        f.cluster.setCut(1, slot, true);
    }
    f.cluster.advance(90s);
    const auto result = f.withdraw();
    CHECK(f.accepts(2));
    CHECK_FALSE(result.inForce);
    CHECK(result.waitingFor.size() == 4);
}

// Guards against a process that takes datagrams from before its pause for current news.
TEST_CASE("A process paused past its lease honours a withdrawal from its first task on", "[failure]")
{
    Fixture f;
    f.cluster.advance(777ms);
    f.cluster[5].runtime.pause();
    f.cluster.advance(300ms);
    const auto result = f.withdraw();
    REQUIRE(result.inForce);
    int accepted = 0;
    f.cluster[5].runtime.afterTask = [&] { accepted += f.accepts(5) ? 1 : 0; };
    f.cluster[5].runtime.resume();
    CHECK(accepted == 0);
    f.cluster.advance(5s);
    CHECK(accepted == 0);
    f.cluster[5].runtime.afterTask = {};
    CHECK(f.cluster[5].membership.isFresh());
    CHECK(f.cluster[5].membership.storeLease());
}

// Guards against datagrams that undo newer ones, or that a lossy network makes a process refuse work.
TEST_CASE("Lost, duplicated and reordered datagrams change no verdict", "[failure]")
{
    Fixture f;
    f.cluster.network.lossPercent = 30;
    f.cluster.network.duplicatePercent = 30;
    f.cluster.network.delayMin = 1ms;
    f.cluster.network.delayMax = 900ms;
    f.cluster.advance(10s);
    for (std::size_t slot = 0; slot < 6; ++slot)
        CHECK(f.accepts(slot));
    CHECK(f.withdraw().inForce);
    for (std::size_t slot = 0; slot < 6; ++slot)
        CHECK_FALSE(f.accepts(slot));
    f.cluster.store.setDown(true);
    f.cluster.advance(30s);
    for (const auto& process : f.cluster.processes)
        CHECK(process->membership.isFresh());
}

// Guards against a replacement of all processes that stops changes or leaves records behind.
TEST_CASE("All processes can be replaced one after another while changes go on", "[failure]")
{
    Fixture f;
    for (std::size_t slot = 0; slot < 6; ++slot) {
        bool left = false;
        f.cluster[slot].membership.leave([&left] { left = true; });
        f.cluster.advance(1s);
        CHECK(left);
        f.cluster.start(slot, "new" + std::to_string(slot));
        f.cluster.advance(3s);
        CHECK(f.accepts(slot));
        CommandProbe probe;
        f.cluster[slot].commands.setTeam({ "r" + std::to_string(slot), {} },
            { TeamId("feed"), 2.0 + static_cast<double>(slot), std::nullopt, 0 }, probe.callback());
        f.cluster.advance(2s);
        CHECK(probe.result().inForce);
    }
    CHECK(f.cluster[0].membership.roster().size() == 6);
    CHECK(f.withdraw().inForce);
}

// Guards against a deployment that can never acknowledge a change again after all of its processes died at once.
TEST_CASE("Changes are acknowledged again after all processes died and others took their place", "[failure]")
{
    Fixture f;
    for (std::size_t slot = 0; slot < 6; ++slot)
        f.cluster.kill(slot);
    for (std::size_t slot = 0; slot < 6; ++slot)
        f.cluster.start(slot, "new" + std::to_string(slot));
    f.cluster.advance(3s);
    for (std::size_t slot = 0; slot < 6; ++slot)
        CHECK(f.accepts(slot));
    f.cluster.advance(80s);
    CHECK(f.cluster[0].membership.roster().size() == 6);
    CHECK(f.withdraw().inForce);
}

// Guards against a stopping process that gives up, or leaves its record behind, because the store is down.
TEST_CASE("Leaving waits for the store and survives a lost answer", "[failure]")
{
    Fixture f(3);
    bool left = false;
    f.cluster.store.setDown(true);
    f.cluster.advance(1s);
    f.cluster[2].membership.leave([&left] { left = true; });
    f.cluster.advance(30s);
    CHECK_FALSE(left);
    f.cluster[2].store.loseAnswers(1);
    f.cluster.store.setDown(false);
    f.cluster.advance(3s);
    CHECK(left);
    CHECK_FALSE(f.cluster.store.contains("r/m2"));
}

// Guards against an old process that resumes after its successor with the same id started, and serves beside it.
TEST_CASE("A process whose successor has started serves nothing", "[failure]")
{
    Fixture f(3);
    MemberRecord next = f.cluster[2].membership.self();
    next.incarnation += 100;
    f.cluster.store.put("r/m2", encodeMemberRecord(next));
    f.cluster.advance(2s);
    CHECK_FALSE(f.accepts(2));
    CHECK(f.cluster.store.value("r/m2") == encodeMemberRecord(next));
}
