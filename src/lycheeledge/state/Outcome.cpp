// Protocol names of run states and error kinds.

#include "Outcome.h"

#include <array>
#include <utility>

namespace lycheeledge {

namespace {

    constexpr std::array<std::pair<ErrorKind, std::string_view>, 16> errorNames { {
        { ErrorKind::None, "none" },
        { ErrorKind::InvalidArgument, "invalid_argument" },
        { ErrorKind::TooLarge, "too_large" },
        { ErrorKind::Unauthenticated, "unauthenticated" },
        { ErrorKind::WrongTeam, "wrong_team" },
        { ErrorKind::NotFound, "not_found" },
        { ErrorKind::Conflict, "conflict" },
        { ErrorKind::NeverFits, "never_fits" },
        { ErrorKind::Overloaded, "overloaded" },
        { ErrorKind::DeadlineExceeded, "deadline_exceeded" },
        { ErrorKind::Cancelled, "cancelled" },
        { ErrorKind::Unavailable, "unavailable" },
        { ErrorKind::TaskFailed, "task_failed" },
        { ErrorKind::WorkerLost, "worker_lost" },
        { ErrorKind::Truncated, "truncated" },
        { ErrorKind::Internal, "internal" },
    } };

} // namespace

std::string_view toString(RunState state)
{
    switch (state) {
    case RunState::NotRun:
        return "not_run";
    case RunState::Run:
        return "run";
    case RunState::Unknown:
        break;
    }
    return "unknown";
}

std::string_view toString(ErrorKind kind)
{
    for (const auto& [value, name] : errorNames) {
        if (value == kind)
            return name;
    }
    return "internal";
}

ErrorKind errorKindFromString(std::string_view name)
{
    for (const auto& [value, text] : errorNames) {
        if (text == name)
            return value;
    }
    return ErrorKind::Internal;
}

RunState runStateFromString(std::string_view name)
{
    if (name == "not_run")
        return RunState::NotRun;
    return name == "run" ? RunState::Run : RunState::Unknown;
}

} // namespace lycheeledge
