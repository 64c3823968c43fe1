// Interface to the durable journal of a cell, and its records.
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

/**
 * @brief Written before a non-repeatable task is started, and before a repeatable batch task runs again after a
 * failure.
 *
 * The records of a repeatable task are the count of its failed runs. `id.run` is the lowest run that is not counted.
 */
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
    WorkResult result; ///< without `body`

    bool operator==(const JobEnded&) const = default;
};

struct WorkerJoined {
    WorkerDescription worker;
    std::string session;

    bool operator==(const WorkerJoined&) const = default;
};

struct WorkerRemoved {
    VmId worker;
    std::vector<TaskId> unknownTasks; ///< tasks that may have run there without a known outcome

    bool operator==(const WorkerRemoved&) const = default;
};

using JournalRecord
    = std::variant<JobSubmitted, JobCancelled, TaskStarting, TaskEnded, JobEnded, WorkerJoined, WorkerRemoved>;

/** @brief Appends records that must outlive the owner process. Implemented by StoreJournal. */
class JobJournal {
public:
    virtual ~JobJournal() = default;

    /**
     * @brief Appends a record. Records are written in the order of the calls.
     * @param done called once the record is durable, or with `ABORTED` if this process no longer owns the cell. While
     * the store is down, the append stays pending.
     */
    virtual void append(JournalRecord record, std::function<void(absl::Status)> done) = 0;
};

} // namespace lycheeledge
