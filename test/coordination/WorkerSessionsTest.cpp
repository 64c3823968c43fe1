// Tests of the sessions between a cell owner and its workers.

#include "support/FakeJournal.h"
#include "support/FakeWorkerGateway.h"
#include "support/ManualRuntime.h"
#include "support/PausableRuntime.h"

#include <lycheeledge/coordination/WorkerSessions.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <iterator>
#include <memory>

using namespace lycheeledge;
using namespace lycheeledge::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

TaskId taskNamed(const std::string& name) { return { { TeamId("feed"), RequestId(name) }, 0, 1 }; }

using Log = std::vector<std::string>;

/** An owner of the cell under one epoch. */
struct Owner final : WorkerPoolListener {
    PausableRuntime runtime;
    FakeWorkerGateway gateway;
    FakeDirectory directory;
    FakeJournal& journal;
    WorkerSessions sessions;
    Log log; ///< callbacks of the listener, except reports
    std::optional<std::vector<VmId>> missing; ///< set once active
    bool isLost = false;
    std::map<std::string, CommandOutcome> outcomes;
    std::vector<TaskId> reportedRunning;

    Owner(ManualRuntime& clock, FakeFleet& fleet, FakeJournal& durable, Epoch epoch)
        : runtime(clock)
        , gateway(clock, runtime, fleet)
        , directory(runtime, fleet)
        , journal(durable)
        , sessions(runtime, gateway, directory, journal, CellId("central"), epoch)
    {
        sessions.setListener(this);
    }

    void start()
    {
        sessions.start(
            journal.records, [this](std::vector<VmId> workers) { missing = std::move(workers); },
            [this] { isLost = true; });
    }

    void startTask(const std::string& worker, const std::string& name)
    {
        sessions.start(VmId(worker), taskNamed(name), {}, "", "",
            [this, name](CommandOutcome outcome, const std::string&) { outcomes[name] = outcome; });
    }

    void workerAvailable(const WorkerDescription& worker, const LeaseReport& report) override
    {
        log.push_back("available " + worker.id.value());
        for (const auto& task : report.running)
            reportedRunning.push_back(task.id);
    }
    void workerReported(const VmId&, const LeaseReport&) override { }
    void workerChanged(const WorkerDescription& worker) override { log.push_back("changed " + worker.id.value()); }
    void workerUnreachable(const VmId& worker) override { log.push_back("unreachable " + worker.value()); }
    void workerLost(const VmId& worker) override { log.push_back("lost " + worker.value()); }
    void taskFinished(const VmId& worker, const FinishedTask& task) override
    {
        log.push_back("finished " + worker.value() + " " + task.id.work.request.value());
    }
};

struct Fixture {
    ManualRuntime clock;
    FakeFleet fleet;
    FakeJournal journal { clock };
    std::vector<std::unique_ptr<Owner>> owners; ///< one for each epoch

    explicit Fixture(int workers)
    {
        for (int n = 1; n <= workers; ++n)
            fleet.add(clock, "w" + std::to_string(n));
        addOwner().start();
        clock.advance(seconds(2));
    }
    Owner& addOwner()
    {
        owners.push_back(std::make_unique<Owner>(clock, fleet, journal, owners.size() + 1));
        return *owners.back();
    }
    Owner& owner() { return *owners.back(); }
    void setDisconnected(Owner& owner, std::initializer_list<const char*> workers, bool isDisconnected = true)
    {
        for (const char* worker : workers)
            owner.gateway.link(worker).isDisconnected = isDisconnected;
    }
};

} // namespace

TEST_CASE("A listed worker becomes available once its session is journalled", "[worker-sessions]")
{
    Fixture fixture(3);
    CHECK(fixture.owner().log == Log { "available w1", "available w2", "available w3" });
    CHECK(fixture.journal.records.size() == 3);
    CHECK(fixture.owner().sessions.isActive());
    fixture.owner().log.clear();
    fixture.journal.isDown = true;
    fixture.fleet.add(fixture.clock, "w4");
    fixture.clock.advance(seconds(5));
    CHECK(fixture.owner().log.empty());
    fixture.journal.flush();
    fixture.clock.advance(seconds(1));
    CHECK(fixture.owner().log == Log { "available w4" });
}

TEST_CASE("Tasks start, finish and can be stopped", "[worker-sessions]")
{
    Fixture fixture(1);
    fixture.owner().startTask("w1", "a");
    fixture.owner().startTask("w1", "b");
    fixture.clock.advance(milliseconds(10));
    CHECK(fixture.owner().outcomes.at("a") == CommandOutcome::Accepted);
    fixture.fleet.at("w1").finish(taskNamed("a"), true);
    fixture.owner().sessions.applyAction(VmId("w1"), TaskAction::Stop, taskNamed("b"));
    fixture.clock.advance(seconds(1));
    CHECK(fixture.fleet.at("w1").runningCount() == 0);
    CHECK(fixture.owner().log == Log { "available w1", "finished w1 a", "finished w1 b" });
}

TEST_CASE("A worker that the list leaves out for a while keeps its session and tasks", "[worker-sessions]")
{
    Fixture fixture(2);
    fixture.owner().startTask("w1", "a");
    fixture.clock.advance(milliseconds(10));
    fixture.fleet.unlisted.insert(VmId("w1"));
    fixture.fleet.add(fixture.clock, "w3");
    fixture.clock.advance(seconds(30));
    fixture.owner().startTask("w1", "b");
    fixture.clock.advance(milliseconds(10));
    fixture.fleet.unlisted.clear();
    fixture.clock.advance(seconds(2));
    CHECK(fixture.owner().outcomes.at("b") == CommandOutcome::Accepted);
    CHECK(fixture.fleet.at("w1").runningCount() == 2);
    CHECK(fixture.owner().log == Log { "available w1", "available w2", "available w3" });
}

TEST_CASE("A start is retried on the same worker until a response arrives", "[worker-sessions]")
{
    Fixture fixture(1);
    auto& link = fixture.owner().gateway.link("w1");
    const bool arrives = GENERATE(true, false);
    link.losesResponses = arrives;
    link.startDelay = arrives ? seconds(0) : seconds(4);
    fixture.owner().startTask("w1", "a");
    fixture.clock.advance(milliseconds(500));
    CHECK_FALSE(fixture.owner().outcomes.contains("a"));
    link = {};
    fixture.clock.advance(seconds(3));
    CHECK(fixture.owner().outcomes.at("a") == CommandOutcome::Accepted);
    fixture.clock.advance(seconds(5));
    CHECK(fixture.fleet.at("w1").starts == 1);
}

TEST_CASE(
    "A refused or undelivered retry does not prove that the first attempt did not start the task", "[worker-sessions]")
{
    Fixture fixture(3);
    auto& link = fixture.owner().gateway.link("w1");
    link.losesResponses = true;
    fixture.owner().startTask("w1", "a");
    fixture.clock.advance(milliseconds(100));
    link = {};
    link.isDisconnected = true;
    // The retries are not delivered; the last ones are refused because the controller lease has expired.
    for (int n = 0; n < 60 && !fixture.owner().outcomes.contains("a"); ++n) {
        fixture.clock.advance(milliseconds(100));
        link.isDisconnected = n < 40;
    }
    fixture.clock.advance(seconds(2));
    CHECK(fixture.owner().outcomes.at("a") == CommandOutcome::Accepted);
    CHECK(fixture.fleet.at("w1").starts == 1);
}

TEST_CASE("A new owner becomes active with a majority after waiting for the other workers", "[worker-sessions]")
{
    Fixture fixture(5);
    fixture.owner().startTask("w1", "a");
    fixture.clock.advance(milliseconds(10));
    Owner& previous = fixture.owner();
    Owner& owner = fixture.addOwner();
    fixture.setDisconnected(owner, { "w4", "w5" });
    owner.start();
    fixture.clock.advance(milliseconds(400));
    CHECK_FALSE(owner.missing);
    fixture.clock.advance(milliseconds(200));
    REQUIRE(owner.missing);
    CHECK(*owner.missing == std::vector { VmId("w4"), VmId("w5") });
    CHECK(owner.reportedRunning == std::vector { taskNamed("a") });
    fixture.clock.advance(seconds(1));
    CHECK(previous.isLost);
    CHECK(previous.gateway.startsSent == 1);
    previous.startTask("w4", "late");
    fixture.clock.advance(milliseconds(100));
    CHECK(previous.gateway.startsSent == 1);
    CHECK(previous.outcomes.at("late") == CommandOutcome::NotDelivered);
}

TEST_CASE(
    "A start that a previous owner sends after a pause runs no task unknown to the new owner", "[worker-sessions]")
{
    // The previous owner is paused after its last epoch check and before it sends the start, so its own checks cannot
    // prevent the start. The worker is either one that the new owner has reached or one that it has not.
    const bool isReached = GENERATE(true, false);
    const auto pause = GENERATE(milliseconds(1000), milliseconds(4000), milliseconds(20000));
    Fixture fixture(3);
    Owner& previous = fixture.owner();
    previous.gateway.pauseBeforeStart = [&] {
        previous.runtime.pause();
        fixture.clock.after(pause, [&] { previous.runtime.resume(); });
        return pause;
    };
    Owner& owner = fixture.addOwner();
    if (!isReached)
        fixture.setDisconnected(owner, { "w1" });
    previous.startTask("w1", "late");
    owner.start();
    fixture.clock.advance(milliseconds(700));
    REQUIRE(owner.sessions.isActive());
    fixture.clock.advance(pause + milliseconds(300));
    const FakeWorker& worker = fixture.fleet.at("w1");
    CHECK(worker.starts == (isReached || pause > seconds(3) ? 0 : 1));
    for (int n = 0; n < 300 && owner.log.back() != "lost w1"; ++n)
        fixture.clock.advance(milliseconds(100));
    CHECK((owner.log.back() == "lost w1") != isReached);
    CHECK(worker.runningCount() == 0);
}

TEST_CASE("A worker reached only by the previous owner is lost once all leases that owner may grant have expired",
    "[worker-sessions]")
{
    // The previous owner renews the leases of w1 while it considers itself active, and is then paused while it sends a
    // start.
    Fixture fixture(5);
    fixture.clock.advance(milliseconds(50)); // shortly after the renewals
    Owner& previous = fixture.owner();
    fixture.setDisconnected(previous, { "w2", "w3", "w4", "w5" });
    Owner& owner = fixture.addOwner();
    fixture.setDisconnected(owner, { "w1" });
    owner.start();
    fixture.clock.advance(milliseconds(600));
    REQUIRE(owner.sessions.isActive());
    fixture.clock.advance(seconds(2));
    REQUIRE(previous.sessions.isActive());
    previous.gateway.pauseBeforeStart = [&] {
        previous.runtime.pause();
        return milliseconds(2300);
    };
    previous.startTask("w1", "late");
    fixture.clock.advance(seconds(3));
    CHECK(fixture.fleet.at("w1").isRunning(taskNamed("late")));
    for (int n = 0; n < 300 && owner.log.back() != "lost w1"; ++n)
        fixture.clock.advance(milliseconds(100));
    CHECK(owner.log.back() == "lost w1");
    CHECK(fixture.fleet.at("w1").runningCount() == 0);
}

TEST_CASE("Without a majority an owner neither becomes nor stays active", "[worker-sessions]")
{
    Fixture fixture(4);
    Owner& previous = fixture.owner();
    Owner& owner = fixture.addOwner();
    fixture.setDisconnected(owner, { "w3", "w4" });
    owner.start();
    fixture.clock.advance(seconds(9));
    CHECK_FALSE(owner.missing);
    CHECK(previous.isLost); // half of the workers accepted the higher epoch
    fixture.clock.advance(seconds(2));
    CHECK(owner.isLost);
    Owner& third = fixture.addOwner();
    third.start();
    fixture.clock.advance(seconds(1));
    REQUIRE(third.sessions.isActive());
    fixture.setDisconnected(third, { "w1", "w2" });
    fixture.clock.advance(seconds(3));
    CHECK_FALSE(third.sessions.isActive());
    fixture.clock.advance(seconds(1));
    CHECK(third.isLost);
}

TEST_CASE("A worker that cannot be reached is lost only after all of its leases have expired", "[worker-sessions]")
{
    Fixture fixture(3);
    fixture.owner().startTask("w1", "a");
    fixture.clock.advance(milliseconds(10));
    fixture.owner().log.clear();
    fixture.owner().gateway.link("w1").losesResponses = true;
    fixture.clock.advance(seconds(5));
    CHECK(fixture.owner().log == Log { "unreachable w1" });
    for (int n = 0; n < 400 && fixture.owner().log.size() == 1; ++n) {
        fixture.clock.advance(milliseconds(100));
    }
    CHECK(fixture.owner().log == Log { "unreachable w1", "lost w1" });
    CHECK(fixture.fleet.at("w1").runningCount() == 0);
    fixture.clock.advance(seconds(1));
    const auto removed = std::get<WorkerRemoved>(fixture.journal.records.at(3));
    CHECK(removed.unknownTasks == std::vector { taskNamed("a") });
    fixture.owner().gateway.link("w1").losesResponses = false;
    fixture.clock.advance(seconds(3));
    CHECK(fixture.owner().log == Log { "unreachable w1", "lost w1", "available w1", "finished w1 a" });
}

TEST_CASE("A restarted worker becomes available again once its new session is journalled", "[worker-sessions]")
{
    Fixture fixture(3);
    fixture.owner().startTask("w1", "a");
    fixture.clock.advance(milliseconds(10));
    fixture.owner().gateway.link("w1").losesResponses = true;
    fixture.owner().startTask("w1", "b");
    fixture.clock.advance(milliseconds(100));
    fixture.owner().gateway.link("w1").losesResponses = false;
    fixture.owner().log.clear();
    fixture.journal.isDown = true;
    fixture.fleet.at("w1").restart();
    fixture.clock.advance(seconds(2));
    CHECK(fixture.owner().outcomes.at("b") == CommandOutcome::Unknown);
    CHECK(fixture.owner().log == Log { "lost w1" });
    fixture.journal.flush();
    fixture.clock.advance(seconds(2));
    CHECK(fixture.owner().log == Log { "lost w1", "available w1" });
    CHECK(std::get<WorkerRemoved>(fixture.journal.records.at(3)).unknownTasks
        == std::vector { taskNamed("a"), taskNamed("b") });
    CHECK(std::get<WorkerJoined>(fixture.journal.records.at(4)).session == "w1#2");
}

TEST_CASE(
    "A worker that stops responding while its session is being journalled is removed from the set", "[worker-sessions]")
{
    // Otherwise it would count against every majority of this and later owners.
    Fixture fixture(3);
    fixture.journal.isDown = true;
    fixture.fleet.add(fixture.clock, "w4");
    fixture.clock.advance(seconds(2));
    fixture.setDisconnected(fixture.owner(), { "w4" });
    fixture.journal.flush();
    fixture.clock.advance(seconds(40));
    CHECK(std::get<WorkerRemoved>(fixture.journal.records.back()).worker == VmId("w4"));
    CHECK(fixture.owner().log.size() == 3);
}

TEST_CASE("A majority is required of every worker set that a later owner may recover", "[worker-sessions]")
{
    // With both removals in one journal value, a later owner may recover three workers, of which two are a majority.
    WorkerSet set;
    std::vector<JournalRecord> records;
    for (const char* id : { "w1", "w2", "w3", "w4", "w5" }) {
        WorkerDescription worker;
        worker.id = VmId(id);
        records.emplace_back(WorkerJoined { worker, "s" });
    }
    set.recover(records);
    const auto accepts = [](std::set<std::string> ids) {
        return [ids = std::move(ids)](const VmId& id, const std::string&) { return ids.contains(id.value()); };
    };
    CHECK(set.hasMajority(accepts({ "w3", "w4", "w5" })));
    CHECK_FALSE(set.hasMajority(accepts({ "w4", "w5" })));
    set.beginChange({ VmId("w4"), std::nullopt });
    set.beginChange({ VmId("w5"), std::nullopt });
    CHECK_FALSE(set.hasMajority(accepts({ "w3", "w4", "w5" })));
    CHECK(set.hasMajority(accepts({ "w1", "w2", "w3" })));
    set.finishChange();
    set.finishChange();
    CHECK(set.hasMajority(accepts({ "w1", "w2" })));
}

TEST_CASE(
    "A replaced worker's tasks are lost only after the leases of the earlier VM have expired", "[worker-sessions]")
{
    Fixture fixture(3);
    const bool takeover = GENERATE(false, true);
    fixture.owner().startTask("w1", "a");
    fixture.clock.advance(milliseconds(10));
    // The earlier VM keeps running, out of reach, while another one at a new address has its id.
    const std::unique_ptr<FakeWorker> earlier = std::move(fixture.fleet.workers.at(VmId("w1")));
    WorkerDescription description = earlier->description();
    description.address = { "127.0.0.2", 1 };
    auto replacement = std::make_unique<FakeWorker>(fixture.clock, description);
    replacement->restart();
    fixture.fleet.workers.at(VmId("w1")) = std::move(replacement);
    if (takeover)
        fixture.addOwner().start();
    fixture.setDisconnected(fixture.owner(), { "w1" });
    fixture.clock.advance(milliseconds(1200)); // the list shows the new address
    fixture.setDisconnected(fixture.owner(), { "w1" }, false);
    const auto lost = [&] {
        const Log& log = fixture.owner().log;
        return std::find(log.begin(), log.end(), "lost w1") != log.end();
    };
    for (int n = 0; n < 400 && !lost(); ++n)
        fixture.clock.advance(milliseconds(100));
    CHECK(lost());
    CHECK(earlier->runningCount() == 0);
    fixture.clock.advance(seconds(3));
    CHECK(fixture.owner().log.back() == "available w1");
}

TEST_CASE("A start sent to an earlier incarnation of a worker has no effect on the new one", "[worker-sessions]")
{
    Fixture fixture(3);
    fixture.owner().gateway.link("w1").startDelay = milliseconds(1900);
    fixture.owner().startTask("w1", "late");
    fixture.clock.advance(milliseconds(100));
    fixture.owner().gateway.link("w1").startDelay = {};
    fixture.fleet.at("w1").restart();
    fixture.clock.advance(milliseconds(1500));
    CHECK(fixture.owner().log.back() == "available w1"); // before the start arrives
    CHECK(fixture.owner().outcomes.at("late") == CommandOutcome::Unknown);
    fixture.clock.advance(seconds(5));
    CHECK(fixture.fleet.at("w1").starts == 0);
}

TEST_CASE("Late responses of an earlier incarnation do not end tasks of the new one", "[worker-sessions]")
{
    Fixture fixture(3);
    auto& link = fixture.owner().gateway.link("w1");
    link.delay = milliseconds(900); // responses of lease and event calls are still under way at the restart
    fixture.clock.advance(milliseconds(1000));
    link.delay = milliseconds(1);
    fixture.fleet.at("w1").restart();
    fixture.owner().log.clear();
    for (int n = 0; n < 40 && (fixture.owner().log.empty() || fixture.owner().log.back() != "available w1"); ++n)
        fixture.clock.advance(milliseconds(50));
    REQUIRE(fixture.owner().log == Log { "lost w1", "available w1" });
    fixture.owner().startTask("w1", "a");
    fixture.clock.advance(seconds(5));
    CHECK(fixture.owner().log == Log { "lost w1", "available w1" });
    CHECK(fixture.fleet.at("w1").isRunning(taskNamed("a")));
}

TEST_CASE("A worker that restarted around a takeover is lost before it is available", "[worker-sessions]")
{
    // Otherwise the new owner would take its empty report for the whole history of the worker.
    Fixture fixture(3);
    const auto restartAt = GENERATE(milliseconds(-500), milliseconds(0), milliseconds(2), milliseconds(100));
    const bool journalIsSlow = GENERATE(false, true); // then the epoch becomes active before the worker is available
    fixture.owner().startTask("w1", "a");
    fixture.clock.advance(milliseconds(10));
    Owner& previous = fixture.owner();
    Owner& owner = fixture.addOwner();
    if (restartAt < milliseconds(0)) {
        previous.runtime.pause();
        fixture.fleet.at("w1").restart();
        fixture.clock.advance(-restartAt);
    }
    fixture.journal.isDown = journalIsSlow;
    owner.start();
    if (restartAt >= milliseconds(0)) {
        fixture.clock.advance(restartAt);
        fixture.fleet.at("w1").restart();
    }
    fixture.clock.advance(seconds(2));
    CHECK(owner.sessions.isActive());
    fixture.journal.flush();
    fixture.clock.advance(seconds(3));
    Log ofWorker;
    std::copy_if(owner.log.begin(), owner.log.end(), std::back_inserter(ofWorker),
        [](const std::string& entry) { return entry.ends_with(" w1"); });
    REQUIRE(ofWorker.size() >= 2);
    CHECK(Log(ofWorker.end() - 2, ofWorker.end()) == Log { "lost w1", "available w1" });
}
