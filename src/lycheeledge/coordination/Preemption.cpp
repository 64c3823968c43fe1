// Preemption of tasks in favour of teams below their share.

#include "Preemption.h"

#include <algorithm>

namespace lycheeledge {

namespace {

    constexpr double budgetPerSecond = 0.05; // fraction of the fleet
    constexpr Duration stepInterval = std::chrono::milliseconds(500);
    constexpr TaskAction escalation[] = { TaskAction::Checkpoint, TaskAction::Throttle, TaskAction::Stop };

} // namespace

std::vector<Victim> Preemption::choose(
    const WorkerTable& workers, const std::vector<Victim>& victims, const Resources& size)
{
    std::map<WorkerIndex, std::vector<Victim>> byWorker;
    std::vector<Victim> best;
    for (const Victim& victim : victims) {
        const WorkerEntry& entry = workers.at(victim.worker);
        if (!entry.placeable())
            continue;
        auto& chosen = byWorker[victim.worker];
        chosen.push_back(victim);
        Resources free = entry.free();
        for (const Victim& candidate : chosen)
            free += candidate.size;
        if (size.fitsIn(free) && (best.empty() || chosen.size() < best.size()))
            best = chosen;
        if (best.size() == 1)
            break;
    }
    return best;
}

bool Preemption::takeBudget(TimePoint now, double part)
{
    if (m_refilled)
        m_budget += budgetPerSecond * std::chrono::duration<double>(now - *m_refilled).count();
    else
        m_budget = budgetPerSecond;
    m_refilled = now;
    m_budget = std::min(m_budget, budgetPerSecond);
    if (m_budget < std::min(part, budgetPerSecond))
        return false;
    m_budget -= part;
    return true;
}

void Preemption::begin(TimePoint now, const TaskId& id, const TeamId& beneficiary, const Resources& size)
{
    m_active.try_emplace(id, Progress { beneficiary, size, now, 0 });
}

std::vector<Preemption::Step> Preemption::takeDueSteps(TimePoint now)
{
    std::vector<Step> due;
    for (auto& [id, progress] : m_active) {
        if (progress.stepsSent >= std::size(escalation) || progress.nextStepAt > now)
            continue;
        due.push_back({ id, escalation[progress.stepsSent] });
        ++progress.stepsSent;
        progress.nextStepAt = now + stepInterval;
    }
    return due;
}

bool Preemption::stopRequested(const TaskId& id) const
{
    const auto it = m_active.find(id);
    return it != m_active.end() && it->second.stepsSent >= std::size(escalation);
}

Resources Preemption::pendingFor(const TeamId& beneficiary) const
{
    Resources sum;
    for (const auto& [id, progress] : m_active) {
        if (progress.beneficiary == beneficiary)
            sum += progress.size;
    }
    return sum;
}

Resources Preemption::pendingFrom(const TeamId& team) const
{
    Resources sum;
    for (const auto& [id, progress] : m_active) {
        if (id.work.team == team)
            sum += progress.size;
    }
    return sum;
}

} // namespace lycheeledge
