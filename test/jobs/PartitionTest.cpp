// Replaced owners that still act, and what an owner must know of its workers before it starts a task again.

#include "support/JobClusterHelpers.h"

#include <catch2/catch.hpp>

using namespace lycheeledge;
using namespace lycheeledge::jobs;
using namespace lycheeledge::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a new owner waits for a worker that came back while the stored set was written without it", "[takeover]")
{
    JobCluster cluster(0);
    cluster.settings.scheduler.tickInterval = seconds(60); // removals of workers are noticed late
    cluster.startMember("m0");
    cluster.advance(seconds(1));
    cluster.settings.scheduler.tickInterval = JobSchedulerSettings().tickInterval;
    cluster.startMember("m1");
    cluster.workers.runTime = [](const TaskKey&) { return seconds(20); };
    cluster.addWorker("w0", 8000);
    cluster.addWorker("w1", 1000);
    cluster.advance(seconds(2));
    REQUIRE(cluster.owner() == "m0");
    cluster.workers.setDisconnected("w0", true);
    REQUIRE(cluster.waitFor([&] { return cluster.log.counts["worker_reachability"] > 2; }, seconds(5)));
    cluster.unregisterWorker("w0");
    cluster.addWorker("w2", 1000); // its addition writes the set
    REQUIRE(cluster.waitFor([&] { return cluster.log.counts["worker_unregistered"] > 0; }, seconds(2)));
    cluster.workers.setDisconnected("w0", false);
    cluster.registerWorker(cluster.workers.record("w0"));
    REQUIRE(cluster.submit("m0", "batch", 1, { .payload = {}, .steps = { simpleStep(1, 4000) } }));
    REQUIRE(cluster.waitFor([&] { return cluster.workers.runsOn("w0") == 1; }, seconds(5)));
    cluster.unregisterWorker("w0");
    cluster.workers.losesPollResponses = [](const std::string& id) { return id == "w0"; };
    cluster.addWorker("w3", 8000);
    cluster.kill("m0");
    cluster.advance(seconds(8));
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("the stored set of workers follows a worker to its new address", "[takeover]")
{
    // Guards against a new owner that finds another worker at the earlier address and takes this one for ended.
    JobCluster cluster(1);
    addWorkers(cluster, 1);
    const auto storedAddress = [&cluster] {
        const auto set = cluster.codec.decodeWorkerSet(cluster.store.entry(LedgerKeys().workers)->value);
        return set.ok() && !set->workers.empty() ? set->workers.front().address : std::string();
    };
    REQUIRE(storedAddress() == "w0:80");
    cluster.workers.restart("w0");
    auto moved = cluster.workers.record("w0");
    moved.address = "w0:81";
    cluster.registerWorker(moved);
    cluster.advance(seconds(1));
    CHECK(storedAddress() == "w0:81");
}
