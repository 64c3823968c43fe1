// Hands completions over to the coordination thread.
#pragma once

#include <functional>

namespace lycheeledge {

/** @brief Runs tasks on the coordination thread. May be called from any thread. */
class CompletionExecutor {
public:
    virtual ~CompletionExecutor() = default;

    virtual void execute(std::function<void()> task) = 0;
};

} // namespace lycheeledge
