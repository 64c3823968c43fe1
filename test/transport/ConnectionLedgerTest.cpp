// Tests of the choice of the connections that are closed at capacity.

#include <lycheeledge/transport/ConnectionLedger.h>

#include <catch2/catch.hpp>

#include <set>

using namespace lycheeledge;
using namespace std::chrono_literals;

namespace {

struct Fixture {
    explicit Fixture(ConnectionLimits limits)
        : ledger(limits)
    {
    }

    void add(ConnectionLedger::Id id)
    {
        REQUIRE(ledger.admit(now));
        ledger.add(id, now, [this, id] { closed.insert(id); });
    }
    bool receive(ConnectionLedger::Id id, std::size_t n) { return ledger.received(id, n, n, now); }
    void serve(ConnectionLedger::Id id)
    {
        ledger.completed(id);
        ledger.beginResponse(id, 10, now);
        ledger.endResponse(id, now);
    }

    ConnectionLedger ledger;
    ConnectionLedger::Time now {};
    std::set<ConnectionLedger::Id> closed;
};

using Ids = std::set<ConnectionLedger::Id>;

} // namespace

// Guards against a crowd of large unfinished requests that starves a small or a fast one.
TEST_CASE("Large requests that make the least progress are closed first when memory is short", "[connection-ledger]")
{
    Fixture fixture({ .maxBytes = 1000, .maxConnections = 10 });
    for (int id = 1; id <= 4; ++id)
        fixture.add(static_cast<ConnectionLedger::Id>(id));
    CHECK(fixture.receive(1, 300));
    CHECK(fixture.receive(2, 10));
    fixture.now += 1s;
    CHECK(fixture.receive(1, 50));
    CHECK(fixture.receive(3, 310));
    fixture.now += 9s;
    // 1 and 3 have received 35 and 34.4 bytes a second; 2 is the slowest, but small.
    CHECK(fixture.receive(4, 400));
    CHECK(fixture.closed == Ids { 3 });
    CHECK(fixture.ledger.bytes() == 760);
    CHECK(fixture.ledger.counts().closedIncomplete == 1);
    CHECK_FALSE(fixture.receive(3, 1));
}

// Guards against responses that slow readers leave in memory.
TEST_CASE("Unread responses are closed after unfinished requests", "[connection-ledger]")
{
    Fixture fixture({ .maxBytes = 1000, .maxConnections = 10 });
    fixture.add(1);
    fixture.add(2);
    fixture.add(3);
    fixture.ledger.completed(1);
    fixture.ledger.beginResponse(1, 400, fixture.now);
    fixture.now += 10s;
    CHECK(fixture.receive(2, 400));
    fixture.now += 1s;
    CHECK(fixture.receive(3, 400));
    CHECK(fixture.closed == Ids { 2 });
    fixture.ledger.completed(3);
    fixture.ledger.beginResponse(3, 700, fixture.now);
    CHECK(fixture.closed == Ids { 1, 2 });
    CHECK(fixture.ledger.counts().closedUnread == 1);
}

// Guards against requests in progress that take all the memory, since their connections cannot be closed.
TEST_CASE("Requests in progress take at most half of the memory", "[connection-ledger]")
{
    Fixture fixture({ .maxBytes = 1000, .maxConnections = 10 });
    CHECK(fixture.ledger.beginRequest(300));
    CHECK_FALSE(fixture.ledger.beginRequest(300));
    CHECK(fixture.ledger.beginRequest(200));
    fixture.ledger.endRequest(300);
    CHECK(fixture.ledger.beginRequest(300));
    CHECK(fixture.ledger.counts().refusedRequests == 1);
}

// Guards against silent connections that occupy all places, and against closing clients between two calls.
TEST_CASE("A new connection takes the place of a silent one, then of one that is idle for long", "[connection-ledger]")
{
    Fixture fixture({ .maxBytes = 1000, .maxConnections = 3 });
    fixture.add(1);
    fixture.add(2);
    fixture.add(3);
    fixture.serve(1);
    fixture.serve(2);
    fixture.now += 1s;
    fixture.add(4);
    CHECK(fixture.closed == Ids { 3 });
    fixture.ledger.completed(4);
    CHECK_FALSE(fixture.ledger.admit(fixture.now));
    CHECK(fixture.ledger.counts().refusedConnections == 1);
    fixture.now += 60s;
    fixture.serve(2);
    fixture.add(5);
    CHECK(fixture.closed == Ids { 1, 3 });
    CHECK(fixture.ledger.counts().closedIdle == 1);
    for (ConnectionLedger::Id id = 1; id <= 5; ++id)
        fixture.ledger.remove(id);
    CHECK(fixture.ledger.connections() == 0);
    CHECK(fixture.ledger.bytes() == 0);
}

// Guards against limits that are reached by idle clients while nothing is short.
TEST_CASE("Nothing is closed below the limits", "[connection-ledger]")
{
    Fixture fixture({ .maxBytes = 1000, .maxConnections = 3 });
    fixture.add(1);
    fixture.add(2);
    fixture.serve(1);
    fixture.now += 1h;
    CHECK(fixture.receive(2, 500));
    fixture.add(3);
    CHECK(fixture.receive(3, 500));
    CHECK(fixture.closed.empty());
    CHECK(fixture.ledger.counts() == RefusalCounts {});
}

// Guards against a crowd of very slow senders that lets no new client send its first bytes.
TEST_CASE("A slow sender is closed before a connection that has just been accepted", "[connection-ledger]")
{
    Fixture fixture({ .maxBytes = 1000000, .maxConnections = 3 });
    fixture.add(1);
    CHECK(fixture.receive(1, 20));
    fixture.add(2);
    CHECK(fixture.receive(2, 500000));
    fixture.now += 10s;
    fixture.add(3);
    fixture.now += 100ms;
    fixture.add(4);
    CHECK(fixture.closed == Ids { 1 });
    // Among the others, the silent one makes less progress than the large request.
    fixture.add(5);
    CHECK(fixture.closed == Ids { 1, 3 });
}
