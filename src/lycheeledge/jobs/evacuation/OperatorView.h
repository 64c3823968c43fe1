// Decides whether the operators' records are known recently enough to start tasks.
#pragma once

#include "../../state/Time.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace lycheeledge::jobs {

/**
 * @brief Age of the owner's view of the operators' records.
 *
 * A view is complete up to the time at which the call was sent that the store has answered. With a limit, the view gets
 * stale before a request that it lacks could be older than the limit, if the store is known to have worked meanwhile.
 */
class OperatorView {
public:
    /** @param limit time after a request's acknowledgement from which on it must be obeyed; empty: never stale. */
    explicit OperatorView(std::optional<Duration> limit = {})
        : m_limit(limit)
    {
    }

    /** @brief The view is complete up to this time. */
    void completeUpTo(TimePoint time) { m_completeUpTo = std::max(m_completeUpTo, time); }
    TimePoint completeUpTo() const { return m_completeUpTo; }
    void reset() { m_completeUpTo = {}; }

    /** @brief Whether tasks must not start. @param confirmedAt time up to which the store confirmed the ownership. */
    bool isStale(TimePoint now, TimePoint confirmedAt) const
    {
        // While the store answers, its confirmations are as recent as the view to within the wait of one watch. An
        // outage of the whole store ends both together, and no request is acknowledged during it.
        return m_limit && now - m_completeUpTo >= maxAge() && confirmedAt - m_completeUpTo >= maxAge() / 2;
    }
    /** @brief Longest wait of a watch, so that a few in a row fit into the allowed age of the view. */
    Duration watchWait(Duration wait) const { return m_limit ? std::min(wait, Duration(maxAge() / 4)) : wait; }

private:
    /// For start orders in flight, timers that fire late and a renewal of the ownership that is repeated.
    static constexpr Duration margin = std::chrono::milliseconds(1000);
    /// With a shorter one, the time between two answers of the watch would withhold starts on a store that is well.
    static constexpr Duration minAge = std::chrono::milliseconds(500);

    Duration maxAge() const { return std::max({ Duration(*m_limit - margin), Duration(*m_limit / 2), minAge }); }

    std::optional<Duration> m_limit;
    TimePoint m_completeUpTo;
};

} // namespace lycheeledge::jobs
