// Event loop of the coordination thread.
#pragma once

#include "../coordination/Runtime.h"
#include "../transport/BoundedRing.h"

#include <absl/container/flat_hash_map.h>

#include <atomic>
#include <functional>
#include <map>
#include <random>
#include <utility>

namespace lycheeledge {

/** @brief Runtime on the thread that calls run(). Other threads post tasks with tryPost() and postCompletion(). */
class EventLoop final : public Runtime {
public:
    /** @param seed seeds random(). @param ringCapacity largest number of queued tasks from other threads. */
    explicit EventLoop(std::uint64_t seed, std::size_t ringCapacity = 65536);

    TimePoint now() const override;
    TimerId after(Duration delay, std::function<void()> task) override;
    void cancel(TimerId timer) override;
    void post(std::function<void()> task) override;
    std::uint64_t random() override;

    /** @brief Queues a task from another thread. @return false if the ring is full; the task is then dropped. */
    bool tryPost(std::function<void()> task);
    /** @brief Queues a completion from another thread; blocks while the ring is full. */
    void postCompletion(std::function<void()> task);
    /** @brief Runs tasks and timers until stop() is called. */
    void run();
    /** @brief Ends run(). May be called from any thread. */
    void stop();

private:
    void fireTimers();
    void runPosted();

    BoundedRing<std::function<void()>> m_ring;
    std::atomic<bool> m_stopped { false };
    // Accessed only on the loop's thread. m_deadlines maps each timer in m_timers to its deadline.
    std::vector<std::function<void()>> m_posted;
    std::map<std::pair<TimePoint, TimerId>, std::function<void()>> m_timers;
    absl::flat_hash_map<TimerId, TimePoint> m_deadlines;
    TimerId m_nextTimer = 1;
    std::mt19937_64 m_random;
};

} // namespace lycheeledge
