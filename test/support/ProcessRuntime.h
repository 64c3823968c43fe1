// Runtime of one process of a simulated deployment.
#pragma once

#include <lycheeledge/coordination/Runtime.h>

#include <deque>
#include <functional>
#include <memory>
#include <utility>

namespace lycheeledge::test {

/**
 * @brief Shares the clock of another runtime, but can be paused as a process can: its tasks wait until it resumes.
 *
 * Tasks are dropped once the object is destroyed, as those of a process that died.
 */
class ProcessRuntime final : public Runtime {
public:
<<<<<<<< HEAD:test/support/PausableRuntime.h
    explicit PausableRuntime(Runtime& runtime)
        : m_runtime(runtime)
        , m_state(std::make_shared<State>())
    {
    }
========
    explicit ProcessRuntime(ManualRuntime& base)
        : m_base(base)
    {
    }
    ~ProcessRuntime() override { *m_alive = false; }

    TimePoint now() const override { return m_base.now(); }
>>>>>>>> membership:test/support/ProcessRuntime.h

    TimePoint now() const override { return m_runtime.now(); }
    TimerId after(Duration delay, std::function<void()> task) override
    {
        return m_runtime.after(delay, wrap(std::move(task)));
    }
    void cancel(TimerId timer) override { m_runtime.cancel(timer); }
    void post(std::function<void()> task) override { m_runtime.post(wrap(std::move(task))); }
    std::uint64_t random() override { return m_runtime.random(); }

    void pause() { m_state->paused = true; }
    void resume()
    {
        m_state->paused = false;
        for (auto& task : std::exchange(m_state->waiting, {}))
            m_runtime.post(std::move(task));
    }
    bool isPaused() const { return m_state->paused; }

private:
    struct State {
        bool paused = false;
        std::deque<std::function<void()>> waiting;
    };

    std::function<void()> wrap(std::function<void()> task)
    {
        return [state = std::weak_ptr<State>(m_state), task = std::move(task)]() mutable { run(state, task); };
    }

    static void run(const std::weak_ptr<State>& weak, const std::function<void()>& task)
    {
        const auto state = weak.lock();
        if (!state)
            return;
        if (state->paused)
            state->waiting.push_back([weak, task] { run(weak, task); });
        else
            run(task);
    }

<<<<<<<< HEAD:test/support/PausableRuntime.h
    Runtime& m_runtime;
    std::shared_ptr<State> m_state;
========
    void pause() { m_paused = true; }

    void resume()
    {
        m_paused = false;
        for (auto backlog = std::exchange(m_backlog, {}); !backlog.empty(); backlog.pop_front())
            run(backlog.front());
    }

    /** @brief Called after each task, for checks that must hold at any moment. */
    std::function<void()> afterTask;

    /** @brief False once the process is gone. */
    std::shared_ptr<const bool> alive() const { return m_alive; }

private:
    void run(const std::function<void()>& task)
    {
        task();
        if (afterTask)
            afterTask();
    }

    void fire(TimerId timer)
    {
        if (auto node = m_timers.extract(timer))
            node.mapped()();
    }

    ManualRuntime& m_base;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    std::map<TimerId, std::function<void()>> m_timers;
    TimerId m_next = 1;
    bool m_paused = false;
    std::deque<std::function<void()>> m_backlog;
>>>>>>>> membership:test/support/ProcessRuntime.h
};

} // namespace lycheeledge::test
