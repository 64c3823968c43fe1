// Scheduler of the owner: handling of worker reports.

#include "JobScheduler.h"

#include <algorithm>
#include <utility>

namespace lycheeledge::jobs {

namespace {

    // Pacing of tasks that use idle CPU next to latency-sensitive tasks, by the ratio of tail latency to its target.
    // Slows down well below the target, since the reported tail latency is a rough estimate that is half a second old,
    // and speeds up again only far below the target.
    constexpr double paceDownThreshold = 0.75;
    constexpr double paceUpThreshold = 0.5;
    constexpr int paceIncrementPercent = 10;
    constexpr int minPaceChangePercent = 10;

    // A task that makes little progress on several workers is long-running itself, so further restarts are useless.
    constexpr int maxProgressRestarts = 3;

    // Of a step; more would not change its mean run time or the order of its workers much.
    constexpr std::size_t maxMeasuredRuns = 1000;

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

void JobScheduler::workerReported(const WorkerId& id, const PollReport& report, TimePoint sentAt)
{
    Worker* worker = m_workers.find(id);
    if (worker == nullptr)
        return;
    // Orders to the earlier incarnation may still arrive after this report, but not after the next one.
    if (noteIncarnation(*worker, report.incarnationStartUnixMs))
        return;
    // Ends behind a full list may be those of tasks that would start again.
    const bool first = !worker->reported && report.ended.size() < maxListedEnds;
    worker->reported = worker->reported || first;
    // Until this poll raised the fencing token, orders of earlier owners could reach a worker that had just restarted.
    if (first && worker->mayHaveEarlierRuns)
        worker->link->assumeLongestLease();
    explainLosses(*worker, report);
    if (worker->awaitsReport)
        settleRestart(*worker, report);
    processEnds(*worker, report);
    processRunning(*worker, report, sentAt);
    controlPace(*worker, report);
    if (first) {
        m_uncountedChanged = true;
        requestPass();
    }
}

bool JobScheduler::noteIncarnation(Worker& worker, std::int64_t incarnationStartUnixMs)
{
    std::int64_t& known = worker.record.incarnationStartUnixMs;
    if (incarnationStartUnixMs == 0 || incarnationStartUnixMs == known)
        return false;
    const bool restarted = known != 0;
    if (restarted)
        handleWorkerRestart(worker, incarnationStartUnixMs);
    known = incarnationStartUnixMs;
    return restarted;
}

void JobScheduler::handleWorkerRestart(Worker& worker, std::int64_t incarnationStartUnixMs)
{
    m_log.record("worker_restarted",
        { { "worker", worker.record.id.value() }, { "born_ms", incarnationStartUnixMs },
            { "runs", worker.runs.size() } });
    worker.record.incarnationStartUnixMs = incarnationStartUnixMs;
    worker.lastProcessedEnd = 0;
    worker.acknowledgements.reset();
    forgetStrayRuns(worker);
    worker.fencingToken = newFencingToken(worker.record.id);
    worker.awaitsReport = true;
    worker.link->resetForNewIncarnation(worker.fencingToken);
    worker.restartWasPlanned = worker.record.draining || worker.inMaintenance;
    for (auto& [id, job] : m_jobs) {
        for (auto& [n, occurrence] : job->open) {
            for (auto& step : occurrence.steps)
                step.admission.tickets.erase(worker.record.id);
        }
    }
}

// Late polls of the earlier incarnation may acknowledge ends of this one unseen, or extend its lease, until it has
// received a higher token.
void JobScheduler::handleOtherClock(Worker& worker)
{
    m_log.record("worker_clock_went_back", { { "worker", worker.record.id.value() }, { "runs", worker.runs.size() } });
    worker.fencingToken = newFencingToken(worker.record.id);
    worker.awaitsReport = true;
    worker.link->raiseFencingToken(worker.fencingToken);
}

void JobScheduler::settleRestart(Worker& worker, const PollReport& report)
{
    if (report.ended.size() >= maxListedEnds)
        return; // further runs may have ended
    absl::flat_hash_set<RunKey> survivors;
    for (const auto& running : report.running)
        survivors.insert(running.run);
    for (const auto& end : report.ended)
        survivors.insert(end.run);
    endRunsExcept(worker, survivors);
    worker.awaitsReport = false;
    worker.restartWasPlanned = false;
    (void)worker.crashSuspects.take(); // their times are of the earlier incarnation's clock
    for (auto& [key, run] : worker.runs) {
        run.startUnanswered = false;
        Job* job = find(key.job);
        const Task* task = job != nullptr ? job->find(key) : nullptr;
        if (task != nullptr)
            worker.crashSuspects.add({ key, run.run }, task->startsApart());
    }
}

// A run that the earlier incarnation has listed is not waited for, as the new one may be out of reach for long.
void JobScheduler::endListedRuns(Worker& worker)
{
    absl::flat_hash_set<RunKey> undecided;
    for (auto& [key, run] : worker.runs) {
        if (!std::exchange(run.listed, false) || run.startUnanswered)
            undecided.insert({ key, run.run });
    }
    endRunsExcept(worker, undecided);
}

void JobScheduler::endRunsExcept(Worker& worker, const absl::flat_hash_set<RunKey>& survivors)
{
    const auto crashing = recordCrash(worker, survivors);
    std::vector<TaskKey> ended;
    for (const auto& [key, run] : worker.runs) {
        if (!survivors.contains({ key, run.run }))
            ended.push_back(key);
    }
    for (const auto& key : ended)
        taskLost(key, "worker restarted");
    failCrashingJobs(crashing);
}

void JobScheduler::processEnds(Worker& worker, const PollReport& report)
{
    std::uint64_t last = worker.lastProcessedEnd;
    auto pending = std::make_shared<std::size_t>(1);
    const WorkerId id = worker.record.id;
    std::set<JobId> changed;
    for (const auto& end : report.ended) {
        if (end.sequence <= worker.lastProcessedEnd)
            continue;
        last = std::max(last, end.sequence);
        processEnd(worker, end);
        if (const Job* job = find(end.run.task.job))
            changed.insert(job->id);
    }
    if (last == worker.lastProcessedEnd)
        return;
    worker.lastProcessedEnd = last;
    worker.acknowledgements.addGroup(last);
    const auto stored = [this, pending, id, last, incarnation = worker.record.incarnationStartUnixMs,
                            session = std::weak_ptr<int>(m_session)] {
        if (--*pending > 0 || session.expired())
            return;
        Worker* reporter = m_workers.find(id);
        if (reporter == nullptr || !reporter->link || reporter->record.incarnationStartUnixMs != incarnation)
            return;
        if (const auto acknowledged = reporter->acknowledgements.markStored(last))
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
    worker.crashSuspects.clear(end.run);
    const auto stray = worker.strayRuns.find(key);
    if (stray != worker.strayRuns.end() && stray->second <= end.run.run) {
        worker.strayRuns.erase(stray);
        m_uncountedChanged = true;
    }
    releaseReportedOccurrence(key);
    Job* job = find(key.job);
    Task* task = job != nullptr ? job->find(key) : nullptr;
    const TimePoint now = m_runtime.now();
    const bool failed = end.kind == EndKind::Failed;
    m_counters.endsDone += end.kind == EndKind::Done ? 1 : 0;
    m_counters.endsFailed += failed ? 1 : 0;
    m_counters.otherEnds += end.kind != EndKind::Done && !failed ? 1 : 0;
    if (end.kind == EndKind::Done)
        m_quarantine.recordSuccess(worker.record.id);
    if (failed && m_quarantine.recordFailure(worker.record.id, key.job, now))
        m_log.record("worker_quarantined", { { "worker", worker.record.id.value() }, { "task", describe(key) } });
    if (task == nullptr || task->phase == TaskPhase::Done) {
        const Step* step = job != nullptr ? job->find(stepOf(key)) : nullptr;
        const bool isKnown = step != nullptr && key.index < step->tasks.size();
        if (!isKnown && job != nullptr && !isFinal(job->state))
            m_log.record("end_of_unknown_task", { { "task", describe(key) }, { "run", end.run.run } });
        return;
    }
    const bool current = task->isAssigned() && task->run == end.run.run && task->worker == worker.record.id;
    if (!current && task->isAssigned() && end.kind != EndKind::Done) {
        // The end of an abandoned earlier run. Its failure still counts as an attempt.
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
        markStarted(*job);
        if (current && task->isFullRun && !job->spec().steps[key.step].gang) {
            const MeasuredRun measured { worker.record.id, worker.record.kind, now - task->since };
            if (auto& runs = job->find(stepOf(key))->measured; runs.size() < maxMeasuredRuns)
                runs.push_back(measured);
            recordRunTime(*job, job->spec().steps[key.step], measured);
        }
        if (!current && task->isAssigned()) {
            // Another run of the task exists; its resources stay reserved until it has ended.
            task->doneWhenRunEnds = true;
            stopTask(*job, key, "an earlier run completed the task");
        } else
            taskDone(*job, key, *task);
        return;
    }
    task->run = std::max(task->run, end.run.run);
    if (current)
        unassignTask(*job, key, *task);
    if (isFinal(job->state) || task->phase == TaskPhase::Done)
        return;
    if (failed)
        taskFailed(*job, key, *task, end.run.run);
    if (isFinal(job->state))
        return;
    const StepSpec& spec = job->spec().steps[key.step];
    if (spec.gang)
        stopGang(*job, stepOf(key), "another gang member ended");
    refreshReady(stepOf(key), *job, *job->find(stepOf(key)));
}

void JobScheduler::releaseReportedOccurrence(const TaskKey& key)
{
    Job* job = find(key.job);
    if (job != nullptr && job->accepted && !isFinal(job->state) && key.occurrence >= job->nextOccurrence
        && key.occurrence < job->spec().occurrenceCount())
        releaseDueOccurrences(*job, key.occurrence + 1);
}

void JobScheduler::processRunning(Worker& worker, const PollReport& report, TimePoint sentAt)
{
    absl::flat_hash_set<RunKey> listed;
    for (const auto& running : report.running) {
        listed.insert(running.run);
        const TaskKey& key = running.run.task;
        Job* job = find(key.job);
        Task* task = job != nullptr ? job->find(key) : nullptr;
        const bool current
            = task != nullptr && task->isAssigned() && task->run == running.run.run && task->worker == worker.record.id;
        if (!current)
            adopt(worker, running);
        if (worker.crashSuspects.alive(running.run, report.clockMs))
            noteSurvived(key);
        if (const auto run = worker.runs.find(key); run != worker.runs.end() && run->second.run == running.run.run)
            run->second.listed = true;
        if (!current)
            continue;
        if (task->phase == TaskPhase::Starting) {
            task->phase = TaskPhase::Running;
            task->confirmedAt = sentAt;
            markStarted(*job);
        }
        if (!running.checkpoint.empty())
            task->checkpoint = running.checkpoint;
        task->progressPercent = running.progressPercent;
        if (task->phase == TaskPhase::Running) {
            recordPlacement(*job, key, worker);
            checkProgress(*job, key, *task, running, report.clockMs);
        }
    }
    // A run that is missing from the running ones is listed as ended, unless the list of ends is cut.
    if (report.ended.size() < maxListedEnds)
        detectMissingRuns(worker, listed, sentAt);
}

void JobScheduler::checkProgress(
    Job& job, const TaskKey& key, Task& task, const RunningTask& running, std::int64_t clockMs)
{
    const StepSpec& spec = job.spec().steps[key.step];
    // Gang members wait for each other, and tasks on idle CPU may be slow because the scheduler throttles them.
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
    if (verdict == ProgressVerdict::Healthy || task.restarts >= maxProgressRestarts)
        return;
    ++task.restarts;
    m_log.record("task_stalled",
        { { "task", describe(key) }, { "run", task.run }, { "worker", task.worker.value() },
            { "percent", sample.percent }, { "gained_percent", sample.percent - before.percent },
            { "in_ms", sample.clockMs - before.clockMs } });
    if (verdict == ProgressVerdict::Stalled)
        m_quarantine.recordStall(task.worker, m_runtime.now());
    else
        (void)m_quarantine.recordFailure(task.worker, key.job, m_runtime.now());
    stopTask(job, key, verdict == ProgressVerdict::Stalled ? "no progress" : "slow progress");
}

// Handles a reported run that is not assigned here, which occurs after a takeover or when an order was carried out
// late: keeps the run if its task can use it and stops it otherwise.
void JobScheduler::adopt(Worker& worker, const RunningTask& running)
{
    const TaskKey& key = running.run.task;
    releaseReportedOccurrence(key);
    Job* job = find(key.job);
    Task* task = job != nullptr ? job->find(key) : nullptr;
    const bool wanted = task != nullptr && !isFinal(job->state) && job->accepted && task->phase == TaskPhase::Waiting
        && running.run.run >= task->run
        && std::find(task->failedRuns.begin(), task->failedRuns.end(), running.run.run) == task->failedRuns.end();
    if (!wanted) {
        stopStrayRun(worker, running.run);
        return;
    }
    assignTask(*job, key, worker, running.run.run, TaskPhase::Running);
    worker.crashSuspects.add(running.run, task->startsApart());
    task->confirmedAt = task->since;
    task->isFullRun = false;
    task->progress.reset();
    task->progressPercent = running.progressPercent;
    if (!running.checkpoint.empty())
        task->checkpoint = running.checkpoint;
    markStarted(*job);
    m_uncountedChanged = worker.strayRuns.erase(key) > 0 || m_uncountedChanged;
    refreshReady(stepOf(key), *job, *job->find(stepOf(key)));
    m_log.record(
        "run_adopted", { { "task", describe(key) }, { "run", task->run }, { "worker", worker.record.id.value() } });
}

void JobScheduler::detectMissingRuns(Worker& worker, const absl::flat_hash_set<RunKey>& listed, TimePoint sentAt)
{
    std::vector<RunKey> gone;
    for (const auto& [key, run] : worker.runs) {
        if (listed.contains({ key, run.run }))
            continue;
        Job* job = find(key.job);
        const Task* task = job != nullptr ? job->find(key) : nullptr;
        if (task == nullptr || task->confirmedAt == TimePoint())
            continue;
        // A confirmed stop takes effect within taskStopLimit, a confirmed start immediately.
        const Duration delay = task->phase == TaskPhase::Stopping ? m_settings.taskStopLimit : Duration::zero();
        if (task->phase != TaskPhase::Starting && task->confirmedAt + delay < sentAt)
            gone.push_back({ key, run.run });
    }
    for (const auto& run : gone) {
        worker.crashSuspects.clear(run);
        taskLost(run.task, "run missing from the worker's report");
    }
    for (auto it = worker.strayRuns.begin(); it != worker.strayRuns.end();) {
        const auto stray = it++;
        if (listed.contains({ stray->first, stray->second }))
            continue;
        worker.strayRuns.erase(stray);
        m_uncountedChanged = true;
    }
}

// Throttles tasks that use idle CPU while a latency-sensitive task on the same worker is near its latency target.
void JobScheduler::controlPace(Worker& worker, const PollReport& report)
{
    worker.latencyRatio = 0;
    for (const auto& running : report.running) {
        Job* job = find(running.run.task.job);
        if (job == nullptr || isFinal(job->state) || running.run.task.step >= job->spec().steps.size())
            continue;
        const Duration target = job->spec().steps[running.run.task.step].latencyTarget;
        if (target > Duration::zero())
            worker.latencyRatio = std::max(
                worker.latencyRatio, running.usage / std::chrono::duration<double, std::milli>(target).count());
    }
    for (const auto& [key, run] : worker.runs) {
        Job* job = find(key.job);
        Task* task = job != nullptr ? job->find(key) : nullptr;
        if (!run.usesIdleCpu || task == nullptr || task->phase != TaskPhase::Running)
            continue;
        int pace = task->pacePercent;
        if (worker.latencyRatio > paceDownThreshold)
            pace = worker.latencyRatio > 1 ? 0 : pace / 2;
        else if (worker.latencyRatio < paceUpThreshold)
            pace = std::min(100, pace + paceIncrementPercent);
        if (std::abs(pace - task->pacePercent) < minPaceChangePercent && (pace != 0 || task->pacePercent == 0))
            continue;
        task->pacePercent = pace;
        m_log.record("task_paced", { { "task", describe(key) }, { "percent", pace }, { "load", worker.latencyRatio } });
        m_port.pace(worker.link->target(), { key, task->run, pace, worker.fencingToken }, m_settings.stopTimeout,
            [this, key = key, run = task->run, pace, session = std::weak_ptr<int>(m_session)](
                const OrderResult& result) {
                if (session.expired() || result.outcome == OrderOutcome::Done)
                    return;
                // Not confirmed: reset to full pace, so that the next report triggers a new decision.
                Job* job = find(key.job);
                Task* task = job != nullptr ? job->find(key) : nullptr;
                if (task != nullptr && task->run == run && task->pacePercent == pace)
                    task->pacePercent = 100;
            });
    }
}

} // namespace lycheeledge::jobs
