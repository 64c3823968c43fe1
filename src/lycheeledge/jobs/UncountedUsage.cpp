// Upper bound of the resources that runs unknown to the owner may use.

#include "UncountedUsage.h"

#include <algorithm>

namespace lycheeledge::jobs {

namespace {

    // Longer than any run can survive its owner, by more than the clocks of VMs differ.
    constexpr std::int64_t recentEndMs = 30000;

    Resources lowest(const Resources& a, const Resources& b)
    {
        return { std::min(a.milliCpu, b.milliCpu), std::min(a.memoryMb, b.memoryMb),
            std::min(a.accelerators, b.accelerators), std::min(a.slots, b.slots),
            std::min(a.connections, b.connections) };
    }

    Resources highest(const Resources& a, const Resources& b)
    {
        return { std::max(a.milliCpu, b.milliCpu), std::max(a.memoryMb, b.memoryMb),
            std::max(a.accelerators, b.accelerators), std::max(a.slots, b.slots),
            std::max(a.connections, b.connections) };
    }

    bool mayHaveRunsAfterEnd(const Job& job, std::int64_t nowUnixMs)
    {
        return (job.state == JobState::Cancelled || job.state == JobState::Failed)
            && nowUnixMs - job.endedUnixMs < recentEndMs;
    }

} // namespace

UncountedUsage::UncountedUsage(const Jobs& jobs, const WorkerTable& workers, std::int64_t nowUnixMs)
{
    Resources largest;
    std::size_t unregistered = 0;
    for (const auto& [id, worker] : workers.all()) {
        largest = highest(largest, worker.record.capacity);
        addStrayRuns(jobs, worker);
        if (!worker.mayHaveEarlierRuns || worker.reported)
            continue;
        ++m_silentWorkers;
        m_silentCapacity += worker.record.capacity;
        unregistered += worker.record.capacity.isZero() ? 1 : 0;
    }
    // The stored set of workers has no capacities, so one that left the registry counts as large as any.
    m_silentCapacity += largest * static_cast<std::int64_t>(unregistered);
    if (m_silentWorkers > 0)
        addUnlocatedTasks(jobs, nowUnixMs);
}

// A stray run of a job that has ended is as large as the room beside the worker's other runs, at most.
void UncountedUsage::addStrayRuns(const Jobs& jobs, const Worker& worker)
{
    const Resources room = highest(worker.free(), {});
    absl::flat_hash_set<AccountId> accountsOfEndedJobs;
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
        else
            accountsOfEndedJobs.insert(job.submission.account);
    }
    for (const auto& account : accountsOfEndedJobs)
        m_strayRuns[account] += room;
    if (isUnattributed)
        m_unattributed += room;
}

void UncountedUsage::addUnlocatedTasks(const Jobs& jobs, std::int64_t nowUnixMs)
{
    for (const auto& [id, job] : jobs) {
        const AccountId& account = job->submission.account;
        if (mayHaveRunsAfterEnd(*job, nowUnixMs))
            m_accountsWithUnknownTasks.insert(account);
        if (isFinal(job->state) || !job->mayHaveUnlocatedRuns)
            continue;
        Tasks& tasks = m_tasks[account];
        for (const auto& [n, occurrence] : job->open) {
            for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
                const StepSpec& spec = job->spec().steps[i];
                const auto waiting = std::count_if(occurrence.steps[i].tasks.begin(), occurrence.steps[i].tasks.end(),
                    [](const Task& task) { return task.phase == TaskPhase::Waiting; });
                (spec.usesIdleCpu ? tasks.onIdleCpu : tasks.withReservation) += spec.request * waiting;
            }
        }
    }
}

Resources UncountedUsage::of(const AccountId& account) const
{
    const auto stray = m_strayRuns.find(account);
    const Resources reported = m_unattributed + (stray == m_strayRuns.end() ? Resources {} : stray->second);
    if (m_silentWorkers == 0)
        return reported;
    const auto it = m_tasks.find(account);
    const Tasks tasks = it == m_tasks.end() ? Tasks {} : it->second;
    if (m_accountsWithUnknownTasks.contains(account))
        return reported + m_silentCapacity + tasks.onIdleCpu;
    return reported + lowest(tasks.withReservation, m_silentCapacity) + tasks.onIdleCpu;
}

} // namespace lycheeledge::jobs
