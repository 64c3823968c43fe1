// Cell scheduler: placement decisions.

#include "CellScheduler.h"

#include <glog/logging.h>

#include <algorithm>

namespace lycheeledge {

namespace {

    bool hasLowerPriority(int rankA, double keyA, const TeamId& a, int rankB, double keyB, const TeamId& b)
    {
        return std::tie(rankA, keyA, a) > std::tie(rankB, keyB, b);
    }

    /// Limit on the number of blocked sizes. Reaching it clears the set, which only costs repeated searches.
    constexpr std::size_t maxBlockedSizes = 4096;
    /// Number of items examined per queue, so that work can overtake blocked work of a different size.
    constexpr std::size_t maxLookahead = 8;
    /// Minimum interval between attempts to place a gang job that does not fit.
    constexpr Duration gangRetryInterval = std::chrono::milliseconds(50);
    /// While a TaskStarting record has been pending this long, tasks whose start must be journalled are not placed, so
    /// that they take no further capacity.
    constexpr Duration journalStallThreshold = std::chrono::seconds(1);

} // namespace

void CellScheduler::schedule()
{
    if (!m_active || (!m_allDirty && m_unblockedSizes.empty() && m_dirtyTeams.empty()))
        return;
    tryPlaceHolder();
    auto lowerPriority = [](const TeamPriority& a, const TeamPriority& b) {
        return hasLowerPriority(a.rank, a.key, a.team->team.id, b.rank, b.key, b.team->team.id);
    };
    // One pass is complete: worker and journal callbacks, which may free capacity, never run during it.
    std::vector<TeamPriority> heap;
    const bool everything = m_allDirty;
    if (everything || !m_unblockedSizes.empty()) {
        for (auto& [id, team] : m_teams.all()) {
            if (team.queues.size() > 0)
                heap.push_back(priorityOf(team));
        }
    } else {
        for (const TeamId& id : m_dirtyTeams) {
            TeamRecord& team = m_teams.at(id);
            if (team.queues.size() > 0)
                heap.push_back(priorityOf(team));
        }
    }
    m_allDirty = false;
    auto dirty = std::exchange(m_dirtyTeams, {});
    std::make_heap(heap.begin(), heap.end(), lowerPriority);
    while (!heap.empty()) {
        std::pop_heap(heap.begin(), heap.end(), lowerPriority);
        const TeamPriority next = heap.back();
        heap.pop_back();
        const bool urgentOnly = next.rank == 0;
        // Work of a blocked size cannot be placed, so once the freed capacity is used up only dirty teams are visited.
        if (!everything && m_unblockedSizes.empty() && !dirty.contains(next.team->team.id))
            continue;
        if (placeFrom(*next.team, urgentOnly)) {
            if (!everything)
                reblockFullSizes();
            dirty.insert(next.team->team.id); // visits it again, which records why the rest of its work waits
            if (next.team->queues.size() == 0)
                continue;
            heap.push_back(priorityOf(*next.team));
        } else if (urgentOnly) {
            heap.push_back({ 1, next.key, next.team });
        } else {
            continue;
        }
        std::push_heap(heap.begin(), heap.end(), lowerPriority);
    }
    m_unblockedSizes.clear();
    m_dirtyTeams.clear();
}

CellScheduler::TeamPriority CellScheduler::priorityOf(TeamRecord& team) const
{
    const Resources& fleet = m_workers.totalCapacity();
    const bool urgent = team.queues.hasUrgent() && team.urgentUsage.dominantShare(fleet) < m_teams.entitledPart(team);
    return { urgent ? 0 : 1, m_teamOrder->key(team, fleet), &team };
}

bool CellScheduler::placeFrom(TeamRecord& team, bool urgentOnly)
{
    const std::size_t n = urgentOnly ? TeamQueues::urgentClassCount : TeamQueues::classCount;
    for (std::size_t i = 0; i < n; ++i) {
        const Resources* blockedSize = nullptr;
        std::size_t seen = 0;
        for (WorkItem* item : team.queues.queue(i)) {
            if (++seen > maxLookahead)
                break;
            if (blockedSize && !item->isGang() && item->spec.perTask == *blockedSize)
                continue;
            if (tryPlace(*item))
                return true;
            if (!item->isGang())
                blockedSize = &item->spec.perTask;
        }
    }
    return false;
}

bool CellScheduler::markBlocked(WorkItem& item, WaitCause cause)
{
    if (item.cause == WaitCause::None)
        item.blockedSince = m_runtime.now();
    item.cause = cause;
    return false;
}

void CellScheduler::onPlaced(WorkItem& item)
{
    item.cause = WaitCause::None;
    if (m_hold.holder() == &item)
        releaseHold();
    if (!item.waiting.empty())
        return;
    item.team->queues.remove(item);
    m_blockedGangs.erase(item.sequence);
    if (!item.isJob() && item.team->queues.size(WorkKind::Request) == 0)
        item.team->requestRate.reset();
}

bool CellScheduler::withinLimit(const WorkItem& item, std::uint32_t count) const
{
    const TeamRecord& team = *item.team;
    if (m_missingWorkers.empty())
        return team.withinLimits(item.spec.perTask, count);
    // All capacity of a missing worker may be in use by this team, and by any number of tasks.
    if (team.team.maxRunningTasks > 0)
        return false;
    return !team.team.upperLimit
        || (m_missingCapacity
            && (team.usage + *m_missingCapacity + item.spec.perTask * count).fitsIn(*team.team.upperLimit));
}

bool CellScheduler::journalStalled() const
{
    return !m_pendingStartRecords.empty()
        && m_runtime.now() - m_pendingStartRecords.begin()->second.second >= journalStallThreshold;
}

bool CellScheduler::tryPlace(WorkItem& item)
{
    if (item.isJob() && !item.spec.repeatable && journalStalled())
        return markBlocked(item, WaitCause::Journal);
    if (item.isGang())
        return tryPlaceGang(item);
    if (!withinLimit(item, 1))
        return markBlocked(item, WaitCause::Limit);
    const std::uint32_t index = item.waiting.front();
    const auto worker = chooseWorker(item, index);
    if (!worker)
        return markBlocked(item, WaitCause::Capacity);
    item.waiting.pop_front();
    onPlaced(item);
    reserveTask(item, index, *worker);
    startTask(item, index);
    return true;
}

bool CellScheduler::tryPlaceGang(WorkItem& item)
{
    const auto n = static_cast<std::uint32_t>(item.waiting.size());
    const TimePoint now = m_runtime.now();
    if (now < item.earliestAttempt) {
        m_blockedGangs.emplace(item.sequence, &item);
        return false;
    }
    if (!withinLimit(item, n))
        return markBlocked(item, WaitCause::Limit);
    // fits() counts how many tasks fit in total and each placement uses up exactly one of them, so all tasks are
    // placed.
    if (m_blockedSizes.contains(item.spec.perTask) || !m_workers.fits(item.spec.perTask, n)) {
        item.earliestAttempt = now + gangRetryInterval;
        m_blockedGangs.emplace(item.sequence, &item);
        return markBlocked(item, WaitCause::Capacity);
    }
    const auto indexes = std::exchange(item.waiting, {});
    onPlaced(item);
    for (std::size_t i = 0; i < indexes.size(); ++i) {
        const auto worker = chooseWorker(item, indexes[i]);
        if (!worker) {
            LOG(ERROR) << "[scheduler] no worker found for a gang task although the whole gang was counted as fitting";
            for (std::size_t n = 0; n < i; ++n)
                releaseTask(item, indexes[n]);
            item.waiting = indexes;
            enqueue(item, true);
            item.earliestAttempt = now + gangRetryInterval;
            return markBlocked(item, WaitCause::Capacity);
        }
        reserveTask(item, indexes[i], *worker);
    }
    for (const std::uint32_t index : indexes)
        startTask(item, index);
    return true;
}

std::optional<WorkerIndex> CellScheduler::chooseWorker(const WorkItem& item, std::uint32_t index)
{
    const auto backfill
        = [&] { return m_hold.backfill(m_workers, item.spec.perTask, m_runtime.now(), item.spec.declaredRunTime); };
    if (m_blockedSizes.contains(item.spec.perTask))
        return backfill();
    PlacementRequest request;
    request.kind = item.spec.kind;
    request.size = item.spec.perTask;
    if (!item.spec.preferredZone.empty())
        request.preferredZone = m_workers.zone(item.spec.preferredZone);
    if (item.tasks[index].attempts > 0)
        request.avoid = item.tasks[index].worker;
    if (item.spec.kind == WorkKind::Service)
        request.spread = &item.spread;
    if (const auto worker = m_placement->choose(m_workers, request))
        return worker;
    if (m_blockedSizes.size() >= maxBlockedSizes)
        m_blockedSizes.clear();
    m_blockedSizes.insert(item.spec.perTask);
    return backfill();
}

void CellScheduler::reserveTask(WorkItem& item, std::uint32_t index, WorkerIndex worker)
{
    TaskRecord& task = item.tasks[index];
    task.highestRun = std::max(task.highestRun, task.run) + 1;
    task.run = task.highestRun;
    task.worker = worker;
    task.journalled = false;
    ++item.reservedTasks;
    if (item.spec.kind == WorkKind::Service)
        item.spread.count(m_workers.at(worker), 1);
    addReservation(
        item.taskId(index), { worker, item.spec.perTask, item.spec.urgent, item.spec.kind == WorkKind::Service });
    if (m_health.awaitsProbe(worker)) {
        m_probes.insert_or_assign(worker, std::make_pair(item.taskId(index), m_runtime.now()));
        setQuarantined(worker, true); // no further task until the probe task has ended
    }
}

void CellScheduler::addReservation(const TaskId& id, const Reservation& reservation)
{
    if (m_workers.reservation(id))
        return;
    m_workers.reserve(id, reservation);
    m_hold.refresh(m_workers, reservation.worker);
    TeamRecord& team = m_teams.at(id.work.team);
    team.usage += reservation.size;
    ++team.running;
    if (reservation.urgent)
        team.urgentUsage += reservation.size;
}

void CellScheduler::startTask(WorkItem& item, std::uint32_t index)
{
    const TimePoint now = m_runtime.now();
    if (!item.started) {
        item.started = true;
        m_waiting[static_cast<std::size_t>(item.spec.kind)].add(now, now - item.arrival);
    }
    ++m_starts;
    ++item.team->starts;
    item.team->retries.countStart(now);
    if (!item.isJob())
        item.team->requestRate.countStart(now);
    if (!item.isJob() || item.spec.repeatable)
        return sendStart(item, index);

    setState(item, index, TaskState::Journalling);
    const std::uint64_t number = m_nextStartNumber++;
    m_pendingStartRecords.emplace(number, std::make_pair(item.taskId(index), now));
    m_journal.append(TaskStarting { item.taskId(index) },
        [this, alive = std::weak_ptr(m_alive), id = item.taskId(index), number](const absl::Status& status) {
            if (alive.expired())
                return;
            const bool stalled = journalStalled();
            m_pendingStartRecords.erase(number);
            m_allDirty = m_allDirty || (stalled && !journalStalled());
            WorkItem* item = find(id.work);
            if (!item || item->tasks[id.index].run != id.run || item->tasks[id.index].state != TaskState::Journalling)
                return; // the task was cancelled or its worker lost before the record became durable
            if (status.ok()) {
                const WorkerEntry& worker = m_workers.at(item->tasks[id.index].worker);
                if (worker.acceptsStarts()) {
                    item->tasks[id.index].journalled = true;
                    sendStart(*item, id.index);
                    return;
                }
                releaseTask(*item, id.index);
                requeue(*item, id.index);
                schedule();
                return;
            }
            // Another process owns the cell now and decides about this task.
            releaseTask(*item, id.index);
            setState(*item, id.index, TaskState::Unresolved);
        });
}

void CellScheduler::sendStart(WorkItem& item, std::uint32_t index)
{
    setState(item, index, TaskState::Starting);
    const TaskId id = item.taskId(index);
    m_pool.start(m_workers.at(item.tasks[index].worker).description.id, id, item.spec.perTask, item.spec.payload,
        item.traceparent,
        [this, alive = std::weak_ptr(m_alive), id](CommandOutcome outcome, const std::string& message) {
            if (!alive.expired())
                startCommandCompleted(id, outcome, message);
        });
}

void CellScheduler::capacityFreed(WorkerIndex worker)
{
    const WorkerEntry& entry = m_workers.at(worker);
    if (!entry.placeable())
        return;
    const Resources free = entry.free();
    if (m_hold.covers(worker))
        m_allDirty = true; // the holder, or work that ends before the hold expires, may fit
    absl::erase_if(m_blockedSizes, [&](const Resources& size) {
        const bool fits = size.fitsIn(free);
        if (fits)
            m_unblockedSizes.push_back(size);
        return fits;
    });
}

void CellScheduler::reblockFullSizes()
{
    std::erase_if(m_unblockedSizes, [&](const Resources& size) {
        const bool full = !m_workers.fits(size, 1);
        if (full)
            m_blockedSizes.insert(size);
        return full;
    });
}

void CellScheduler::markAllDirty()
{
    m_blockedSizes.clear();
    m_allDirty = true;
}

} // namespace lycheeledge
