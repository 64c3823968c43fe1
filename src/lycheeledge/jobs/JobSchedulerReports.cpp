// The owner's scheduler: what the workers report.

#include "JobScheduler.h"

#include <algorithm>
#include <utility>

namespace lycheeledge::jobs {

namespace {

    // Pacing of tasks that use idle processors beside tasks that serve users: slow down well below the target, since
    // the reported tail is rough and half a second old; speed up again only far from it.
    constexpr double paceDownAt = 0.75;
    constexpr double paceUpAt = 0.5;
    constexpr int paceStepUp = 10; // percent
    constexpr int minPaceChange = 10; // percent

    // A task that makes little progress on several workers is long itself.
    constexpr int maxProgressRestarts = 3;

    TaskLength lengthOf(const Step& step, const StepSpec& spec)
    {
        TaskLength result {
            .declared = spec.estimatedRunTime, .measured = std::nullopt, .checkpoints = spec.checkpoints
        };
        if (step.measured.empty())
            return result;
        Duration sum {};
        for (const auto& run : step.measured)
            sum += run.runTime;
        result.measured = sum / static_cast<Duration::rep>(step.measured.size());
        return result;
    }

} // namespace

// --- Reports ---

void JobScheduler::workerReported(const WorkerId& id, const LookReport& report, TimePoint sentAt)
{
    Worker* worker = m_workers.find(id);
    if (worker == nullptr)
        return;
    if (report.bornUnixMs != 0 && worker->record.bornUnixMs != 0 && report.bornUnixMs != worker->record.bornUnixMs
        && report.bornUnixMs > worker->record.bornUnixMs)
        beginNewLife(*worker, report.bornUnixMs);
    else if (report.bornUnixMs != 0)
        worker->record.bornUnixMs = report.bornUnixMs;
    const bool first = !worker->reported;
    worker->reported = true;
    processEnds(*worker, report);
    processRunning(*worker, report, sentAt);
    controlPace(*worker, report);
    if (first)
        requestPass();
}

void JobScheduler::beginNewLife(Worker& worker, std::int64_t bornUnixMs)
{
    m_log.record("worker_restarted",
        { { "worker", worker.record.id.value() }, { "born_ms", bornUnixMs }, { "runs", worker.runs.size() } });
    worker.record.bornUnixMs = bornUnixMs;
    worker.processedEnds = 0;
    worker.acknowledgements.reset();
    worker.strays.clear();
    worker.link->resetEnds();
    loseRuns(worker, "worker restarted");
    for (auto& [id, job] : m_jobs) {
        for (auto& [n, occurrence] : job->open) {
            for (auto& step : occurrence.steps)
                step.admission.tickets.erase(worker.record.id);
        }
    }
}

void JobScheduler::processEnds(Worker& worker, const LookReport& report)
{
    std::uint64_t last = worker.processedEnds;
    auto pending = std::make_shared<std::size_t>(1);
    const WorkerId id = worker.record.id;
    std::set<JobId> changed;
    for (const auto& end : report.ended) {
        if (end.sequence <= worker.processedEnds)
            continue;
        last = std::max(last, end.sequence);
        processEnd(worker, end);
        if (const Job* job = find(end.run.task.job))
            changed.insert(job->id);
    }
    if (last == worker.processedEnds)
        return;
    worker.processedEnds = last;
    worker.acknowledgements.listed(last);
    const auto stored
        = [this, pending, id, last, born = worker.record.bornUnixMs, session = std::weak_ptr<int>(m_session)] {
              if (--*pending > 0 || session.expired())
                  return;
              Worker* reporter = m_workers.find(id);
              if (reporter == nullptr || !reporter->link || reporter->record.bornUnixMs != born)
                  return;
              if (const auto acknowledged = reporter->acknowledgements.stored(last))
                  reporter->link->acknowledge(acknowledged);
          };
    for (const auto& job : changed) {
        ++*pending;
        m_ledger.changed(job, stored);
    }
    stored();
    requestPass();
}

void JobScheduler::processEnd(Worker& worker, const EndedTask& end)
{
    const TaskKey& key = end.run.task;
    const auto stray = worker.strays.find(key);
    if (stray != worker.strays.end() && stray->second <= end.run.run)
        worker.strays.erase(stray);
    Job* job = find(key.job);
    Task* task = job != nullptr ? job->find(key) : nullptr;
    const TimePoint now = m_runtime.now();
    const bool failed = end.kind == EndKind::Failed;
    m_counters.endsDone += end.kind == EndKind::Done ? 1 : 0;
    m_counters.endsFailed += failed ? 1 : 0;
    m_counters.endsOther += end.kind != EndKind::Done && !failed ? 1 : 0;
    if (end.kind == EndKind::Done)
        m_quarantine.succeeded(worker.record.id);
    if (failed && m_quarantine.failed(worker.record.id, key.job, now))
        m_log.record("worker_quarantined", { { "worker", worker.record.id.value() }, { "task", describe(key) } });
    if (task == nullptr || task->phase == TaskPhase::Done) {
        if (task == nullptr && job != nullptr && !isFinal(job->state))
            m_log.record("end_of_unknown_task", { { "task", describe(key) }, { "run", end.run.run } });
        return;
    }
    const bool current = task->occupiesWorker() && task->run == end.run.run && task->worker == worker.record.id;
    if (!current && task->occupiesWorker() && end.kind != EndKind::Done) {
        // An earlier run that was given up. Its failure counts against the attempts all the same.
        if (failed)
            taskFailed(*job, key, *task, end.run.run);
        return;
    }
    m_log.record("task_ended",
        { { "task", describe(key) }, { "run", end.run.run }, { "worker", worker.record.id.value() },
            { "how", static_cast<int>(end.kind) } });
    if (!end.checkpoint.empty())
        task->checkpoint = end.checkpoint;
    const bool finished = end.kind == EndKind::Done && !isFinal(job->state) && !job->spec().steps[key.step].longRunning;
    if (finished) {
        noteStarted(*job);
        if (current && task->isWholeRun && !job->spec().steps[key.step].gang)
            job->find(stepOf(key))->measured.push_back({ worker.record.id, worker.record.kind, now - task->since });
        if (!current && task->occupiesWorker()) {
            // Another run of the task exists; its room stays reserved until it is gone.
            task->doneWithGang = true;
            stopTask(*job, key, "an earlier run ended as done");
        } else
            taskDone(*job, key, *task);
        return;
    }
    task->run = std::max(task->run, end.run.run);
    if (current)
        vacate(*job, key, *task);
    if (isFinal(job->state) || task->phase == TaskPhase::Done)
        return;
    if (failed)
        taskFailed(*job, key, *task, end.run.run);
    if (isFinal(job->state))
        return;
    const StepSpec& spec = job->spec().steps[key.step];
    if (spec.gang)
        stopGang(*job, stepOf(key), "another member ended");
    refreshReady(stepOf(key), *job, *job->find(stepOf(key)));
}

void JobScheduler::processRunning(Worker& worker, const LookReport& report, TimePoint sentAt)
{
    absl::flat_hash_set<RunKey> listed;
    for (const auto& running : report.running) {
        listed.insert(running.run);
        const TaskKey& key = running.run.task;
        Job* job = find(key.job);
        Task* task = job != nullptr ? job->find(key) : nullptr;
        const bool current = task != nullptr && task->occupiesWorker() && task->run == running.run.run
            && task->worker == worker.record.id;
        if (!current) {
            adopt(worker, running);
            continue;
        }
        if (task->phase == TaskPhase::Starting) {
            task->phase = TaskPhase::Running;
            task->confirmedAt = sentAt;
            noteStarted(*job);
        }
        if (!running.checkpoint.empty())
            task->checkpoint = running.checkpoint;
        task->progressPercent = running.progressPercent;
        if (task->phase == TaskPhase::Running)
            checkProgress(*job, key, *task, running, report.clockMs);
    }
    missingRuns(worker, listed, sentAt);
}

void JobScheduler::checkProgress(
    Job& job, const TaskKey& key, Task& task, const RunningTask& running, std::int64_t clockMs)
{
    const StepSpec& spec = job.spec().steps[key.step];
    // The members of a gang wait for each other, and a paced task is slow by our own order.
    if (spec.gang || spec.longRunning || spec.usesIdleCpu || isFinal(job.state))
        return;
    const ProgressSample sample { .percent = running.progressPercent, .clockMs = clockMs };
    if (!task.progress) {
        task.progress = sample;
        return;
    }
    const ProgressVerdict verdict = judgeProgress(*task.progress, sample, lengthOf(*job.find(stepOf(key)), spec));
    if (verdict == ProgressVerdict::Unknown)
        return;
    const ProgressSample before = *std::exchange(task.progress, sample);
    if (verdict == ProgressVerdict::Sound || task.restarts >= maxProgressRestarts)
        return;
    ++task.restarts;
    m_log.record("task_stalled",
        { { "task", describe(key) }, { "run", task.run }, { "worker", task.worker.value() },
            { "percent", sample.percent }, { "gained_percent", sample.percent - before.percent },
            { "in_ms", sample.clockMs - before.clockMs } });
    if (verdict == ProgressVerdict::Stalled)
        m_quarantine.stalled(task.worker, m_runtime.now());
    else
        (void)m_quarantine.failed(task.worker, key.job, m_runtime.now());
    stopTask(job, key, verdict == ProgressVerdict::Stalled ? "no progress" : "slow progress");
}

// After a takeover, or after an order that was carried out late: keeps a run that its task can use, stops any other.
void JobScheduler::adopt(Worker& worker, const RunningTask& running)
{
    const TaskKey& key = running.run.task;
    Job* job = find(key.job);
    Task* task = job != nullptr ? job->find(key) : nullptr;
    const bool wanted = task != nullptr && !isFinal(job->state) && job->accepted && task->phase == TaskPhase::Waiting
        && running.run.run >= task->run
        && std::find(task->failedRuns.begin(), task->failedRuns.end(), running.run.run) == task->failedRuns.end();
    if (!wanted) {
        stopStray(worker, running.run);
        return;
    }
    occupy(*job, key, worker, running.run.run, TaskPhase::Running);
    task->confirmedAt = task->since;
    task->isWholeRun = false;
    task->progress.reset();
    if (!running.checkpoint.empty())
        task->checkpoint = running.checkpoint;
    noteStarted(*job);
    worker.strays.erase(key);
    refreshReady(stepOf(key), *job, *job->find(stepOf(key)));
    m_log.record(
        "run_adopted", { { "task", describe(key) }, { "run", task->run }, { "worker", worker.record.id.value() } });
}

void JobScheduler::missingRuns(Worker& worker, const absl::flat_hash_set<RunKey>& listed, TimePoint sentAt)
{
    std::vector<TaskKey> gone;
    for (const auto& [key, run] : worker.runs) {
        if (listed.contains({ key, run.run }))
            continue;
        Job* job = find(key.job);
        const Task* task = job != nullptr ? job->find(key) : nullptr;
        if (task == nullptr || task->confirmedAt == TimePoint())
            continue;
        // A stop takes effect within a bound after it was confirmed; a start at once.
        const Duration delay = task->phase == TaskPhase::Stopping ? m_settings.stopLimit : Duration::zero();
        if (task->phase != TaskPhase::Starting && task->confirmedAt + delay < sentAt)
            gone.push_back(key);
    }
    for (const auto& key : gone)
        taskLost(key, "not in the worker's lists");
    for (auto it = worker.strays.begin(); it != worker.strays.end();) {
        const auto stray = it++;
        if (!listed.contains({ stray->first, stray->second }))
            worker.strays.erase(stray);
    }
}

// Slows tasks on idle processors while a task beside them that serves users nears its latency target.
void JobScheduler::controlPace(Worker& worker, const LookReport& report)
{
    worker.servingLoad = 0;
    for (const auto& running : report.running) {
        Job* job = find(running.run.task.job);
        if (job == nullptr || isFinal(job->state) || running.run.task.step >= job->spec().steps.size())
            continue;
        const Duration target = job->spec().steps[running.run.task.step].latencyTarget;
        if (target > Duration::zero())
            worker.servingLoad = std::max(
                worker.servingLoad, running.usage / std::chrono::duration<double, std::milli>(target).count());
    }
    for (const auto& [key, run] : worker.runs) {
        Job* job = find(key.job);
        Task* task = job != nullptr ? job->find(key) : nullptr;
        if (!run.usesIdleCpu || task == nullptr || task->phase != TaskPhase::Running)
            continue;
        int pace = task->pacePercent;
        if (worker.servingLoad > paceDownAt)
            pace = worker.servingLoad > 1 ? 0 : pace / 2;
        else if (worker.servingLoad < paceUpAt)
            pace = std::min(100, pace + paceStepUp);
        if (std::abs(pace - task->pacePercent) < minPaceChange && (pace != 0 || task->pacePercent == 0))
            continue;
        task->pacePercent = pace;
        m_log.record("task_paced", { { "task", describe(key) }, { "percent", pace }, { "load", worker.servingLoad } });
        m_port.pace(worker.link->target(), { key, task->run, pace, m_epoch }, m_settings.stopTimeout,
            [this, key = key, run = task->run, pace, session = std::weak_ptr<int>(m_session)](
                const OrderResult& result) {
                if (session.expired() || result.outcome == OrderOutcome::Done)
                    return;
                // Not confirmed: the next report decides again from full pace.
                Job* job = find(key.job);
                Task* task = job != nullptr ? job->find(key) : nullptr;
                if (task != nullptr && task->run == run && task->pacePercent == pace)
                    task->pacePercent = 100;
            });
    }
}

} // namespace lycheeledge::jobs
