// Settings and counters of the scheduler.
#pragma once

#include "../state/LatencyHistogram.h"
#include "WorkerLink.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace lycheeledge::jobs {

struct JobSchedulerSettings {
    WorkerLinkSettings link;
    Duration passDelay = std::chrono::milliseconds(2); ///< batches events into one scheduling pass
    int passTimeDivisor = 5; ///< passes use at most 1/passTimeDivisor of the time, however long each one takes
    /// Period of tick(), which handles conditions that change only with time, such as leases.
    Duration tickInterval = std::chrono::milliseconds(50);
    /// Healthy workers respond within 20 ms, but a busy owner reads responses late.
    Duration startTimeout = std::chrono::milliseconds(500);
    /// A start order without a response for this long is sent a second time: the worker carries out only one of them.
    /// Ten times the response time of a healthy worker.
    Duration startRepeatDelay = std::chrono::milliseconds(200);
    Duration stopTimeout = std::chrono::milliseconds(500);
    Duration orderRetryDelay = std::chrono::milliseconds(150);
    /// Time from a confirmed stop until the run has ended (bound set by the platform).
    Duration taskStopLimit = std::chrono::milliseconds(200);
    /// How long an earlier owner may still send orders, and how long the leases that it grants last; derived from the
    /// lease settings.
    Duration previousOwnerTimeout {};
    /// How long finished jobs are kept (the platform requires 120 s).
    Duration statusRetention = std::chrono::seconds(130);
    /// How long unregistered workers are still used: registrations lost in a store outage are restored within 2 s.
    Duration unregisteredGracePeriod = std::chrono::seconds(3);
    Duration failureBackoff = std::chrono::milliseconds(150); ///< delay before a failed task is retried
    /// Number of workers that crash soon after they have started a task at which its job fails: as many as the platform
    /// asks a task to be tried on.
    std::uint32_t crashLimit = 2;
    /// The same for crashes together with workers that went out of reach at that moment and of which nothing more is
    /// known. The platform allows five starts of a task that crashes its workers; each takeover may leave one
    /// uncounted.
    std::uint32_t suspicionLimit = 3;
    /// The same for crashes at any time, for tasks that end by themselves. The platform allows two starts after the
    /// third crash.
    std::uint32_t interruptionLimit = 5;
    /// The latency objective allows for one admission call that names 30 workers.
    std::size_t maxWorkersPerAdmissionCall = 30;
    std::size_t maxWorkersPerTicketRenewal = 10; ///< workers named when tickets are renewed
    /// Workers named for a gang, whose tickets must all be valid at the same time.
    std::size_t maxWorkersPerGangCall = 60;
    /// Tasks of a job's open occurrences; one occurrence may have more.
    std::size_t maxOpenTasks = 300000;
    /// Memory of accepted jobs; 0: no limit. See WorkMemory.
    std::size_t maxWorkBytes = 0;
    /// Longest value of the store. The progress of a job is one value: tasks that have started and are not done may
    /// take a quarter of it, and checkpoints and open occurrences an eighth each.
    std::size_t maxValueBytes = std::size_t { 1 } << 20;
    /// A step of which no task runs this long after its release asks for admission ahead of the scheduling order.
    Duration overdueAfter = std::chrono::seconds(1);
    /// Submissions are predicted from a load of at most this age: building it takes a walk over all ready steps and
    /// workers, and the smallest owners have a tenth of a core.
    Duration loadLifetime = std::chrono::milliseconds(100);
    /// After a takeover, submissions are not predicted for this long, because workers report one after another.
    Duration predictionDelay = std::chrono::seconds(3);
};

/** @brief Counters since the start of the process. */
struct JobSchedulerCounters {
    std::uint64_t starts = 0;
    std::uint64_t startsRefusedNoCapacity = 0;
    std::uint64_t startsRefusedTicket = 0;
    std::uint64_t startsRefusedOther = 0;
    std::uint64_t startsWithoutResponse = 0;
    std::uint64_t endsDone = 0;
    std::uint64_t endsFailed = 0;
    std::uint64_t otherEnds = 0;
    std::uint64_t runsLost = 0;
    std::uint64_t stops = 0;
    std::uint64_t admissionCalls = 0;
    std::uint64_t jobsCompleted = 0;
    std::uint64_t jobsFailed = 0;
    std::uint64_t jobsCancelled = 0;
    std::uint64_t submissionsBeyondRate = 0; ///< stored submissions beyond the rate of their account
    LatencyHistogram completionTimes; ///< of completed, non-recurring jobs, measured from acceptance
    LatencyHistogram admissionTimes; ///< of steps, from release to the first grant
    LatencyHistogram placementTimes; ///< of steps, from the first grant until all tasks have a worker

    bool operator==(const JobSchedulerCounters&) const = default;
};

} // namespace lycheeledge::jobs
