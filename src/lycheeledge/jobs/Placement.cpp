// Selects workers for the tasks of a step.

#include "Placement.h"

#include <algorithm>
#include <set>
#include <utility>

namespace lycheeledge::jobs {

namespace {

    // Each penalty outweighs any difference in free capacity, which is at most 1. Ordered by severity.
    constexpr double remoteDataPenalty = 2; // a task whose data is on another rack takes up to twice as long
    constexpr double interferencePenalty = 8; // idle-CPU tasks and latency-sensitive tasks slow each other down
    constexpr double unreliableWorkerPenalty = 32; // the attempt may be lost
    // For urgent work, a slowdown of 25% outweighs any difference in free capacity.
    constexpr double slownessWeight = 4;
    // Batch work tolerates common speed differences, which leaves the fast workers to urgent work.
    constexpr double packSlownessThreshold = 1.6;

} // namespace

Placement::Placement(const StepSpec& step, std::vector<PlacementCandidate> candidates, PlacementGoal goal)
    : m_step(step)
    , m_candidates(std::move(candidates))
    , m_goal(goal)
    , m_reservation(reservationOf(step))
{
}

bool Placement::fits(const PlacementCandidate& candidate) const
{
    if (m_step.maxTasksPerWorker > 0 && candidate.tasksOfStep >= m_step.maxTasksPerWorker)
        return false;
    return m_reservation.fitsIn(candidate.free);
}

// Cost of placing a task on the candidate; lower is better.
double Placement::score(const PlacementCandidate& candidate) const
{
    double result = (candidate.free - m_reservation).dominantShare(candidate.capacity);
    const auto cpu = static_cast<double>(std::max<std::int64_t>(candidate.capacity.milliCpu, 1));
    if (m_goal == PlacementGoal::Spread || m_step.usesIdleCpu)
        result = 1 - static_cast<double>(candidate.free.milliCpu) / cpu;
    if (!m_step.preferredRack.empty() && candidate.rack != m_step.preferredRack)
        result += remoteDataPenalty;
    if (m_step.usesIdleCpu && candidate.hasLatencySensitiveTasks)
        result += interferencePenalty;
    if (m_step.latencyTarget > Duration::zero() && candidate.hasIdleCpuTasks)
        result += interferencePenalty;
    if (candidate.deprioritized)
        result += unreliableWorkerPenalty;
    const double slownessThreshold = m_goal == PlacementGoal::Spread ? 1 : packSlownessThreshold;
    if (m_goal == PlacementGoal::Spread || candidate.slowness > slownessThreshold)
        result += slownessWeight * (candidate.slowness - slownessThreshold);
    return result;
}

std::vector<std::size_t> Placement::ranking() const
{
    std::vector<std::pair<double, std::size_t>> scored;
    for (std::size_t i = 0; i < m_candidates.size(); ++i) {
        if (fits(m_candidates[i]))
            scored.emplace_back(score(m_candidates[i]), i);
    }
    std::sort(scored.begin(), scored.end());
    std::vector<std::size_t> result;
    result.reserve(scored.size());
    for (const auto& [value, n] : scored)
        result.push_back(n);
    return result;
}

std::uint64_t Placement::taskCapacityOn(std::size_t n) const
{
    const PlacementCandidate& candidate = m_candidates[n];
    std::uint64_t result = m_step.taskCount;
    const auto limit = [&result](std::int64_t free, std::int64_t each) {
        if (each > 0)
            result = std::min(result, static_cast<std::uint64_t>(std::max<std::int64_t>(free, 0) / each));
    };
    limit(candidate.free.milliCpu, m_reservation.milliCpu);
    limit(candidate.free.memoryMb, m_reservation.memoryMb);
    limit(candidate.free.accelerators, m_reservation.accelerators);
    if (m_step.maxTasksPerWorker > 0)
        result = std::min<std::uint64_t>(
            result, m_step.maxTasksPerWorker - std::min(m_step.maxTasksPerWorker, candidate.tasksOfStep));
    return result;
}

std::optional<std::size_t> Placement::place()
{
    std::optional<std::size_t> best;
    double bestScore = 0;
    for (std::size_t i = 0; i < m_candidates.size(); ++i) {
        if (!fits(m_candidates[i]))
            continue;
        const double value = score(m_candidates[i]);
        if (!best || value < bestScore) {
            best = i;
            bestScore = value;
        }
    }
    if (best) {
        m_candidates[*best].free -= m_reservation;
        ++m_candidates[*best].tasksOfStep;
    }
    return best;
}

std::vector<std::size_t> Placement::placeGang(std::size_t count)
{
    if (m_step.sameRack) {
        std::set<std::string> racks;
        for (const auto& candidate : m_candidates)
            racks.insert(candidate.rack);
        for (const auto& rack : racks) {
            if (auto places = placeOnRack(&rack, count); !places.empty())
                return places;
        }
    }
    return placeOnRack(nullptr, count);
}

std::vector<std::size_t> Placement::placeOnRack(const std::string* rack, std::size_t count)
{
    const std::vector<PlacementCandidate> before = m_candidates;
    if (rack != nullptr) {
        for (auto& candidate : m_candidates) {
            if (candidate.rack != *rack)
                candidate.free = {};
        }
    }
    std::vector<std::size_t> places;
    while (places.size() < count) {
        const auto n = place();
        if (!n)
            break;
        places.push_back(*n);
    }
    if (places.size() < count) {
        m_candidates = before;
        return {};
    }
    return places;
}

} // namespace lycheeledge::jobs
