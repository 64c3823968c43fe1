// Recovery after a takeover, and workers' reports, in the cell scheduler.

#include "CellScheduler.h"

#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>
#include <glog/logging.h>

#include <algorithm>

namespace lycheeledge {

namespace {

    /// A report may have been written before a start that was accepted this recently.
    constexpr Duration reportLag = std::chrono::seconds(10);

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
            claimReported(*item);
        if (WorkItem* item = find(id))
            finishIfEnded(*item);
    }
    // A running task of a cancelled job is stopped when its worker reports it.
    for (const WorkId& id : cancelled) {
        if (WorkItem* item = find(id))
            close(*item, ErrorKind::Cancelled, "cancelled");
    }
    LOG(INFO) << "[scheduler] recovered " << m_items.size() << " jobs from " << records.size() << " journal records";
}

void CellScheduler::recoverRecord(const JournalRecord& record)
{
    if (const auto* job = std::get_if<JobSubmitted>(&record)) {
        if (find(job->spec.id))
            return;
        WorkItem& item = create(job->spec, {}, m_runtime.now());
        item.durable = true;
        item.answer = WorkResult { job->spec.id, RunState::NotRun, ErrorKind::None, "accepted", {} };
        // Only starts of tasks that are not repeatable were journalled.
        item.run = job->spec.repeatable ? RunState::Unknown : RunState::NotRun;
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
        item->noteRun(RunState::Unknown);
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
        item->noteRun(RunState::Run);
    } else if (const auto* ended = std::get_if<JobEnded>(&record)) {
        const WorkId& id = ended->result.id;
        KeptOutcome kept;
        kept.status = { id, WorkKind::Batch, WorkPhase::Finished, 0, 0, 1,
            ended->result.ok() ? "succeeded" : ended->result.message };
        if (WorkItem* item = find(id)) {
            kept.status.kind = item->spec.kind;
            kept.status.taskCount = item->spec.taskCount;
            kept.status.tasksFinished = item->ended();
            m_unresolved.erase(item->sequence);
            if (item->deadline)
                m_deadlines.erase({ *item->deadline, item->sequence });
            m_items.erase(id);
        }
        kept.accepted = true;
        kept.since = m_runtime.now();
        kept.result = ended->result;
        m_outcomes.keep(std::move(kept));
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
            m_missing.insert(id);
    }
    m_active = true;
    LOG(INFO) << "[scheduler] active with " << m_missing.size() << " workers missing";
    missingChanged();
    auto early = std::move(m_early);
    m_early.clear();
    for (EarlySubmission& submission : early)
        accept(std::move(submission.spec), std::move(submission.traceparent), std::move(submission.done),
            submission.arrival);
    everythingMayFit();
    schedule();
}

void CellScheduler::missingChanged()
{
    m_missingCapacity = Resources {};
    for (const VmId& id : m_missing) {
        const auto it = m_journalledCapacity.find(id);
        if (it == m_journalledCapacity.end()) {
            m_missingCapacity.reset();
            break;
        }
        *m_missingCapacity += it->second;
    }
    resolveTasks();
    everythingMayFit(); // upper limits count what missing workers may run
}

void CellScheduler::resolveTasks()
{
    if (!m_active || !m_missing.empty())
        return;
    // Every journalled worker has reported or has certainly stopped: what no report contained runs nowhere.
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
        // A re-sent request that no report knows has not run, if the reports go back far enough.
        if (!item->isJob() && item->tasks[0].highestRun == 0 && historyComplete())
            item->run = RunState::NotRun;
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
    reviewSetAside();
}

void CellScheduler::claimReported(WorkItem& item)
{
    const WorkId id = item.spec.id;
    auto reported = m_unclaimed.claim(id);
    if (!reported)
        return;
    if (reported->lost)
        item.noteRun(RunState::Unknown);
    for (const auto& running : reported->running) {
        if (running.id.index < item.tasks.size())
            attachRunning(item, running.id, running.worker);
    }
    // Only the last run of a task decides.
    std::stable_sort(reported->finished.begin(), reported->finished.end(),
        [](const auto& a, const auto& b) { return a.task.id.run > b.task.id.run; });
    absl::flat_hash_set<std::uint32_t> seen;
    for (const auto& finished : reported->finished) {
        const std::uint32_t index = finished.task.id.index;
        WorkItem* open = find(id);
        if (open)
            open->noteRunNumber(finished.task.id);
        if (!open || index >= open->tasks.size() || !seen.insert(index).second)
            continue;
        const TaskState state = open->tasks[index].state;
        if (state != TaskState::Unresolved && state != TaskState::Waiting)
            continue;
        std::erase(open->waiting, index);
        applyReported(*open, finished.task);
    }
    WorkItem* open = find(id);
    if (open && reported->lost && !open->spec.repeatable && !open->isJob() && open->held == 0)
        failTask(*open, 0, ErrorKind::WorkerLost, RunState::Unknown, "the worker was lost");
}

void CellScheduler::applyReported(WorkItem& item, const FinishedTask& finished)
{
    if (finished.succeeded || (m_active && m_missing.empty()))
        return applyFinished(item, finished);
    // A later run may be in a report that is still to come.
    TaskRecord& task = item.tasks[finished.id.index];
    task.run = finished.id.run;
    task.reportedFailed = true;
    item.noteRun(RunState::Run);
    setState(item, finished.id.index, TaskState::Unresolved);
    m_unresolved.emplace(item.sequence, item.spec.id);
}

void CellScheduler::attachRunning(WorkItem& item, const TaskId& id, WorkerSlot worker)
{
    item.noteRunNumber(id);
    TaskRecord& task = item.tasks[id.index];
    // What runs counts more than a failed run of a higher number: that one may come from a worker that was lost.
    const bool open = task.state == TaskState::Unresolved || task.state == TaskState::Waiting
        || task.state == TaskState::Delayed || task.state == TaskState::Regrouping;
    if (!open) {
        LOG(WARNING) << "[scheduler] stopping a stale run of " << id.work.team << '/' << id.work.request << " on "
                     << m_workers.at(worker).description.id;
        m_pool.act(m_workers.at(worker).description.id, TaskAction::Stop, id);
        return;
    }
    std::erase(item.waiting, id.index);
    if (item.waiting.empty())
        item.team->queues.remove(item);
    task.run = id.run;
    task.reportedFailed = false;
    task.worker = worker;
    setState(item, id.index, TaskState::Running);
    ++item.held;
    if (item.spec.kind == WorkKind::Service)
        item.spread.count(m_workers.at(worker), 1);
    item.started = true;
    item.noteRun(RunState::Run);
    if (item.closing || item.regrouping)
        m_pool.act(m_workers.at(worker).description.id, TaskAction::Stop, id);
}

void CellScheduler::workerAvailable(const WorkerDescription& worker, const LeaseReport& report)
{
    WorkerDescription description = worker;
    if (!report.capacity.isZero())
        description.capacity = report.capacity;
    const WorkerSlot slot = m_workers.describe(description);
    dropAbsent(slot, report);
    for (const RunningTask& task : report.running)
        reportRunning(slot, task);
    m_workers.setUsed(slot, report.used);
    setWorkerFlags(slot, true, true);
    for (const FinishedTask& task : report.finished)
        taskFinished(worker.id, task);
    if (m_missing.erase(worker.id) > 0)
        missingChanged();
    reviewSetAside();
    schedule();
}

void CellScheduler::setWorkerFlags(WorkerSlot slot, bool available, bool reachable)
{
    const auto drained = m_drained.find(m_workers.at(slot).description.id);
    m_workers.update(slot, [&](WorkerEntry& entry) {
        entry.available = available;
        entry.reachable = reachable;
        entry.drained = drained != m_drained.end() && drained->second;
    });
    capacityFreed(slot);
}

void CellScheduler::reportRunning(WorkerSlot slot, const RunningTask& reported)
{
    const TaskId& id = reported.id;
    if (m_workers.reservation(id))
        return;
    WorkItem* item = find(id.work);
    addReservation(id, { slot, reported.reserved, item && item->spec.urgent });
    if (item && id.index < item->tasks.size())
        attachRunning(*item, id, slot);
    else if (item || m_outcomes.find(id.work))
        m_pool.act(m_workers.at(slot).description.id, TaskAction::Stop, id); // its work has ended
    else
        m_unclaimed.addRunning(m_runtime.now(), id, slot);
}

std::vector<TaskId> CellScheduler::tasksOn(WorkerSlot slot) const
{
    const auto& tasks = m_workers.at(slot).tasks;
    std::vector<TaskId> ids(tasks.begin(), tasks.end());
    std::sort(ids.begin(), ids.end()); // the order must not depend on hashing
    return ids;
}

void CellScheduler::dropAbsent(WorkerSlot slot, const LeaseReport& report)
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
        if (ownsRun(item, id)) {
            const TaskRecord& task = item->tasks[id.index];
            if (task.state != TaskState::Running || m_runtime.now() - task.since < reportLag)
                continue;
        }
        loseTask(id);
    }
}

void CellScheduler::loseTask(const TaskId& id)
{
    WorkItem* item = find(id.work);
    if (!ownsRun(item, id)) {
        releaseReservation(id);
        if (m_unclaimed.contains(id.work))
            m_unclaimed.addLost(m_runtime.now(), id);
        return;
    }
    const bool started = item->tasks[id.index].state != TaskState::Journalling;
    releaseTask(*item, id.index);
    if (started)
        taskLost(*item, id.index);
    else if (item->closing)
        taskDropped(*item, id.index);
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
    dropAbsent(*slot, report);
    schedule();
}

void CellScheduler::workerChanged(const WorkerDescription& worker)
{
    const auto slot = m_workers.find(worker.id);
    if (!slot)
        return;
    WorkerDescription description = worker;
    if (m_workers.at(*slot).available)
        description.capacity = m_workers.at(*slot).description.capacity; // the worker's own report is newer
    m_workers.describe(description);
    capacityFreed(*slot);
    reviewSetAside();
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
    if (!slot || m_missing.contains(worker)) {
        // What it ran and when is not known: identities that are not found may have run there.
        m_historyCompleteAt = m_runtime.now() + m_settings.outcomeRetention;
        LOG(WARNING) << "[scheduler] worker " << worker << " was lost without a report";
    }
    if (m_missing.erase(worker) > 0)
        missingChanged();
    schedule();
}

} // namespace lycheeledge
