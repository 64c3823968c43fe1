// How tasks and work end in the cell scheduler: outcomes, retries, deadlines.

#include "CellScheduler.h"

#include <glog/logging.h>

namespace lycheeledge {

namespace {

    bool isHeld(TaskState state)
    {
        return state == TaskState::Journalling || state == TaskState::Starting || state == TaskState::Running;
    }

    /// A service task that ran this long starts with a fresh number of attempts.
    constexpr Duration stableRun = std::chrono::minutes(1);
    /// Interval between reviews of holds and preemptions.
    constexpr Duration reviewInterval = std::chrono::milliseconds(100);
    /// Delay of a job's retry while the team's retry budget is used up.
    constexpr Duration budgetDelay = std::chrono::seconds(1);

} // namespace

void CellScheduler::close(WorkItem& item, ErrorKind error, std::string message)
{
    if (item.closing)
        return;
    item.closing = WorkResult { item.spec.id, RunState::NotRun, error, std::move(message), {} };
    item.team->queues.remove(item);
    item.waiting.clear();
    m_blockedGangs.erase(item.sequence);
    if (m_hold.holder() == &item)
        dropHold();
    if (item.held == 0)
        return finishIfEnded(item);
    for (std::uint32_t i = 0; i < item.tasks.size(); ++i) {
        if (item.tasks[i].state == TaskState::Running) {
            m_pool.act(m_workers.at(item.tasks[i].worker).description.id, TaskAction::Stop, item.taskId(i));
        } else if (item.tasks[i].state == TaskState::Journalling) {
            releaseTask(item, i);
            setState(item, i, TaskState::Dropped);
        }
    }
    if (error == ErrorKind::DeadlineExceeded && !item.isJob() && item.held > 0) {
        WorkResult result = *item.closing;
        result.run = item.run == RunState::Run ? RunState::Run : RunState::Unknown;
        answer(item, result);
    }
    finishIfEnded(item);
}

void CellScheduler::finishIfEnded(WorkItem& item)
{
    if (item.closing) {
        if (item.held > 0)
            return;
        WorkResult result = *item.closing;
        if (item.run != RunState::NotRun)
            result.run = item.run;
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
    if (!job && item.answer)
        result = *item.answer;
    if (job)
        journalEnd(item, result);
    answer(item, result);
    KeptOutcome kept;
    kept.status = { item.spec.id, item.spec.kind, WorkPhase::Finished, 0, item.ended(), item.spec.taskCount,
        result.ok() ? "succeeded" : result.message };
    kept.attempt = item.spec.attempt;
    kept.accepted = job && item.durable;
    kept.since = m_runtime.now();
    kept.result = std::move(result);
    m_outcomes.keep(std::move(kept));

    if (job)
        m_health.forgetSource(item.spec.id);
    m_blockedGangs.erase(item.sequence);
    if (m_hold.holder() == &item)
        dropHold();
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
    // The submission may become durable although the job was closed before: who waits for it hears of the end only
    // once the end is durable, too.
    const WorkId id = result.id;
    m_endingJobs[id] = std::exchange(item.waiters, {});
    m_journal.append(
        JobEnded { std::move(record) }, [this, alive = std::weak_ptr(m_alive), result](const absl::Status& status) {
            if (alive.expired())
                return;
            const auto waiters = m_endingJobs.extract(result.id);
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
    item.noteRun(RunState::Run);
    if (item.closing)
        return taskDropped(item, index);
    if (!finished.succeeded && item.regrouping)
        return regroup(item, index, m_runtime.now());
    if (!finished.succeeded)
        return taskFailed(item, index, finished.message);
    if (item.isJob()) {
        setState(item, index, TaskState::Succeeded);
        ++item.succeeded;
        if (item.tasks.size() > 1)
            m_journal.append(TaskEnded { finished.id, true }, [](const absl::Status&) {});
        regroupIfEnded(item);
        return finishIfEnded(item);
    }
    if (finished.body.size() != finished.bodyLength) {
        // Reports of outcomes that an earlier owner acknowledged come without the answer.
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
    TaskRecord& task = item.tasks[index];
    if (item.spec.kind == WorkKind::Service && m_runtime.now() - task.since >= stableRun)
        task.attempts = 0;
    ++task.attempts;
    if (!item.spec.repeatable || !retry(item, index))
        failTask(item, index, ErrorKind::TaskFailed, RunState::Run, message.empty() ? "the task failed" : message);
}

void CellScheduler::taskNotRun(WorkItem& item, std::uint32_t index, const std::string& message)
{
    if (item.closing)
        return taskDropped(item, index);
    if (item.regrouping)
        return regroup(item, index, m_runtime.now());
    // Accepted jobs do not fail because workers refuse them.
    if (!item.isJob())
        ++item.tasks[index].attempts;
    if (!retry(item, index))
        failTask(item, index, ErrorKind::Unavailable, item.run, "not started: " + message);
}

void CellScheduler::taskLost(WorkItem& item, std::uint32_t index)
{
    item.noteRun(RunState::Unknown);
    if (item.closing)
        return taskDropped(item, index);
    if (item.spec.repeatable && item.isGang())
        return regroup(item, index, m_runtime.now());
    if (item.spec.repeatable && item.isJob())
        return requeue(item, index);
    ++item.tasks[index].attempts;
    if (!item.spec.repeatable || !retry(item, index))
        failTask(item, index, ErrorKind::WorkerLost, RunState::Unknown, "the worker was lost");
}

void CellScheduler::taskDropped(WorkItem& item, std::uint32_t index)
{
    setState(item, index, TaskState::Dropped);
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
        item.failure->run = item.run;
    if (item.isGang()) // the others are of no use alone
        return close(item, item.failure->error, item.failure->message);
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
        regroup(item, index, due);
        return true;
    }
    setState(item, index, TaskState::Delayed);
    m_retries.emplace(due, item.taskId(index));
    return true;
}

void CellScheduler::requeue(WorkItem& item, std::uint32_t index)
{
    setState(item, index, TaskState::Waiting);
    item.waiting.push_front(index);
    enqueue(item, true);
    m_dirtyTeams.insert(item.spec.id.team);
}

void CellScheduler::startAnswered(const TaskId& id, CommandOutcome outcome, const std::string& message)
{
    WorkItem* item = find(id.work);
    if (!item || item->tasks[id.index].run != id.run || item->tasks[id.index].state != TaskState::Starting)
        return; // ended or lost before the answer came
    switch (outcome) {
    case CommandOutcome::Accepted:
        setState(*item, id.index, TaskState::Running);
        item->noteRun(RunState::Run);
        if (item->isJob() && item->spec.repeatable && !item->isGang()) {
            item->tasks[id.index].startNumber = m_nextStartNumber++;
            item->team->preemptible.emplace(item->tasks[id.index].startNumber, id);
        }
        if (item->closing || item->regrouping)
            m_pool.act(m_workers.at(item->tasks[id.index].worker).description.id, TaskAction::Stop, id);
        break;
    case CommandOutcome::Refused:
    case CommandOutcome::NotDelivered:
        noteHealth(*item, item->tasks[id.index].worker, false);
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
    WorkItem* item = find(finished.id.work);
    const auto slot = m_workers.find(worker);
    const bool known = item && finished.id.index < item->tasks.size();
    if (item)
        item->noteRunNumber(finished.id);
    if (ownsRun(item, finished.id)) {
        if (slot == item->tasks[finished.id.index].worker) {
            const bool preempted = !finished.succeeded && m_preemption.stopped(finished.id);
            releaseTask(*item, finished.id.index);
            if (!item->closing && !item->regrouping && !preempted)
                noteHealth(*item, *slot, finished.succeeded);
            if (preempted && !item->closing)
                requeue(*item, finished.id.index);
            else
                applyFinished(*item, finished);
        }
    } else if (known && item->tasks[finished.id.index].state == TaskState::Unresolved
        && finished.id.run >= item->tasks[finished.id.index].run) {
        releaseOn(slot, finished.id);
        applyReported(*item, finished);
    } else {
        releaseOn(slot, finished.id);
        if (!item && slot && !m_outcomes.find(finished.id.work))
            m_unclaimed.addFinished(m_runtime.now(), finished, *slot);
    }
    schedule();
}

void CellScheduler::releaseOn(std::optional<WorkerSlot> worker, const TaskId& id)
{
    // After a takeover, a run on a worker that was lost can have the same id as a later one elsewhere.
    const Reservation* reservation = m_workers.reservation(id);
    if (reservation && worker == reservation->worker)
        releaseReservation(id);
}

bool CellScheduler::ownsRun(const WorkItem* item, const TaskId& id) const
{
    return item && id.index < item->tasks.size() && item->tasks[id.index].run == id.run
        && isHeld(item->tasks[id.index].state);
}

void CellScheduler::releaseTask(WorkItem& item, std::uint32_t index)
{
    --item.held;
    if (item.spec.kind == WorkKind::Service)
        item.spread.count(m_workers.at(item.tasks[index].worker), -1);
    if (item.tasks[index].startNumber > 0)
        item.team->preemptible.erase(std::exchange(item.tasks[index].startNumber, 0));
    m_preemption.ended(item.taskId(index));
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
    m_timer = m_runtime.after(m_settings.tick, [this] { tick(); });
    dropEarly(now);
    fireDeadlines();
    fireRetries();
    fireRegroups();
    releaseStalledStarts();
    manageProbes();
    shedRequests();
    sendPreemptions();
    for (const auto& [sequence, item] : m_blockedGangs) {
        if (now >= item->nextAttempt)
            m_dirtyTeams.insert(item->spec.id.team);
    }
    if (now >= m_nextReview) {
        m_nextReview = now + reviewInterval;
        manageHold();
        preempt();
    }
    m_outcomes.expire(now);
    m_unclaimed.expire(now);
    schedule();
}

void CellScheduler::dropEarly(TimePoint now)
{
    std::erase_if(m_early, [&](EarlySubmission& early) {
        const WorkSpec& spec = early.spec;
        if (spec.deadline == Duration::zero() || early.arrival + spec.deadline > now)
            return false;
        const RunState run = spec.attempt == 1 || spec.kind != WorkKind::Request ? RunState::NotRun : RunState::Unknown;
        postResult(std::move(early.done),
            { spec.id, run, ErrorKind::DeadlineExceeded, "no scheduler was active before the deadline", {} });
        return true;
    });
}

void CellScheduler::fireDeadlines()
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first.first <= m_runtime.now()) {
        WorkItem& item = *m_deadlines.begin()->second;
        m_deadlines.erase(m_deadlines.begin());
        if (item.held == 0)
            ++m_refusals["deadline"];
        close(item, ErrorKind::DeadlineExceeded, "the deadline passed");
    }
}

void CellScheduler::fireRetries()
{
    const TimePoint now = m_runtime.now();
    while (!m_retries.empty() && m_retries.begin()->first <= now) {
        const TaskId id = m_retries.begin()->second;
        m_retries.erase(m_retries.begin());
        WorkItem* item = find(id.work);
        if (!item || item->closing || id.index >= item->tasks.size())
            continue;
        const TaskRecord& task = item->tasks[id.index];
        if (task.state != TaskState::Delayed)
            continue;
        if (item->isJob() && !item->team->retries.take(now)) {
            m_retries.emplace(now + budgetDelay, id);
            continue;
        }
        ++m_retryCount;
        requeue(*item, id.index);
    }
}

} // namespace lycheeledge
