// Decisions that need no cluster: placement, order, quarantine, questions to the admission service.

#include "support/FakeJobWorkers.h"
#include "support/JobCluster.h"

#include <lycheeledge/jobs/FailureQuarantine.h>
#include <lycheeledge/jobs/Placement.h>
#include <lycheeledge/jobs/StepOrder.h>

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
