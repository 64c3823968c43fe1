// Capacity kept free for one job that needs much of it at once.
#pragma once

#include "../state/Time.h"
#include "WorkItem.h"
#include "WorkerTable.h"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <vector>

namespace lycheeledge {

/** @brief The hold of a cell: freed capacity on the chosen workers is kept for the holder until the hold ends. */
class GangHold {
public:
    struct Part {
        WorkerSlot worker = 0;
        std::uint32_t tasks = 0;
        bool ready = false; ///< the worker has room for its tasks
    };

    /** @brief Chooses workers that can hold `count` tasks, those that need to free least first. Empty if none can. */
    static std::vector<Part> plan(const WorkerTable& workers, const Resources& size, std::uint32_t count);

    void take(WorkerTable& workers, WorkItem& holder, std::vector<Part> parts, TimePoint until);
    /** @brief Gives the capacity up. @return the workers it was held on. */
    std::vector<WorkerSlot> drop(WorkerTable& workers);
    WorkItem* holder() const { return m_holder; }
    TimePoint until() const { return m_until; }
    const std::vector<Part>& parts() const { return m_parts; }
    bool covers(WorkerSlot worker) const { return m_index.contains(worker); }
    /** @brief Updates readiness after a change of a worker's reservations. */
    void refresh(const WorkerTable& workers, WorkerSlot worker);
    bool ready() const { return m_holder && m_readyParts == m_parts.size(); }
    /** @brief A held worker for a task that ends before the hold does. */
    std::optional<WorkerSlot> backfill(
        const WorkerTable& workers, const Resources& size, TimePoint now, Duration declaredRunTime) const;

private:
    bool hasRoom(const WorkerTable& workers, const Part& part) const;

    WorkItem* m_holder = nullptr;
    TimePoint m_until;
    std::vector<Part> m_parts;
    std::size_t m_readyParts = 0; ///< number of parts with `ready`
    absl::flat_hash_map<WorkerSlot, std::size_t> m_index; ///< position in `m_parts`
};

} // namespace lycheeledge
