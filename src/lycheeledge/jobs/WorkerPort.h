// Port to the workers: sends orders and polls their tasks.
#pragma once

#include "JobSpec.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lycheeledge::jobs {

/// Each claim of the ownership takes this many fencing tokens. The first one is the epoch; the owner uses the others
/// for orders to workers that have restarted under the same id.
inline constexpr Epoch fencingTokensPerClaim = 100;

/** @brief Registry entry of a worker. */
struct WorkerRecord {
    WorkerId id;
    std::string address; ///< host:port
    std::string dataCentre;
    std::string pool;
    Resources capacity;
    std::vector<std::string> labels;
    std::string kind; ///< kind of its VM; empty if unknown
    std::string rack; ///< empty if unknown
    bool draining = false;
    std::optional<Duration> remaining; ///< minimum time left while draining
    std::int64_t incarnationStartUnixMs
        = 0; ///< start time of this incarnation; distinguishes incarnations with the same id

    bool operator==(const WorkerRecord&) const = default;
};

/** @brief Destination of an order: an address, and the worker incarnation expected there. */
struct WorkerTarget {
    WorkerId id;
    std::string address;
    std::string dataCentre; ///< empty if unknown

    bool operator==(const WorkerTarget&) const = default;
};

struct StartOrder {
    TaskKey task;
    RunNumber run = 0;
    std::string payload;
    std::string checkpoint; ///< to resume from; empty to start from the beginning
    std::string ticket; ///< from the admission service; empty if none
    Epoch epoch = 0; ///< fencing token
    std::int64_t leaseUntilMs = 0; ///< on the worker's clock; applies to all its tasks

    bool operator==(const StartOrder&) const = default;
};

struct StopOrder {
    TaskKey task;
    RunNumber run = 0;
    Epoch epoch = 0;

    bool operator==(const StopOrder&) const = default;
};

/** @brief Limits a task to a percentage of its usual speed. */
struct PaceOrder {
    TaskKey task;
    RunNumber run = 0;
    int percent = 100;
    Epoch epoch = 0;

    bool operator==(const PaceOrder&) const = default;
};

enum class OrderOutcome {
    Done,
    Fenced, ///< the worker has seen a higher epoch
    Stale, ///< this run or a later one has already ended or was stopped there
    Late, ///< the lease in the order had expired
    NoCapacity,
    TicketRejected,
    Malformed,
    Unhealthy, ///< the worker is unhealthy and did not execute the order
    OtherIncarnation, ///< another incarnation answered at this address
    NotSent, ///< no connection could be opened
    Unknown, ///< no response; may have been executed, or may be executed later
};

/** @brief Response to an order. */
struct OrderResult {
    OrderOutcome outcome = OrderOutcome::Unknown;
    std::optional<std::int64_t> clockMs; ///< the worker's clock
};

struct PollRequest {
    Epoch epoch = 0;
    std::uint64_t acknowledged = 0; ///< the worker may discard ends up to this sequence number
    std::optional<std::int64_t> leaseUntilMs; ///< on the worker's clock
    Duration wait {}; ///< maximum time that the worker waits for an end before it responds

    bool operator==(const PollRequest&) const = default;
};

struct RunningTask {
    RunKey run;
    std::string checkpoint;
    int progressPercent = 0; ///< for a long-running task: 100 once it has started up
    /// Tail latency in ms for a serving task, otherwise the processors in use in thousandths of a core.
    double usage = 0;

    bool operator==(const RunningTask&) const = default;
};

enum class EndKind { Done, Failed, Stopped, LeaseExpired, GangBroken, GangIncomplete };

struct EndedTask {
    std::uint64_t sequence = 0; ///< numbers the ends of this incarnation of the worker
    RunKey run;
    EndKind kind = EndKind::Failed;
    std::string checkpoint;

    bool operator==(const EndedTask&) const = default;
};

/// A report lists at most this many ends, oldest first (limit of the platform).
inline constexpr std::size_t maxListedEnds = 500;

/** @brief Report of a worker on its runs. */
struct PollReport {
    std::int64_t clockMs = 0;
    std::int64_t incarnationStartUnixMs = 0; ///< start time of the incarnation; 0 if not reported
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended; ///< unacknowledged ends, oldest first

    bool operator==(const PollReport&) const = default;
};

struct PollResult {
    OrderOutcome outcome = OrderOutcome::Unknown;
    PollReport report; ///< valid if the outcome is Done
};

/** @brief Sends orders to workers. Each callback is called once, on the coordination thread. */
class WorkerPort {
public:
    virtual ~WorkerPort() = default;

    virtual void start(
        const WorkerTarget& to, const StartOrder& order, Duration timeout, std::function<void(OrderResult)> done)
        = 0;
    virtual void stop(
        const WorkerTarget& to, const StopOrder& order, Duration timeout, std::function<void(OrderResult)> done)
        = 0;
    virtual void pace(
        const WorkerTarget& to, const PaceOrder& order, Duration timeout, std::function<void(OrderResult)> done)
        = 0;
    /** @brief Renews the lease and reads the report. @param timeout added to the wait in the request. */
    virtual void poll(
        const WorkerTarget& to, const PollRequest& request, Duration timeout, std::function<void(PollResult)> done)
        = 0;
};

} // namespace lycheeledge::jobs
