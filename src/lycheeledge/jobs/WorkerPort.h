// Port to the workers: orders, and looks at what runs there.
#pragma once

#include "JobSpec.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lycheeledge::jobs {

/** @brief Registry entry of a worker. */
struct WorkerRecord {
    WorkerId id;
    std::string address; ///< host:port
    std::string dataCentre;
    std::string pool;
    Resources capacity;
    std::vector<std::string> labels;
    std::string kind; ///< of its VM; empty if unknown
    std::string rack; ///< empty if unknown
    bool draining = false;
    std::optional<Duration> remaining; ///< least time left, while draining
    std::int64_t bornUnixMs = 0; ///< start of this life; tells apart lives under one id

    bool operator==(const WorkerRecord&) const = default;
};

/** @brief Where an order goes: an address, and the life of the worker that is meant. */
struct WorkerTarget {
    WorkerId id;
    std::string address;

    bool operator==(const WorkerTarget&) const = default;
};

struct StartOrder {
    TaskKey task;
    RunNumber run = 0;
    std::string payload;
    std::string checkpoint; ///< to resume from; empty: from the beginning
    std::string ticket; ///< of the admission service; empty: none
    Epoch epoch = 0; ///< fencing token
    std::int64_t leaseUntilMs = 0; ///< on the worker's clock; for everything that runs there

    bool operator==(const StartOrder&) const = default;
};

struct StopOrder {
    TaskKey task;
    RunNumber run = 0;
    Epoch epoch = 0;

    bool operator==(const StopOrder&) const = default;
};

/** @brief Share of its usual speed at which a task may work. */
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
    Late, ///< the lease in the order had ended
    NoRoom,
    TicketRejected,
    Malformed,
    Unhealthy, ///< the worker did nothing
    OtherIncarnation, ///< another life answered at this address
    NotSent, ///< no connection could be opened
    Unknown, ///< no response; may have been executed, or may be executed later
};

/** @brief Response to an order. */
struct OrderResult {
    OrderOutcome outcome = OrderOutcome::Unknown;
    std::optional<std::int64_t> clockMs; ///< the worker's clock
};

struct LookRequest {
    Epoch epoch = 0;
    std::uint64_t acknowledged = 0; ///< ends up to this number may be forgotten
    std::optional<std::int64_t> leaseUntilMs; ///< on the worker's clock
    Duration wait {}; ///< longest wait for an end

    bool operator==(const LookRequest&) const = default;
};

struct RunningTask {
    RunKey run;
    std::string checkpoint;
    int progressPercent = 0; ///< of a long-running task: 100 once its startup is over
    double usage = 0; ///< tail latency in ms of a serving task, else processors in use (thousandths of a core)

    bool operator==(const RunningTask&) const = default;
};

enum class EndKind { Done, Failed, Stopped, LeaseExpired, GangBroken, GangIncomplete };

struct EndedTask {
    std::uint64_t sequence = 0; ///< counts the ends of this life of the worker
    RunKey run;
    EndKind kind = EndKind::Failed;
    std::string checkpoint;

    bool operator==(const EndedTask&) const = default;
};

/** @brief What a worker reports about its runs. */
struct LookReport {
    std::int64_t clockMs = 0;
    std::int64_t bornUnixMs = 0; ///< 0 if not told
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended; ///< ends that are not acknowledged, oldest first

    bool operator==(const LookReport&) const = default;
};

struct LookResult {
    OrderOutcome outcome = OrderOutcome::Unknown;
    LookReport report; ///< valid if the outcome is Done
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
    /** @brief Renews the lease and reads the lists. @param timeout beyond the wait in the request. */
    virtual void look(
        const WorkerTarget& to, const LookRequest& request, Duration timeout, std::function<void(LookResult)> done)
        = 0;
};

} // namespace lycheeledge::jobs
