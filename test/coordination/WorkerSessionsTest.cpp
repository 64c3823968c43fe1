// Tests of the sessions between a cell owner and its workers.

#include "support/FakeJournal.h"
#include "support/FakeWorkerGateway.h"
#include "support/ManualRuntime.h"
#include "support/PausableRuntime.h"

#include <lycheeledge/coordination/WorkerSessions.h>

#include <catch2/catch.hpp>

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
    Log log; ///< without reports
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

    void begin()
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

struct Bench {
    ManualRuntime clock;
    FakeFleet fleet;
    FakeJournal journal { clock };
    std::vector<std::unique_ptr<Owner>> owners; ///< one for each epoch

    explicit Bench(int workers)
    {
        for (int n = 1; n <= workers; ++n)
            fleet.add(clock, "w" + std::to_string(n));
        next().begin();
        clock.advance(seconds(2));
    }
    Owner& next()
    {
        owners.push_back(std::make_unique<Owner>(clock, fleet, journal, owners.size() + 1));
        return *owners.back();
    }
    Owner& owner() { return *owners.back(); }
    void cut(Owner& owner, std::initializer_list<const char*> workers, bool isCut = true)
    {
        for (const char* worker : workers)
            owner.gateway.link(worker).isCut = isCut;
    }
};

} // namespace

TEST_CASE("Listed workers join after their session is journalled", "[worker-sessions]")
{
    Bench bench(3);
    CHECK(bench.owner().log == Log { "available w1", "available w2", "available w3" });
    CHECK(bench.journal.records.size() == 3);
    CHECK(bench.owner().sessions.isActive());
    bench.owner().log.clear();
    bench.journal.isDown = true;
    bench.fleet.add(bench.clock, "w4");
    bench.clock.advance(seconds(5));
    CHECK(bench.owner().log.empty());
    bench.journal.flush();
    bench.clock.advance(seconds(1));
    CHECK(bench.owner().log == Log { "available w4" });
}

TEST_CASE("Tasks start, finish and are stopped", "[worker-sessions]")
{
    Bench bench(1);
    bench.owner().startTask("w1", "a");
    bench.owner().startTask("w1", "b");
    bench.clock.advance(milliseconds(10));
    CHECK(bench.owner().outcomes.at("a") == CommandOutcome::Accepted);
    bench.fleet.at("w1").finish(taskNamed("a"), true);
    bench.owner().sessions.act(VmId("w1"), TaskAction::Stop, taskNamed("b"));
    bench.clock.advance(seconds(1));
    CHECK(bench.fleet.at("w1").runningCount() == 0);
    CHECK(bench.owner().log == Log { "available w1", "finished w1 a", "finished w1 b" });
}

TEST_CASE("A start is repeated at the same worker until it is answered", "[worker-sessions]")
{
    Bench bench(1);
    auto& link = bench.owner().gateway.link("w1");
    const bool arrives = GENERATE(true, false);
    link.losesAnswers = arrives;
    link.startDelay = arrives ? seconds(0) : seconds(4);
    bench.owner().startTask("w1", "a");
    bench.clock.advance(milliseconds(500));
    CHECK_FALSE(bench.owner().outcomes.contains("a"));
    link = {};
    bench.clock.advance(seconds(3));
    CHECK(bench.owner().outcomes.at("a") == CommandOutcome::Accepted);
    bench.clock.advance(seconds(5));
    CHECK(bench.fleet.at("w1").starts == 1);
}

TEST_CASE(
    "A repetition that is refused or not delivered does not prove that the first start was not", "[worker-sessions]")
{
    Bench bench(3);
    auto& link = bench.owner().gateway.link("w1");
    link.losesAnswers = true;
    bench.owner().startTask("w1", "a");
    bench.clock.advance(milliseconds(100));
    link = {};
    link.isCut = true;
    // The repetitions are not delivered; the last ones are refused, because the controller lease has ended.
    for (int n = 0; n < 60 && !bench.owner().outcomes.contains("a"); ++n) {
        bench.clock.advance(milliseconds(100));
        link.isCut = n < 40;
    }
    bench.clock.advance(seconds(2));
    CHECK(bench.owner().outcomes.at("a") == CommandOutcome::Accepted);
    CHECK(bench.fleet.at("w1").starts == 1);
}

TEST_CASE("A new owner becomes active with a majority, and waits for the rest", "[worker-sessions]")
{
    Bench bench(5);
    bench.owner().startTask("w1", "a");
    bench.clock.advance(milliseconds(10));
    Owner& former = bench.owner();
    Owner& owner = bench.next();
    bench.cut(owner, { "w4", "w5" });
    owner.begin();
    bench.clock.advance(milliseconds(400));
    CHECK_FALSE(owner.missing);
    bench.clock.advance(milliseconds(200));
    REQUIRE(owner.missing);
    CHECK(*owner.missing == std::vector { VmId("w4"), VmId("w5") });
    CHECK(owner.reportedRunning == std::vector { taskNamed("a") });
    bench.clock.advance(seconds(1));
    CHECK(former.isLost);
    CHECK(former.gateway.startsSent == 1);
    former.startTask("w4", "late");
    bench.clock.advance(milliseconds(100));
    CHECK(former.gateway.startsSent == 1);
    CHECK(former.outcomes.at("late") == CommandOutcome::NotDelivered);
}

TEST_CASE("A paused owner that wakes and sends one more start runs nothing unseen", "[worker-sessions]")
{
    // The former owner is paused between the decision and the sending, so that its own checks cannot help. The worker
    // is one that the new owner has reached, or one that it has not.
    const bool isReached = GENERATE(true, false);
    const auto pause = GENERATE(milliseconds(1000), milliseconds(4000), milliseconds(20000));
    Bench bench(3);
    Owner& former = bench.owner();
    former.gateway.pauseBeforeStart = [&] {
        former.runtime.pause();
        bench.clock.after(pause, [&] { former.runtime.resume(); });
        return pause;
    };
    Owner& owner = bench.next();
    if (!isReached)
        bench.cut(owner, { "w1" });
    former.startTask("w1", "late");
    owner.begin();
    bench.clock.advance(milliseconds(700));
    REQUIRE(owner.sessions.isActive());
    bench.clock.advance(pause + milliseconds(300));
    const FakeWorker& worker = bench.fleet.at("w1");
    CHECK(worker.starts == (isReached || pause > seconds(3) ? 0 : 1));
    for (int n = 0; n < 300 && owner.log.back() != "lost w1"; ++n)
        bench.clock.advance(milliseconds(100));
    CHECK((owner.log.back() == "lost w1") != isReached);
    CHECK(worker.runningCount() == 0);
}

TEST_CASE(
    "A worker that only the former owner reaches is lost after the leases that it may still grant", "[worker-sessions]")
{
    // The former owner renews w1 for as long as it takes itself for active, and is then paused while it sends a start.
    Bench bench(5);
    bench.clock.advance(milliseconds(50)); // to shortly after the renewals
    Owner& former = bench.owner();
    bench.cut(former, { "w2", "w3", "w4", "w5" });
    Owner& owner = bench.next();
    bench.cut(owner, { "w1" });
    owner.begin();
    bench.clock.advance(milliseconds(600));
    REQUIRE(owner.sessions.isActive());
    bench.clock.advance(seconds(2));
    REQUIRE(former.sessions.isActive());
    former.gateway.pauseBeforeStart = [&] {
        former.runtime.pause();
        return milliseconds(2300);
    };
    former.startTask("w1", "late");
    bench.clock.advance(seconds(3));
    CHECK(bench.fleet.at("w1").isRunning(taskNamed("late")));
    for (int n = 0; n < 300 && owner.log.back() != "lost w1"; ++n)
        bench.clock.advance(milliseconds(100));
    CHECK(owner.log.back() == "lost w1");
    CHECK(bench.fleet.at("w1").runningCount() == 0);
}

TEST_CASE("Without a majority an owner neither becomes nor stays active", "[worker-sessions]")
{
    Bench bench(4);
    Owner& former = bench.owner();
    Owner& owner = bench.next();
    bench.cut(owner, { "w3", "w4" });
    owner.begin();
    bench.clock.advance(seconds(9));
    CHECK_FALSE(owner.missing);
    CHECK(former.isLost); // half of the workers fenced it
    bench.clock.advance(seconds(2));
    CHECK(owner.isLost);
    Owner& third = bench.next();
    third.begin();
    bench.clock.advance(seconds(1));
    REQUIRE(third.sessions.isActive());
    bench.cut(third, { "w1", "w2" });
    bench.clock.advance(seconds(3));
    CHECK_FALSE(third.sessions.isActive());
    bench.clock.advance(seconds(1));
    CHECK(third.isLost);
}

TEST_CASE("A worker that cannot be reached is lost only after all of its leases have ended", "[worker-sessions]")
{
    Bench bench(3);
    bench.owner().startTask("w1", "a");
    bench.clock.advance(milliseconds(10));
    bench.owner().log.clear();
    bench.owner().gateway.link("w1").losesAnswers = true;
    bench.clock.advance(seconds(5));
    CHECK(bench.owner().log == Log { "unreachable w1" });
    for (int n = 0; n < 400 && bench.owner().log.size() == 1; ++n) {
        bench.clock.advance(milliseconds(100));
    }
    CHECK(bench.owner().log == Log { "unreachable w1", "lost w1" });
    CHECK(bench.fleet.at("w1").runningCount() == 0);
    bench.clock.advance(seconds(1));
    const auto removed = std::get<WorkerRemoved>(bench.journal.records.at(3));
    CHECK(removed.unknownTasks == std::vector { taskNamed("a") });
    bench.owner().gateway.link("w1").losesAnswers = false;
    bench.clock.advance(seconds(3));
    CHECK(bench.owner().log == Log { "unreachable w1", "lost w1", "available w1", "finished w1 a" });
}

TEST_CASE("A restarted worker counts again once its new session is journalled", "[worker-sessions]")
{
    Bench bench(3);
    bench.owner().startTask("w1", "a");
    bench.clock.advance(milliseconds(10));
    bench.owner().gateway.link("w1").losesAnswers = true;
    bench.owner().startTask("w1", "b");
    bench.clock.advance(milliseconds(100));
    bench.owner().gateway.link("w1").losesAnswers = false;
    bench.owner().log.clear();
    bench.journal.isDown = true;
    bench.fleet.at("w1").restart();
    bench.clock.advance(seconds(2));
    CHECK(bench.owner().outcomes.at("b") == CommandOutcome::Unknown);
    CHECK(bench.owner().log == Log { "lost w1" });
    bench.journal.flush();
    bench.clock.advance(seconds(2));
    CHECK(bench.owner().log == Log { "lost w1", "available w1" });
    CHECK(std::get<WorkerRemoved>(bench.journal.records.at(3)).unknownTasks
        == std::vector { taskNamed("a"), taskNamed("b") });
    CHECK(std::get<WorkerJoined>(bench.journal.records.at(4)).session == "w1#2");
}

TEST_CASE("A worker that is never heard of again after it was journalled leaves the set", "[worker-sessions]")
{
    // It would count against every majority of this and later owners.
    Bench bench(3);
    bench.journal.isDown = true;
    bench.fleet.add(bench.clock, "w4");
    bench.clock.advance(seconds(2));
    bench.cut(bench.owner(), { "w4" });
    bench.journal.flush();
    bench.clock.advance(seconds(40));
    CHECK(std::get<WorkerRemoved>(bench.journal.records.back()).worker == VmId("w4"));
    CHECK(bench.owner().log.size() == 3);
}

TEST_CASE("A majority must hold for every set that a successor may find", "[worker-sessions]")
{
    // Two removals in one journal value: the successor may find three workers, of which two are a majority.
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
