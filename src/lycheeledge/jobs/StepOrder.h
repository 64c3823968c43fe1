// Scheduling order of waiting steps on a full fleet.
//
// Steps of submissions beyond the rate of their account (SubmissionRate) come after all others, whatever their queue.
// Queues are ordered by priority, urgent queues first. Within a priority, steps whose result can no longer be of use to
// the caller come last. The next criteria are: client accounts below their share before others, then steps that can
// still meet their objective before late ones. Steps in time are ordered by objective, late ones by the least remaining
// work. Steps whose result is of no use any more are ordered by age, because the least remaining work first would
// starve long ones for as long as shorter ones keep expiring.
#pragma once

#include "JobSpec.h"

#include <compare>

namespace lycheeledge::jobs {

/// By the users' statement, a result has some value up to this multiple of the objective.
inline constexpr int resultExpiryFactor = 3;

/** @brief Properties that determine the position of a step in the scheduling order. */
struct StepUrgency {
    bool beyondRate = false; ///< submitted beyond the rate of its account; never set for long-running tasks
    std::uint32_t priority = 0; ///< of its queue; 0 comes first
    double accountShare = 0; ///< dominant share of the account's running tasks, divided by its weight
    TimePoint objective; ///< time by which its job should be done
    TimePoint resultExpiry; ///< time from which a result is useless to the caller
    Duration remaining {}; ///< estimated run time of the remaining steps
    std::uint64_t releaseOrder = 0; ///< lower values were released earlier

    bool operator==(const StepUrgency&) const = default;
};

/** @brief Ordering of steps at a given time. */
class StepOrder {
public:
    virtual ~StepOrder() = default;
    /** @brief Whether `a` is scheduled before `b`. */
    virtual bool before(const StepUrgency& a, const StepUrgency& b, TimePoint now) const = 0;
};

/** @brief Orders steps by submission rate, priority, usefulness of the result, fair share and objective. */
class ObjectiveOrder final : public StepOrder {
public:
    /** @param fairShare accounts whose share exceeds this value come after the others. */
    explicit ObjectiveOrder(double fairShare)
        : m_fairShare(fairShare)
    {
    }
    bool before(const StepUrgency& a, const StepUrgency& b, TimePoint now) const override;

private:
    double m_fairShare;
};

} // namespace lycheeledge::jobs
