// Port to the durable journal of a cell.
#pragma once

#include "../state/Outcome.h"
#include "../state/Work.h"
#include "../state/Worker.h"

#include <absl/status/status.h>

#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace lycheeledge {

struct JobSubmitted {
    WorkSpec spec;

    bool operator==(const JobSubmitted&) const = default;
};

struct JobCancelled {
    WorkId id;

    bool operator==(const JobCancelled&) const = default;
};

/** @brief Written before a task that is not repeatable is started. */
struct TaskStarting {
    TaskId id;

    bool operator==(const TaskStarting&) const = default;
};

struct TaskEnded {
    TaskId id;
    bool succeeded = false;

    bool operator==(const TaskEnded&) const = default;
};

struct JobEnded {
    WorkResult result; ///< `body` is not kept

    bool operator==(const JobEnded&) const = default;
};

struct WorkerJoined {
    WorkerDescription worker;
    std::string session;

    bool operator==(const WorkerJoined&) const = default;
};

struct WorkerRemoved {
    VmId worker;
    std::vector<TaskId> unknownTasks; ///< tasks whose outcome is unknown

    bool operator==(const WorkerRemoved&) const = default;
};

using JournalRecord
    = std::variant<JobSubmitted, JobCancelled, TaskStarting, TaskEnded, JobEnded, WorkerJoined, WorkerRemoved>;

/** @brief Appends records that must survive the owner. Implemented by StoreJournal. */
class JobJournal {
public:
    virtual ~JobJournal() = default;

    /**
     * @brief Appends a record, in the order of the calls.
     * @param done called once the record is durable; `ABORTED` if this process no longer owns the cell. While the
     * store is down the call waits.
     */
    virtual void append(JournalRecord record, std::function<void(absl::Status)> done) = 0;
};

} // namespace lycheeledge
