// Workers, what they report, and the commands they take.
#pragma once

#include "Ids.h"
#include "Resources.h"
#include "Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lycheeledge {

/** @brief Network address: an IP number and a port. */
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

/** @brief A task that a worker runs, as reported by it. */
struct RunningTask {
    TaskId id;
    Resources reserved; ///< declared size with which it was started
    Resources used; ///< measured, with a lag

    bool operator==(const RunningTask&) const = default;
};

/** @brief End of a task, kept by the worker until acknowledged. */
struct FinishedTask {
    TaskId id;
    bool succeeded = false;
    std::string message; ///< reason of a failure
    std::uint64_t bodyLength = 0; ///< length of the whole answer, in bytes
    std::string bodySha256; ///< digest of the whole answer, in hexadecimal
    std::string body; ///< the answer; empty in reports of outcomes that were acknowledged before

    bool operator==(const FinishedTask&) const = default;
};

/** @brief Request for, or renewal of, the controller lease of a worker and the leases of all of its tasks. */
struct LeaseRequest {
    CellId cell;
    Epoch epoch = 0;
    std::string session; ///< session from the first report; empty to open one
    Duration controllerLease {};
    Duration taskLease {};
    std::uint64_t acknowledged = 0; ///< finished tasks up to this sequence number were taken over
    bool fullReport = false; ///< asks for all running tasks and all outcomes of the last 10 min

    bool operator==(const LeaseRequest&) const = default;
};

/** @brief Answer of a worker to a lease request. */
struct LeaseReport {
    VmId worker;
    bool accepted = false; ///< false when fenced by a higher epoch or when the session is unknown
    Epoch highestEpoch = 0; ///< highest epoch the worker has seen
    std::string session; ///< changes when the worker restarts
    Resources capacity;
    Resources used; ///< measured, with a lag
    bool full = false; ///< `running` and `finished` are complete
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

/** @brief How a command to a worker ended. */
enum class CommandOutcome {
    Accepted, ///< the worker carried it out (or had already)
    Refused, ///< the worker answered that it did not carry it out
    NotDelivered, ///< the command certainly did not reach the worker
    Unknown, ///< no answer
};

} // namespace lycheeledge
