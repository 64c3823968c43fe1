// Cell scheduler: recovery after a takeover, and worker reports.

#include "CellScheduler.h"

#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>
#include <glog/logging.h>

#include <algorithm>
#include <tuple>

namespace lycheeledge {

namespace {

    /// A report may be older than the start of a task that has been running for less than this.
    constexpr Duration maxReportDelay = std::chrono::seconds(10);

} // namespace

void CellScheduler::recover(const std::vector<JournalRecord>& records)
{
    std::vector<WorkId> cancelled;
    std::vector<WorkId> submitted;
    for (const JournalRecord& record : records) {
        if (const auto* cancel = std::get_if<JobCancelled>(&record))
            cancelled.push_back(cancel->id);
        else if (const auto* job = std::get_if<JobSubmitted>(&record))
            submitted.push_back(job->spec.id);
        recoverRecord(record);
    }
    for (const WorkId& id : submitted) {
        if (WorkItem* item = find(id))
            claimReportedTasks(*item);
        if (WorkItem* item = find(id))
            finishIfEnded(*item);
    }
    // A task of a cancelled job that is still running is stopped when its worker reports it.
    for (const WorkId& id : cancelled) {
        if (WorkItem* item = find(id))
            abort(*item, ErrorKind::Cancelled, "cancelled");
    }
    LOG(INFO) << "[scheduler] recovered " << m_items.size() << " jobs from " << records.size() << " journal records";
}

void CellScheduler::recoverRecord(const JournalRecord& record)
{
    if (const auto* job = std::get_if<JobSubmitted>(&record)) {
        if (find(job->spec.id))
            return;
        WorkItem& item = createItem(job->spec, {}, m_runtime.now());
        item.durable = true;
        item.sentResult = WorkResult { job->spec.id, RunState::NotRun, ErrorKind::None, "accepted", {} };
        // Starts of repeatable tasks are not journalled, so these may have run.
        item.runState = job->spec.repeatable ? RunState::Unknown : RunState::NotRun;
        item.waiting.clear();
        for (TaskRecord& task : item.tasks)
            task.state = TaskState::Unresolved;
        m_unresolved.emplace(item.sequence, item.spec.id);
    } else if (const auto* start = std::get_if<TaskStarting>(&record)) {
        WorkItem* item = find(start->id.work);
        if (!item || start->id.index >= item->tasks.size())
            return;
        TaskRecord& task = item->tasks[start->id.index];
        task.run = std::max(task.run, start->id.run);
        task.journalled = true;
        if (item->spec.repeatable)
            ++task.attempts;
        item->recordRunState(RunState::Unknown);
    } else if (const auto* end = std::get_if<TaskEnded>(&record)) {
        WorkItem* item = find(end->id.work);
        if (!item || end->id.index >= item->tasks.size())
            return;
        TaskRecord& task = item->tasks[end->id.index];
        if (task.state != TaskState::Unresolved)
            return;
        task.run = std::max(task.run, end->id.run);
        task.state = end->succeeded ? TaskState::Succeeded : TaskState::Failed;
        ++(end->succeeded ? item->succeeded : item->failed);
        if (!end->succeeded && !item->failure)
            item->failure = WorkResult { end->id.work, RunState::Run, ErrorKind::TaskFailed, "a task failed", {} };
        item->recordRunState(RunState::Run);
    } else if (const auto* ended = std::get_if<JobEnded>(&record)) {
        const WorkId& id = ended->result.id;
        StoredOutcome stored;
        stored.status = { id, WorkKind::Batch, WorkPhase::Finished, 0, 0, 1,
            ended->result.ok() ? "succeeded" : ended->result.message };
        if (WorkItem* item = find(id)) {
            stored.status.kind = item->spec.kind;
            stored.status.taskCount = item->spec.taskCount;
            stored.status.tasksFinished = item->ended();
            m_unresolved.erase(item->sequence);
            if (item->deadline)
                m_deadlines.erase({ *item->deadline, item->sequence });
            m_items.erase(id);
        }
        stored.accepted = true;
        stored.storedAt = m_runtime.now();
        stored.result = ended->result;
        m_outcomes.store(std::move(stored));
    } else if (const auto* joined = std::get_if<WorkerJoined>(&record)) {
        m_journalledCapacity[joined->worker.id] = joined->worker.capacity;
    } else if (const auto* removed = std::get_if<WorkerRemoved>(&record)) {
        m_journalledCapacity.erase(removed->worker);
        m_historyCompleteAt = m_runtime.now() + m_settings.outcomeRetention;
    }
}

void CellScheduler::activate(const std::vector<VmId>& missingWorkers)
{
    for (const VmId& id : missingWorkers) {
        const auto slot = m_workers.find(id);
        if (!slot || !m_workers.at(*slot).available)
            m_missingWorkers.insert(id);
    }
    m_active = true;
    LOG(INFO) << "[scheduler] active; " << m_missingWorkers.size() << " journalled workers have not reported yet";
    missingWorkersChanged();
    auto deferred = std::move(m_deferredSubmissions);
    m_deferredSubmissions.clear();
    for (DeferredSubmission& submission : deferred)
        accept(std::move(submission.spec), std::move(submission.traceparent), std::move(submission.done),
            submission.arrival);
    markAllDirty();
    schedule();
}

void CellScheduler::missingWorkersChanged()
{
    m_missingCapacity = Resources {};
    for (const VmId& id : m_missingWorkers) {
        const auto it = m_journalledCapacity.find(id);
        if (it == m_journalledCapacity.end()) {
            m_missingCapacity.reset();
            break;
        }
        *m_missingCapacity += it->second;
    }
    resolveTasks();
    markAllDirty(); // upper limits include the capacity of missing workers
}

void CellScheduler::resolveTasks()
{
    if (!m_active || !m_missingWorkers.empty())
        return;
    // Every journalled worker has reported or certainly runs nothing, so tasks in no report are not running.
    const auto unresolved = std::move(m_unresolved);
    m_unresolved.clear();
    for (const auto& [sequence, id] : unresolved) {
        WorkItem* item = find(id);
        if (!item)
            continue;
        std::vector<std::uint32_t> failed;
        std::vector<std::uint32_t> lost;
        for (std::uint32_t i = 0; i < item->tasks.size(); ++i) {
            TaskRecord& task = item->tasks[i];
            if (task.state != TaskState::Unresolved)
                continue;
            if (std::exchange(task.reportedFailed, false)) {
                failed.push_back(i);
                continue;
            }
            if (task.journalled && !item->spec.repeatable) {
                lost.push_back(i);
                continue;
            }
            setState(*item, i, TaskState::Waiting);
            item->waiting.push_back(i);
        }
        // A resubmitted request that no report mentions has not run, if reports cover the deduplication window.
        if (!item->isJob() && item->tasks[0].highestRun == 0 && historyComplete())
            item->runState = RunState::NotRun;
        for (const std::uint32_t i : failed) {
            if (WorkItem* open = find(id))
                taskFailed(*open, i, {});
        }
        if (WorkItem* open = find(id))
            enqueue(*open, false);
        for (const std::uint32_t i : lost) {
            if (WorkItem* open = find(id))
                failTask(*open, i, ErrorKind::WorkerLost, RunState::Unknown,
                    "its start was journalled, its end is not known");
        }
    }
    requeueSetAside();
}

void CellScheduler::claimReportedTasks(WorkItem& item)
{
    const WorkId id = item.spec.id;
    auto reported = m_unclaimed.claim(id);
    if (!reported)
        return;
    if (reported->lost)
        item.recordRunState(RunState::Unknown);
    for (const auto& running : reported->running) {
        if (running.id.index < item.tasks.size())
            attachRunningTask(item, running.id, running.worker);
    }
    // Of each task, a run that succeeded counts; if there is none, the highest run.
    std::stable_sort(reported->finished.begin(), reported->finished.end(), [](const auto& a, const auto& b) {
        return std::tie(a.task.succeeded, a.task.id.run) > std::tie(b.task.succeeded, b.task.id.run);
    });
    absl::flat_hash_set<std::uint32_t> seen;
    for (const auto& finished : reported->finished) {
        const std::uint32_t index = finished.task.id.index;
        WorkItem* open = find(id);
        if (open)
            open->recordRunNumber(finished.task.id);
        if (!open || index >= open->tasks.size() || !seen.insert(index).second)
            continue;
        if (!finished.task.succeeded && finished.task.id.run < open->tasks[index].run)
            continue; // counted by an earlier owner
        const TaskState state = open->tasks[index].state;
        if (state == TaskState::Unresolved || state == TaskState::Waiting) {
            std::erase(open->waiting, index);
            applyReported(*open, finished.task);
        } else if (finished.task.succeeded) {
            applyEarlierSuccess(*open, finished.task);
        }
    }
    WorkItem* open = find(id);
    if (open && reported->lost && !open->spec.repeatable && !open->isJob() && open->reservedTasks == 0)
        failTask(*open, 0, ErrorKind::WorkerLost, RunState::Unknown, "the worker was lost");
}

void CellScheduler::applyReported(WorkItem& item, const FinishedTask& finished)
{
    if (finished.succeeded || (m_active && m_missingWorkers.empty()))
        return applyFinished(item, finished);
    // A missing worker may still report a later run.
    TaskRecord& task = item.tasks[finished.id.index];
    task.run = finished.id.run;
    task.reportedFailed = true;
    item.recordRunState(RunState::Run);
    setState(item, finished.id.index, TaskState::Unresolved);
    m_unresolved.emplace(item.sequence, item.spec.id);
}

bool CellScheduler::endWithEarlierSuccess(WorkItem& item, std::uint32_t index)
{
    const auto earlier = item.earlierSuccesses.extract(index);
    if (earlier.empty())
        return false;
    applyFinished(item, earlier.mapped());
    return true;
}

void CellScheduler::withdraw(WorkItem& item, std::uint32_t index)
{
    if (std::erase(item.waiting, index) == 0)
        return;
    if (item.waiting.empty())
        item.team->queues.remove(item);
    if (m_hold.holder() == &item)
        releaseHold(); // it was planned for all waiting tasks
}

void CellScheduler::attachRunningTask(WorkItem& item, const TaskId& id, WorkerIndex worker)
{
    item.recordRunNumber(id);
    TaskRecord& task = item.tasks[id.index];
    // A running task takes precedence over a failed run with a higher number, which may come from a lost worker.
    const bool open = task.state == TaskState::Unresolved || task.state == TaskState::Waiting
        || task.state == TaskState::Delayed || task.state == TaskState::AwaitingGangRestart;
    if (!open) {
        LOG(WARNING) << "[scheduler] stopping a superseded run of " << id.work.team << '/' << id.work.request << " on "
                     << m_workers.at(worker).description.id;
        m_pool.applyAction(m_workers.at(worker).description.id, TaskAction::Stop, id);
        return;
    }
    std::erase(item.waiting, id.index);
    if (item.waiting.empty())
        item.team->queues.remove(item);
    task.run = id.run;
    task.reportedFailed = false;
    task.worker = worker;
    setState(item, id.index, TaskState::Running);
    ++item.reservedTasks;
    if (item.spec.kind == WorkKind::Service)
        item.spread.count(m_workers.at(worker), 1);
    item.started = true;
    item.recordRunState(RunState::Run);
    if (item.abortResult || item.restarting)
        m_pool.applyAction(m_workers.at(worker).description.id, TaskAction::Stop, id);
}

void CellScheduler::workerAvailable(const WorkerDescription& worker, const LeaseReport& report)
{
    WorkerDescription description = worker;
    if (!report.capacity.isZero())
        description.capacity = report.capacity;
    const WorkerIndex slot = m_workers.addOrUpdate(description);
    loseAbsentTasks(slot, report);
    for (const RunningTask& task : report.running)
        addReportedTask(slot, task);
    m_workers.setUsed(slot, report.used);
    setWorkerFlags(slot, true, true);
    for (const FinishedTask& task : report.finished)
        applyEnd(worker.id, task);
    if (m_missingWorkers.erase(worker.id) > 0)
        missingWorkersChanged();
    requeueSetAside();
    schedule();
}

void CellScheduler::setWorkerFlags(WorkerIndex slot, bool available, bool reachable)
{
    const auto drained = m_drained.find(m_workers.at(slot).description.id);
    m_workers.update(slot, [&](WorkerEntry& entry) {
        entry.available = available;
        entry.reachable = reachable;
        entry.drained = drained != m_drained.end() && drained->second;
    });
    capacityFreed(slot);
}

void CellScheduler::addReportedTask(WorkerIndex slot, const RunningTask& reported)
{
    const TaskId& id = reported.id;
    if (m_workers.reservation(id))
        return;
    WorkItem* item = find(id.work);
    addReservation(id, { slot, reported.reserved, item && item->spec.urgent });
    if (item && id.index < item->tasks.size())
        attachRunningTask(*item, id, slot);
    else if (item || m_outcomes.find(id.work))
        m_pool.applyAction(m_workers.at(slot).description.id, TaskAction::Stop, id); // the work has ended
    else
        m_unclaimed.addRunning(m_runtime.now(), id, slot);
}

std::vector<TaskId> CellScheduler::tasksOn(WorkerIndex slot) const
{
    const auto& tasks = m_workers.at(slot).tasks;
    std::vector<TaskId> ids(tasks.begin(), tasks.end());
    std::sort(ids.begin(), ids.end()); // deterministic, independent of the hash order
    return ids;
}

void CellScheduler::loseAbsentTasks(WorkerIndex slot, const LeaseReport& report)
{
    if (!report.full || m_workers.at(slot).tasks.empty())
        return;
    absl::flat_hash_set<TaskId> present;
    for (const RunningTask& task : report.running)
        present.insert(task.id);
    for (const FinishedTask& task : report.finished)
        present.insert(task.id);
    for (const TaskId& id : tasksOn(slot)) {
        if (present.contains(id))
            continue;
        const WorkItem* item = find(id.work);
        if (isActiveRun(item, id)) {
            const TaskRecord& task = item->tasks[id.index];
            if (task.state != TaskState::Running || m_runtime.now() - task.since < maxReportDelay)
                continue;
        }
        loseTask(id);
    }
}

void CellScheduler::loseTask(const TaskId& id)
{
    WorkItem* item = find(id.work);
    if (!isActiveRun(item, id)) {
        releaseReservation(id);
        if (m_unclaimed.contains(id.work))
            m_unclaimed.addLost(m_runtime.now(), id);
        return;
    }
    const bool started = item->tasks[id.index].state != TaskState::Journalling;
    releaseTask(*item, id.index);
    if (started)
        taskLost(*item, id.index);
    else if (item->abortResult)
        taskAborted(*item, id.index);
    else
        requeue(*item, id.index);
}

void CellScheduler::workerReported(const VmId& worker, const LeaseReport& report)
{
    const auto slot = m_workers.find(worker);
    if (!slot)
        return;
    m_workers.setUsed(*slot, report.used);
    if (m_workers.at(*slot).available && !m_workers.at(*slot).reachable)
        setWorkerFlags(*slot, true, true);
    loseAbsentTasks(*slot, report);
    schedule();
}

void CellScheduler::workerChanged(const WorkerDescription& worker)
{
    const auto slot = m_workers.find(worker.id);
    if (!slot)
        return;
    WorkerDescription description = worker;
    if (m_workers.at(*slot).available)
        description.capacity = m_workers.at(*slot).description.capacity; // the capacity reported by the worker is newer
    m_workers.addOrUpdate(description);
    capacityFreed(*slot);
    requeueSetAside();
    schedule();
}

void CellScheduler::workerUnreachable(const VmId& worker)
{
    const auto slot = m_workers.find(worker);
    if (slot && m_workers.at(*slot).available)
        m_workers.update(*slot, [](WorkerEntry& entry) { entry.reachable = false; });
}

void CellScheduler::workerLost(const VmId& worker)
{
    const auto slot = m_workers.find(worker);
    if (slot) {
        m_workers.update(*slot, [](WorkerEntry& entry) {
            entry.available = false;
            entry.reachable = false;
        });
        for (const TaskId& id : tasksOn(*slot))
            loseTask(id);
    }
    if (!slot || m_missingWorkers.contains(worker)) {
        // It is unknown what ran there, so work with an unknown ID may have run.
        m_historyCompleteAt = m_runtime.now() + m_settings.outcomeRetention;
        LOG(WARNING) << "[scheduler] worker " << worker << " was lost before its first report to this owner";
    }
    if (m_missingWorkers.erase(worker) > 0)
        missingWorkersChanged();
    schedule();
}

} // namespace lycheeledge
