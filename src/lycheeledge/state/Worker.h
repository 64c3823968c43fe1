// Workers, their reports, and the commands sent to them.
#pragma once

#include "Ids.h"
#include "Resources.h"
#include "Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lycheeledge {

/** @brief Network address: an IP address and a port. */
struct Address {
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const Address&) const = default;
    bool operator==(const Address&) const = default;
};

/** @brief A worker VM as listed by the platform. */
struct WorkerDescription {
    VmId id;
    Address address;
    ZoneId zone;
    RackId rack;
    Resources capacity;
    bool leaving = false;

    bool operator==(const WorkerDescription&) const = default;
};

/** @brief A running task, as reported by its worker. */
struct RunningTask {
    TaskId id;
    Resources reserved; ///< declared size of the task when it was started
    Resources used; ///< measured usage, which lags behind the actual usage

    bool operator==(const RunningTask&) const = default;
};

/** @brief Result of a finished task, which the worker retains until it is acknowledged. */
struct FinishedTask {
    TaskId id;
    bool succeeded = false;
    std::string message; ///< reason for a failure
    std::uint64_t bodyLength = 0; ///< length of the complete response, in bytes
    std::string bodySha256; ///< SHA-256 digest of the complete response, in hexadecimal
    std::string body; ///< the response; empty in reports of outcomes that are already acknowledged

    bool operator==(const FinishedTask&) const = default;
};

/** @brief Acquires or renews the controller lease of a worker and the leases of all of its tasks. */
struct LeaseRequest {
    CellId cell;
    Epoch epoch = 0;
    std::string session; ///< session id from the first report; empty to open a session
    Duration controllerLease {};
    Duration taskLease {};
    std::uint64_t acknowledged = 0; ///< the controller has processed finished tasks up to this sequence number
    bool fullReport = false; ///< requests all running tasks and all outcomes of the last 10 min

    bool operator==(const LeaseRequest&) const = default;
};

/** @brief Response of a worker to a lease request. */
struct LeaseReport {
    VmId worker;
    bool accepted = false; ///< false if fenced by a higher epoch or if the session is unknown
    Epoch highestEpoch = 0; ///< highest epoch the worker has seen
    std::string session; ///< changes when the worker restarts
    Resources capacity;
    Resources used; ///< measured usage, which lags behind the actual usage
    bool full = false; ///< whether `running` and `finished` are complete
    std::vector<RunningTask> running;
    std::vector<FinishedTask> finished;
    std::uint64_t lastSequence = 0; ///< sequence number of the last finished task in `finished`

    bool operator==(const LeaseReport&) const = default;
};

/** @brief Command to start a task under an unexpired controller lease. */
struct StartCommand {
    TaskId id;
    Epoch epoch = 0;
    std::string session;
    Resources size;
    std::string payload;
    std::string traceparent; ///< W3C trace context, empty for none

    bool operator==(const StartCommand&) const = default;
};

/** @brief Commands for a running task. */
enum class TaskAction { Stop, Checkpoint, Throttle };

/** @brief Outcome of a command to a worker. */
enum class CommandOutcome {
    Accepted, ///< the worker executed the command, now or earlier
    Refused, ///< the worker responded that it did not execute the command
    NotDelivered, ///< the command cannot have reached the worker
    Unknown, ///< no response; the command may have been executed
};

} // namespace lycheeledge
