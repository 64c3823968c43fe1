// Scheduler of the owner: starts and stops runs, and handles their ends.

#include "JobScheduler.h"

#include <algorithm>
#include <utility>

namespace lycheeledge::jobs {

namespace {

    // Each epoch has its own block of run numbers, so that runs of different owners never share a number.
    constexpr RunNumber runsPerEpoch = 1000;
    // Large enough to exceed the numbers of runs of this epoch that the owner does not know of.
    constexpr RunNumber staleRunIncrement = 16;
    // A worker that refused a start as full or unhealthy gets no tasks until its next reports have arrived.
    constexpr Duration refusalBackoff = std::chrono::milliseconds(200);

    const char* name(OrderOutcome outcome)
    {
        switch (outcome) {
        case OrderOutcome::Done:
            return "done";
        case OrderOutcome::Fenced:
            return "fenced";
        case OrderOutcome::Stale:
            return "stale_run";
        case OrderOutcome::Late:
            return "late";
        case OrderOutcome::NoCapacity:
            return "no_room";
        case OrderOutcome::TicketRejected:
            return "ticket_rejected";
        case OrderOutcome::Malformed:
            return "malformed";
        case OrderOutcome::Unhealthy:
            return "unhealthy";
        case OrderOutcome::OtherIncarnation:
            return "other_incarnation";
        case OrderOutcome::NotSent:
            return "not_sent";
        case OrderOutcome::Unknown:
            return "no_response";
        }
        return "unknown";
    }

    const char* name(JobState state)
    {
        switch (state) {
        case JobState::Queued:
            return "queued";
        case JobState::Running:
            return "running";
        case JobState::Completed:
            return "completed";
        case JobState::Failed:
            return "failed";
        case JobState::Cancelled:
            return "cancelled";
        }
        return "unknown";
    }

} // namespace

RunNumber JobScheduler::nextRun(const Step& step, const Task& task, bool gang) const
{
    RunNumber last = task.run;
    if (gang) {
        for (const auto& [i, member] : step.tasks.states())
            last = std::max(last, member.run);
    }
    return std::max(last, (m_epoch - 1) * runsPerEpoch) + 1;
}

void JobScheduler::startTask(Job& job, const TaskKey& key, Worker& worker, RunNumber run)
{
    if (!job.find(key)->hasStarted() && job.budgetPass == m_passes)
        job.firstStartsLeft -= std::min<std::size_t>(job.firstStartsLeft, 1);
    assignTask(job, key, worker, run, TaskPhase::Starting);
    Task& task = *job.find(key);
    task.confirmedAt = {};
    task.doneWhenRunEnds = false;
    task.pacePercent = 100;
    task.isFullRun = task.checkpoint.empty();
    task.progress.reset();
    task.progressPercent = 0;
    worker.crashSuspects.add({ key, run }, task.startsApart());
    ++m_counters.starts;
    sendStart(key, run, worker.record.id, 1);
}

// Reserves resources for a run. From here on the run may exist on the worker.
void JobScheduler::assignTask(Job& job, const TaskKey& key, Worker& worker, RunNumber run, TaskPhase phase)
{
    Step& step = *job.find(stepOf(key));
    const StepSpec& spec = job.spec().steps[key.step];
    Task& task = *step.tasks.find(key.index);
    const auto placement = job.placements.find(key);
    if (placement != job.placements.end() && placement->second.run != run)
        erasePlacement(job, key);
    task.phase = phase;
    task.run = run;
    task.worker = worker.record.id;
    task.since = m_runtime.now();
    // Another worker may list a failed run that counts as an attempt, which long-running tasks do not have.
    task.isLocated = task.isLocated || phase == TaskPhase::Starting || spec.longRunning;
    ++step.assigned;
    reserve(worker, key,
        { .run = run,
            .reserved = reservationOf(spec),
            .charged = spec.request,
            .latencySensitive = spec.latencyTarget > Duration::zero(),
            .usesIdleCpu = spec.usesIdleCpu });
    m_usage[job.submission.account] += spec.request;
}

void JobScheduler::markStarted(Job& job)
{
    job.everStarted = true;
    if (job.state != JobState::Queued)
        return;
    job.state = JobState::Running;
    markChanged(job);
}

void JobScheduler::sendStart(const TaskKey& key, RunNumber run, const WorkerId& workerId, int attempt)
{
    Job* job = find(key.job);
    Worker* worker = m_workers.find(workerId);
    if (job == nullptr || worker == nullptr)
        return; // the worker was removed, and its runs were counted as lost
    if (worker->awaitsReport)
        return; // its next report tells whether the run exists
    const Step& step = *job->find(stepOf(key));
    const Epoch fencingToken = worker->fencingToken;
    const TimePoint sentAt = m_runtime.now();
    const auto lease = worker->link->extendLeaseForOrder();
    if (!lease || !maySendStart(*worker)) {
        // An unsent first attempt means that no run exists; after a second one, a run of the first may exist.
        if (attempt > 1)
            stopTask(*job, key, "no response to start order");
        else
            handleStartReply(key, run, workerId, fencingToken, attempt, sentAt, { OrderOutcome::NotSent, {} });
        return;
    }
    const Task& task = step.tasks[key.index];
    StartOrder order { .task = key,
        .run = run,
        .payload = job->spec().payload,
        .checkpoint = task.checkpoint,
        .ticket = {},
        .epoch = fencingToken,
        .leaseUntilMs = *lease };
    const auto ticket = step.admission.tickets.find(workerId);
    if (ticket != step.admission.tickets.end())
        order.ticket = ticket->second.text;
    const Duration timeout = attempt == 1 ? m_settings.startRepeatDelay : m_settings.startTimeout;
    m_port.start(worker->link->target(), order, timeout,
        [this, key, run, workerId, fencingToken, attempt, sentAt, session = std::weak_ptr<int>(m_session)](
            const OrderResult& result) {
            if (!session.expired())
                handleStartReply(key, run, workerId, fencingToken, attempt, sentAt, result);
        });
}

void JobScheduler::handleStartReply(const TaskKey& key, RunNumber run, const WorkerId& workerId, Epoch fencingToken,
    int attempt, TimePoint sentAt, const OrderResult& result)
{
    Worker* worker = m_workers.find(workerId);
    // The report of a restarted worker tells what has become of the runs that were started before.
    if (worker != nullptr && worker->fencingToken != fencingToken)
        return;
    if (worker != nullptr && worker->link && !worker->link->recordClock(result.clockMs, sentAt)) {
        handleOtherClock(*worker);
        return;
    }
    Job* job = find(key.job);
    Task* task = job != nullptr ? job->find(key) : nullptr;
    if (result.outcome == OrderOutcome::Fenced) {
        m_host.fenced();
        return;
    }
    if (worker == nullptr || task == nullptr || task->run != run || task->worker != workerId
        || task->phase != TaskPhase::Starting)
        return;
    const TimePoint now = m_runtime.now();
    if (result.outcome == OrderOutcome::Done) {
        if (result.clockMs && worker->crashSuspects.alive({ key, run }, *result.clockMs))
            noteSurvived(key);
        task->phase = TaskPhase::Running;
        task->since = now;
        task->confirmedAt = now;
        markStarted(*job);
        recordPlacement(*job, key, *worker);
        m_log.record("task_started",
            { { "task", describe(key) }, { "run", run }, { "worker", workerId.value() }, { "epoch", m_epoch },
                { "resumed", !task->checkpoint.empty() } });
        return;
    }
    if (result.outcome == OrderOutcome::Stale && attempt > 1) {
        // The first attempt was carried out and its run has already ended; the next report contains the end.
        task->phase = TaskPhase::Running;
        task->confirmedAt = now;
        return;
    }
    m_log.record("start_refused",
        { { "task", describe(key) }, { "run", run }, { "worker", workerId.value() }, { "epoch", m_epoch },
            { "outcome", name(result.outcome) } });
    // A refused second attempt does not mean that the first was refused too: it may have been carried out.
    if (attempt > 1 && result.outcome != OrderOutcome::OtherIncarnation) {
        m_counters.startsWithoutResponse += result.outcome == OrderOutcome::Unknown ? 1 : 0;
        worker->link->pollNow();
        stopTask(*job, key, "no response to start order");
        return;
    }
    switch (result.outcome) {
    case OrderOutcome::Unknown:
        ++m_counters.startsWithoutResponse;
        worker->runs.at(key).startUnanswered = true;
        worker->link->pollNow();
        sendStart(key, run, workerId, attempt + 1);
        return;
    case OrderOutcome::OtherIncarnation:
        incarnationEnded(workerId, fencingToken);
        return;
    case OrderOutcome::NotSent:
        worker->link->pollNow();
        break;
    case OrderOutcome::NoCapacity:
        ++m_counters.startsRefusedNoCapacity;
        worker->backoffUntil = now + refusalBackoff;
        break;
    case OrderOutcome::TicketRejected:
        ++m_counters.startsRefusedTicket;
        job->find(stepOf(key))->admission.tickets.erase(workerId);
        break;
    case OrderOutcome::Stale:
        task->run += staleRunIncrement;
        break;
    case OrderOutcome::Unhealthy:
        ++m_counters.startsRefusedOther;
        worker->backoffUntil = now + refusalBackoff;
        (void)m_quarantine.recordFailure(workerId, key.job, now);
        break;
    default:
        ++m_counters.startsRefusedOther;
        task->notBefore = now + m_settings.failureBackoff;
        break;
    }
    worker->crashSuspects.clear({ key, run });
    unassignTask(*job, key, *task);
    if (job->find(stepOf(key)) != nullptr && !isFinal(job->state) && job->spec().steps[key.step].gang)
        stopGang(*job, stepOf(key), "start of another gang member was refused");
    requestPass();
}

// --- Stops ---

void JobScheduler::stopTask(Job& job, const TaskKey& key, const char* reason)
{
    Task* task = job.find(key);
    if (task == nullptr || (task->phase != TaskPhase::Starting && task->phase != TaskPhase::Running))
        return;
    task->phase = TaskPhase::Stopping;
    task->since = m_runtime.now();
    task->confirmedAt = {};
    ++m_counters.stops;
    m_log.record("task_stopping",
        { { "task", describe(key) }, { "run", task->run }, { "worker", task->worker.value() }, { "reason", reason } });
    sendStop(key, task->run, task->worker);
}

void JobScheduler::sendStop(const TaskKey& key, RunNumber run, const WorkerId& workerId)
{
    Worker* worker = m_workers.find(workerId);
    if (worker == nullptr || !worker->link)
        return;
    m_port.stop(worker->link->target(), { key, run, worker->fencingToken }, m_settings.stopTimeout,
        [this, key, run, workerId, fencingToken = worker->fencingToken, session = std::weak_ptr<int>(m_session)](
            const OrderResult& result) {
            if (!session.expired())
                handleStopReply(key, run, workerId, fencingToken, result);
        });
}

void JobScheduler::handleStopReply(
    const TaskKey& key, RunNumber run, const WorkerId& workerId, Epoch fencingToken, const OrderResult& result)
{
    Worker* worker = m_workers.find(workerId);
    const bool outdated = worker != nullptr && worker->fencingToken != fencingToken;
    if (result.outcome == OrderOutcome::Fenced && !outdated) {
        m_host.fenced();
        return;
    }
    if (result.outcome == OrderOutcome::OtherIncarnation && !outdated) {
        incarnationEnded(workerId, fencingToken);
        return;
    }
    Job* job = find(key.job);
    Task* task = job != nullptr ? job->find(key) : nullptr;
    const bool current
        = task != nullptr && task->run == run && task->worker == workerId && task->phase == TaskPhase::Stopping;
    const bool stray = worker != nullptr && worker->strayRuns.contains(key);
    if (!current && !stray)
        return;
    if (result.outcome == OrderOutcome::Done && !outdated) {
        if (current)
            task->confirmedAt = m_runtime.now();
        return; // resources are released once a report contains the end or no longer lists the run
    }
    retryStop(key, run, workerId);
}

void JobScheduler::retryStop(const TaskKey& key, RunNumber run, const WorkerId& workerId)
{
    m_runtime.after(m_settings.orderRetryDelay, [this, key, run, workerId, session = std::weak_ptr<int>(m_session)] {
        if (session.expired())
            return;
        if (m_host.maySendOrders())
            sendStop(key, run, workerId);
        else
            retryStop(key, run, workerId);
    });
}

void JobScheduler::stopStrayRun(Worker& worker, const RunKey& run)
{
    const auto [it, added] = worker.strayRuns.try_emplace(run.task, run.run);
    if (!added && it->second >= run.run)
        return;
    it->second = run.run;
    m_uncountedChanged = true;
    m_log.record("stray_run_stopping",
        { { "task", describe(run.task) }, { "run", run.run }, { "worker", worker.record.id.value() } });
    sendStop(run.task, run.run, worker.record.id);
}

void JobScheduler::stopAll(Job& job, const char* reason)
{
    for (auto& [n, occurrence] : job.open) {
        for (std::uint32_t i = 0; i < occurrence.steps.size(); ++i) {
            for (const auto& [k, task] : occurrence.steps[i].tasks.states())
                stopTask(job, { job.id, n, i, k }, reason);
        }
    }
}

void JobScheduler::stopGang(Job& job, const StepKey& key, const char* reason)
{
    Step* step = job.find(key);
    if (step == nullptr)
        return;
    for (const auto& [i, task] : step->tasks.states())
        stopTask(job, { key.job, key.occurrence, key.step, i }, reason);
}

// --- Ends ---

// Called when the run has certainly ended. Releases its resources; the task waits again unless it is done.
void JobScheduler::unassignTask(Job& job, const TaskKey& key, Task& task)
{
    if (!task.isAssigned())
        return;
    Step& step = *job.find(stepOf(key));
    if (Worker* worker = m_workers.find(task.worker)) {
        if (const auto run = release(*worker, key))
            m_usage[job.submission.account] -= run->charged;
    }
    --step.assigned;
    task.worker = {};
    task.phase = TaskPhase::Waiting;
    task.since = m_runtime.now();
    task.confirmedAt = {};
    if (task.doneWhenRunEnds)
        taskDone(job, key, task);
    refreshReady(stepOf(key), job, step);
}

void JobScheduler::taskLost(const TaskKey& key, const char* reason)
{
    Job* job = find(key.job);
    Task* task = job != nullptr ? job->find(key) : nullptr;
    if (task == nullptr || !task->isAssigned())
        return;
    ++m_counters.runsLost;
    m_log.record("run_lost",
        { { "task", describe(key) }, { "run", task->run }, { "worker", task->worker.value() }, { "reason", reason } });
    // Until the ownership is confirmed again, another owner may have renewed the lease or acknowledged the end.
    task->lostAt = m_runtime.now();
    unassignTask(*job, key, *task);
    if (!isFinal(job->state) && job->spec().steps[key.step].gang && task->phase != TaskPhase::Done)
        stopGang(*job, stepOf(key), "run of another gang member was lost");
    requestPass();
}

void JobScheduler::taskDone(Job& job, const TaskKey& key, Task& task)
{
    if (task.phase == TaskPhase::Done)
        return;
    Step& step = *job.find(stepOf(key));
    if (task.isAssigned()) {
        task.doneWhenRunEnds = false;
        unassignTask(job, key, task);
    }
    task.phase = TaskPhase::Done;
    task.checkpoint.clear();
    ++step.done;
    m_stepsWithDoneTasks.insert(stepOf(key));
    if (isFinal(job.state))
        return;
    if (job.spec().steps[key.step].gang) {
        // One member that ends as done completes the gang. Members of the same run end by themselves.
        for (auto& [i, member] : step.tasks.states()) {
            if (!member.isAssigned())
                continue;
            member.doneWhenRunEnds = true;
            if (member.run != task.run)
                stopTask(job, { key.job, key.occurrence, key.step, i }, "the gang is done");
        }
        for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
            if (step.tasks[i].phase == TaskPhase::Waiting)
                step.done += step.tasks.markDone(i) ? 1 : 0;
        }
    }
    refreshReady(stepOf(key), job, step);
    if (step.isDone()) {
        m_speeds.recordStep(step.measured);
        if (const auto timing = step.timing(m_runtime.now())) {
            m_counters.admissionTimes.observe(timing->admission);
            m_counters.placementTimes.observe(timing->placement);
            job.timing += *timing;
        }
        step.measured = {};
        step.admission = {};
        releaseSteps(job);
    }
}

void JobScheduler::taskFailed(Job& job, const TaskKey& key, Task& task, RunNumber run)
{
    if (isFinal(job.state))
        return;
    Step& step = *job.find(stepOf(key));
    const StepSpec& spec = job.spec().steps[key.step];
    task.notBefore = m_runtime.now() + m_settings.failureBackoff;
    if (spec.longRunning)
        return;
    auto& failedRuns = spec.gang ? step.failedGangRuns : task.failedRuns;
    if (std::find(failedRuns.begin(), failedRuns.end(), run) == failedRuns.end())
        failedRuns.push_back(run);
    if (hasFailed(job, stepOf(key), task))
        finish(job, JobState::Failed, "a task reached its maximum number of attempts");
}

bool JobScheduler::hasFailed(const Job& job, const StepKey& key, const Task& task) const
{
    const auto& failedRuns = job.spec().steps[key.step].gang
        ? job.open.at(key.occurrence).steps[key.step].failedGangRuns
        : task.failedRuns;
    const QueuePolicy* queue = queueOf(job);
    return queue != nullptr && !failedRuns.empty() && failedRuns.size() >= queue->maxAttempts;
}

// The times are those of the last open occurrence. The job was late if after_ms exceeds objective_ms.
void JobScheduler::logEnd(const Job& job, const char* reason)
{
    const auto ms = [](Duration value) { return std::chrono::duration_cast<std::chrono::milliseconds>(value).count(); };
    if (job.open.empty()) {
        m_log.record("job_ended",
            { { "job", job.id.value() }, { "queue", job.submission.queue }, { "state", name(job.state) },
                { "reason", reason } });
        return;
    }
    const Occurrence& last = job.open.rbegin()->second;
    if (job.state == JobState::Completed && !job.spec().isScheduled())
        m_counters.completionTimes.observe(m_runtime.now() - last.releasedAt);
    m_log.record("job_ended",
        { { "job", job.id.value() }, { "queue", job.submission.queue }, { "account", job.submission.account.value() },
            { "state", name(job.state) }, { "reason", reason }, { "after_ms", ms(m_runtime.now() - last.releasedAt) },
            { "objective_ms", ms(last.objective - last.releasedAt) }, { "admission_ms", ms(job.timing.admission) },
            { "placement_ms", ms(job.timing.placement) }, { "running_ms", ms(job.timing.running) } });
}

void JobScheduler::finish(Job& job, JobState state, const char* reason)
{
    job.state = state;
    job.endedUnixMs = m_host.unixMs();
    if (state != JobState::Completed) {
        job.runsAtEnd = job.assignedUsage();
        if (!allRunsLocated(job))
            job.runsAtEnd += job.waitingUsage();
    }
    m_finishedJobs.emplace(job.endedUnixMs, job.id);
    m_scheduledJobs.erase(job.id);
    for (const auto& [n, occurrence] : job.open) {
        for (std::uint32_t i = 0; i < occurrence.steps.size(); ++i)
            m_readySteps.erase({ job.id, n, i });
    }
    m_counters.jobsCompleted += state == JobState::Completed ? 1 : 0;
    m_counters.jobsFailed += state == JobState::Failed ? 1 : 0;
    m_counters.jobsCancelled += state == JobState::Cancelled ? 1 : 0;
    logEnd(job, reason);
    if (state != JobState::Completed)
        stopAll(job, reason);
}

} // namespace lycheeledge::jobs
