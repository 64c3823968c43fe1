// Finds workers that fail what they start, and keeps tasks away from them.
//
// Answers the load where some workers fail every task while their own checks are good: without it each retry may meet
// such a worker again, and jobs run out of attempts.
#pragma once

#include "JobSpec.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <optional>

namespace lycheeledge::jobs {

struct QuarantineSettings {
    std::size_t failures = 2; ///< in a row, of different jobs; one in 200 tasks fails by its own fault
    Duration window = std::chrono::seconds(10); ///< older failures are forgotten
    Duration length = std::chrono::seconds(2); ///< doubles while the worker goes on failing
    Duration maxLength = std::chrono::seconds(8);
};

class FailureQuarantine {
public:
    explicit FailureQuarantine(QuarantineSettings settings = {})
        : m_settings(settings)
    {
    }

    /** @brief A task failed. @return whether a quarantine begins. */
    bool failed(const WorkerId& worker, const JobId& job, TimePoint now);
    /** @brief A task made no progress there, which is the worker's fault: quarantines it at once. */
    void stalled(const WorkerId& worker, TimePoint now);
    void succeeded(const WorkerId& worker);
    /** @brief Whether the worker should get no task now. */
    bool isQuarantined(const WorkerId& worker, TimePoint now) const;
    /** @brief Whether the worker's next task decides about another quarantine. */
    bool isOnProbation(const WorkerId& worker) const;
    void forget(const WorkerId& worker) { m_states.erase(worker); }

private:
    struct State {
        absl::flat_hash_set<JobId> failedJobs; ///< since the last success
        TimePoint lastFailure;
        TimePoint until;
        Duration length {}; ///< of the last quarantine
    };

    void begin(State& state, TimePoint now) const;

    QuarantineSettings m_settings;
    absl::flat_hash_map<WorkerId, State> m_states;
};

} // namespace lycheeledge::jobs
