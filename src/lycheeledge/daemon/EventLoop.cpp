// Event loop of the coordination thread.

#include "EventLoop.h"

#include <algorithm>
#include <ctime>
#include <thread>
#include <vector>

namespace lycheeledge {

namespace {

    // Longest wait while no timer is due; bounds how long run() continues after stop().
    constexpr auto maxWait = std::chrono::milliseconds(100);

} // namespace

EventLoop::EventLoop(std::uint64_t seed, std::size_t ringCapacity)
    : m_ring(ringCapacity)
    , m_random(seed)
{
}

// CLOCK_BOOTTIME includes the time for which the VM was suspended, during which leases continue to expire.
TimePoint EventLoop::now() const
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

Runtime::TimerId EventLoop::after(Duration delay, std::function<void()> task)
{
    const TimerId timer = m_nextTimer++;
    const TimePoint deadline = now() + delay;
    m_timers.emplace(std::make_pair(deadline, timer), std::move(task));
    m_deadlines.emplace(timer, deadline);
    return timer;
}

void EventLoop::cancel(TimerId timer)
{
    const auto it = m_deadlines.find(timer);
    if (it == m_deadlines.end())
        return;
    m_timers.erase({ it->second, timer });
    m_deadlines.erase(it);
}

void EventLoop::post(std::function<void()> task) { m_posted.push_back(std::move(task)); }

std::uint64_t EventLoop::random() { return m_random(); }

bool EventLoop::tryPost(std::function<void()> task) { return m_ring.tryPush(std::move(task)); }

void EventLoop::postCompletion(std::function<void()> task)
{
    while (!m_stopped && !m_ring.tryPush(task))
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

void EventLoop::run()
{
    while (!m_stopped) {
        fireTimers();
        runPosted();
        TimePoint wakeUp = now() + maxWait;
        if (!m_timers.empty())
            wakeUp = std::min(wakeUp, m_timers.begin()->first.first);
        if (!m_posted.empty())
            wakeUp = now();
        if (auto task = m_ring.popUntil(std::chrono::steady_clock::now() + (wakeUp - now())))
            (*task)();
    }
    m_ring.close();
}

void EventLoop::stop() { m_stopped = true; }

void EventLoop::fireTimers()
{
    const TimePoint current = now();
    while (!m_timers.empty() && m_timers.begin()->first.first <= current) {
        auto node = m_timers.extract(m_timers.begin());
        m_deadlines.erase(node.key().second);
        node.mapped()();
    }
}

void EventLoop::runPosted()
{
    std::vector<std::function<void()>> posted;
    posted.swap(m_posted);
    for (auto& task : posted)
        task();
}

} // namespace lycheeledge
