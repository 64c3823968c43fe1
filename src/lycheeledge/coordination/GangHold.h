// Capacity held for one job that needs a large amount at once.
#pragma once

#include "../state/Time.h"
#include "WorkItem.h"
#include "WorkerTable.h"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <vector>

namespace lycheeledge {

/**
 * @brief The capacity hold of a cell, at most one at a time.
 *
 * Capacity that becomes free on the chosen workers is held for one job, the holder, until the hold expires.
 */
class GangHold {
public:
    struct Part {
        WorkerIndex worker = 0;
        std::uint32_t tasks = 0;
        bool ready = false; ///< the worker has room for `tasks` tasks now
    };

    /**
     * @brief Chooses workers that together can hold `count` tasks, preferring those that need to free the least.
     * @return empty if the workers cannot hold that many.
     */
    static std::vector<Part> plan(const WorkerTable& workers, const Resources& size, std::uint32_t count);

    void acquire(WorkerTable& workers, WorkItem& holder, std::vector<Part> parts, TimePoint until);
    /** @return the workers that capacity was held on. */
    std::vector<WorkerIndex> release(WorkerTable& workers);
    WorkItem* holder() const { return m_holder; }
    TimePoint until() const { return m_until; }
    const std::vector<Part>& parts() const { return m_parts; }
    bool covers(WorkerIndex worker) const { return m_partIndex.contains(worker); }
    /** @brief Updates the readiness of a worker after its state or reservations changed. */
    void refresh(const WorkerTable& workers, WorkerIndex worker);
    bool ready() const { return m_holder && m_readyParts == m_parts.size(); }
    /** @brief Finds room on a held worker for a task whose declared run time ends before the hold expires. */
    std::optional<WorkerIndex> backfill(
        const WorkerTable& workers, const Resources& size, TimePoint now, Duration declaredRunTime) const;

private:
    bool hasRoom(const WorkerTable& workers, const Part& part) const;

    WorkItem* m_holder = nullptr;
    TimePoint m_until;
    std::vector<Part> m_parts;
    std::size_t m_readyParts = 0; ///< number of parts that are `ready`
    absl::flat_hash_map<WorkerIndex, std::size_t> m_partIndex; ///< index into `m_parts`
};

} // namespace lycheeledge
