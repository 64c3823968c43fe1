// Decisions that need no cluster: placement, order, quarantine, questions to the admission service.

#include "support/FakeJobWorkers.h"
#include "support/JobCluster.h"

#include <lycheeledge/jobs/ClaimPatience.h>
#include <lycheeledge/jobs/FailureQuarantine.h>
#include <lycheeledge/jobs/OwnerYield.h>
#include <lycheeledge/jobs/Placement.h>
#include <lycheeledge/jobs/StallDetector.h>
#include <lycheeledge/jobs/StepOrder.h>
#include <lycheeledge/jobs/WorkerSpeeds.h>

#include <catch2/catch.hpp>

using namespace lycheeledge;
using namespace lycheeledge::jobs;
using namespace lycheeledge::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

PlacementCandidate candidate(const std::string& id, std::int64_t freeCpu, std::int64_t cpu, const std::string& rack)
{
    PlacementCandidate result;
    result.worker = WorkerId(id);
    result.rack = rack;
    result.free = capacityOf(freeCpu);
    result.capacity = capacityOf(cpu);
    return result;
}

std::string placed(const StepSpec& step, std::vector<PlacementCandidate> candidates, PlacementGoal goal)
{
    Placement placement(step, std::move(candidates), goal);
    const auto n = placement.place();
    return n ? placement.candidate(*n).worker.value() : "none";
}

} // namespace

TEST_CASE("urgent work goes to the emptiest worker, batch work to the fullest that has room", "[placement]")
{
    const auto step = simpleStep(1, 2000);
    const std::vector<PlacementCandidate> workers { candidate("full", 1000, 8000, "r1"),
        candidate("tight", 2500, 8000, "r1"), candidate("empty", 8000, 8000, "r1") };
    CHECK(placed(step, workers, PlacementGoal::Spread) == "empty");
    CHECK(placed(step, workers, PlacementGoal::Pack) == "tight");
    CHECK(placed(simpleStep(1, 9000), workers, PlacementGoal::Pack) == "none");
}

TEST_CASE("placement prefers the rack of the data, and avoids doubtful workers", "[placement]")
{
    auto step = simpleStep(1, 2000);
    step.preferredRack = "r2";
    auto near = candidate("near", 3000, 8000, "r2");
    CHECK(placed(step, { candidate("far", 8000, 8000, "r1"), near }, PlacementGoal::Spread) == "near");
    near.preferLess = true;
    CHECK(placed(step, { candidate("far", 8000, 8000, "r1"), near }, PlacementGoal::Spread) == "far");
}

TEST_CASE("tasks on idle processors and tasks with a latency target are kept apart", "[placement]")
{
    auto filling = simpleStep(1, 2000);
    filling.usesIdleCpu = true;
    auto beside = candidate("beside", 8000, 8000, "r1");
    beside.hasServingTasks = true;
    CHECK(placed(filling, { beside, candidate("alone", 500, 8000, "r1") }, PlacementGoal::Pack) == "alone");
    auto serving = simpleStep(1, 2000);
    serving.latencyTarget = milliseconds(80);
    auto filled = candidate("filled", 8000, 8000, "r1");
    filled.hasFillingTasks = true;
    CHECK(placed(serving, { filled, candidate("clear", 2000, 8000, "r1") }, PlacementGoal::Spread) == "clear");
}

TEST_CASE("a gang keeps to one rack where it fits, and takes no room where it does not fit", "[placement]")
{
    auto step = simpleStep(4, 4000);
    step.sameRack = true;
    const std::vector<PlacementCandidate> workers { candidate("a", 8000, 8000, "r1"), candidate("b", 8000, 8000, "r2"),
        candidate("c", 8000, 8000, "r2") };
    Placement placement(step, workers, PlacementGoal::Pack);
    const auto places = placement.placeGang(4);
    REQUIRE(places.size() == 4);
    for (const auto n : places)
        CHECK(placement.candidate(n).rack == "r2");
    Placement tooSmall(step, workers, PlacementGoal::Pack);
    CHECK(tooSmall.placeGang(7).empty());
    CHECK(tooSmall.placeGang(6).size() == 6);
}

TEST_CASE("urgent queues go first, then accounts below their share, then what can still be in time", "[order]")
{
    const TimePoint now(seconds(100));
    const ObjectiveOrder order(0.2);
    StepUrgency base;
    base.priority = 1;
    base.shareOfAccount = 0.1;
    base.objective = now + seconds(10);
    base.worthlessAt = now + seconds(30);
    base.remaining = seconds(2);
    const auto changed = [&base](auto change) {
        StepUrgency result = base;
        change(result);
        return result;
    };
    const auto urgent = changed([](auto& it) { it.priority = 0; });
    const auto overShare = changed([](auto& it) { it.shareOfAccount = 0.3; });
    const auto late = changed([now](auto& it) { it.objective = now + seconds(1); });
    const auto worthless = changed([now](auto& it) { it.worthlessAt = now + seconds(1); });
    const auto sooner = changed([now](auto& it) { it.objective = now + seconds(5); });
    CHECK(order.before(urgent, base, now));
    CHECK(order.before(base, overShare, now));
    CHECK(order.before(base, late, now));
    CHECK(order.before(late, worthless, now));
    CHECK(order.before(sooner, base, now));
    CHECK_FALSE(order.before(base, base, now));
}

TEST_CASE("failures of different jobs quarantine a worker; a success ends the suspicion", "[quarantine]")
{
    FailureQuarantine quarantine;
    const WorkerId worker("w");
    TimePoint now(seconds(100));
    CHECK_FALSE(quarantine.failed(worker, JobId("a"), now));
    CHECK_FALSE(quarantine.failed(worker, JobId("a"), now)); // the job may be at fault
    CHECK(quarantine.failed(worker, JobId("b"), now));
    CHECK(quarantine.isQuarantined(worker, now + seconds(1)));
    now += seconds(3);
    CHECK_FALSE(quarantine.isQuarantined(worker, now));
    CHECK(quarantine.isOnProbation(worker));
    CHECK(quarantine.failed(worker, JobId("c"), now)); // the probing task failed: longer
    CHECK(quarantine.isQuarantined(worker, now + seconds(3)));
    quarantine.succeeded(worker);
    CHECK_FALSE(quarantine.isQuarantined(worker, now + seconds(3)));
    CHECK_FALSE(quarantine.isOnProbation(worker));
}

TEST_CASE("slow questions never occupy the relays that urgent work needs", "[admission]")
{
    ManualRuntime runtime;
    FakeAdmission service(runtime);
    service.answerTime = milliseconds(500);
    AdmissionDesk desk(runtime, service);
    for (RelayId n = 0; n < 6; ++n)
        desk.addRelay(n);
    const AdmissionPolicy slow { milliseconds(400), milliseconds(5), seconds(2) };
    const AdmissionPolicy quick { milliseconds(15), std::chrono::microseconds(200), seconds(2) };
    std::size_t asked = 0;
    std::uint32_t n = 0;
    while (desk.isFree(slow)) {
        desk.ask({ { JobId("j"), 0, n++ }, { WorkerId("w") } }, slow, [](const auto&) {});
        ++asked;
    }
    CHECK(asked == 4);
    CHECK(desk.isFree(quick));
    std::set<RelayId> used;
    for (const auto& question : service.asked)
        used.insert(question.relay);
    CHECK(used.size() == 4); // one call at a time from each relay
}

TEST_CASE("a freed relay is offered again; one that left is not", "[admission]")
{
    ManualRuntime runtime;
    FakeAdmission service(runtime);
    AdmissionDesk desk(runtime, service);
    int offers = 0;
    desk.onFree([&offers] { ++offers; });
    desk.addRelay(1);
    const AdmissionPolicy quick { milliseconds(15), std::chrono::microseconds(200), seconds(2) };
    int answers = 0;
    desk.ask({ { JobId("j"), 0, 0 }, { WorkerId("w") } }, quick, [&answers](const auto& grants) {
        CHECK(grants.ok());
        ++answers;
    });
    CHECK_FALSE(desk.isFree(quick));
    runtime.advance(seconds(1));
    CHECK(answers == 1);
    CHECK(offers == 2);
    CHECK(desk.isFree(quick));
    desk.removeRelay(1);
    CHECK_FALSE(desk.isFree(quick));
}

// --- Speeds and progress ---

TEST_CASE("urgent work prefers a fast worker to an empty one, batch work avoids only very slow ones", "[placement]")
{
    const auto step = simpleStep(1, 2000);
    auto slow = candidate("slow", 8000, 8000, "r1");
    slow.slowness = 1.3;
    const auto fast = candidate("fast", 4000, 8000, "r1");
    CHECK(placed(step, { slow, fast }, PlacementGoal::Spread) == "fast");
    auto slowAndFull = slow;
    slowAndFull.free = capacityOf(2500);
    CHECK(placed(step, { slowAndFull, fast }, PlacementGoal::Pack) == "slow");
    slowAndFull.slowness = 3;
    CHECK(placed(step, { slowAndFull, fast }, PlacementGoal::Pack) == "fast");
}

TEST_CASE("the ranking of workers leaves out those without room", "[placement]")
{
    const auto step = simpleStep(1, 2000);
    auto slow = candidate("slow", 8000, 8000, "r1");
    slow.slowness = 1.3;
    const Placement placement(step,
        { slow, candidate("full", 1000, 8000, "r1"), candidate("half", 4000, 8000, "r1"),
            candidate("empty", 8000, 8000, "r1") },
        PlacementGoal::Spread);
    std::vector<std::string> order;
    for (const auto n : placement.ranking())
        order.push_back(placement.candidate(n).worker.value());
    CHECK(order == std::vector<std::string> { "empty", "half", "slow" });
}

TEST_CASE("speeds of workers are learnt from tasks of the same step, whatever their length", "[speeds]")
{
    WorkerSpeeds speeds;
    const auto run = [](const std::string& worker, int ms) {
        return MeasuredRun { WorkerId(worker), worker == "slow" ? "b" : "a", milliseconds(ms) };
    };
    for (const int length : { 400, 3000, 800, 12000, 600, 900, 400, 3000, 800, 12000, 600, 900, 400, 3000, 800, 700 })
        speeds.stepDone({ run("a1", length), run("a2", length), run("slow", length * 3 / 2) });
    const double ratio = speeds.slowness(WorkerId("slow"), "b") / speeds.slowness(WorkerId("a1"), "a");
    CHECK(ratio > 1.35);
    CHECK(ratio < 1.65);
    // A worker that has run nothing yet is taken to be like its kind.
    CHECK(speeds.slowness(WorkerId("new"), "b") > speeds.slowness(WorkerId("other"), "a"));
    CHECK(speeds.slowness(WorkerId("new"), "unknown") == 1);
    const WorkerSpeeds before = speeds;
    speeds.stepDone({ run("a1", 90000) }); // a single run tells nothing of its worker
    CHECK(speeds.slowness(WorkerId("a1"), "a") == before.slowness(WorkerId("a1"), "a"));
}

TEST_CASE("a run is judged by its progress between two reports", "[progress]")
{
    const TaskLength length { .declared = milliseconds(800), .measured = milliseconds(800), .checkpoints = false };
    const auto judge = [&length](int before, int now, std::int64_t ms) {
        return judgeProgress({ before, 1000 }, { now, 1000 + ms }, length);
    };
    CHECK(judge(10, 10, 300) == ProgressVerdict::Unknown);
    CHECK(judge(10, 10, 800) == ProgressVerdict::Stalled);
    CHECK(judge(100, 100, 800) == ProgressVerdict::Sound); // its end is on the way
    CHECK(judge(10, 70, 800) == ProgressVerdict::Sound);
    CHECK(judge(10, 15, 800) == ProgressVerdict::Slow);
    CHECK(judge(80, 90, 800) == ProgressVerdict::Sound); // another run would end later
}

TEST_CASE("a task that takes far longer than declared is not taken to stand still", "[progress]")
{
    // Declared run times are far off: without ends of its step to compare with, only no progress at all counts.
    const TaskLength length { .declared = milliseconds(500), .measured = std::nullopt, .checkpoints = false };
    CHECK(judgeProgress({ 1, 1000 }, { 2, 1800 }, length) == ProgressVerdict::Sound);
    const TaskLength longer { .declared = seconds(20), .measured = std::nullopt, .checkpoints = false };
    CHECK(judgeProgress({ 1, 1000 }, { 1, 1900 }, longer) == ProgressVerdict::Unknown);
}

TEST_CASE("a worker on which a task stands still is quarantined at once", "[quarantine]")
{
    FailureQuarantine quarantine;
    const TimePoint now = TimePoint() + seconds(100);
    quarantine.stalled(WorkerId("w"), now);
    CHECK(quarantine.isQuarantined(WorkerId("w"), now + seconds(1)));
    CHECK_FALSE(quarantine.isQuarantined(WorkerId("w"), now + seconds(3)));
    CHECK(quarantine.isOnProbation(WorkerId("w")));
}

TEST_CASE("a claim waits for larger VMs and for an owner that is heard", "[ownership]")
{
    const ClaimSettings settings;
    const auto unowned = [](int ms, bool heard, double share, double largest) {
        return ClaimSituation {
            .unowned = milliseconds(ms), .ownerIsHeard = heard, .cpuShare = share, .largestCpuShare = largest
        };
    };
    CHECK(shouldClaim(unowned(0, false, 0.5, 0.5), settings));
    CHECK(shouldClaim(unowned(0, false, 0.12, 0), settings)); // sizes are not known
    CHECK_FALSE(shouldClaim(unowned(100, false, 0.12, 0.5), settings));
    CHECK(shouldClaim(unowned(400, false, 0.12, 0.5), settings));
    CHECK_FALSE(shouldClaim(unowned(400, true, 0.5, 0.5), settings));
    CHECK(shouldClaim(unowned(900, true, 0.5, 0.5), settings)); // the store may turn only the owner away
    CHECK_FALSE(shouldClaim(unowned(900, true, 0.12, 0.5), settings)); // larger VMs claim first then, too
}

TEST_CASE("an owner yields on a VM that is small or slow, if another member can do better", "[ownership]")
{
    const YieldSettings settings;
    const auto situation = [](int owningMs, double share, double largest, int lagMs) {
        return YieldSituation {
            .owning = milliseconds(owningMs), .cpuShare = share, .largestMember = largest, .lag = milliseconds(lagMs)
        };
    };
    CHECK(shouldYield(situation(10000, 0.5, 0.5, 40), settings) == YieldReason::None);
    CHECK(shouldYield(situation(100, 0.12, 0.5, 0), settings) == YieldReason::None);
    CHECK(shouldYield(situation(700, 0.12, 0.5, 0), settings) == YieldReason::SmallVm);
    CHECK(shouldYield(situation(10000, 0.5, 0.5, 400), settings) == YieldReason::SlowVm);
    CHECK(shouldYield(situation(1000, 0.5, 0.5, 400), settings) == YieldReason::None); // still recovering
    CHECK(shouldYield(situation(10000, 0.5, 0.12, 400), settings) == YieldReason::None);
    CHECK(shouldYield(situation(10000, 0.5, 0, 400), settings) == YieldReason::None);
}
