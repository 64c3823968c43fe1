// Posts completions from other threads to the event loop.
#pragma once

#include "../protocol/CompletionExecutor.h"
#include "EventLoop.h"

#include <functional>
#include <utility>

namespace lycheeledge {

class LoopExecutor final : public CompletionExecutor {
public:
    explicit LoopExecutor(EventLoop& loop)
        : m_loop(loop)
    {
    }
    void execute(std::function<void()> task) override { m_loop.postCompletion(std::move(task)); }

private:
    EventLoop& m_loop;
};

} // namespace lycheeledge
