// Clock, timers and random numbers of the coordination thread.
#pragma once

#include "../state/Time.h"

#include <cstdint>
#include <functional>

namespace lycheeledge {

/**
 * @brief The only source of nondeterminism for the coordination layer, which makes it simulatable in tests.
 *
 * All coordination objects of a process run on one thread. Callbacks of every interface to the outside are invoked on
 * that thread, and never from within the call that registered them.
 */
class Runtime {
public:
    using TimerId = std::uint64_t;

    virtual ~Runtime() = default;

    /** @brief Monotonic time. Tests control it. */
    virtual TimePoint now() const = 0;
    /** @brief Calls `task` once after `delay`. @return handle for cancel(). */
    virtual TimerId after(Duration delay, std::function<void()> task) = 0;
    /** @brief Cancels a timer. Has no effect if it has fired. */
    virtual void cancel(TimerId timer) = 0;
    /** @brief Queues `task` for execution on the coordination thread. */
    virtual void post(std::function<void()> task) = 0;
    /** @brief Uniformly distributed random number. */
    virtual std::uint64_t random() = 0;
};

} // namespace lycheeledge
