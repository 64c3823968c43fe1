// Decisions of the cell scheduler: which task starts next, and where.

#include "CellScheduler.h"

#include <algorithm>

namespace lycheeledge {

namespace {

    bool laterTurn(int rankA, double keyA, const TeamId& a, int rankB, double keyB, const TeamId& b)
    {
        return std::tie(rankA, keyA, a) > std::tie(rankB, keyB, b);
    }

    /// Bounds the set of sizes that fit nowhere; it is cleared beyond, which costs only repeated searches.
    constexpr std::size_t maxBlockedSizes = 4096;

} // namespace

void CellScheduler::schedule()
{
    if (!m_active || (!m_allDirty && m_dirtyTeams.empty()))
        return;
    auto later = [](const Turn& a, const Turn& b) {
        return laterTurn(a.rank, a.key, a.team->team.id, b.rank, b.key, b.team->team.id);
    };
    // Placing work can free capacity only through ports, which answer later; one pass is complete.
    std::vector<Turn> heap;
    if (m_allDirty) {
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
    m_dirtyTeams.clear();
    std::make_heap(heap.begin(), heap.end(), later);
    while (!heap.empty()) {
        std::pop_heap(heap.begin(), heap.end(), later);
        const Turn turn = heap.back();
        heap.pop_back();
        const bool urgentOnly = turn.rank == 0;
        if (placeFrom(*turn.team, urgentOnly)) {
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
        const auto& queue = team.queues.queue(i);
        if (!queue.empty() && tryPlace(*queue.front()))
            return true;
    }
    return false;
}

bool CellScheduler::tryPlace(WorkItem& item)
{
    if (item.spec.allTogether && item.tasks.size() > 1)
        return tryPlaceGang(item);
    if (!item.team->allows(item.spec.perTask, 1)) {
        item.reason = "waits for the team's upper limit";
        return false;
    }
    const std::uint32_t index = item.waiting.front();
    const auto worker = choose(item, index);
    if (!worker) {
        item.reason = "waits for capacity";
        return false;
    }
    item.waiting.pop_front();
    if (item.waiting.empty())
        item.team->queues.remove(item);
    reserveTask(item, index, *worker);
    startTask(item, index);
    return true;
}

bool CellScheduler::tryPlaceGang(WorkItem& item)
{
    const auto n = static_cast<std::uint32_t>(item.waiting.size());
    if (!item.team->allows(item.spec.perTask, n)) {
        item.reason = "waits for the team's upper limit";
        return false;
    }
    std::vector<std::uint32_t> placed;
    for (const std::uint32_t index : item.waiting) {
        const auto worker = choose(item, index);
        if (!worker)
            break;
        reserveTask(item, index, *worker);
        placed.push_back(index);
    }
    if (placed.size() < n) {
        const bool allDirty = m_allDirty;
        for (const std::uint32_t index : placed) {
            releaseTask(item, index);
            --item.tasks[index].run;
            setState(item, index, TaskState::Waiting);
        }
        m_allDirty = allDirty; // nothing was freed that was not free before
        item.reason = "waits for capacity for all tasks together";
        return false;
    }
    item.waiting.clear();
    item.team->queues.remove(item);
    for (const std::uint32_t index : placed)
        startTask(item, index);
    return true;
}

std::optional<WorkerSlot> CellScheduler::choose(const WorkItem& item, std::uint32_t index)
{
    if (m_blockedSizes.contains(item.spec.perTask))
        return std::nullopt;
    PlacementRequest request;
    request.kind = item.spec.kind;
    request.size = item.spec.perTask;
    if (!item.spec.preferredZone.empty())
        request.preferredZone = m_workers.zone(item.spec.preferredZone);
    if (item.tasks[index].attempts > 0)
        request.avoid = item.tasks[index].worker;
    if (item.spec.kind == WorkKind::Service)
        request.spread = &item.spread;
    const auto worker = m_placement->choose(m_workers, request);
    if (!worker) {
        if (m_blockedSizes.size() >= maxBlockedSizes)
            m_blockedSizes.clear();
        m_blockedSizes.insert(item.spec.perTask);
    }
    return worker;
}

void CellScheduler::reserveTask(WorkItem& item, std::uint32_t index, WorkerSlot worker)
{
    TaskRecord& task = item.tasks[index];
    ++task.run;
    task.worker = worker;
    task.journalled = false;
    ++item.held;
    if (item.spec.kind == WorkKind::Service)
        item.spread.count(m_workers.at(worker), 1);
    addReservation(item.taskId(index), { worker, item.spec.perTask, item.spec.urgent });
}

void CellScheduler::addReservation(const TaskId& id, const Reservation& reservation)
{
    if (m_workers.reservation(id))
        return;
    m_workers.reserve(id, reservation);
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
    item.reason.clear();
    if (!item.isJob() || item.spec.repeatable)
        return sendStart(item, index);

    setState(item, index, TaskState::Journalling);
    m_journal.append(TaskStarting { item.taskId(index) },
        [this, alive = std::weak_ptr(m_alive), id = item.taskId(index)](const absl::Status& status) {
            if (alive.expired())
                return;
            WorkItem* item = find(id.work);
            if (!item || item->tasks[id.index].run != id.run || item->tasks[id.index].state != TaskState::Journalling)
                return; // cancelled, or the worker was lost, before the record was durable
            if (status.ok()) {
                item->tasks[id.index].journalled = true;
                sendStart(*item, id.index);
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
    if (absl::erase_if(m_blockedSizes, [&](const Resources& size) { return size.fitsIn(free); }) > 0)
        m_allDirty = true;
}

void CellScheduler::everythingMayFit()
{
    m_blockedSizes.clear();
    m_allDirty = true;
}

} // namespace lycheeledge
