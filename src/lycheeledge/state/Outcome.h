// Outcome of a work item, as reported to its caller.
#pragma once

#include "Ids.h"

#include <string>
#include <string_view>

namespace lycheeledge {

/** @brief What is known about the execution of a work item. */
enum class RunState {
    NotRun, ///< no task of it has started or will start
    Run, ///< it was executed
    Unknown, ///< it may have been executed
};

/** @brief Category of an error. The command-line client maps each to an exit code. */
enum class ErrorKind {
    None,
    InvalidArgument, ///< malformed call, unknown or wrong field
    TooLarge, ///< the body exceeds the size limit
    Unauthenticated, ///< unknown or withdrawn key
    WrongTeam, ///< the key belongs to another team
    NotFound,
    Conflict, ///< expected version or idempotency key does not match
    NeverFits, ///< larger than any worker, or than the team's upper limit
    Overloaded, ///< rejected, or dropped before its start, to limit waiting times
    DeadlineExceeded,
    Cancelled,
    Unavailable, ///< the cell has no owner, the configuration is stale, or the process is stopping
    TaskFailed, ///< the task ran and failed
    WorkerLost, ///< the worker was lost while the task may have run
    Truncated, ///< the response could not be read completely
    Internal,
};

/** @brief Name used in the protocols, for example `not_run`. */
std::string_view toString(RunState state);
/** @brief Name used in the protocols, for example `never_fits`. */
std::string_view toString(ErrorKind kind);
/** @brief Inverse of toString(). @return Internal for an unknown name. */
ErrorKind errorKindFromString(std::string_view name);
/** @brief Inverse of toString(). @return Unknown for an unknown name. */
RunState runStateFromString(std::string_view name);

/** @brief Final outcome of a work item. */
struct WorkResult {
    WorkId id;
    RunState run = RunState::Unknown;
    ErrorKind error = ErrorKind::None;
    std::string message; ///< human-readable description of the error; empty on success
    std::string body; ///< the complete response; empty unless `error` is None

    bool operator==(const WorkResult&) const = default;
    bool ok() const { return error == ErrorKind::None; }
};

} // namespace lycheeledge
