// Settings of the sessions with workers.
#pragma once

#include "../state/Ids.h"
#include "../state/Time.h"

#include <set>

namespace lycheeledge {

/** @brief Settings of WorkerSessions. All processes of a cell must use the same lease times. */
struct WorkerSessionSettings {
    std::set<ZoneId> zones; ///< zones of the cell; empty for all
    Duration controllerLease = std::chrono::seconds(3);
    Duration taskLease = std::chrono::seconds(15);
    Duration renewInterval = std::chrono::seconds(1);
    Duration directoryInterval = std::chrono::seconds(1);
    Duration eventWait = std::chrono::seconds(5); ///< long poll for finished tasks
    Duration retryDelay = std::chrono::milliseconds(250); ///< after a call without an answer
    Duration checkInterval = std::chrono::milliseconds(100);
    Duration recoveryWait = std::chrono::milliseconds(500); ///< for the workers beyond a majority
    Duration recoveryLimit = std::chrono::seconds(10); ///< without a majority, the epoch is given up after this
    Duration answerTimeout = std::chrono::seconds(3); ///< the gateway answers every call within this time
    std::int64_t clockErrorPercent = 1; ///< largest difference of clock rates

    /** @brief `duration` as measured by a clock that runs fast by the largest error. */
    Duration withClockError(Duration duration) const { return duration + duration * clockErrorPercent / 100; }

    /** @brief Longest time that a task runs after the last lease request of this owner took effect. */
    Duration leaseWait() const { return withClockError(controllerLease + taskLease); }

    /**
     * @brief Longest time that a task of the previous owner runs after this owner became active.
     *
     * The previous owner renews the leases of workers outside the new majority for up to one controller lease longer,
     * and its last renewal may take the answer timeout to arrive.
     */
    Duration takeoverWait() const { return withClockError(2 * controllerLease + taskLease) + answerTimeout; }
};

} // namespace lycheeledge
