// Decisions of the cell scheduler: which task starts next, and where.

#include "CellScheduler.h"

#include <glog/logging.h>

#include <algorithm>

namespace lycheeledge {

namespace {

    bool laterTurn(int rankA, double keyA, const TeamId& a, int rankB, double keyB, const TeamId& b)
    {
        return std::tie(rankA, keyA, a) > std::tie(rankB, keyB, b);
    }

    /// Bounds the set of sizes that fit nowhere; it is cleared beyond, which costs only repeated searches.
    constexpr std::size_t maxBlockedSizes = 4096;
    /// How far work may overtake blocked work of another size in its queue.
    constexpr std::size_t lookahead = 8;
    /// A gang job is not tried more often than this.
    constexpr Duration gangInterval = std::chrono::milliseconds(50);
    /// Starts that wait this long for the journal keep further ones from taking capacity.
    constexpr Duration journalPatience = std::chrono::seconds(1);

} // namespace

void CellScheduler::schedule()
{
    if (!m_active || (!m_allDirty && m_freedSizes.empty() && m_dirtyTeams.empty()))
        return;
    placeHolder();
    auto later = [](const Turn& a, const Turn& b) {
        return laterTurn(a.rank, a.key, a.team->team.id, b.rank, b.key, b.team->team.id);
    };
    // Placing work can free capacity only through ports, which answer later; one pass is complete.
    std::vector<Turn> heap;
    const bool everything = m_allDirty;
    if (everything || !m_freedSizes.empty()) {
        for (auto& [id, team] : m_teams.all()) {
            if (team.queues.size() > 0)
                heap.push_back(turnOf(team));
        }
    } else {
        for (const TeamId& id : m_dirtyTeams) {
            TeamRecord& team = m_teams.at(id);
            if (team.queues.size() > 0)
                heap.push_back(turnOf(team));
        }
    }
    m_allDirty = false;
    auto dirty = std::exchange(m_dirtyTeams, {});
    std::make_heap(heap.begin(), heap.end(), later);
    while (!heap.empty()) {
        std::pop_heap(heap.begin(), heap.end(), later);
        const Turn turn = heap.back();
        heap.pop_back();
        const bool urgentOnly = turn.rank == 0;
        // Work of a size that still fits nowhere stays blocked: the pass ends when the freed capacity is used up.
        if (!everything && m_freedSizes.empty() && !dirty.contains(turn.team->team.id))
            continue;
        if (placeFrom(*turn.team, urgentOnly)) {
            if (!everything)
                pruneFreedSizes();
            dirty.insert(turn.team->team.id); // to note why the rest of its work waits
            if (turn.team->queues.size() == 0)
                continue;
            heap.push_back(turnOf(*turn.team));
        } else if (urgentOnly) {
            heap.push_back({ 1, turn.key, turn.team });
        } else {
            continue;
        }
        std::push_heap(heap.begin(), heap.end(), later);
    }
    m_freedSizes.clear();
    m_dirtyTeams.clear();
}

CellScheduler::Turn CellScheduler::turnOf(TeamRecord& team) const
{
    const Resources& fleet = m_workers.totalCapacity();
    const bool urgent = team.queues.hasUrgent() && team.urgentUsage.dominantShare(fleet) < m_teams.entitledPart(team);
    return { urgent ? 0 : 1, m_order->key(team, fleet), &team };
}

bool CellScheduler::placeFrom(TeamRecord& team, bool urgentOnly)
{
    const std::size_t n = urgentOnly ? TeamQueues::urgentClassCount : TeamQueues::classCount;
    for (std::size_t i = 0; i < n; ++i) {
        const Resources* blockedSize = nullptr;
        std::size_t seen = 0;
        for (WorkItem* item : team.queues.queue(i)) {
            if (++seen > lookahead)
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

bool CellScheduler::blocked(WorkItem& item, WaitCause cause)
{
    if (item.cause == WaitCause::None)
        item.blockedSince = m_runtime.now();
    item.cause = cause;
    return false;
}

void CellScheduler::placed(WorkItem& item)
{
    item.cause = WaitCause::None;
    if (m_hold.holder() == &item)
        dropHold();
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
    if (m_missing.empty())
        return team.allows(item.spec.perTask, count);
    // Anything that a missing worker holds may be the team's. The number of tasks there is not bounded by its size.
    if (team.team.maxRunningTasks > 0)
        return false;
    return !team.team.upperLimit
        || (m_missingCapacity
            && (team.usage + *m_missingCapacity + item.spec.perTask * count).fitsIn(*team.team.upperLimit));
}

bool CellScheduler::journalStalled() const
{
    return !m_startAppends.empty() && m_runtime.now() - m_startAppends.begin()->second.second >= journalPatience;
}

bool CellScheduler::tryPlace(WorkItem& item)
{
    if (item.isJob() && !item.spec.repeatable && journalStalled())
        return blocked(item, WaitCause::Journal);
    if (item.isGang())
        return tryPlaceGang(item);
    if (!withinLimit(item, 1))
        return blocked(item, WaitCause::Limit);
    const std::uint32_t index = item.waiting.front();
    const auto worker = choose(item, index);
    if (!worker)
        return blocked(item, WaitCause::Capacity);
    item.waiting.pop_front();
    placed(item);
    reserveTask(item, index, *worker);
    startTask(item, index);
    return true;
}

bool CellScheduler::tryPlaceGang(WorkItem& item)
{
    const auto n = static_cast<std::uint32_t>(item.waiting.size());
    const TimePoint now = m_runtime.now();
    if (now < item.nextAttempt) {
        m_blockedGangs.emplace(item.sequence, &item);
        return false;
    }
    if (!withinLimit(item, n))
        return blocked(item, WaitCause::Limit);
    // Placing one task takes exactly one of the places counted here, so that all tasks find one.
    if (m_blockedSizes.contains(item.spec.perTask) || !m_workers.fits(item.spec.perTask, n)) {
        item.nextAttempt = now + gangInterval;
        m_blockedGangs.emplace(item.sequence, &item);
        return blocked(item, WaitCause::Capacity);
    }
    const auto indexes = std::exchange(item.waiting, {});
    placed(item);
    for (std::size_t i = 0; i < indexes.size(); ++i) {
        const auto worker = choose(item, indexes[i]);
        if (!worker) {
            LOG(ERROR) << "[scheduler] a gang task found no place although all were counted";
            for (std::size_t n = 0; n < i; ++n)
                releaseTask(item, indexes[n]);
            item.waiting = indexes;
            enqueue(item, true);
            item.nextAttempt = now + gangInterval;
            return blocked(item, WaitCause::Capacity);
        }
        reserveTask(item, indexes[i], *worker);
    }
    for (const std::uint32_t index : indexes)
        startTask(item, index);
    return true;
}

std::optional<WorkerSlot> CellScheduler::choose(const WorkItem& item, std::uint32_t index)
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

void CellScheduler::reserveTask(WorkItem& item, std::uint32_t index, WorkerSlot worker)
{
    TaskRecord& task = item.tasks[index];
    task.highestRun = std::max(task.highestRun, task.run) + 1;
    task.run = task.highestRun;
    task.worker = worker;
    task.journalled = false;
    ++item.held;
    if (item.spec.kind == WorkKind::Service)
        item.spread.count(m_workers.at(worker), 1);
    addReservation(
        item.taskId(index), { worker, item.spec.perTask, item.spec.urgent, item.spec.kind == WorkKind::Service });
    if (m_health.awaitsProbe(worker)) {
        m_probes.insert_or_assign(worker, std::make_pair(item.taskId(index), m_runtime.now()));
        setQuarantined(worker, true); // until the probe task has ended
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
    m_startAppends.emplace(number, std::make_pair(item.taskId(index), now));
    m_journal.append(TaskStarting { item.taskId(index) },
        [this, alive = std::weak_ptr(m_alive), id = item.taskId(index), number](const absl::Status& status) {
            if (alive.expired())
                return;
            const bool stalled = journalStalled();
            m_startAppends.erase(number);
            m_allDirty = m_allDirty || (stalled && !journalStalled());
            WorkItem* item = find(id.work);
            if (!item || item->tasks[id.index].run != id.run || item->tasks[id.index].state != TaskState::Journalling)
                return; // cancelled, or the worker was lost, before the record was durable
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
            // Another process owns the cell now; it decides about this task.
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
                startAnswered(id, outcome, message);
        });
}

void CellScheduler::capacityFreed(WorkerSlot worker)
{
    const WorkerEntry& entry = m_workers.at(worker);
    if (!entry.placeable())
        return;
    const Resources free = entry.free();
    if (m_hold.covers(worker))
        m_allDirty = true; // the holder, or work that ends before the hold, may fit
    absl::erase_if(m_blockedSizes, [&](const Resources& size) {
        const bool fits = size.fitsIn(free);
        if (fits)
            m_freedSizes.push_back(size);
        return fits;
    });
}

void CellScheduler::pruneFreedSizes()
{
    std::erase_if(m_freedSizes, [&](const Resources& size) {
        const bool full = !m_workers.fits(size, 1);
        if (full)
            m_blockedSizes.insert(size);
        return full;
    });
}

void CellScheduler::everythingMayFit()
{
    m_blockedSizes.clear();
    m_allDirty = true;
}

} // namespace lycheeledge
