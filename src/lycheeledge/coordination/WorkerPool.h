// Interfaces between the scheduler and the worker sessions of its cell.
#pragma once

#include "../state/Worker.h"

#include <functional>
#include <string>

namespace lycheeledge {

/** @brief Sends commands to workers in the owner's epoch. Implemented by WorkerSessions. */
class WorkerPool {
public:
    virtual ~WorkerPool() = default;

    /**
     * @brief Starts a task on a worker. While the outcome is unknown, the command is retried on the same worker.
     * @param done receives Accepted; Refused or NotDelivered if the task does not run there and never will under this
     * id; or Unknown if the worker restarted or was lost before the outcome was known.
     */
    virtual void start(const VmId& worker, const TaskId& task, const Resources& size, const std::string& payload,
        const std::string& traceparent, std::function<void(CommandOutcome, std::string message)> done)
        = 0;
    /** @brief Stops, checkpoints or throttles a task. Retried until the worker responds, restarts or is lost. */
    virtual void applyAction(const VmId& worker, TaskAction action, const TaskId& task) = 0;
};

/** @brief Receives the events of the workers of a cell. Implemented by the scheduler. */
class WorkerPoolListener {
public:
    virtual ~WorkerPoolListener() = default;

    /** @brief A worker accepted the owner's epoch; `report` is full. Also called after a restart of the worker. */
    virtual void workerAvailable(const WorkerDescription& worker, const LeaseReport& report) = 0;
    /** @brief A renewal succeeded; `report` carries the measured usage. */
    virtual void workerReported(const VmId& worker, const LeaseReport& report) = 0;
    /** @brief The platform's list changed the description of a worker, for example to leaving. */
    virtual void workerChanged(const WorkerDescription& worker) = 0;
    /** @brief Lease renewals fail. No new tasks may be placed on the worker; its tasks may still be running. */
    virtual void workerUnreachable(const VmId& worker) = 0;
    /** @brief All leases of the worker have certainly expired, or it restarted: none of its tasks runs any more. */
    virtual void workerLost(const VmId& worker) = 0;
    /** @brief A task ended. Delivered at least once; duplicates carry the same task id. */
    virtual void taskFinished(const VmId& worker, const FinishedTask& task) = 0;
};

} // namespace lycheeledge
