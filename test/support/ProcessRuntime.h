// Runtime of one simulated process, which a test can pause or kill.
#pragma once

#include "ManualRuntime.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace lycheeledge::test {

/**
 * @brief Runtime of one process. While paused, due timers and deliveries are queued; resume() runs them in order.
 *
 * The clock continues during a pause, as it does for a stopped operating system process.
 */
class ProcessRuntime final : public Runtime {
public:
    explicit ProcessRuntime(ManualRuntime& base)
        : m_base(base)
    {
    }
    ~ProcessRuntime() override { *m_alive = false; }

    TimePoint now() const override { return m_base.now(); }

    TimerId after(Duration delay, std::function<void()> task) override
    {
        const TimerId timer = m_nextTimer++;
        m_timers.emplace(timer, std::move(task));
        m_base.after(delay, [this, alive = m_alive, timer] {
            if (*alive)
                deliver([this, timer] { fire(timer); });
        });
        return timer;
    }

    void cancel(TimerId timer) override { m_timers.erase(timer); }

    void post(std::function<void()> task) override
    {
        m_base.post([this, alive = m_alive, task = std::move(task)] {
            if (*alive)
                deliver(task);
        });
    }

    std::uint64_t random() override { return m_base.random(); }

    /** @brief Runs `task` now, or on resume(). */
    void deliver(std::function<void()> task)
    {
        if (m_killed)
            return;
        if (m_paused)
            m_backlog.push_back(std::move(task));
        else
            run(task);
    }

    void pause() { m_paused = true; }
    bool isPaused() const { return m_paused; }

    /** @brief Ends the process: discards its timers and queued tasks, and runs none from now on. */
    void kill()
    {
        m_killed = true;
        m_backlog.clear();
        m_timers.clear();
    }

    void resume()
    {
        m_paused = false;
        for (auto backlog = std::exchange(m_backlog, {}); !backlog.empty(); backlog.pop_front())
            run(backlog.front());
    }

    /** @brief Called after each task, to check invariants. */
    std::function<void()> afterTask;

    /** @brief Becomes false when this object is destroyed; may outlive it. */
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
    TimerId m_nextTimer = 1;
    bool m_paused = false;
    bool m_killed = false;
    std::deque<std::function<void()>> m_backlog;
};

} // namespace lycheeledge::test
