// Scheduler of the owner: tasks that crash the workers that start them.
//
// When a worker crashes, all tasks that it ran start again elsewhere. If one of them was the cause, it crashes worker
// after worker, so its job fails after a few of them. A worker that is only out of reach has not crashed: its loss
// stays unexplained until it, or its successor, is heard from.

#include "JobScheduler.h"

#include <absl/strings/str_join.h>

#include <algorithm>
#include <set>
#include <utility>

namespace lycheeledge::jobs {

namespace {

    // How long the owner remembers a worker that went out of reach.
    constexpr Duration vanishedRetention = std::chrono::minutes(10);
    constexpr std::size_t maxLoggedTasks = 8;

} // namespace

std::vector<JobId> JobScheduler::recordCrash(Worker& worker, const absl::flat_hash_set<RunKey>& survivors)
{
    // Its runs may have lapsed before.
    if (m_runtime.now() > worker.link->grantedLeaseEnd())
        return recordVanished(worker, survivors);
    const auto suspects = worker.crashSuspects.take(survivors);
    if (worker.record.draining || worker.inMaintenance || worker.restartWasPlanned)
        return {};
    if (!suspects.empty() || !worker.runs.empty())
        logCrash("worker_crashed", worker.record.id, suspects, worker.runs.size());
    std::set<JobId> crashing = countCrashes(worker.record.id, suspects);
    for (const auto& [key, run] : worker.runs) {
        Job* job = find(key.job);
        Task* task = job != nullptr && !isFinal(job->state) ? job->find(key) : nullptr;
        if (task == nullptr || job->spec().steps[key.step].longRunning || survivors.contains({ key, run.run }))
            continue;
        markChanged(*job);
        if (++task->interruptions >= m_settings.interruptionLimit)
            crashing.insert(key.job);
    }
    return { crashing.begin(), crashing.end() };
}

std::vector<JobId> JobScheduler::recordVanished(Worker& worker, const absl::flat_hash_set<RunKey>& survivors)
{
    if (worker.crashSuspects.isEmpty())
        return {};
    VanishedWorker vanished { .id = worker.record.id,
        .address = worker.record.address,
        .incarnationStartUnixMs = worker.awaitsReport ? 0 : worker.record.incarnationStartUnixMs,
        .heardAt = worker.link->heardAt(),
        .leaseEnd = worker.link->grantedLeaseEnd(),
        .suspects = worker.crashSuspects.take(survivors) };
    if (worker.record.draining || worker.inMaintenance || worker.restartWasPlanned)
        return {};
    std::erase_if(vanished.suspects, [this](const RunKey& run) { return findUnfinished(run.task) == nullptr; });
    if (vanished.suspects.empty())
        return {};
    logCrash("worker_vanished", vanished.id, vanished.suspects, worker.runs.size());
    std::set<JobId> crashing;
    for (const auto& run : vanished.suspects) {
        Task& task = *findUnfinished(run.task);
        ++task.unexplainedLosses;
        markChanged(*find(run.task.job));
        if (task.suspicions() >= m_settings.suspicionLimit)
            crashing.insert(run.task.job);
        logSuspicion("silent", run, vanished.id, task);
    }
    m_vanished.add(std::move(vanished));
    return { crashing.begin(), crashing.end() };
}

void JobScheduler::explainLosses(const Worker& worker, const PollReport& report)
{
    const auto vanished = m_vanished.take(worker.record.id, worker.record.address);
    if (!vanished)
        return;
    const bool returned = vanished->id == worker.record.id && vanished->incarnationStartUnixMs != 0
        && vanished->incarnationStartUnixMs == report.incarnationStartUnixMs;
    // The clock of an incarnation begins with it. A slow one tells of a later start.
    const TimePoint start = m_runtime.now() - std::chrono::milliseconds(report.clockMs);
    const bool crashed = !returned && crashedUnderRuns(*vanished, start);
    if (!returned && !crashed) {
        m_log.record("loss_unexplained",
            { { "worker", vanished->id.value() }, { "successor", worker.record.id.value() },
                { "suspects", vanished->suspects.size() } });
        return;
    }
    for (const auto& run : vanished->suspects) {
        Task* task = findUnfinished(run.task);
        if (task == nullptr)
            continue;
        task->unexplainedLosses -= std::min<std::uint32_t>(task->unexplainedLosses, 1);
        markChanged(*find(run.task.job));
        if (returned)
            logSuspicion("returned", run, vanished->id, *task);
    }
    if (!crashed)
        return;
    logCrash("worker_crashed", vanished->id, vanished->suspects, 0);
    const auto crashing = countCrashes(vanished->id, vanished->suspects);
    failCrashingJobs({ crashing.begin(), crashing.end() });
}

void JobScheduler::noteSurvived(const TaskKey& key)
{
    Task* task = findUnfinished(key);
    if (task == nullptr || task->suspicions() == 0)
        return;
    task->crashes = 0;
    task->unexplainedLosses = 0;
    m_vanished.clear(key);
    markChanged(*find(key.job));
}

void JobScheduler::forgetVanishedWorkers() { m_vanished.expire(m_runtime.now() - vanishedRetention); }

std::set<JobId> JobScheduler::countCrashes(const WorkerId& worker, const std::vector<RunKey>& suspects)
{
    const auto causes = likeliestCauses(suspects);
    std::set<JobId> crashing;
    for (const auto& run : suspects) {
        Task* task = findUnfinished(run.task);
        if (task == nullptr)
            continue;
        const bool isLikely = std::find(causes.begin(), causes.end(), run) != causes.end();
        ++(isLikely ? task->crashes : task->unexplainedLosses);
        markChanged(*find(run.task.job));
        if (task->crashes >= m_settings.crashLimit || task->suspicions() >= m_settings.suspicionLimit)
            crashing.insert(run.task.job);
        logSuspicion(isLikely ? "crashed" : "beside", run, worker, *task);
    }
    return crashing;
}

// Those under which the most workers have crashed or vanished already.
std::vector<RunKey> JobScheduler::likeliestCauses(const std::vector<RunKey>& suspects)
{
    std::vector<RunKey> result;
    std::uint32_t most = 0;
    for (const auto& run : suspects) {
        const Task* task = findUnfinished(run.task);
        if (task == nullptr || task->suspicions() < most)
            continue;
        if (task->suspicions() > most)
            result.clear();
        most = task->suspicions();
        result.push_back(run);
    }
    return result;
}

void JobScheduler::logCrash(
    const char* event, const WorkerId& worker, const std::vector<RunKey>& suspects, std::size_t runs)
{
    const auto end = suspects.begin() + static_cast<std::ptrdiff_t>(std::min(suspects.size(), maxLoggedTasks));
    const std::string tasks = absl::StrJoin(
        suspects.begin(), end, ",", [](std::string* out, const RunKey& run) { out->append(describe(run.task)); });
    m_log.record(
        event, { { "worker", worker.value() }, { "runs", runs }, { "suspects", suspects.size() }, { "tasks", tasks } });
}

void JobScheduler::logSuspicion(const char* outcome, const RunKey& run, const WorkerId& worker, const Task& task)
{
    m_log.record("crash_suspected",
        { { "task", describe(run.task) }, { "run", run.run }, { "worker", worker.value() }, { "outcome", outcome },
            { "crashes", task.crashes }, { "unexplained", task.unexplainedLosses } });
}

Task* JobScheduler::findUnfinished(const TaskKey& key)
{
    Job* job = find(key.job);
    Task* task = job != nullptr && !isFinal(job->state) ? job->find(key) : nullptr;
    return task != nullptr && task->phase != TaskPhase::Done ? task : nullptr;
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
