// The owner's view of the workers: their runs, reserved resources and eligibility for tasks.
#pragma once

#include "CrashSuspects.h"
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

/** @brief A run that this owner placed on a worker, or adopted from its reports. */
struct PlacedRun {
    RunNumber run = 0;
    Resources reserved; ///< on the worker
    Resources charged; ///< counted against the upper limit of the client account
    bool latencySensitive = false; ///< has a latency target
    bool usesIdleCpu = false;
    bool listed = false; ///< by a report of the worker's current incarnation
    bool startUnanswered = false; ///< a start order got no response, so it may still be carried out

    bool operator==(const PlacedRun&) const = default;
};

struct Worker {
    WorkerRecord record;
    std::unique_ptr<WorkerLink> link;
    Resources largestCapacity; ///< that it has announced, to any owner; its runs need no more, though it may shrink
    Resources reserved; ///< sum of the reservations in `runs`
    std::uint32_t latencySensitiveRuns = 0; ///< number of `runs` with a latency target
    std::uint32_t idleCpuRuns = 0; ///< number of `runs` that use idle CPU
    absl::flat_hash_map<TaskKey, PlacedRun> runs;
    /// Reported runs that belong to no task. They are being stopped, and stay listed until they have ended.
    absl::flat_hash_map<TaskKey, RunNumber> strayRuns;
    CrashSuspects crashSuspects; ///< of this incarnation
    /// Of the orders to this incarnation. Rises with each restart, so that orders to an earlier incarnation that are
    /// carried out late are refused.
    Epoch fencingToken = 0;
    /// Restarted under the same id, and has not reported under the new fencing token. Until then, its runs may be of
    /// either incarnation.
    bool awaitsReport = false;
    bool restartWasPlanned = false; ///< while awaitsReport: the earlier incarnation had drained
    bool inMaintenance = false; ///< draining for planned maintenance of its VM, or down because of it
    bool registered = false; ///< present in the platform's worker list when it was last read
    TimePoint unregisteredSince; ///< time since which it is not registered
    bool reported = false; ///< has sent a report in the current epoch
    bool mayHaveEarlierRuns = false; ///< earlier owners may have sent it orders
    std::int64_t registeredIncarnationStartUnixMs = 0; ///< as last read from the registry
    std::uint64_t lastProcessedEnd = 0; ///< highest sequence number of a processed end, in this incarnation
    EndAcknowledgements acknowledgements;
    TimePoint backoffUntil; ///< receives no tasks until then, after it refused a start
    double latencyRatio = 0; ///< highest ratio of tail latency to target among its latency-sensitive tasks

    Resources free() const { return record.capacity - reserved; }
};

/** @brief Workers by id. Pointers to entries stay valid until the entry is erased. */
class WorkerTable {
public:
    using Map = std::map<WorkerId, Worker>;

    Worker* find(const WorkerId& id)
    {
        const auto it = m_workers.find(id);
        return it == m_workers.end() ? nullptr : &it->second;
    }
    const Worker* find(const WorkerId& id) const
    {
        const auto it = m_workers.find(id);
        return it == m_workers.end() ? nullptr : &it->second;
    }
    Worker& add(const WorkerId& id) { return m_workers[id]; }
    void erase(const WorkerId& id) { m_workers.erase(id); }
    void clear() { m_workers.clear(); }
    Map& all() { return m_workers; }
    const Map& all() const { return m_workers; }

private:
    Map m_workers;
};

/** @brief Reserves resources for a run. */
void reserve(Worker& worker, const TaskKey& task, const PlacedRun& run);
/** @brief Releases the resources of a task's run. @return the released run; nothing if the task has no run there. */
std::optional<PlacedRun> release(Worker& worker, const TaskKey& task);

} // namespace lycheeledge::jobs
