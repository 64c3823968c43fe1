// Hands completions to the coordination thread.
#pragma once

#include <functional>

namespace lycheeledge {

/** @brief Runs tasks on the coordination thread. */
class CompletionExecutor {
public:
    virtual ~CompletionExecutor() = default;

    /** @brief Runs `task` soon on the coordination thread. May be called from any thread. */
    virtual void execute(std::function<void()> task) = 0;
};

} // namespace lycheeledge
