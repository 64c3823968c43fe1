// The workers of a cell and the resources reserved on them.

#include "WorkerTable.h"

#include <algorithm>

namespace lycheeledge {

std::uint64_t tasksThatFit(const Resources& size, const Resources& capacity, std::uint64_t limit)
{
    if (!size.fitsIn(capacity))
        return 0;
    auto limitBy = [&limit](std::int64_t perTask, std::int64_t total) {
        if (perTask > 0)
            limit = std::min(limit, static_cast<std::uint64_t>(total / perTask));
    };
    limitBy(size.milliCpu, capacity.milliCpu);
    limitBy(size.memoryMb, capacity.memoryMb);
    limitBy(size.accelerators, capacity.accelerators);
    limitBy(size.slots, capacity.slots);
    limitBy(size.connections, capacity.connections);
    return limit;
}

WorkerIndex WorkerTable::addOrUpdate(const WorkerDescription& description)
{
    const auto [it, added] = m_slots.try_emplace(description.id, static_cast<WorkerIndex>(m_workers.size()));
    const WorkerIndex slot = it->second;
    if (added) {
        WorkerEntry entry;
        entry.description = description;
        entry.zone = zoneIndex(description.zone);
        Zone& zone = m_zones[entry.zone];
        entry.zonePosition = zone.tree.add();
        zone.slots.push_back(slot);
        m_workers.push_back(std::move(entry));
        return slot;
    }
    update(slot, [&](WorkerEntry& entry) {
        if (entry.description.zone != description.zone) {
            m_zones[entry.zone].tree.exclude(entry.zonePosition);
            entry.zone = zoneIndex(description.zone);
            entry.zonePosition = m_zones[entry.zone].tree.add();
            m_zones[entry.zone].slots.push_back(slot);
        }
        entry.description = description;
    });
    return slot;
}

std::optional<WorkerIndex> WorkerTable::find(const VmId& id) const
{
    const auto it = m_slots.find(id);
    return it == m_slots.end() ? std::nullopt : std::optional(it->second);
}

void WorkerTable::reserve(const TaskId& task, const Reservation& reservation)
{
    if (!m_reservations.try_emplace(task, reservation).second)
        return;
    WorkerEntry& entry = m_workers[reservation.worker];
    entry.reserved += reservation.size;
    if (reservation.isService)
        entry.reservedForServices += reservation.size;
    entry.tasks.insert(task);
    updateIndex(reservation.worker);
}

std::optional<Reservation> WorkerTable::release(const TaskId& task)
{
    const auto it = m_reservations.find(task);
    if (it == m_reservations.end())
        return std::nullopt;
    const Reservation reservation = it->second;
    WorkerEntry& entry = m_workers[reservation.worker];
    entry.reserved -= reservation.size;
    if (reservation.isService)
        entry.reservedForServices -= reservation.size;
    entry.tasks.erase(task);
    m_reservations.erase(it);
    updateIndex(reservation.worker);
    return reservation;
}

const Reservation* WorkerTable::reservation(const TaskId& task) const
{
    const auto it = m_reservations.find(task);
    return it == m_reservations.end() ? nullptr : &it->second;
}

std::optional<std::uint32_t> WorkerTable::zone(const ZoneId& id) const
{
    const auto it = m_zoneIndexes.find(id);
    return it == m_zoneIndexes.end() ? std::nullopt : std::optional(it->second);
}

std::optional<std::size_t> WorkerTable::findInZone(std::uint32_t zone, std::size_t start, const Resources& size) const
{
    return m_zones[zone].tree.find(start, size);
}

bool WorkerTable::fits(const Resources& size, std::uint64_t count) const
{
    for (const Zone& zone : m_zones) {
        std::size_t start = 0;
        while (const auto position = zone.tree.find(start, size)) {
            const WorkerEntry& entry = m_workers[zone.slots[*position]];
            const std::uint64_t n = tasksThatFit(size, entry.free(), entry.onProbation ? 1 : count);
            if (n >= count)
                return true;
            count -= n;
            start = *position + 1;
        }
    }
    return count == 0;
}

std::uint64_t WorkerTable::countFittingIdleFleet(const Resources& size, std::uint64_t limit) const
{
    std::uint64_t n = 0;
    for (const auto& [capacity, count] : m_workersByCapacity) {
        if (count > 0)
            n += tasksThatFit(size, capacity, limit) * static_cast<std::uint64_t>(count);
        if (n >= limit)
            return limit;
    }
    return n;
}

void WorkerTable::updateIndex(WorkerIndex slot)
{
    const WorkerEntry& entry = m_workers[slot];
    FreeCapacityTree& tree = m_zones[entry.zone].tree;
    if (entry.placeable())
        tree.set(entry.zonePosition, entry.free());
    else
        tree.exclude(entry.zonePosition);
}

void WorkerTable::adjustTotals(WorkerIndex slot, int sign)
{
    const WorkerEntry& entry = m_workers[slot];
    if (!entry.available || entry.description.leaving)
        return;
    const Resources& capacity = entry.description.capacity;
    m_totalCapacity += capacity * sign;
    auto it = std::find_if(
        m_workersByCapacity.begin(), m_workersByCapacity.end(), [&](const auto& e) { return e.first == capacity; });
    if (it == m_workersByCapacity.end())
        it = m_workersByCapacity.insert(m_workersByCapacity.end(), { capacity, 0 });
    it->second += sign;
    if (it->second == 0)
        m_workersByCapacity.erase(it);
}

std::uint32_t WorkerTable::zoneIndex(const ZoneId& id)
{
    const auto [it, added] = m_zoneIndexes.try_emplace(id, static_cast<std::uint32_t>(m_zones.size()));
    if (added)
        m_zones.emplace_back();
    return it->second;
}

} // namespace lycheeledge
