// Quarantine of workers that fail the tasks they start.
#pragma once

#include "../state/Ids.h"
#include "../state/Time.h"
#include "WorkerTable.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace lycheeledge {

/**
 * @brief Finds workers that fail every task, and work that fails on every worker.
 *
 * 5 failures in a row within 30 s, from at least 2 sources, quarantine a worker for 10 s, doubling up to 5 min. A
 * source is a job, or all requests of a team: otherwise the failing requests of one team would quarantine good
 * workers. A source that fails on 3 workers which run others well is marked failing and no longer counts.
 */
class WorkerHealth {
public:
    static WorkId sourceOf(const WorkId& id, bool job) { return job ? id : WorkId { id.team, {} }; }

    /** @brief Notes a failed task or a refused start. @return whether the worker is to be quarantined now. */
    bool failed(TimePoint now, WorkerSlot worker, const WorkId& source);
    /** @brief Notes a success. @return whether it ended a probe, so that the worker returns to service. */
    bool succeeded(TimePoint now, WorkerSlot worker, const WorkId& source);
    /** @brief Workers whose quarantine has ended; each now waits for one probe task. */
    std::vector<WorkerSlot> takeReleased(TimePoint now);
    /** @brief Whether the worker may get exactly one task. */
    bool awaitsProbe(WorkerSlot worker) const;
    bool isFailing(const WorkId& source) const;
    void forgetSource(const WorkId& source) { m_sources.erase(source); }

private:
    struct Worker {
        std::deque<std::pair<TimePoint, WorkId>> streak; ///< failures since the last success
        std::optional<std::pair<TimePoint, WorkId>> success;
        std::uint32_t level = 0; ///< number of doublings of the next quarantine
        TimePoint until; ///< end of the last quarantine
        bool probing = false;
    };
    struct Source {
        absl::flat_hash_set<WorkerSlot> failedOn; ///< workers that ran others well
        bool failing = false;
    };

    void quarantine(TimePoint now, WorkerSlot slot, Worker& worker);
    bool streakIsBad(TimePoint now, Worker& worker) const;

    absl::flat_hash_map<WorkerSlot, Worker> m_workers;
    absl::flat_hash_map<WorkId, Source> m_sources;
    std::multimap<TimePoint, WorkerSlot> m_quarantined;
};

} // namespace lycheeledge
