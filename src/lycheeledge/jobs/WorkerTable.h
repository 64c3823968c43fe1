// Workers as the owner sees them: what they hold, what is reserved, whether they may get tasks.
#pragma once

#include "EndAcknowledgements.h"
#include "FailureQuarantine.h"
#include "WorkerLink.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace lycheeledge::jobs {

/** @brief A run that this owner has placed on a worker, or found there. */
struct PlacedRun {
    RunNumber run = 0;
    Resources reserved; ///< room on the worker
    Resources charged; ///< against the upper limit of the client account
    bool servesUsers = false; ///< has a latency target
    bool usesIdleCpu = false;

    bool operator==(const PlacedRun&) const = default;
};

struct Worker {
    WorkerRecord record;
    std::unique_ptr<WorkerLink> link;
    Resources reserved; ///< sum of the reservations in `runs`
    std::uint32_t servingRuns = 0; ///< of `runs`, those that serve users
    std::uint32_t fillingRuns = 0; ///< of `runs`, those that use idle processors
    absl::flat_hash_map<TaskKey, PlacedRun> runs;
    /// Runs that were found here and belong to no task; stopped, and counted until they are gone.
    absl::flat_hash_map<TaskKey, RunNumber> strays;
    bool inMaintenance = false; ///< drains for, or is down for, planned maintenance of its VM
    bool registered = false; ///< in the platform's list at the last reading
    TimePoint missingSince; ///< if not registered
    bool reported = false; ///< under the current epoch
    std::uint64_t processedEnds = 0; ///< highest number of an end that was processed in this life
    EndAcknowledgements acknowledgements;
    TimePoint refusesUntil; ///< after it refused a start
    double servingLoad = 0; ///< highest quotient of tail latency and target among its serving tasks

    Resources free() const { return record.capacity - reserved; }
};

/** @brief Workers by id. Addresses of entries are stable. */
class WorkerTable {
public:
    using Map = std::map<WorkerId, Worker>;

    Worker* find(const WorkerId& id)
    {
        const auto it = m_workers.find(id);
        return it == m_workers.end() ? nullptr : &it->second;
    }
    Worker& add(const WorkerId& id) { return m_workers[id]; }
    void erase(const WorkerId& id) { m_workers.erase(id); }
    void clear() { m_workers.clear(); }
    Map& all() { return m_workers; }
    const Map& all() const { return m_workers; }

    /** @brief Capacity of the registered workers of each pool. */
    std::map<std::string, Resources> capacityOfPools() const;

private:
    Map m_workers;
};

/** @brief Reserves room for a run. */
void reserve(Worker& worker, const TaskKey& task, const PlacedRun& run);
/** @brief Gives the room of a task's run back. @return what was reserved; nothing if the task has no run there. */
std::optional<PlacedRun> release(Worker& worker, const TaskKey& task);

} // namespace lycheeledge::jobs
