// Conclusions that must not be drawn from silence: owners, VMs and workers that are only out of reach or left out.

#include "support/JobClusterHelpers.h"

#include <catch2/catch.hpp>

#include <string>

using namespace lycheeledge;
using namespace lycheeledge::jobs;
using namespace lycheeledge::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** @brief Five members, with an owner after two takeovers, and a store that can fail. */
struct OwnedCluster {
    /** @param offset of the outages within the owner's renewals. */
    explicit OwnedCluster(Duration offset)
        : cluster(7)
        , m_offset(offset)
    {
        addWorkers(cluster, 1);
        for (int i = 0; i < 2; ++i) {
            cluster.kill(*cluster.owner());
            REQUIRE(cluster.waitFor([this] { return cluster.owner().has_value(); }, seconds(5)));
            cluster.advance(seconds(1));
        }
        owner = *cluster.owner();
        REQUIRE(isOwned());
    }

    /** @brief The store refuses all calls for longer than the owner's lease. */
    void pauseStore()
    {
        cluster.advance(seconds(12) + m_offset);
        cluster.store.setFault(FakeClusterStore::Fault::Refuse);
        cluster.advance(milliseconds(3300));
        cluster.store.setFault(FakeClusterStore::Fault::None);
        cluster.advance(seconds(3));
    }
    bool isOwned() { return cluster.owner() == owner && cluster.member(owner).node.lease().epoch() == 201; }

    JobCluster cluster;
    std::string owner;

private:
    Duration m_offset;
};

} // namespace

TEST_CASE("a handover that an owner asked for before it restored its record does not replace it", "[silence][takeover]")
{
    for (int i = 0; i < 40; ++i) {
        OwnedCluster owned(milliseconds(9 * i));
        owned.pauseStore();
        CHECK(owned.isOwned());
    }
}

TEST_CASE("a member that has ended a lease of a living owner still waits for it after an outage of the store",
    "[silence][takeover]")
{
    for (int i = 0; i < 40; ++i) {
        OwnedCluster owned(milliseconds(9 * i));
        for (int outage = 1; outage <= 3; ++outage) {
            owned.pauseStore();
            CAPTURE(i, outage);
            CHECK(owned.isOwned());
        }
    }
}

TEST_CASE("a VM that the list leaves out while it is down does not let another one go down", "[silence][maintenance]")
{
    JobCluster cluster(1);
    addWorkers(cluster, 3);
    MaintenanceWave wave { .number = 1, .vms = {}, .duration = seconds(30), .maxDown = 1 };
    for (const std::string n : { "0", "1", "2" }) {
        cluster.vms.add("vm" + n, "w" + n);
        wave.vms.emplace_back("vm" + n);
    }
    cluster.vms.wentDown
        = [&cluster](const WorkerId& worker) { cluster.vms.unlisted.insert("vm" + worker.value().substr(1)); };
    cluster.vms.cameBack = [&cluster](const VmId& vm) {
        cluster.vms.unlisted.erase(vm.value());
        return WorkerId("w" + vm.value().substr(2));
    };
    cluster.records.waves["wave-1"] = wave;
    cluster.store.put(cluster.records.wavePrefix() + "1", "wave-1");
    const auto isCompleted = [&] {
        const auto state = cluster.store.entry(cluster.records.waveStateKey(1));
        return state && state->value == "completed";
    };
    REQUIRE(cluster.waitFor(isCompleted, seconds(40)));
    CHECK(cluster.vms.maintained() == 3);
    CHECK(cluster.vms.mostDown() == 1);
}

TEST_CASE("workers that are not back in the registry right after a store outage still get tasks", "[silence]")
{
    // The registry was read between two outages, when no worker had registered again.
    JobCluster cluster(1);
    addWorkers(cluster, 3);
    for (const std::string worker : { "w0", "w1", "w2" })
        cluster.unregisterWorker(worker);
    REQUIRE(cluster.waitFor([&] { return cluster.log.counts["worker_unregistered"] == 3; }, seconds(2)));
    cluster.store.setFault(FakeClusterStore::Fault::Refuse);
    cluster.advance(seconds(5));
    cluster.store.setFault(FakeClusterStore::Fault::None);
    REQUIRE(cluster.waitFor([&] { return cluster.log.counts["ownership_reclaimed"] > 0; }, seconds(1)));
    REQUIRE(cluster.submit("m0", "urgent", 1, { .payload = {}, .steps = { simpleStep(1, 1000) } }));
    CHECK(cluster.waitFor([&] { return !cluster.workers.starts().empty(); }, milliseconds(1500)));
    // By then they would have registered again.
    cluster.advance(seconds(4));
    REQUIRE(cluster.submit("m0", "urgent", 2, { .payload = {}, .steps = { simpleStep(1, 1000) } }));
    cluster.advance(seconds(2));
    CHECK(cluster.workers.starts().size() == 1);
}
