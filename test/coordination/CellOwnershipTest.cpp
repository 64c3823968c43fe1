// Tests of acquiring, keeping and releasing a cell.

#include "support/ManualRuntime.h"
#include "support/SimulatedMember.h"

#include <lycheeledge/coordination/CellOwnership.h>
#include <lycheeledge/coordination/Rendezvous.h>

#include <catch2/catch.hpp>

#include <memory>

using namespace lycheeledge;
using namespace lycheeledge::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

using Log = std::vector<std::string>;

struct Bench {
    ManualRuntime clock;
    FakeOwnershipStore store { clock };
    FakeFleet fleet; ///< empty, so that an owner is active at once
    std::vector<std::unique_ptr<SimulatedMember>> members; ///< in the order of preference for the cell

    explicit Bench(std::size_t count)
    {
        std::vector<MemberId> names;
        for (std::size_t n = 0; n < count; ++n)
            names.emplace_back("vm" + std::to_string(n));
        for (const auto& name : rendezvousOrder(simulatedCell, names))
            members.push_back(std::make_unique<SimulatedMember>(clock, store, fleet, members, name.value()));
    }
    SimulatedMember& at(std::size_t rank) { return *members.at(rank); }
    long owners() const
    {
        return std::count_if(
            members.begin(), members.end(), [](const auto& member) { return member->ownership->epoch().has_value(); });
    }
    bool leaseExists() { return !store.read({ { ownerLeaseKey(simulatedCell), 0, true } }).ranges[0].empty(); }
};

} // namespace

TEST_CASE("The preferred member acquires a cell that never had an owner", "[ownership]")
{
    Bench bench(4);
    bench.clock.advance(seconds(10));
    CHECK(bench.at(0).log == Log { "acquired 1" });
    CHECK(bench.owners() == 1);
    const auto entries
        = bench.store.read({ { ownerEpochKey(simulatedCell), 0, true }, { ownerLeaseKey(simulatedCell), 0, true } });
    CHECK(entries.ranges[0].at(0).value
        == R"({"epoch":1,"owner":")" + bench.at(0).id.value()
            + R"(","incarnation":"7","host":"127.0.0.1","port":7000})");
    CHECK(entries.ranges[1].at(0).value == bench.at(0).id.value());
}

TEST_CASE("The next member takes over when the owner pauses, and the owner notices", "[ownership]")
{
    Bench bench(3);
    bench.clock.advance(seconds(5));
    bench.at(0).runtime.pause();
    bench.clock.advance(seconds(10));
    CHECK(bench.at(1).log == Log { "acquired 2" });
    bench.at(0).runtime.resume();
    bench.clock.advance(seconds(2));
    CHECK(bench.at(0).log == Log { "acquired 1", "lost 1" });
    CHECK(bench.at(1).log == Log { "acquired 2" });
}

TEST_CASE("A takeover whose answer or request is lost ends with one owner", "[ownership]")
{
    const auto fault = GENERATE(CommitFault::LoseAnswer, CommitFault::LoseRequest, CommitFault::DelayRequest);
    Bench bench(1);
    bench.clock.advance(milliseconds(100));
    bench.at(0).store.faults = { fault };
    while (!bench.leaseExists())
        bench.clock.advance(milliseconds(1));
    bench.clock.advance(milliseconds(20));
    CHECK((bench.at(0).log.size() == 1 || fault == CommitFault::DelayRequest)); // which shows by the next read
    bench.clock.advance(seconds(10));
    CHECK(bench.at(0).log == Log { "acquired 1" });
    CHECK(bench.leaseExists());
}

TEST_CASE("Of two racing candidates one wins", "[ownership]")
{
    Bench bench(2);
    // Each candidate believes to be the only live member, so that both try at once.
    for (std::size_t n = 0; n < 2; ++n)
        bench.at(n).liveOverride = { bench.at(n).id };
    bench.clock.advance(seconds(10));
    CHECK(bench.owners() == 1);
    CHECK(bench.at(0).log.size() + bench.at(1).log.size() == 1);
}

TEST_CASE("After a store outage the owner acquires the lease again with the same epoch", "[ownership]")
{
    // The owner is not the preferred member, which would take over if it did not wait for the owner.
    Bench bench(3);
    bench.at(0).runtime.pause();
    bench.clock.advance(seconds(5));
    bench.at(0).runtime.resume();
    bench.clock.advance(seconds(5));
    bench.store.isDown = true;
    bench.clock.advance(milliseconds(60500)); // the preferred member renews its store lease first
    CHECK(bench.owners() == 1);
    bench.store.isDown = false;
    bench.clock.advance(seconds(20));
    CHECK(bench.at(1).log == Log { "acquired 1" });
    CHECK(bench.leaseExists());
    CHECK(bench.owners() == 1);
}

TEST_CASE("A candidate with an outdated view takes over neither a leased cell nor with a used epoch", "[ownership]")
{
    Bench bench(2);
    bench.at(1).runtime.pause();
    bench.at(1).readsStore = false;
    bench.at(1).liveOverride = { bench.at(1).id };
    bench.clock.advance(seconds(5));
    bench.at(1).runtime.resume();
    SECTION("the owner's lease record exists")
    {
        bench.at(1).readsStore = true;
        bench.at(1).leaseOverride = false;
        bench.clock.advance(seconds(10));
    }
    SECTION("the owner resigned")
    {
        bench.at(0).sessions.reset();
        bench.at(0).ownership->resign();
        bench.at(0).runtime.pause();
        bench.clock.advance(seconds(10));
    }
    CHECK(bench.at(0).log == Log { "acquired 1" });
    CHECK(bench.at(1).log.empty());
}

TEST_CASE("An owner that is cut off from the store is replaced although it claims to be active", "[ownership]")
{
    Bench bench(2);
    bench.clock.advance(seconds(5));
    bench.at(0).store.isCut = true;
    bench.clock.advance(seconds(15));
    CHECK(bench.at(1).log == Log { "acquired 2" });
    bench.at(0).store.isCut = false;
    bench.clock.advance(seconds(3));
    CHECK(bench.at(0).log == Log { "acquired 1", "lost 1" });
}

TEST_CASE("A planned stop hands the cell over at once, or waits for the store", "[ownership]")
{
    const bool isDown = GENERATE(false, true);
    Bench bench(2);
    bench.clock.advance(seconds(5));
    bench.store.isDown = isDown;
    bench.at(0).sessions.reset();
    bool released = false;
    bench.at(0).ownership->release([&] { released = true; });
    bench.clock.advance(milliseconds(100));
    CHECK(released != isDown);
    bench.store.isDown = false;
    bench.clock.advance(seconds(3));
    CHECK(released);
    CHECK(bench.at(1).log == Log { "acquired 2" });
    CHECK(bench.at(0).log == Log { "acquired 1" });
}

TEST_CASE("A member that resigned lets another one take over", "[ownership]")
{
    Bench bench(2);
    bench.clock.advance(seconds(5));
    bench.at(0).sessions.reset();
    bench.at(0).ownership->resign();
    bench.clock.advance(seconds(10));
    CHECK(bench.at(1).log == Log { "acquired 2" });
}

TEST_CASE("Epoch records survive the JSON form, and malformed ones are refused", "[ownership]")
{
    EpochRecord record { 3, MemberId("a\"b"), 1ULL << 63, { "10.0.0.1", 65535 }, 0 };
    CHECK(*parseEpochRecord(formatEpochRecord(record)) == record);
    for (const char* text : { "", "[]", "{}", R"({"epoch":-1,"owner":"a","incarnation":"1","host":"h","port":1})",
             R"({"epoch":1,"owner":"a","incarnation":"x","host":"h","port":1})",
             R"({"epoch":1,"owner":"a","incarnation":"1","host":"h","port":65536})" })
        CHECK_FALSE(parseEpochRecord(text).ok());
}

TEST_CASE("A suspected owner is replaced before its lease ends", "[ownership]")
{
    Bench bench(3);
    bench.clock.advance(seconds(5));
    bench.at(0).runtime.pause();
    bench.clock.advance(milliseconds(1500));
    for (std::size_t n = 1; n < 3; ++n) {
        bench.at(n).suspectsOwner = true;
        bench.at(n).liveOverride = { bench.at(1).id, bench.at(2).id };
    }
    bench.clock.advance(milliseconds(500));
    REQUIRE(bench.at(1).log == Log { "acquired 2" });
    for (std::size_t n = 1; n < 3; ++n)
        bench.at(n).suspectsOwner = false;
    // The lease record must now live as long as the new owner, although it existed under the old owner's lease.
    bench.clock.advance(seconds(20));
    CHECK(bench.leaseExists());
    bench.at(0).runtime.resume();
    bench.clock.advance(seconds(5));
    CHECK(bench.at(0).log == Log { "acquired 1", "lost 1" });
    CHECK(bench.owners() == 1);
}
