// Quarantine of workers on which tasks keep failing.
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
 * @brief Detects workers on which every task fails, and work that fails on every worker.
 *
 * 5 consecutive failures within 30 s, from at least 2 sources, quarantine a worker for 10 s; the time doubles with each
 * quarantine up to 5 min. A source is a job, or all requests of a team: otherwise the failing requests of one team
 * would quarantine healthy workers. A source that fails on 3 workers where other sources succeed is marked as failing,
 * and its failures no longer count against workers.
 */
class WorkerHealth {
public:
    static WorkId sourceOf(const WorkId& id, bool job) { return job ? id : WorkId { id.team, {} }; }

    /** @brief Records a failed task or refused start. @return whether the worker is to be quarantined now. */
    bool failed(TimePoint now, WorkerIndex worker, const WorkId& source);
    /** @brief Records a success. @return whether it completed a probe, so that the worker returns to service. */
    bool succeeded(TimePoint now, WorkerIndex worker, const WorkId& source);
    /** @brief Removes and returns the workers whose quarantine has ended; each now awaits one probe task. */
    std::vector<WorkerIndex> takeReleased(TimePoint now);
    /** @brief Whether the worker has left quarantine and may be given only one task, the probe. */
    bool awaitsProbe(WorkerIndex worker) const;
    bool isFailing(const WorkId& source) const;
    void eraseSource(const WorkId& source) { m_sources.erase(source); }

private:
    struct Worker {
        std::deque<std::pair<TimePoint, WorkId>> recentFailures; ///< failures since the last success
        std::optional<std::pair<TimePoint, WorkId>> lastSuccess; ///< its time and source
        std::uint32_t backoffLevel = 0; ///< how many times the next quarantine is doubled
        TimePoint quarantinedUntil; ///< end of the last quarantine
        bool probing = false;
    };
    struct Source {
        absl::flat_hash_set<WorkerIndex> failedWorkers; ///< workers it failed on while other sources succeeded there
        bool failing = false;
    };

    void quarantine(TimePoint now, WorkerIndex slot, Worker& worker);
    bool shouldQuarantine(TimePoint now, Worker& worker) const;

    absl::flat_hash_map<WorkerIndex, Worker> m_workers;
    absl::flat_hash_map<WorkId, Source> m_sources;
    std::multimap<TimePoint, WorkerIndex> m_quarantined; ///< by the end of the quarantine
};

} // namespace lycheeledge
