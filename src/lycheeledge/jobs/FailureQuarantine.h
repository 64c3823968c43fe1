// Detects workers on which tasks keep failing, and excludes them from placement for some time.
//
// Some workers fail every task although their own health checks pass. Without a quarantine, retries may be placed on
// such a worker again, and jobs run out of attempts.
#pragma once

#include "JobSpec.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <optional>

namespace lycheeledge::jobs {

struct QuarantineSettings {
    /// Consecutive failures, of different jobs; one in 200 tasks fails by its own fault.
    std::size_t failureThreshold = 2;
    Duration failureWindow = std::chrono::seconds(10); ///< older failures are ignored
    /// Of the first quarantine; doubles while the worker keeps failing.
    Duration initialDuration = std::chrono::seconds(2);
    Duration maxDuration = std::chrono::seconds(8);
};

class FailureQuarantine {
public:
    explicit FailureQuarantine(QuarantineSettings settings = {})
        : m_settings(settings)
    {
    }

    /** @brief Records a failed task. @return whether a quarantine begins. */
    bool recordFailure(const WorkerId& worker, const JobId& job, TimePoint now);
    /** @brief Records a task without progress. Attributed to the worker, so it is quarantined immediately. */
    void recordStall(const WorkerId& worker, TimePoint now);
    void recordSuccess(const WorkerId& worker);
    /** @brief Whether the worker must not receive tasks now. */
    bool isQuarantined(const WorkerId& worker, TimePoint now) const;
    /**
     * @brief Whether the last task to end on the worker failed a short time ago. One in 200 urgent tasks fails by its
     * own fault, so the worker is the likelier cause if a twentieth of the workers fail all tasks.
     */
    bool hasRecentFailure(const WorkerId& worker, TimePoint now) const;
    /** @brief Whether the worker has completed no task since its last quarantine: the next failure starts another. */
    bool isOnProbation(const WorkerId& worker) const;
    void forget(const WorkerId& worker) { m_states.erase(worker); }

private:
    struct State {
        absl::flat_hash_set<JobId> failedJobs; ///< jobs with failures since the last success
        TimePoint lastFailure;
        TimePoint until; ///< end of the last quarantine
        Duration duration {}; ///< of the last quarantine; zero before the first
    };

    void startQuarantine(State& state, TimePoint now) const;

    QuarantineSettings m_settings;
    absl::flat_hash_map<WorkerId, State> m_states;
};

} // namespace lycheeledge::jobs
