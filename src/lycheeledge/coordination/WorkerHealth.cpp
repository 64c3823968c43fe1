// Quarantine of workers that fail the tasks they start.

#include "WorkerHealth.h"

#include <algorithm>
#include <set>

namespace lycheeledge {

namespace {

    constexpr std::size_t failuresInARow = 5;
    constexpr std::size_t sourcesInARow = 2;
    constexpr std::size_t workersPerFailingSource = 3;
    constexpr Duration window = std::chrono::seconds(30);
    constexpr Duration firstQuarantine = std::chrono::seconds(10);
    constexpr Duration longestQuarantine = std::chrono::minutes(5);

} // namespace

bool WorkerHealth::failed(TimePoint now, WorkerSlot slot, const WorkId& id)
{
    Worker& worker = m_workers[slot];
    if (worker.probing) {
        quarantine(now, slot, worker);
        return true;
    }
    Source& source = m_sources[id];
    if (source.failing)
        return false;
    if (worker.success && worker.success->second != id && now - worker.success->first <= window) {
        source.failedOn.insert(slot);
        source.failing = source.failedOn.size() >= workersPerFailingSource;
        if (source.failing)
            return false;
    }
    worker.streak.emplace_back(now, id);
    if (!streakIsBad(now, worker))
        return false;
    quarantine(now, slot, worker);
    return true;
}

bool WorkerHealth::streakIsBad(TimePoint now, Worker& worker) const
{
    std::erase_if(
        worker.streak, [&](const auto& failure) { return now - failure.first > window || isFailing(failure.second); });
    // Older failures stay within the window: a streak of one source turns bad with the first failure of another.
    while (worker.streak.size() > 4 * failuresInARow)
        worker.streak.pop_front();
    std::set<WorkId> sources;
    for (const auto& [time, id] : worker.streak)
        sources.insert(id);
    return worker.streak.size() >= failuresInARow && sources.size() >= sourcesInARow;
}

void WorkerHealth::quarantine(TimePoint now, WorkerSlot slot, Worker& worker)
{
    // A worker that stayed good for as long as the longest quarantine starts over.
    if (!worker.probing && worker.level > 0 && now - worker.until > longestQuarantine)
        worker.level = 0;
    const auto length = std::min<Duration>(firstQuarantine * (1LL << std::min(worker.level, 5U)), longestQuarantine);
    ++worker.level;
    worker.until = now + length;
    worker.probing = false;
    worker.streak.clear();
    m_quarantined.emplace(worker.until, slot);
}

bool WorkerHealth::succeeded(TimePoint now, WorkerSlot slot, const WorkId& id)
{
    Worker& worker = m_workers[slot];
    worker.streak.clear();
    worker.success = { now, id };
    m_sources.erase(id);
    return std::exchange(worker.probing, false);
}

std::vector<WorkerSlot> WorkerHealth::takeReleased(TimePoint now)
{
    std::vector<WorkerSlot> released;
    while (!m_quarantined.empty() && m_quarantined.begin()->first <= now) {
        const WorkerSlot slot = m_quarantined.begin()->second;
        m_quarantined.erase(m_quarantined.begin());
        m_workers[slot].probing = true;
        released.push_back(slot);
    }
    return released;
}

bool WorkerHealth::awaitsProbe(WorkerSlot slot) const
{
    const auto it = m_workers.find(slot);
    return it != m_workers.end() && it->second.probing;
}

bool WorkerHealth::isFailing(const WorkId& id) const
{
    const auto it = m_sources.find(id);
    return it != m_sources.end() && it->second.failing;
}

} // namespace lycheeledge
