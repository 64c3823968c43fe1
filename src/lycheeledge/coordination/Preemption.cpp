// Tasks that are stopped so that teams below their share get capacity.

#include "Preemption.h"

#include <algorithm>

namespace lycheeledge {

namespace {

    constexpr double budgetPerSecond = 0.05;
    constexpr Duration stepLength = std::chrono::milliseconds(500);
    constexpr TaskAction actions[] = { TaskAction::Checkpoint, TaskAction::Throttle, TaskAction::Stop };

} // namespace

std::vector<Victim> Preemption::choose(
    const WorkerTable& workers, const std::vector<Victim>& victims, const Resources& size)
{
    std::map<WorkerSlot, std::vector<Victim>> byWorker;
    std::vector<Victim> best;
    for (const Victim& victim : victims) {
        const WorkerEntry& entry = workers.at(victim.worker);
        if (!entry.placeable())
            continue;
        auto& chosen = byWorker[victim.worker];
        chosen.push_back(victim);
        Resources free = entry.free();
        for (const Victim& each : chosen)
            free += each.size;
        if (size.fitsIn(free) && (best.empty() || chosen.size() < best.size()))
            best = chosen;
        if (best.size() == 1)
            break;
    }
    return best;
}

bool Preemption::afford(TimePoint now, double part)
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

std::vector<Preemption::Step> Preemption::takeSteps(TimePoint now)
{
    std::vector<Step> due;
    for (auto& [id, progress] : m_active) {
        if (progress.steps >= std::size(actions) || progress.next > now)
            continue;
        due.push_back({ id, actions[progress.steps] });
        ++progress.steps;
        progress.next = now + stepLength;
    }
    return due;
}

bool Preemption::stopped(const TaskId& id) const
{
    const auto it = m_active.find(id);
    return it != m_active.end() && it->second.steps >= std::size(actions);
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
