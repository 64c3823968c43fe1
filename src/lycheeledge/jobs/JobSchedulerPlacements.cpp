// Scheduler of the owner: runs of earlier owners, and the stored placements of long-running tasks.
//
// A worker that is silent after a takeover may run any task that was not found elsewhere, and may hold the longest
// lease of the platform: if it had restarted just before, the earlier owner's last orders named a time of its old
// clock. Long-running tasks must not wait that long. Their placements are stored, so only the worker of a task matters,
// and only the lease that owners grant, which ends with the time for which they were confirmed.

#include "JobScheduler.h"

#include <algorithm>
#include <utility>

namespace lycheeledge::jobs {

namespace {

    // Of one job, of 60 bytes each; the tasks beyond wait like those of other kinds.
    constexpr std::size_t maxPlacements = 1000;

} // namespace

bool JobScheduler::allRunsLocated(const Job& job)
{
    const TimePoint confirmedAt = m_host.ownershipConfirmedAt();
    if (!job.mayHaveUnlocatedRuns)
        return true;
    const TimePoint known = std::min(m_runtime.now(), confirmedAt);
    const bool expired = known >= m_unlocatedRunsExpiry;
    if (!m_allWorkersReported)
        m_allWorkersReported = std::all_of(m_workers.all().begin(), m_workers.all().end(), [&](const auto& it) {
            const Worker& worker = it.second;
            return worker.reported || (expired && worker.link && known >= worker.link->leaseExpiry());
        });
    return *m_allWorkersReported && (expired || confirmedAt >= m_unreportedLossAt);
}

bool JobScheduler::mayStart(Job& job, const TaskKey& key)
{
    Task& task = *job.find(key);
    const auto placement = job.placements.find(key);
    if (!task.isLocated && placement != job.placements.end() && hasEnded(key, placement->second)) {
        task.isLocated = true;
        m_log.record("placement_ended",
            { { "task", describe(key) }, { "run", placement->second.run },
                { "worker", placement->second.worker.value() } });
    }
    return task.isLocated || allRunsLocated(job);
}

bool JobScheduler::hasEnded(const TaskKey& key, const RunPlacement& placement) const
{
    const TimePoint confirmedAt = m_host.ownershipConfirmedAt();
    const Worker* worker = m_workers.find(placement.worker);
    if (worker == nullptr)
        return confirmedAt >= m_unreportedLossAt;
    if (worker->reported)
        return !worker->awaitsReport && !worker->strayRuns.contains(key);
    return std::min(m_runtime.now(), confirmedAt) >= std::max(m_placedRunsExpiry, worker->link->leaseExpiry());
}

std::size_t JobScheduler::firstStartsLeft(Job& job) const
{
    if (std::exchange(job.budgetPass, m_passes) != m_passes) {
        const std::size_t limit = m_settings.maxValueBytes / 4;
        job.firstStartsLeft = (limit - std::min(limit, job.unfinishedBytes())) / unfinishedTaskBytes;
    }
    return job.firstStartsLeft;
}

void JobScheduler::recordPlacement(Job& job, const TaskKey& key, const Worker& worker)
{
    const Task& task = *job.find(key);
    if (!job.spec().steps[key.step].longRunning || isFinal(job.state) || !worker.link || worker.awaitsReport
        || worker.link->leaseExpiry() > m_runtime.now() + leaseOf(m_settings.link.lease))
        return;
    const RunPlacement placement {
        .occurrence = key.occurrence, .step = key.step, .index = key.index, .run = task.run, .worker = task.worker
    };
    const auto it = job.placements.find(key);
    if (it == job.placements.end() ? job.placements.size() >= maxPlacements : it->second == placement)
        return;
    job.placements[key] = placement;
    markChanged(job);
}

void JobScheduler::erasePlacement(Job& job, const TaskKey& key)
{
    if (job.placements.erase(key) > 0)
        markChanged(job);
}

void JobScheduler::notePlacements(Job& job, const ProgressRecord& record, bool isStored)
{
    if (isStored)
        job.storedPlacements.clear();
    for (const auto& placement : record.placements)
        job.storedPlacements.insert({ job.id, placement.occurrence, placement.step, placement.index });
}

} // namespace lycheeledge::jobs
