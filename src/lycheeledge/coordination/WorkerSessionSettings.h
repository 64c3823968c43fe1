// Settings of the worker sessions.
#pragma once

#include "../state/Ids.h"
#include "../state/Time.h"

#include <set>

namespace lycheeledge {

/** @brief Settings of WorkerSessions. All processes of a cell must use the same lease durations. */
struct WorkerSessionSettings {
    std::set<ZoneId> zones; ///< zones of the cell; empty means all zones
    Duration controllerLease = std::chrono::seconds(3);
    Duration taskLease = std::chrono::seconds(15);
    Duration renewInterval = std::chrono::seconds(1);
    Duration directoryInterval = std::chrono::seconds(1);
    Duration eventPollTimeout = std::chrono::seconds(5); ///< of a long poll for finished tasks
    Duration retryDelay = std::chrono::milliseconds(250); ///< after a failed call
    Duration checkInterval = std::chrono::milliseconds(100);
    Duration recoveryGracePeriod = std::chrono::milliseconds(500); ///< to reach the workers beyond a majority
    Duration recoveryTimeout = std::chrono::seconds(10); ///< to reach a majority; the epoch ends after it
    Duration responseTimeout = std::chrono::seconds(3); ///< the gateway completes every call within this time
    std::int64_t maxClockDriftPercent = 1; ///< largest relative difference between clock rates

    /** @brief `duration` as measured by a clock that runs fast by the maximum drift. */
    Duration withClockDrift(Duration duration) const { return duration + duration * maxClockDriftPercent / 100; }

    /** @brief Upper bound for the time a task runs after the last lease request of this owner took effect. */
    Duration leaseWait() const { return withClockDrift(controllerLease + taskLease); }

    /**
     * @brief Upper bound for the time a task of the previous owner runs after this owner became active.
     *
     * The previous owner renews the leases of workers outside the new majority for up to one more controller lease,
     * and its last renewal may take up to the response timeout to arrive.
     */
    Duration takeoverWait() const { return withClockDrift(2 * controllerLease + taskLease) + responseTimeout; }
};

} // namespace lycheeledge
