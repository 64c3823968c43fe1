// The workers of a cell and what is reserved on them.
#pragma once

#include "../state/Worker.h"
#include "FreeCapacityTree.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lycheeledge {

/** @brief Index of a worker in the table; never reused for another worker. */
using WorkerSlot = std::uint32_t;

/** @brief Amount reserved for a task from the decision until its certain end. */
struct Reservation {
    WorkerSlot worker = 0;
    Resources size;
    bool urgent = false;
    bool lasting = false; ///< of a service, which does not end by itself
};

/** @brief State of a worker. */
struct WorkerEntry {
    WorkerDescription description;
    std::uint32_t zone = 0; ///< index of the zone
    std::size_t zonePosition = 0; ///< index in the zone's tree
    Resources reserved;
    Resources lasting; ///< part of `reserved` that services have
    Resources held; ///< kept free for the job that has the hold
    Resources used; ///< measured, with a lag
    bool available = false; ///< reported and not lost since
    bool reachable = false;
    bool drained = false;
    bool quarantined = false;
    bool probing = false; ///< after its quarantine; takes one task
    absl::flat_hash_set<TaskId> tasks;

    bool acceptsStarts() const { return available && reachable && !drained && !description.leaving; }
    bool placeable() const { return acceptsStarts() && !quarantined; }
    Resources free() const { return description.capacity - reserved - held; }
};

/** @brief Workers, reservations, and an index of free capacity for each zone. */
class WorkerTable {
public:
    /** @brief Adds a worker or replaces its description. */
    WorkerSlot describe(const WorkerDescription& description);
    std::optional<WorkerSlot> find(const VmId& id) const;
    const WorkerEntry& at(WorkerSlot slot) const { return m_workers[slot]; }
    std::size_t size() const { return m_workers.size(); }

    /** @brief Changes a worker through `change`, then updates the index. */
    template <typename Change> void update(WorkerSlot slot, Change change)
    {
        countCapacity(slot, -1);
        change(m_workers[slot]);
        countCapacity(slot, 1);
        refresh(slot);
    }

    /** @brief Notes the measured usage, which does not affect the index. */
    void setUsed(WorkerSlot slot, const Resources& used) { m_workers[slot].used = used; }

    /** @brief Reserves, even beyond capacity. Does nothing if the task has a reservation. */
    void reserve(const TaskId& task, const Reservation& reservation);
    /** @brief Ends a reservation. @return what was reserved, if anything. */
    std::optional<Reservation> release(const TaskId& task);
    const Reservation* reservation(const TaskId& task) const;

    /** @brief Whether `count` tasks of this size fit now. Stops at the first workers that are enough. */
    bool fits(const Resources& size, std::uint64_t count) const;
    std::size_t zoneCount() const { return m_zones.size(); }
    std::optional<std::uint32_t> zone(const ZoneId& id) const;
    std::size_t zoneSize(std::uint32_t zone) const { return m_zones[zone].tree.size(); }
    /** @brief First worker of a zone, from a position on, in whose free capacity `size` fits. */
    std::optional<std::size_t> findInZone(std::uint32_t zone, std::size_t start, const Resources& size) const;
    WorkerSlot slotInZone(std::uint32_t zone, std::size_t position) const { return m_zones[zone].slots[position]; }

    /** @brief Capacity of all available workers that do not leave. */
    const Resources& totalCapacity() const { return m_total; }
    /** @brief How many tasks of this size the empty fleet could hold, at most `limit`. */
    std::uint64_t fleetHolds(const Resources& size, std::uint64_t limit) const;

private:
    struct Zone {
        FreeCapacityTree tree;
        std::vector<WorkerSlot> slots;
    };

    void refresh(WorkerSlot slot);
    void countCapacity(WorkerSlot slot, int sign);
    std::uint32_t zoneIndex(const ZoneId& id);

    std::vector<WorkerEntry> m_workers;
    absl::flat_hash_map<VmId, WorkerSlot> m_slots;
    absl::flat_hash_map<TaskId, Reservation> m_reservations;
    std::vector<Zone> m_zones;
    absl::flat_hash_map<ZoneId, std::uint32_t> m_zoneIndexes;
    Resources m_total;
    /// Number of workers of each size that count towards the fleet. Fleets have few sizes.
    std::vector<std::pair<Resources, std::int64_t>> m_sizes;
};

/** @brief How many tasks of `size` a worker of `capacity` holds when empty, at most `limit`. */
std::uint64_t tasksThatFit(const Resources& size, const Resources& capacity, std::uint64_t limit);

} // namespace lycheeledge
