// When an owner is replaced, and by whom: lost contact to the store, ended processes, slow and small VMs.

#include "support/JobClusterHelpers.h"

#include <catch2/catch.hpp>

using namespace lycheeledge;
using namespace lycheeledge::jobs;
using namespace lycheeledge::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("an owner that alone loses its connection to the store is replaced", "[takeover]")
{
    JobCluster cluster(3);
    cluster.workers.runTime = [](const TaskKey&) { return seconds(1); };
    addWorkers(cluster, 3);
    const std::string owner = *cluster.owner();
    for (std::uint64_t n = 1; n <= 4; ++n)
        REQUIRE(cluster.submit(owner, "batch", n, { .payload = {}, .steps = { simpleStep(10, 1000) } }));
    cluster.store.setFault(owner, FakeClusterStore::Fault::Silent);
    REQUIRE(cluster.waitFor([&] { return hasOtherOwner(cluster, owner); }, seconds(4)));
    for (std::uint64_t n = 1; n <= 4; ++n)
        CHECK(cluster.waitFor(
            [&] {
                const auto names = cluster.memberNames();
                return std::any_of(names.begin(), names.end(), [&](const auto& name) {
                    return name != owner && cluster.state(name, "batch", n) == JobState::Completed;
                });
            },
            seconds(30)));
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("an owner that the store turns away is replaced within 1.5 s", "[takeover]")
{
    // The store serves the other members. Guards against waiting for the owner's lease to end and for the owner, which
    // is reachable, to restore its record.
    for (const auto fault : { FakeClusterStore::Fault::Refuse, FakeClusterStore::Fault::Silent }) {
        JobCluster cluster(4);
        addWorkers(cluster, 3);
        const std::string owner = *cluster.owner();
        cluster.store.setFault(owner, fault);
        const Duration limit = fault == FakeClusterStore::Fault::Refuse ? milliseconds(1500) : milliseconds(2000);
        CHECK(cluster.waitFor([&] { return hasOtherOwner(cluster, owner); }, limit));
        CHECK(cluster.log.counts["handover_requested"] > 0);
    }
}

TEST_CASE(
    "an owner that the store turns away serves no calls after a member has found the store to answer", "[takeover]")
{
    // The next owner's claim is delayed. Guards against serving a key that was withdrawn meanwhile.
    JobCluster cluster(3);
    addWorkers(cluster, 1);
    const std::string owner = *cluster.owner();
    REQUIRE(cluster.submit(owner, "urgent", 1, { .payload = {}, .steps = { simpleStep(1, 1000) } }));
    REQUIRE(cluster.waitForState(1, "urgent", JobState::Completed, seconds(5)));
    cluster.store.setFault(owner, FakeClusterStore::Fault::Refuse);
    auto configuration = simpleConfiguration();
    configuration.accounts[0].keys = { "key-2" };
    cluster.setConfiguration(configuration);
    REQUIRE(cluster.waitFor([&] { return cluster.log.counts["owner_lease_ending"] > 0; }, seconds(2)));
    cluster.store.setFault(FakeClusterStore::Fault::Silent);
    cluster.advance(seconds(1));
    CHECK_FALSE(cluster.member(owner).node.lease().isOwner());
    for (const auto& name : cluster.memberNames())
        CHECK_FALSE(cluster.state(name, "urgent", 1).has_value());
}

TEST_CASE("an owner whose process was killed is replaced within 0.8 s", "[takeover]")
{
    // Its lease lasts up to 1.5 s longer, but its address refuses connections.
    JobCluster cluster(4);
    addWorkers(cluster, 3);
    const std::string owner = *cluster.owner();
    cluster.kill(owner);
    CHECK(cluster.waitFor([&] { return hasOtherOwner(cluster, owner); }, milliseconds(800)));
}

TEST_CASE("a reset connection does not replace the owner", "[takeover]")
{
    JobCluster cluster(3);
    addWorkers(cluster, 2);
    const std::string owner = *cluster.owner();
    for (int i = 0; i < 5; ++i) {
        cluster.resetConnections(owner);
        cluster.advance(milliseconds(400));
    }
    CHECK(cluster.owner() == owner);
    CHECK(cluster.log.counts["owner_lease_ending"] == 0);
}

TEST_CASE("after an outage of the whole store the owner goes on", "[takeover]")
{
    for (const auto fault : { FakeClusterStore::Fault::Refuse, FakeClusterStore::Fault::Silent }) {
        JobCluster cluster(4);
        addWorkers(cluster, 3);
        const std::string owner = *cluster.owner();
        cluster.store.setFault(fault);
        cluster.advance(milliseconds(3300));
        cluster.store.setFault(FakeClusterStore::Fault::None);
        cluster.advance(seconds(3));
        CHECK(cluster.owner() == owner);
        CHECK(cluster.log.counts["ownership_gained"] == 1);
    }
}

TEST_CASE("a living owner keeps its ownership when its lease expires during a store outage", "[takeover]")
{
    // Guards against a takeover after every store outage that is longer than the lease: other members may reach the
    // store again before the owner's next renewal.
    JobCluster cluster(5);
    addWorkers(cluster, 2);
    const std::string owner = *cluster.owner();
    cluster.store.setFault(FakeClusterStore::Fault::Refuse);
    cluster.advance(seconds(4));
    cluster.store.setFault(FakeClusterStore::Fault::None);
    cluster.advance(seconds(2));
    CHECK(cluster.owner() == owner);
    CHECK(cluster.member(owner).node.lease().epoch() == 1);
    CHECK(cluster.submit(
        cluster.memberNames().front(), "urgent", 1, { .payload = {}, .steps = { simpleStep(1, 1000) } }));
}

TEST_CASE("ownership moves from a small VM to a larger one, and jobs continue", "[takeover]")
{
    // Guards against an owner that cannot keep up: after the loss of all VMs, the smallest VM may claim first.
    JobCluster cluster(0);
    cluster.settings.cpuShare = 0.12;
    cluster.startMember("m0");
    addWorkers(cluster, 2);
    REQUIRE(cluster.owner() == "m0");
    cluster.workers.runTime = [](const TaskKey&) { return seconds(3); };
    REQUIRE(cluster.submit("m0", "batch", 1, { .payload = {}, .steps = { simpleStep(4, 1000) } }));
    cluster.settings.cpuShare = 0.5;
    cluster.startMember("m1");
    CHECK(cluster.waitFor([&] { return cluster.owner() == "m1"; }, seconds(4)));
    CHECK(cluster.waitForState(1, "batch", JobState::Completed, seconds(10)));
    CHECK(cluster.workers.starts().size() == 4);
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("a new owner waits for a worker whose ends its predecessor had seen but not stored", "[takeover]")
{
    JobCluster cluster(0);
    cluster.settings.scheduler.link.pollWait = milliseconds(200);
    cluster.settings.scheduler.link.pollTimeout = milliseconds(200);
    cluster.startMember("m0");
    REQUIRE(cluster.waitFor([&] { return cluster.owner() == "m0"; }, seconds(3)));
    cluster.startMember("m1");
    cluster.workers.runTime = [](const TaskKey&) { return milliseconds(1250); };
    addWorkers(cluster, 1);
    REQUIRE(cluster.submit("m0", "batch", 1, { .payload = {}, .steps = { simpleStep(4, 1000) } }));
    cluster.unregisterWorker("w0");
    cluster.addWorker("w1", 8000);
    cluster.advance(seconds(1)); // both are known
    cluster.store.setFault(FakeClusterStore::Fault::Silent);
    // A submission occupies the commit queue that writes the set of workers, so the ends wait in another one.
    const TimePoint submitted = cluster.runtime.now();
    (void)cluster.call("m0", CallVerb::Submit, "/batch/" + jobName(2), "body-1");
    REQUIRE(cluster.waitFor([&] { return cluster.log.counts["job_ended"] == 1; }, seconds(2)));
    cluster.workers.setDisconnected("w0", true);
    // The store is back just before that queue sends its commit again.
    const auto& ledger = cluster.settings.ledger;
    const TimePoint sentAgain = submitted + 3 * (ledger.commitTimeout + ledger.retryPause);
    cluster.advance(sentAgain - milliseconds(20) - cluster.runtime.now());
    cluster.store.setFault(FakeClusterStore::Fault::None);
    const auto storedWorkers = [&] {
        return cluster.codec.decodeWorkerSet(cluster.store.entry("lycheeledge/workers")->value)->workers.size();
    };
    REQUIRE(storedWorkers() == 2);
    cluster.waitFor([&] { return storedWorkers() == 1; }, milliseconds(600));
    cluster.kill("m0");
    cluster.workers.setDisconnected("w0", false);
    REQUIRE(cluster.waitFor([&] { return hasOtherOwner(cluster, "m0"); }, seconds(3)));
    cluster.advance(milliseconds(200));
    cluster.registerWorker(cluster.workers.record("w0"));
    CHECK(cluster.waitForState(1, "batch", JobState::Completed, seconds(20)));
    cluster.advance(seconds(1));
    CHECK(cluster.workers.startsOf({ JobId(jobName(1)), 0, 0, 0 }) == 1);
    CHECK(cluster.workers.violations().empty());
}
