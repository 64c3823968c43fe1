// The workers of a cell and the resources reserved on them.
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

/** @brief Index of a worker in the table; not reused for another worker. */
using WorkerIndex = std::uint32_t;

/** @brief Resources reserved for a task, from the placement decision until the task has certainly ended. */
struct Reservation {
    WorkerIndex worker = 0;
    Resources size;
    bool urgent = false;
    bool isService = false; ///< for a service, which does not end by itself
};

/** @brief Description, reservations and status of a worker. */
struct WorkerEntry {
    WorkerDescription description;
    std::uint32_t zone = 0; ///< index of the zone
    std::size_t zonePosition = 0; ///< index in the zone's tree
    Resources reserved;
    Resources reservedForServices; ///< part of `reserved` that belongs to services
    Resources heldForJob; ///< kept free for the job that has the cell's GangHold
    Resources used; ///< measured usage; lags behind
    bool available = false; ///< has reported and was not lost since
    bool reachable = false;
    bool drained = false;
    bool quarantined = false;
    bool onProbation = false; ///< just out of quarantine; accepts a single task
    absl::flat_hash_set<TaskId> tasks;

    bool acceptsStarts() const { return available && reachable && !drained && !description.leaving; }
    bool placeable() const { return acceptsStarts() && !quarantined; }
    Resources free() const { return description.capacity - reserved - heldForJob; }
};

/** @brief Workers, reservations, and a per-zone index of free capacity. */
class WorkerTable {
public:
    /** @brief Adds a worker or replaces its description. */
    WorkerIndex addOrUpdate(const WorkerDescription& description);
    std::optional<WorkerIndex> find(const VmId& id) const;
    const WorkerEntry& at(WorkerIndex slot) const { return m_workers[slot]; }
    std::size_t size() const { return m_workers.size(); }

    /** @brief Calls `change` with the worker's entry, then updates the totals and the index. */
    template <typename Change> void update(WorkerIndex slot, Change change)
    {
        adjustTotals(slot, -1);
        change(m_workers[slot]);
        adjustTotals(slot, 1);
        updateIndex(slot);
    }

    /** @brief Sets the measured usage, which does not affect the index. */
    void setUsed(WorkerIndex slot, const Resources& used) { m_workers[slot].used = used; }

    /** @brief Adds a reservation, even beyond the capacity. Does nothing if the task already has one. */
    void reserve(const TaskId& task, const Reservation& reservation);
    /** @brief Removes the task's reservation. @return the reservation, or nullopt if there was none. */
    std::optional<Reservation> release(const TaskId& task);
    const Reservation* reservation(const TaskId& task) const;

    /** @brief Whether `count` tasks of this size fit now. Stops once enough workers are found. */
    bool fits(const Resources& size, std::uint64_t count) const;
    std::size_t zoneCount() const { return m_zones.size(); }
    std::optional<std::uint32_t> zone(const ZoneId& id) const;
    std::size_t zoneSize(std::uint32_t zone) const { return m_zones[zone].tree.size(); }
    /** @brief Position of the first worker of a zone, from `start` on, whose free capacity holds `size`. */
    std::optional<std::size_t> findInZone(std::uint32_t zone, std::size_t start, const Resources& size) const;
    WorkerIndex slotInZone(std::uint32_t zone, std::size_t position) const { return m_zones[zone].slots[position]; }

    /** @brief Total capacity of the available workers that are not leaving. */
    const Resources& totalCapacity() const { return m_totalCapacity; }
    /** @brief Number of tasks of this size that the fleet could hold if it were empty, at most `limit`. */
    std::uint64_t countFittingIdleFleet(const Resources& size, std::uint64_t limit) const;

private:
    struct Zone {
        FreeCapacityTree tree;
        std::vector<WorkerIndex> slots;
    };

    void updateIndex(WorkerIndex slot);
    void adjustTotals(WorkerIndex slot, int sign);
    std::uint32_t zoneIndex(const ZoneId& id);

    std::vector<WorkerEntry> m_workers;
    absl::flat_hash_map<VmId, WorkerIndex> m_slots;
    absl::flat_hash_map<TaskId, Reservation> m_reservations;
    std::vector<Zone> m_zones;
    absl::flat_hash_map<ZoneId, std::uint32_t> m_zoneIndexes;
    Resources m_totalCapacity;
    /// Number of available workers that are not leaving, by capacity. A list, because fleets have few distinct
    /// capacities.
    std::vector<std::pair<Resources, std::int64_t>> m_workersByCapacity;
};

/** @brief Number of tasks of `size` that an empty worker of `capacity` holds, at most `limit`. */
std::uint64_t tasksThatFit(const Resources& size, const Resources& capacity, std::uint64_t limit);

} // namespace lycheeledge
