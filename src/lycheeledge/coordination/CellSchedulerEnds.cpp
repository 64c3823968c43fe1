// Cell scheduler: completion of tasks and work, retries and deadlines.

#include "CellScheduler.h"

#include <glog/logging.h>

#include <algorithm>

namespace lycheeledge {

namespace {

    bool hasReservation(TaskState state)
    {
        return state == TaskState::Journalling || state == TaskState::Starting || state == TaskState::Running;
    }

    /// Reports omit the body of outcomes that an earlier owner acknowledged.
    bool lacksAnswer(const WorkItem& item, const FinishedTask& finished)
    {
        return !item.isJob() && finished.body.size() != finished.bodyLength;
    }

    /// A service task that failed after running this long has its attempt count reset.
    constexpr Duration stableRunTime = std::chrono::minutes(1);
    /// Interval between reviews of the hold and of preemptions.
    constexpr Duration reviewInterval = std::chrono::milliseconds(100);
    /// Delay of a job's retry while the team's retry budget is exhausted.
    constexpr Duration retryBudgetDelay = std::chrono::seconds(1);

} // namespace

void CellScheduler::abort(WorkItem& item, ErrorKind error, std::string message)
{
    if (item.abortResult)
        return;
    item.abortResult = WorkResult { item.spec.id, RunState::NotRun, error, std::move(message), {} };
    item.team->queues.remove(item);
    item.waiting.clear();
    m_blockedGangs.erase(item.sequence);
    if (m_hold.holder() == &item)
        releaseHold();
    if (item.reservedTasks == 0)
        return finishIfEnded(item);
    for (std::uint32_t i = 0; i < item.tasks.size(); ++i) {
        if (item.tasks[i].state == TaskState::Running) {
            m_pool.applyAction(m_workers.at(item.tasks[i].worker).description.id, TaskAction::Stop, item.taskId(i));
        } else if (item.tasks[i].state == TaskState::Journalling) {
            releaseTask(item, i);
            setState(item, i, TaskState::Aborted);
        }
    }
    if (error == ErrorKind::DeadlineExceeded && !item.isJob() && item.reservedTasks > 0) {
        WorkResult result = *item.abortResult;
        result.run = item.runState == RunState::Run ? RunState::Run : RunState::Unknown;
        answer(item, result);
    }
    finishIfEnded(item);
}

void CellScheduler::finishIfEnded(WorkItem& item)
{
    if (item.abortResult) {
        if (item.reservedTasks > 0)
            return;
        WorkResult result = *item.abortResult;
        if (item.runState != RunState::NotRun)
            result.run = item.runState;
        return finish(item, std::move(result));
    }
    if (item.ended() < item.tasks.size())
        return;
    if (item.failure)
        return finish(item, *item.failure);
    finish(item, { item.spec.id, RunState::Run, ErrorKind::None, {}, {} });
}

void CellScheduler::finish(WorkItem& item, WorkResult result)
{
    ++m_finished;
    const bool job = item.isJob();
    if (!job && item.sentResult)
        result = *item.sentResult;
    if (job)
        journalEnd(item, result);
    answer(item, result);
    StoredOutcome stored;
    stored.status = { item.spec.id, item.spec.kind, WorkPhase::Finished, 0, item.ended(), item.spec.taskCount,
        result.ok() ? "succeeded" : result.message };
    stored.attempt = item.spec.attempt;
    stored.accepted = job && item.durable;
    stored.storedAt = m_runtime.now();
    stored.result = std::move(result);
    m_outcomes.store(std::move(stored));

    if (job)
        m_health.eraseSource(item.spec.id);
    m_blockedGangs.erase(item.sequence);
    if (m_hold.holder() == &item)
        releaseHold();
    item.team->queues.remove(item);
    m_setAside.erase(item.sequence);
    m_unresolved.erase(item.sequence);
    if (item.deadline)
        m_deadlines.erase({ *item.deadline, item.sequence });
    m_items.erase(WorkId(item.spec.id));
}

void CellScheduler::journalEnd(WorkItem& item, const WorkResult& result)
{
    WorkResult record = result;
    record.body.clear();
    // The JobSubmitted record may still become durable after the job was aborted. Its submitters are therefore answered
    // only once the JobEnded record is durable, too.
    const WorkId id = result.id;
    m_pendingEndWaiters[id] = std::exchange(item.waiters, {});
    m_journal.append(
        JobEnded { std::move(record) }, [this, alive = std::weak_ptr(m_alive), result](const absl::Status& status) {
            if (alive.expired())
                return;
            const auto waiters = m_pendingEndWaiters.extract(result.id);
            if (waiters.empty())
                return;
            for (const Done& done : waiters.mapped()) {
                if (status.ok())
                    done(result);
                else
                    done({ result.id, RunState::Unknown, ErrorKind::Unavailable, std::string(status.message()), {} });
            }
        });
}

void CellScheduler::setState(WorkItem& item, std::uint32_t index, TaskState state)
{
    item.tasks[index].state = state;
    item.tasks[index].since = m_runtime.now();
}

void CellScheduler::applyFinished(WorkItem& item, const FinishedTask& finished)
{
    const std::uint32_t index = finished.id.index;
    TaskRecord& task = item.tasks[index];
    task.run = finished.id.run;
    item.recordRunState(RunState::Run);
    if (item.abortResult)
        return taskAborted(item, index);
    if (!finished.succeeded && item.restarting)
        return awaitGangRestart(item, index, m_runtime.now());
    if (!finished.succeeded)
        return taskFailed(item, index, finished.message);
    if (item.isJob()) {
        setState(item, index, TaskState::Succeeded);
        ++item.succeeded;
        if (item.tasks.size() > 1)
            m_journal.append(TaskEnded { finished.id, true }, [](const absl::Status&) {});
        scheduleGangRestartIfEnded(item);
        return finishIfEnded(item);
    }
    if (lacksAnswer(item, finished)) {
        ++task.attempts;
        if (!item.spec.repeatable || !retry(item, index))
            failTask(item, index, ErrorKind::Truncated, RunState::Run, "the answer is no longer available");
        return;
    }
    setState(item, index, TaskState::Succeeded);
    ++item.succeeded;
    finish(item, { item.spec.id, RunState::Run, ErrorKind::None, {}, finished.body });
}

void CellScheduler::taskFailed(WorkItem& item, std::uint32_t index, const std::string& message)
{
    if (endWithEarlierSuccess(item, index))
        return;
    TaskRecord& task = item.tasks[index];
    // A failure that is only reported, after a takeover, may be a lease that expired while the cell had no owner.
    const bool durable = item.spec.kind == WorkKind::Batch && !item.isGang() && hasReservation(task.state);
    if (item.spec.kind == WorkKind::Service && m_runtime.now() - task.since >= stableRunTime)
        task.attempts = 0;
    ++task.attempts;
    if (!item.spec.repeatable || !retry(item, index))
        failTask(item, index, ErrorKind::TaskFailed, RunState::Run, message.empty() ? "the task failed" : message);
    else if (durable)
        journalFailure(item, index);
}

void CellScheduler::taskNotRun(WorkItem& item, std::uint32_t index, const std::string& message)
{
    if (item.abortResult)
        return taskAborted(item, index);
    if (item.restarting)
        return awaitGangRestart(item, index, m_runtime.now());
    if (endWithEarlierSuccess(item, index))
        return;
    // Refused starts do not count as attempts of an accepted job, so that it does not fail because of them.
    if (!item.isJob())
        ++item.tasks[index].attempts;
    if (!retry(item, index))
        failTask(item, index, ErrorKind::Unavailable, item.runState, "not started: " + message);
}

void CellScheduler::taskLost(WorkItem& item, std::uint32_t index)
{
    item.recordRunState(RunState::Unknown);
    if (item.abortResult)
        return taskAborted(item, index);
    if (endWithEarlierSuccess(item, index))
        return;
    if (item.spec.repeatable && item.isGang())
        return awaitGangRestart(item, index, m_runtime.now());
    if (item.spec.repeatable && item.isJob())
        return requeue(item, index);
    ++item.tasks[index].attempts;
    if (!item.spec.repeatable || !retry(item, index))
        failTask(item, index, ErrorKind::WorkerLost, RunState::Unknown, "the worker was lost");
}

void CellScheduler::taskAborted(WorkItem& item, std::uint32_t index)
{
    setState(item, index, TaskState::Aborted);
    finishIfEnded(item);
}

void CellScheduler::failTask(WorkItem& item, std::uint32_t index, ErrorKind error, RunState run, std::string message)
{
    setState(item, index, TaskState::Failed);
    ++item.failed;
    if (item.isJob() && item.tasks.size() > 1)
        m_journal.append(TaskEnded { item.taskId(index), false }, [](const absl::Status&) {});
    if (!item.failure)
        item.failure = WorkResult { item.spec.id, run, error, std::move(message), {} };
    if (item.failure->run == RunState::NotRun)
        item.failure->run = item.runState;
    if (item.isGang()) // the remaining tasks are useless on their own
        return abort(item, item.failure->error, item.failure->message);
    finishIfEnded(item);
}

bool CellScheduler::retry(WorkItem& item, std::uint32_t index)
{
    TaskRecord& task = item.tasks[index];
    const TimePoint now = m_runtime.now();
    const TimePoint due = now + retryBackoff(task.attempts, m_runtime.random());
    if (task.attempts >= policy(item.spec.kind).maxAttempts || (item.deadline && due >= *item.deadline))
        return false;
    if (!item.isJob() && !item.team->retries.take(now)) {
        ++m_refusals["retry_budget"];
        return false;
    }
    if (item.isGang() && item.spec.repeatable) {
        awaitGangRestart(item, index, due);
        return true;
    }
    setState(item, index, TaskState::Delayed);
    m_retries.emplace(due, item.taskId(index));
    return true;
}

void CellScheduler::journalFailure(WorkItem& item, std::uint32_t index)
{
    TaskRecord& task = item.tasks[index];
    ++task.unjournalledFailures;
    m_journal.append(TaskStarting { { item.spec.id, index, std::max(task.highestRun, task.run) + 1 } },
        [this, alive = std::weak_ptr(m_alive), id = item.spec.id, index, sequence = item.sequence](
            const absl::Status& status) {
            WorkItem* item = alive.expired() ? nullptr : find(id);
            // After an error, another process owns the cell and decides about the task.
            if (item && item->sequence == sequence && status.ok())
                --item->tasks[index].unjournalledFailures;
        });
}

void CellScheduler::requeue(WorkItem& item, std::uint32_t index)
{
    if (endWithEarlierSuccess(item, index))
        return;
    setState(item, index, TaskState::Waiting);
    item.waiting.push_front(index);
    enqueue(item, true);
    m_dirtyTeams.insert(item.spec.id.team);
}

void CellScheduler::startCommandCompleted(const TaskId& id, CommandOutcome outcome, const std::string& message)
{
    WorkItem* item = find(id.work);
    if (!item || item->tasks[id.index].run != id.run || item->tasks[id.index].state != TaskState::Starting)
        return; // the task ended or was lost before the answer arrived
    switch (outcome) {
    case CommandOutcome::Accepted:
        setState(*item, id.index, TaskState::Running);
        item->recordRunState(RunState::Run);
        if (item->isJob() && item->spec.repeatable && !item->isGang()) {
            item->tasks[id.index].startNumber = m_nextStartNumber++;
            item->team->preemptibleTasks.emplace(item->tasks[id.index].startNumber, id);
        }
        if (item->abortResult || item->restarting)
            m_pool.applyAction(m_workers.at(item->tasks[id.index].worker).description.id, TaskAction::Stop, id);
        break;
    case CommandOutcome::Refused:
    case CommandOutcome::NotDelivered:
        recordHealth(*item, item->tasks[id.index].worker, false);
        releaseTask(*item, id.index);
        taskNotRun(*item, id.index, message);
        break;
    case CommandOutcome::Unknown:
        releaseTask(*item, id.index);
        taskLost(*item, id.index);
        break;
    }
    schedule();
}

void CellScheduler::taskFinished(const VmId& worker, const FinishedTask& finished)
{
    applyEnd(worker, finished);
    schedule();
}

void CellScheduler::applyEnd(const VmId& worker, const FinishedTask& finished)
{
    WorkItem* item = find(finished.id.work);
    const auto slot = m_workers.find(worker);
    const bool known = item && finished.id.index < item->tasks.size();
    if (item)
        item->recordRunNumber(finished.id);
    if (isActiveRun(item, finished.id) && slot == item->tasks[finished.id.index].worker) {
        const bool preempted = !finished.succeeded && m_preemption.stopRequested(finished.id);
        releaseTask(*item, finished.id.index);
        if (!item->abortResult && !item->restarting && !preempted)
            recordHealth(*item, *slot, finished.succeeded);
        if (preempted && !item->abortResult)
            requeue(*item, finished.id.index);
        else
            applyFinished(*item, finished);
        return;
    }
    releaseReservationOn(slot, finished.id);
    if (known && item->tasks[finished.id.index].state == TaskState::Unresolved
        && (finished.id.run >= item->tasks[finished.id.index].run
            || (finished.succeeded && !lacksAnswer(*item, finished))))
        applyReported(*item, finished);
    else if (known && finished.succeeded)
        applyEarlierSuccess(*item, finished);
    else if (!item && slot && !m_outcomes.find(finished.id.work))
        m_unclaimed.addFinished(m_runtime.now(), finished, *slot);
}

void CellScheduler::applyEarlierSuccess(WorkItem& item, const FinishedTask& finished)
{
    const std::uint32_t index = finished.id.index;
    const TaskState state = item.tasks[index].state;
    if (item.abortResult || lacksAnswer(item, finished))
        return;
    if (hasReservation(state)) {
        item.earlierSuccesses.emplace(index, finished);
    } else if (state == TaskState::Waiting || state == TaskState::Delayed || state == TaskState::AwaitingGangRestart) {
        withdraw(item, index);
        applyFinished(item, finished);
    }
}

void CellScheduler::releaseReservationOn(std::optional<WorkerIndex> worker, const TaskId& id)
{
    // After a takeover, a run on a lost worker can have the same ID as a later run on another worker.
    const Reservation* reservation = m_workers.reservation(id);
    if (reservation && worker == reservation->worker)
        releaseReservation(id);
}

bool CellScheduler::isActiveRun(const WorkItem* item, const TaskId& id) const
{
    return item && id.index < item->tasks.size() && item->tasks[id.index].run == id.run
        && hasReservation(item->tasks[id.index].state);
}

void CellScheduler::releaseTask(WorkItem& item, std::uint32_t index)
{
    --item.reservedTasks;
    if (item.spec.kind == WorkKind::Service)
        item.spread.count(m_workers.at(item.tasks[index].worker), -1);
    if (item.tasks[index].startNumber > 0)
        item.team->preemptibleTasks.erase(std::exchange(item.tasks[index].startNumber, 0));
    m_preemption.taskEnded(item.taskId(index));
    releaseReservation(item.taskId(index));
}

void CellScheduler::releaseReservation(const TaskId& id)
{
    const auto reservation = m_workers.release(id);
    if (!reservation)
        return;
    TeamRecord& team = m_teams.at(id.work.team);
    team.usage -= reservation->size;
    --team.running;
    if (reservation->urgent)
        team.urgentUsage -= reservation->size;
    m_dirtyTeams.insert(id.work.team);
    m_hold.refresh(m_workers, reservation->worker);
    const auto probe = m_probes.find(reservation->worker);
    if (probe != m_probes.end() && probe->second.first == id) {
        m_probes.erase(probe);
        setQuarantined(reservation->worker, false);
    }
    capacityFreed(reservation->worker);
}

void CellScheduler::tick()
{
    const TimePoint now = m_runtime.now();
    m_timer = m_runtime.after(m_settings.tickInterval, [this] { tick(); });
    expireDeferredSubmissions(now);
    expireDeadlines();
    requeueDueRetries();
    requeueDueGangs();
    releaseStalledStarts();
    updateProbes();
    shedRequests();
    sendPreemptions();
    for (const auto& [sequence, item] : m_blockedGangs) {
        if (now >= item->earliestAttempt)
            m_dirtyTeams.insert(item->spec.id.team);
    }
    if (now >= m_nextReview) {
        m_nextReview = now + reviewInterval;
        updateHold();
        preempt();
    }
    m_outcomes.expire(now);
    m_unclaimed.expire(now);
    schedule();
}

void CellScheduler::expireDeferredSubmissions(TimePoint now)
{
    std::erase_if(m_deferredSubmissions, [&](DeferredSubmission& deferred) {
        const WorkSpec& spec = deferred.spec;
        if (spec.deadline == Duration::zero() || deferred.arrival + spec.deadline > now)
            return false;
        const RunState run = spec.attempt == 1 || spec.kind != WorkKind::Request ? RunState::NotRun : RunState::Unknown;
        postResult(std::move(deferred.done),
            { spec.id, run, ErrorKind::DeadlineExceeded, "no scheduler was active before the deadline", {} });
        return true;
    });
}

void CellScheduler::expireDeadlines()
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first.first <= m_runtime.now()) {
        WorkItem& item = *m_deadlines.begin()->second;
        m_deadlines.erase(m_deadlines.begin());
        if (item.reservedTasks == 0)
            ++m_refusals["deadline"];
        abort(item, ErrorKind::DeadlineExceeded, "the deadline passed");
    }
}

void CellScheduler::requeueDueRetries()
{
    const TimePoint now = m_runtime.now();
    while (!m_retries.empty() && m_retries.begin()->first <= now) {
        const TaskId id = m_retries.begin()->second;
        m_retries.erase(m_retries.begin());
        WorkItem* item = find(id.work);
        if (!item || item->abortResult || id.index >= item->tasks.size())
            continue;
        const TaskRecord& task = item->tasks[id.index];
        if (task.state != TaskState::Delayed)
            continue;
        if (task.unjournalledFailures > 0) {
            m_retries.emplace(now + m_settings.tickInterval, id);
            continue;
        }
        if (item->isJob() && !item->team->retries.take(now)) {
            m_retries.emplace(now + retryBudgetDelay, id);
            continue;
        }
        ++m_retryCount;
        requeue(*item, id.index);
    }
}

} // namespace lycheeledge
