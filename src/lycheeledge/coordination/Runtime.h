// Clock, timers and randomness of the coordination thread.
#pragma once

#include "../state/Time.h"

#include <cstdint>
#include <functional>

namespace lycheeledge {

/**
 * @brief Everything nondeterministic that the coordination layer may use.
 *
 * All coordination objects of a process run on one thread. Callbacks of every port are invoked on that thread,
 * never from within the call that registered them.
 */
class Runtime {
public:
    using TimerId = std::uint64_t;

    virtual ~Runtime() = default;

    /** @brief Monotonic time. Tests pause and advance it. */
    virtual TimePoint now() const = 0;
    /** @brief Calls `task` once after `delay`. @return handle for cancel(). */
    virtual TimerId after(Duration delay, std::function<void()> task) = 0;
    /** @brief Cancels a timer; does nothing if it has fired. */
    virtual void cancel(TimerId timer) = 0;
    /** @brief Calls `task` soon, on the coordination thread. */
    virtual void post(std::function<void()> task) = 0;
    /** @brief Uniformly distributed random number. */
    virtual std::uint64_t random() = 0;
};

} // namespace lycheeledge
