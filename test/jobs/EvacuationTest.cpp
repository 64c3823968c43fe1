// Evacuation of a data centre: no task starts there later than the limit after the request, whatever fails meanwhile.

#include "support/JobClusterHelpers.h"

#include <catch2/catch.hpp>

using namespace lycheeledge;
using namespace lycheeledge::jobs;
using namespace lycheeledge::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

using Fault = FakeClusterStore::Fault;

constexpr Duration limit = seconds(5);
// The watch tells a request within two calls to the store, which take 4 ms each in calm conditions.
constexpr Duration calm = milliseconds(50);

/** @brief Members, and workers in data centres, on one rack in each. */
struct Region {
    explicit Region(std::size_t members, std::vector<std::string> dataCentres = { "north", "south" }, int workers = 2,
        std::optional<Duration> evacuationLimit = limit)
        : cluster(0)
        , operators(cluster.store, "operators", operatorsRuntime)
    {
        cluster.settings.session.evacuationLimit = evacuationLimit;
        cluster.settings.session.dataCentres = dataCentres;
        cluster.settings.dataCentre = "north"; // of all members
        for (std::size_t i = 0; i < members; ++i)
            cluster.startMember("m" + std::to_string(i));
        for (const auto& dataCentre : dataCentres) {
            for (int i = 0; i < workers; ++i)
                addWorker(dataCentre, dataCentre + "-" + std::to_string(i), 8000);
        }
        cluster.advance(seconds(3));
    }

    void addWorker(const std::string& dataCentre, const std::string& id, std::int64_t milliCpu)
    {
        auto record = cluster.workers.add(id, capacityOf(milliCpu), "rack-" + dataCentre);
        record.dataCentre = dataCentre;
        cluster.registerWorker(record);
    }
    std::string key(const std::string& dataCentre) const { return cluster.records.evacuationPrefix() + dataCentre; }
    void request(const std::string& dataCentre) { cluster.store.put(key(dataCentre), "{}"); }
    void withdraw(const std::string& dataCentre) { cluster.store.erase(key(dataCentre)); }
    /** @brief Writes or removes the request as an operator does, again until the store acknowledges it. */
    void writeUntilAcknowledged(const std::string& dataCentre, bool removes)
    {
        StoreTransaction transaction;
        if (removes)
            transaction.deletes = { key(dataCentre) };
        else
            transaction.puts = { { key(dataCentre), "{}", std::nullopt } };
        bool acknowledged = false;
        while (!acknowledged) {
            operators.commit(transaction, milliseconds(900), [&](const auto& result) { acknowledged = result.ok(); });
            cluster.waitFor([&] { return acknowledged; }, seconds(1));
        }
    }
    std::size_t startsIn(const std::string& dataCentre, TimePoint since) const
    {
        const auto& starts = cluster.workers.starts();
        return static_cast<std::size_t>(std::count_if(starts.begin(), starts.end(),
            [&](const auto& it) { return it.at >= since && it.worker.starts_with(dataCentre + "-"); }));
    }
    std::size_t startsInAfter(const std::string& dataCentre, Duration duration)
    {
        const TimePoint since = cluster.runtime.now();
        cluster.advance(duration);
        return startsIn(dataCentre, since);
    }
    /** @brief Submits a job of many short tasks that wait for room in all data centres for the next minutes. */
    void submitLoad(std::uint32_t tasks = 4000)
    {
        REQUIRE(cluster.submit(
            cluster.memberNames().front(), "batch", 1, { .payload = {}, .steps = { simpleStep(tasks, 1000) } }));
        REQUIRE(cluster.waitFor([&] { return startsIn("north", {}) > 0; }, seconds(2)));
        cluster.advance(seconds(1));
    }
    const OwnerSession& session() { return cluster.member(*cluster.owner()).node.session(); }

    JobCluster cluster;
    ProcessRuntime operatorsRuntime { cluster.runtime };
    FakeClusterStore::Port operators;
};

StepSpec longRunningStep(std::uint32_t tasks)
{
    auto step = simpleStep(tasks, 1000);
    step.longRunning = true;
    return step;
}

} // namespace

TEST_CASE("no task starts in a data centre under evacuation until the request is removed", "[evacuation]")
{
    Region region(1);
    region.submitLoad();
    region.request("north");
    region.cluster.advance(calm);
    CHECK(region.startsInAfter("north", seconds(10)) == 0);
    CHECK(region.startsInAfter("south", seconds(1)) > 0);
    CHECK(region.session().evacuations().size() == 1);
    CHECK(region.session().evacuatedRuns() == 0);
    region.withdraw("north");
    CHECK(region.startsInAfter("north", seconds(1)) > 0);
    CHECK(region.cluster.log.counts["evacuation_requested"] == 1);
    CHECK(region.cluster.log.counts["evacuation_ended"] == 1);
    CHECK(region.cluster.workers.violations().empty());
}

TEST_CASE("two data centres are evacuated at once, and a request for an unknown one has no effect", "[evacuation]")
{
    Region region(1, { "north", "south", "east" });
    region.submitLoad();
    region.request("nowhere");
    region.request("north");
    region.request("south");
    region.cluster.advance(calm);
    const TimePoint since = region.cluster.runtime.now();
    CHECK(region.startsInAfter("east", seconds(3)) > 0);
    region.withdraw("south");
    CHECK(region.startsInAfter("south", seconds(2)) > 0);
    CHECK(region.startsIn("north", since) == 0);
    CHECK(region.cluster.log.counts["evacuation_unreadable"] == 1);
}

TEST_CASE("an evacuation holds when the owner is lost around its request", "[evacuation]")
{
    // Guards against a new owner that starts tasks before it knows the requests of the time before its claim.
    for (const int ms : { -1600, -1500, -1450, -1400, -100, -20, 0, 4, 10, 500 }) {
        Region region(3);
        region.submitLoad();
        if (ms <= 0) {
            region.cluster.kill(*region.cluster.owner());
            region.cluster.advance(milliseconds(-ms));
            region.request("north");
        } else {
            region.request("north");
            region.cluster.advance(milliseconds(ms));
            region.cluster.kill(*region.cluster.owner());
        }
        const TimePoint requestedAt = region.cluster.runtime.now();
        CAPTURE(ms);
        REQUIRE(region.cluster.waitFor([&] { return region.cluster.owner().has_value(); }, seconds(6)));
        region.cluster.advance(seconds(12));
        CHECK(region.startsIn("north", requestedAt + calm) == 0);
        CHECK(region.startsIn("south", requestedAt + seconds(3)) > 0);
        region.withdraw("north");
        CHECK(region.startsInAfter("north", seconds(2)) > 0);
    }
}

TEST_CASE("a new owner starts nothing until it has read the requests", "[evacuation]")
{
    Region region(2);
    region.submitLoad();
    region.request("north");
    region.cluster.advance(calm);
    region.cluster.store.silentList = region.cluster.records.evacuationPrefix();
    region.cluster.kill(*region.cluster.owner());
    const TimePoint since = region.cluster.runtime.now();
    region.cluster.advance(seconds(8));
    CHECK_FALSE(region.cluster.owner().has_value());
    CHECK(region.startsIn("south", since) == 0);
    region.cluster.store.silentList.clear();
    CHECK(region.startsInAfter("south", seconds(8)) > 0);
    CHECK(region.startsIn("north", since) == 0);
}

TEST_CASE("an evacuation is obeyed while the store is slow", "[evacuation]")
{
    Region region(2);
    region.submitLoad();
    region.cluster.store.setLatency(milliseconds(240));
    region.writeUntilAcknowledged("north", false);
    region.cluster.advance(limit);
    CHECK(region.startsInAfter("north", seconds(6)) == 0);
    CHECK(region.startsInAfter("south", seconds(2)) > 0);
    region.writeUntilAcknowledged("north", true);
    region.cluster.advance(limit);
    CHECK(region.startsInAfter("north", seconds(2)) > 0);
    CHECK(region.cluster.log.counts["starts_withheld"] == 0);
}

TEST_CASE("an evacuation is obeyed that is written or removed while the store is down", "[evacuation]")
{
    for (const Fault fault : { Fault::Refuse, Fault::Silent, Fault::ExecuteLate, Fault::LoseAnswers }) {
        CAPTURE(static_cast<int>(fault));
        Region region(2);
        region.submitLoad();
        const auto writeInOutage = [&](bool removes) {
            region.cluster.store.setFault(fault);
            region.cluster.runtime.after(seconds(6), [&] { region.cluster.store.setFault(Fault::None); });
            region.writeUntilAcknowledged("north", removes);
        };
        const TimePoint outage = region.cluster.runtime.now();
        writeInOutage(false);
        // Guards against an owner that starts nothing during an outage, in which no request can be acknowledged.
        CHECK(region.startsIn("south", outage + seconds(5)) > 0);
        region.cluster.advance(limit);
        CHECK(region.startsInAfter("north", seconds(3)) == 0);
        writeInOutage(true);
        region.cluster.advance(limit);
        CHECK(region.startsInAfter("north", seconds(3)) > 0);
    }
}

TEST_CASE("a request and a removal are found when the watch's history has gone with them", "[evacuation]")
{
    Region region(1);
    region.submitLoad();
    region.request("north");
    region.cluster.store.dropHistory();
    region.cluster.advance(limit / 10);
    CHECK(region.startsInAfter("north", seconds(3)) == 0);
    region.withdraw("north");
    region.cluster.store.dropHistory();
    region.cluster.advance(limit / 10);
    CHECK(region.startsInAfter("north", seconds(3)) > 0);
}

TEST_CASE("a request is obeyed after the configuration was removed and the watch has restarted", "[evacuation]")
{
    // Guards against an owner that waits for a configuration and follows the operators' records no more.
    Region region(1);
    region.submitLoad();
    region.cluster.store.erase(region.cluster.records.configurationKey());
    region.cluster.store.dropHistory();
    region.cluster.advance(seconds(1));
    region.request("north");
    region.cluster.advance(calm);
    CHECK(region.startsInAfter("north", seconds(6)) == 0);
    CHECK(region.startsInAfter("south", seconds(1)) > 0);
}

TEST_CASE("starts are withheld while the list that replaces a lost history is not answered", "[evacuation]")
{
    // Guards against answers of the new watch that make a view recent which lacks the request.
    Region region(1);
    region.submitLoad();
    region.cluster.store.silentList = region.cluster.records.evacuationPrefix();
    region.request("north");
    region.cluster.store.dropHistory();
    region.cluster.advance(limit);
    CHECK(region.startsInAfter("north", seconds(4)) == 0);
    CHECK(region.session().startsWithheld());
    region.cluster.store.silentList.clear();
    CHECK(region.startsInAfter("south", seconds(3)) > 0);
    CHECK(region.startsInAfter("north", seconds(3)) == 0);
}

TEST_CASE("starts are withheld while only the operators' watch is not answered", "[evacuation]")
{
    // Guards against a request that is acknowledged while the owner renews its ownership but hears of no change.
    Region region(1);
    region.submitLoad();
    region.cluster.store.silentWatch = region.cluster.records.operatorPrefix();
    // The list is read again as the watch restarts, and would tell of the request: it gets no answer either.
    region.cluster.store.silentList = region.cluster.records.evacuationPrefix();
    region.request("north");
    region.cluster.advance(limit);
    CHECK(region.startsInAfter("north", seconds(3)) == 0);
    CHECK(region.startsInAfter("south", seconds(1)) == 0);
    CHECK(region.session().startsWithheld());
    region.cluster.store.silentWatch.clear();
    region.cluster.store.silentList.clear();
    CHECK(region.startsInAfter("south", seconds(3)) > 0);
    CHECK(region.startsInAfter("north", seconds(3)) == 0);
    CHECK(region.cluster.log.counts["starts_withheld"] == 1);
    CHECK(region.cluster.log.counts["starts_resumed"] == 1);
}

TEST_CASE("the list tells of a request while only the operators' watch is not answered", "[evacuation]")
{
    Region region(1);
    region.submitLoad();
    region.cluster.store.silentWatch = region.cluster.records.operatorPrefix();
    region.request("north");
    region.cluster.advance(limit);
    CHECK(region.startsInAfter("north", seconds(6)) == 0);
    CHECK(region.startsInAfter("south", seconds(6)) > 0);
    CHECK(region.cluster.log.counts["starts_withheld"] == 0);
}

TEST_CASE("without a limit, starts go on while the operators' watch is not answered", "[evacuation]")
{
    Region region(1, { "north", "south" }, 2, std::nullopt);
    region.submitLoad();
    region.cluster.store.silentWatch = region.cluster.records.operatorPrefix();
    region.cluster.store.silentList = region.cluster.records.evacuationPrefix();
    region.cluster.advance(seconds(8));
    CHECK(region.startsInAfter("south", seconds(1)) > 0);
    CHECK(region.cluster.log.counts["starts_withheld"] == 0);
}

TEST_CASE("an owner that was paused during a request starts nothing there when it goes on", "[evacuation]")
{
    // Guards against events that were received before the pause and taken for recent ones after it.
    for (const int ms : { 900, 3000, 6000, 9000 }) {
        CAPTURE(ms);
        Region region(1);
        region.submitLoad();
        auto& member = region.cluster.member("m0");
        member.runtime.pause();
        region.request("north");
        const TimePoint requestedAt = region.cluster.runtime.now();
        region.cluster.advance(milliseconds(ms));
        member.runtime.resume();
        region.cluster.advance(calm);
        CHECK(region.startsInAfter("north", seconds(4)) == 0);
        CHECK(region.startsInAfter("south", seconds(8)) > 0);
        CHECK(region.startsIn("north", requestedAt + limit) == 0);
    }
}

TEST_CASE("a start order that was not answered before the request is not repeated there", "[evacuation]")
{
    Region region(1);
    using OrderFault = FakeJobWorkers::OrderFault;
    region.cluster.workers.startFault
        = [](const std::string& id) { return id.starts_with("north") ? OrderFault::Lost : OrderFault::None; };
    for (std::uint64_t n = 1; n <= 4; ++n)
        REQUIRE(region.cluster.submit("m0", "urgent", n, { .payload = {}, .steps = { simpleStep(8, 1000) } }));
    REQUIRE(region.cluster.member("m0").workers.starts > region.startsIn("south", {}));
    region.cluster.workers.startFault = [](const std::string&) { return OrderFault::None; };
    region.request("north");
    const TimePoint since = region.cluster.runtime.now();
    for (std::uint64_t n = 1; n <= 4; ++n)
        CHECK(region.cluster.waitForState(n, "urgent", JobState::Completed, seconds(20)));
    CHECK(region.startsIn("north", since + calm) == 0);
    CHECK(region.cluster.workers.violations().empty());
}

TEST_CASE("a gang that does not fit elsewhere and a job that fits only there wait and run later", "[evacuation]")
{
    Region region(1);
    region.addWorker("north", "north-large", 32000);
    region.request("north");
    region.cluster.advance(seconds(2));
    auto gang = simpleStep(20, 1000);
    gang.gang = true;
    auto labelled = simpleStep(1, 1000);
    labelled.requiredLabel = "rack-north";
    REQUIRE(region.cluster.submit("m0", "batch", 1, { .payload = {}, .steps = { gang } }));
    REQUIRE(region.cluster.submit("m0", "batch", 2, { .payload = {}, .steps = { simpleStep(1, 20000) } }));
    REQUIRE(region.cluster.submit("m0", "batch", 3, { .payload = {}, .steps = { labelled } }));
    region.cluster.advance(seconds(5));
    CHECK(region.cluster.workers.starts().empty());
    region.withdraw("north");
    for (std::uint64_t n = 1; n <= 3; ++n)
        CHECK(region.cluster.waitForState(n, "batch", JobState::Completed, seconds(10)));
}

TEST_CASE("a task whose preferred rack is under evacuation runs elsewhere", "[evacuation]")
{
    Region region(1);
    region.request("north");
    region.cluster.advance(seconds(1));
    auto step = simpleStep(2, 1000);
    step.preferredRack = "rack-north";
    REQUIRE(region.cluster.submit("m0", "urgent", 1, { .payload = {}, .steps = { step } }));
    CHECK(region.cluster.waitForState(1, "urgent", JobState::Completed, seconds(5)));
    CHECK(region.startsIn("south", {}) == 2);
}

TEST_CASE("long-running tasks stay in the data centre, and one that ends starts elsewhere", "[evacuation]")
{
    Region region(1);
    region.cluster.workers.runTime = [](const TaskKey&) { return seconds(600); };
    auto step = longRunningStep(4);
    step.maxTasksPerWorker = 1;
    REQUIRE(region.cluster.submit("m0", "batch", 1, { .payload = {}, .steps = { step } }));
    REQUIRE(region.cluster.waitFor([&] { return region.cluster.workers.running() == 4; }, seconds(5)));
    region.addWorker("south", "south-9", 8000);
    region.request("north");
    region.cluster.advance(seconds(5));
    CHECK(region.cluster.workers.starts().size() == 4);
    CHECK(region.session().evacuatedRuns() == 2);
    region.cluster.workers.restart("north-0");
    REQUIRE(region.cluster.waitFor([&] { return region.cluster.workers.running() == 4; }, seconds(10)));
    CHECK(region.cluster.workers.starts().back().worker == "south-9");
    CHECK(region.cluster.workers.runsOn("north-1") == 1);
    // Draining goes on beside the evacuation, and what it moves goes elsewhere.
    region.addWorker("south", "south-8", 8000);
    auto draining = region.cluster.workers.record("north-1", "rack-north");
    draining.dataCentre = "north";
    draining.draining = true;
    region.cluster.registerWorker(draining);
    CHECK(region.cluster.waitFor([&] { return region.cluster.workers.runsOn("south-8") == 1; }, seconds(5)));
    CHECK(region.session().evacuatedRuns() == 0);
}

TEST_CASE("no admission request names a worker under evacuation, and tickets are used again", "[evacuation]")
{
    Region region(1);
    auto configuration = simpleConfiguration();
    configuration.version = 2;
    configuration.queues[1].admission = AdmissionPolicy { milliseconds(30), milliseconds(1), seconds(60) };
    region.cluster.setConfiguration(configuration);
    region.cluster.advance(seconds(1));
    region.submitLoad();
    region.request("north");
    region.cluster.advance(calm);
    const std::size_t calls = region.cluster.admission.calls.size();
    // Tickets for workers in the data centre do not keep a step from asking for others.
    auto moving = simpleStep(40, 1000);
    REQUIRE(region.cluster.submit("m0", "batch", 2, { .payload = {}, .steps = { moving } }));
    CHECK(region.startsInAfter("north", seconds(3)) == 0);
    for (std::size_t i = calls; i < region.cluster.admission.calls.size(); ++i) {
        for (const auto& worker : region.cluster.admission.calls[i].request.workers)
            CHECK_FALSE(worker.value().starts_with("north"));
    }
    region.withdraw("north");
    CHECK(region.startsInAfter("north", milliseconds(100)) > 0);
}

TEST_CASE("an evacuation is obeyed on a large fleet, whose orders go through members", "[evacuation]")
{
    Region region(3, { "north", "south" }, 70);
    region.cluster.workers.runTime = [](const TaskKey&) { return seconds(2); };
    region.submitLoad(6000);
    region.request("north");
    // An order waits up to 2 ms for others to the same member, and messages between members take 4 ms.
    region.cluster.advance(calm);
    CHECK(region.startsInAfter("north", seconds(3)) == 0);
    CHECK(region.cluster.member(*region.cluster.owner()).node.relayedWorkers().counters().relayedCalls > 0);
    region.withdraw("north");
    CHECK(region.startsInAfter("north", seconds(1)) > 0);
}
