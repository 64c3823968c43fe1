// Order in which waiting steps get room.
//
// Answers a full fleet: urgent queues go before others; within a priority, client accounts that have less than their
// share go first, then what has the least time left to its objective. Work that can no longer earn anything for its
// caller waits behind work that can.
#pragma once

#include "JobSpec.h"

#include <compare>

namespace lycheeledge::jobs {

/** @brief What decides the place of a step. */
struct StepUrgency {
    std::uint32_t priority = 0; ///< of its queue; 0 goes first
    double shareOfAccount = 0; ///< dominant share of what the account has running, divided by its weight
    TimePoint objective; ///< when its job should be done
    TimePoint worthlessAt; ///< when a result is of no more use to the caller
    Duration remaining {}; ///< estimated run time of what is left
    std::uint64_t age = 0; ///< lower is older

    bool operator==(const StepUrgency&) const = default;
};

/** @brief Compares two steps at a time. */
class StepOrder {
public:
    virtual ~StepOrder() = default;
    /** @brief Whether `a` gets room before `b`. */
    virtual bool before(const StepUrgency& a, const StepUrgency& b, TimePoint now) const = 0;
};

class ObjectiveOrder final : public StepOrder {
public:
    /** @param fairShare share over which an account waits for the others. */
    explicit ObjectiveOrder(double fairShare)
        : m_fairShare(fairShare)
    {
    }
    bool before(const StepUrgency& a, const StepUrgency& b, TimePoint now) const override;

private:
    double m_fairShare;
};

} // namespace lycheeledge::jobs
