// How a piece of work ended, as told to its caller.
#pragma once

#include "Ids.h"

#include <string>
#include <string_view>

namespace lycheeledge {

/** @brief What is known about the execution of a piece of work. */
enum class RunState {
    NotRun, ///< no task of it ever started, and none will
    Run, ///< it was executed
    Unknown, ///< it may have been executed
};

/** @brief Class of an error. The command line maps each to an exit code. */
enum class ErrorKind {
    None,
    InvalidArgument, ///< malformed call, unknown or wrong field
    TooLarge, ///< body over the size limit
    Unauthenticated, ///< unknown or withdrawn key
    WrongTeam, ///< the key belongs to another team
    NotFound,
    Conflict, ///< expected version or idempotency key does not match
    NeverFits, ///< larger than any worker, or than the team's upper limit
    Overloaded, ///< refused or dropped before the start to protect waiting times
    DeadlineExceeded,
    Cancelled,
    Unavailable, ///< no owner, stale configuration, or a stopping process
    TaskFailed, ///< the task ran and failed
    WorkerLost, ///< the worker was lost while the task may have run
    Truncated, ///< the answer could not be read whole
    Internal,
};

/** @brief Name as used in the protocols, for example `not_run`. */
std::string_view toString(RunState state);
/** @brief Name as used in the protocols, for example `never_fits`. */
std::string_view toString(ErrorKind kind);
/** @brief Inverse of toString(). @return Internal for an unknown name. */
ErrorKind errorKindFromString(std::string_view name);
/** @brief Inverse of toString(). @return Unknown for an unknown name. */
RunState runStateFromString(std::string_view name);

/** @brief Final outcome of a piece of work. */
struct WorkResult {
    WorkId id;
    RunState run = RunState::Unknown;
    ErrorKind error = ErrorKind::None;
    std::string message; ///< what went wrong, for a person; empty on success
    std::string body; ///< the whole answer; empty unless error is None

    bool operator==(const WorkResult&) const = default;
    bool ok() const { return error == ErrorKind::None; }
};

} // namespace lycheeledge
