// Scheduling order of waiting steps on a full fleet.

#include "StepOrder.h"

#include <tuple>

namespace lycheeledge::jobs {

bool ObjectiveOrder::before(const StepUrgency& a, const StepUrgency& b, TimePoint now) const
{
    const auto sortKey = [this, now](const StepUrgency& it) {
        const bool expired = now + it.remaining > it.resultExpiry;
        const bool late = now + it.remaining > it.objective;
        const bool overShare = it.accountShare > m_fairShare;
        TimePoint position = it.objective;
        if (expired)
            position = {};
        else if (late)
            position = TimePoint() + it.remaining;
        return std::tuple(it.beyondRate, it.priority, expired, overShare, late, position, it.releaseOrder);
    };
    return sortKey(a) < sortKey(b);
}

} // namespace lycheeledge::jobs
