// Scheduler of the owner: tasks that crash the workers that start them.
//
// When a worker crashes, all tasks that it ran start again elsewhere. If one of them was the cause, it crashes worker
// after worker, so its job fails after a few of them.

#include "JobScheduler.h"

#include <set>
#include <utility>

namespace lycheeledge::jobs {

std::vector<JobId> JobScheduler::recordCrash(
    Worker& worker, bool confirmed, const absl::flat_hash_set<RunKey>& survivors)
{
    const auto causes = likeliestCauses(worker, confirmed, survivors);
    if (worker.record.draining || worker.inMaintenance || worker.restartWasPlanned)
        return {};
    if (!causes.empty() || !worker.runs.empty())
        m_log.record("worker_crashed",
            { { "worker", worker.record.id.value() }, { "confirmed", confirmed }, { "runs", worker.runs.size() },
                { "suspects", causes.size() } });
    std::set<JobId> changed;
    std::set<JobId> crashing;
    for (const auto& run : causes) {
        const TaskKey& key = run.task;
        Task& task = *find(key.job)->find(key);
        changed.insert(key.job);
        if (++task.crashes >= m_settings.crashLimit)
            crashing.insert(key.job);
        m_log.record("crash_counted",
            { { "task", describe(key) }, { "run", run.run }, { "worker", worker.record.id.value() },
                { "confirmed", confirmed }, { "assigned", task.run == run.run && task.worker == worker.record.id },
                { "crashes", task.crashes } });
    }
    for (const auto& [key, run] : worker.runs) {
        Job* job = find(key.job);
        Task* task = job != nullptr && !isFinal(job->state) ? job->find(key) : nullptr;
        if (!confirmed || task == nullptr || job->spec().steps[key.step].longRunning
            || survivors.contains({ key, run.run }))
            continue;
        changed.insert(key.job);
        if (++task->interruptions >= m_settings.interruptionLimit)
            crashing.insert(key.job);
    }
    for (const auto& id : changed)
        markChanged(*find(id));
    return { crashing.begin(), crashing.end() };
}

// Of the tasks that had just been started, those under which the most workers have crashed already.
std::vector<RunKey> JobScheduler::likeliestCauses(
    Worker& worker, bool confirmed, const absl::flat_hash_set<RunKey>& survivors)
{
    std::vector<RunKey> result;
    std::uint32_t most = 0;
    for (const auto& run : worker.crashSuspects.take(survivors)) {
        Job* job = find(run.task.job);
        const Task* task = job != nullptr && !isFinal(job->state) ? job->find(run.task) : nullptr;
        if (task == nullptr || task->phase == TaskPhase::Done || task->crashes < most)
            continue;
        // The lease of a run that was lost before may have ended before the worker crashed.
        if (confirmed && !worker.runs.contains(run.task))
            continue;
        if (task->crashes > most)
            result.clear();
        most = task->crashes;
        result.push_back(run);
    }
    return result;
}

void JobScheduler::failCrashingJobs(const std::vector<JobId>& jobs)
{
    for (const auto& id : jobs) {
        Job* job = find(id);
        if (job == nullptr || isFinal(job->state))
            continue;
        finish(*job, JobState::Failed, "a task crashes the workers that start it");
        markChanged(*job);
    }
}

} // namespace lycheeledge::jobs
