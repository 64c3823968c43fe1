// Error of an API call, as returned to callers and operators.
#pragma once

#include "../state/Outcome.h"

#include <string>

namespace lycheeledge {

struct ApiError {
    ErrorKind kind = ErrorKind::InvalidArgument;
    std::string message; ///< human-readable description
    std::string field; ///< JSON pointer into the parameters; empty if the error is not about one field
    RunState run = RunState::NotRun;

    bool operator==(const ApiError&) const = default;
};

} // namespace lycheeledge
