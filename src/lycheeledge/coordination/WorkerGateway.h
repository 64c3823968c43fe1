// Interface to the workers.
#pragma once

#include "../state/Worker.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace lycheeledge {

/** @brief Finished tasks reported by a worker's event stream. */
struct WorkerEvents {
    std::vector<FinishedTask> finished;
    std::uint64_t lastSequence = 0;

    bool operator==(const WorkerEvents&) const = default;
};

/** @brief Sends commands to workers. Every callback is called exactly once, at most a few seconds after the call. */
class WorkerGateway {
public:
    virtual ~WorkerGateway() = default;

    /** @brief Opens or renews the controller lease. Errors: `UNAVAILABLE`, `DEADLINE_EXCEEDED`. */
    virtual void lease(
        const WorkerDescription& worker, LeaseRequest request, std::function<void(absl::StatusOr<LeaseReport>)> done)
        = 0;
    /** @brief Starts a task. Idempotent: a repeated command with the same task id starts nothing new. */
    virtual void start(const WorkerDescription& worker, StartCommand command,
        std::function<void(CommandOutcome, std::string message)> done)
        = 0;
    /** @brief Stops, checkpoints or throttles a task. */
    virtual void applyAction(const WorkerDescription& worker, TaskAction action, const TaskId& task, Epoch epoch,
        const std::string& session, std::function<void(CommandOutcome, std::string message)> done)
        = 0;
    /**
     * @brief Waits for tasks that finish with a sequence number above `after`, and acknowledges all up to it.
     * @param wait the worker responds without events after this time.
     * @param done errors: `UNAVAILABLE`, `DEADLINE_EXCEEDED`, `DATA_LOSS` if the response could not be read completely.
     */
    virtual void events(const WorkerDescription& worker, Epoch epoch, const std::string& session, std::uint64_t after,
        Duration wait, std::function<void(absl::StatusOr<WorkerEvents>)> done)
        = 0;
};

} // namespace lycheeledge
