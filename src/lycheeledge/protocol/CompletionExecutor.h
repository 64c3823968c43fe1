// Runs completion callbacks on the coordination thread.
#pragma once

#include <functional>

namespace lycheeledge {

/** @brief Queue of tasks for the coordination thread. */
class CompletionExecutor {
public:
    virtual ~CompletionExecutor() = default;

    /** @brief Schedules `task` to run on the coordination thread. May be called from any thread. */
    virtual void execute(std::function<void()> task) = 0;
};

} // namespace lycheeledge
