// Tests of acquiring, keeping and releasing a cell.

#include "support/FakeOwnershipStore.h"
#include "support/ManualRuntime.h"

#include <lycheeledge/coordination/CellOwnership.h>
#include <lycheeledge/coordination/Rendezvous.h>

#include <catch2/catch.hpp>

#include <memory>

using namespace lycheeledge;
using namespace lycheeledge::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const CellId cell("central");

/** A member that renews its store lease, reads the store every second, and tries to own the cell. */
struct Member final : OwnershipView, CellOwnershipListener {
    PausableRuntime runtime;
    FakeStoreClient store;
    MemberId id;
    std::vector<MemberId>& live;
    std::optional<EpochRecord> record;
    bool leaseExists = false;
    bool claimed = false;
    bool suspected = false;
    StoreLeaseId lease = 0;
    std::vector<std::string> log;
    std::unique_ptr<CellOwnership> ownership;

    Member(ManualRuntime& clock, FakeOwnershipStore& shared, std::string name, std::vector<MemberId>& members)
        : runtime(clock)
        , store(clock, runtime, shared)
        , id(std::move(name))
        , live(members)
    {
        live.push_back(id);
        ownership = std::make_unique<CellOwnership>(runtime, store, *this, *this, cell);
        renew();
        read();
        ownership->start();
    }

    void renew()
    {
        runtime.after(seconds(2), [this] { renew(); });
        if (lease == 0)
            store.grantLease(seconds(6), [this](auto granted) { lease = granted.ok() ? *granted : 0; });
        else
            store.renewLease(lease, [this](auto left) { lease = absl::IsNotFound(left.status()) ? 0 : lease; });
    }

    void read()
    {
        runtime.after(seconds(1), [this] { read(); });
        store.read({ { ownerEpochKey(cell), 0, true }, { ownerLeaseKey(cell), 0, true } }, [this](auto snapshot) {
            if (!snapshot.ok())
                return;
            const auto& epoch = snapshot->ranges[0];
            leaseExists = !snapshot->ranges[1].empty();
            if (!epoch.empty()) {
                record = *parseEpochRecord(epoch[0].value);
                record->revision = epoch[0].modRevision;
            }
        });
    }

    std::vector<MemberId> liveMembers() const override { return live; }
    std::optional<EpochRecord> epochRecord(const CellId&) const override { return record; }
    bool ownerLeaseExists(const CellId&) const override { return leaseExists; }
    bool isClaimedByAnother(const CellId&) const override { return claimed; }
    bool isOwnerSuspected(const CellId&) const override { return suspected; }
    std::optional<StoreLeaseId> storeLease() const override { return lease ? std::optional(lease) : std::nullopt; }
    MemberId self() const override { return id; }
    std::uint64_t incarnation() const override { return 7; }
    Address address() const override { return { "127.0.0.1", 7000 }; }
    void ownershipAcquired(const CellId&, Epoch epoch, Revision) override
    {
        log.push_back("acquired " + std::to_string(epoch));
    }
    void ownershipLost(const CellId&, Epoch epoch) override { log.push_back("lost " + std::to_string(epoch)); }
};

using Log = std::vector<std::string>;

struct Bench {
    ManualRuntime clock;
    FakeOwnershipStore store { clock };
    std::vector<MemberId> live;
    std::vector<std::unique_ptr<Member>> members;

    /** The members in their order of preference for the cell. */
    explicit Bench(std::size_t count)
    {
        std::vector<MemberId> names;
        for (std::size_t n = 0; n < count; ++n)
            names.emplace_back("vm" + std::to_string(n));
        for (const auto& name : rendezvousOrder(cell, names))
            members.push_back(std::make_unique<Member>(clock, store, name.value(), live));
    }
    Member& at(std::size_t rank) { return *members.at(rank); }
    std::size_t owners() const
    {
        return static_cast<std::size_t>(std::count_if(
            members.begin(), members.end(), [](const auto& member) { return member->ownership->epoch().has_value(); }));
    }
};

} // namespace

TEST_CASE("The preferred member acquires a cell that never had an owner", "[ownership]")
{
    Bench bench(4);
    bench.clock.advance(seconds(10));
    CHECK(bench.at(0).log == Log { "acquired 1" });
    CHECK(bench.owners() == 1);
    const auto entries = bench.store.read({ { ownerEpochKey(cell), 0, true }, { ownerLeaseKey(cell), 0, true } });
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
    bench.at(0).store.faults = { fault };
    bench.clock.advance(seconds(10));
    CHECK(bench.at(0).log == Log { "acquired 1" });
    CHECK(bench.at(0).leaseExists);
}

TEST_CASE("Of two racing candidates one wins", "[ownership]")
{
    Bench bench(2);
    // Each candidate believes to be the only live member, so that both try at once.
    std::vector<MemberId> alone { bench.at(1).id };
    bench.live = { bench.at(0).id };
    bench.members[1] = std::make_unique<Member>(bench.clock, bench.store, bench.at(1).id.value(), alone);
    bench.clock.advance(seconds(10));
    CHECK(bench.owners() == 1);
    CHECK(bench.at(0).log.size() + bench.at(1).log.size() == 1);
}

TEST_CASE("After a store outage the owner acquires the lease again with the same epoch", "[ownership]")
{
    Bench bench(3);
    bench.clock.advance(seconds(5));
    for (std::size_t n = 1; n < 3; ++n)
        bench.at(n).claimed = true;
    bench.store.isDown = true;
    bench.clock.advance(seconds(60));
    CHECK(bench.owners() == 1);
    bench.store.isDown = false;
    bench.clock.advance(seconds(20));
    CHECK(bench.at(0).log == Log { "acquired 1" });
    CHECK(bench.at(0).leaseExists);
    CHECK(bench.owners() == 1);
}

TEST_CASE("An owner that is cut off from the store is replaced although it claims to be active", "[ownership]")
{
    Bench bench(2);
    bench.clock.advance(seconds(5));
    bench.at(1).claimed = true;
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
    for (std::size_t n = 1; n < 3; ++n)
        bench.at(n).suspected = true;
    bench.live = { bench.at(1).id, bench.at(2).id };
    bench.clock.advance(milliseconds(500));
    REQUIRE(bench.at(1).log == Log { "acquired 2" });
    for (std::size_t n = 1; n < 3; ++n)
        bench.at(n).suspected = false;
    // The lease record must now live as long as the new owner, although it existed under the old owner's lease.
    bench.clock.advance(seconds(20));
    CHECK(bench.at(1).leaseExists);
    bench.at(0).runtime.resume();
    bench.clock.advance(seconds(5));
    CHECK(bench.at(0).log == Log { "acquired 1", "lost 1" });
    CHECK(bench.owners() == 1);
}
