// Upper bound of the resources that runs unknown to the owner may use.

#include "UncountedUsage.h"

namespace lycheeledge::jobs {

namespace {

    // Longer than any run can survive its owner, by more than the clocks of VMs differ.
    constexpr std::int64_t recentEndMs = 30000;

} // namespace

UncountedUsage::UncountedUsage(const Jobs& jobs, const WorkerTable& workers, std::int64_t nowUnixMs)
{
    Resources largest;
    std::size_t ofUnknownCapacity = 0;
    absl::flat_hash_set<JobId> endedJobs;
    for (const auto& [id, worker] : workers.all()) {
        largest = highest(largest, worker.largestCapacity);
        addStrayRuns(jobs, worker, endedJobs);
        if (!worker.mayHaveEarlierRuns || worker.reported)
            continue;
        ++m_silentWorkers;
        m_silentCapacity += worker.largestCapacity;
        ofUnknownCapacity += worker.largestCapacity.isZero() ? 1 : 0;
    }
    m_silentCapacity += largest * static_cast<std::int64_t>(ofUnknownCapacity);
    if (m_silentWorkers > 0)
        addUnlocatedTasks(jobs, nowUnixMs);
}

// The sizes of the tasks of a job that has ended are not stored any more. All its runs together are as large as those
// that it had at its end; a run that it was not known to have then, as the room beside the worker's other runs.
void UncountedUsage::addStrayRuns(const Jobs& jobs, const Worker& worker, absl::flat_hash_set<JobId>& endedJobs)
{
    const Resources room = highest(worker.largestCapacity - worker.reserved, {});
    absl::flat_hash_set<AccountId> accountsOfUnknownRuns;
    bool isUnattributed = false;
    for (const auto& [task, run] : worker.strayRuns) {
        const auto it = jobs.find(task.job);
        if (it == jobs.end()) {
            isUnattributed = true;
            continue;
        }
        const Job& job = *it->second;
        if (task.step < job.spec().steps.size())
            m_strayRuns[job.submission.account] += job.spec().steps[task.step].request;
        else if (job.runsAtEnd == RunUsage {})
            accountsOfUnknownRuns.insert(job.submission.account);
        else if (endedJobs.insert(job.id).second)
            m_strayRuns[job.submission.account] += job.runsAtEnd.charged;
    }
    for (const auto& account : accountsOfUnknownRuns)
        m_strayRuns[account] += room;
    if (isUnattributed)
        m_unattributed += room;
}

void UncountedUsage::addUnlocatedTasks(const Jobs& jobs, std::int64_t nowUnixMs)
{
    for (const auto& [id, job] : jobs) {
        if (!job->mayHaveUnlocatedRuns)
            continue;
        if (!isFinal(job->state))
            m_unlocated[job->submission.account] += job->waitingUsage();
        else if (nowUnixMs - job->endedUnixMs < recentEndMs)
            m_unlocated[job->submission.account] += job->runsAtEnd;
    }
}

Resources UncountedUsage::of(const AccountId& account) const
{
    const auto stray = m_strayRuns.find(account);
    const Resources reported = m_unattributed + (stray == m_strayRuns.end() ? Resources {} : stray->second);
    if (m_silentWorkers == 0)
        return reported;
    const auto it = m_unlocated.find(account);
    if (it == m_unlocated.end())
        return reported;
    // Only what is reserved on a worker is bounded by its capacity.
    const auto& [reserved, charged] = it->second;
    return reported + lowest(reserved, m_silentCapacity) + (charged - reserved);
}

} // namespace lycheeledge::jobs
