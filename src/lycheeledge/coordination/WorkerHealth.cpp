// Quarantine of workers on which tasks keep failing.

#include "WorkerHealth.h"

#include <algorithm>
#include <set>

namespace lycheeledge {

namespace {

    constexpr std::size_t minFailures = 5;
    constexpr std::size_t minFailureSources = 2;
    constexpr std::size_t minWorkersForFailingSource = 3;
    constexpr Duration failureWindow = std::chrono::seconds(30);
    constexpr Duration initialQuarantine = std::chrono::seconds(10);
    constexpr Duration maxQuarantine = std::chrono::minutes(5);

} // namespace

bool WorkerHealth::failed(TimePoint now, WorkerIndex slot, const WorkId& id)
{
    Worker& worker = m_workers[slot];
    if (worker.probing) {
        quarantine(now, slot, worker);
        return true;
    }
    Source& source = m_sources[id];
    if (source.failing)
        return false;
    if (worker.lastSuccess && worker.lastSuccess->second != id && now - worker.lastSuccess->first <= failureWindow) {
        source.failedWorkers.insert(slot);
        source.failing = source.failedWorkers.size() >= minWorkersForFailingSource;
        if (source.failing)
            return false;
    }
    worker.recentFailures.emplace_back(now, id);
    if (!shouldQuarantine(now, worker))
        return false;
    quarantine(now, slot, worker);
    return true;
}

bool WorkerHealth::shouldQuarantine(TimePoint now, Worker& worker) const
{
    std::erase_if(worker.recentFailures,
        [&](const auto& failure) { return now - failure.first > failureWindow || isFailing(failure.second); });
    // More than minFailures are kept: when one source caused them all, the first failure of another source within the
    // window quarantines the worker.
    while (worker.recentFailures.size() > 4 * minFailures)
        worker.recentFailures.pop_front();
    std::set<WorkId> sources;
    for (const auto& [time, id] : worker.recentFailures)
        sources.insert(id);
    return worker.recentFailures.size() >= minFailures && sources.size() >= minFailureSources;
}

void WorkerHealth::quarantine(TimePoint now, WorkerIndex slot, Worker& worker)
{
    // The backoff resets when the last quarantine ended longer ago than the longest quarantine lasts.
    if (!worker.probing && worker.backoffLevel > 0 && now - worker.quarantinedUntil > maxQuarantine)
        worker.backoffLevel = 0;
    const auto length
        = std::min<Duration>(initialQuarantine * (1LL << std::min(worker.backoffLevel, 5U)), maxQuarantine);
    ++worker.backoffLevel;
    worker.quarantinedUntil = now + length;
    worker.probing = false;
    worker.recentFailures.clear();
    m_quarantined.emplace(worker.quarantinedUntil, slot);
}

bool WorkerHealth::succeeded(TimePoint now, WorkerIndex slot, const WorkId& id)
{
    Worker& worker = m_workers[slot];
    worker.recentFailures.clear();
    worker.lastSuccess = { now, id };
    m_sources.erase(id);
    return std::exchange(worker.probing, false);
}

std::vector<WorkerIndex> WorkerHealth::takeReleased(TimePoint now)
{
    std::vector<WorkerIndex> released;
    while (!m_quarantined.empty() && m_quarantined.begin()->first <= now) {
        const WorkerIndex slot = m_quarantined.begin()->second;
        m_quarantined.erase(m_quarantined.begin());
        m_workers[slot].probing = true;
        released.push_back(slot);
    }
    return released;
}

bool WorkerHealth::awaitsProbe(WorkerIndex slot) const
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
