// Order in which waiting steps get room.

#include "StepOrder.h"

#include <tuple>

namespace lycheeledge::jobs {

bool ObjectiveOrder::before(const StepUrgency& a, const StepUrgency& b, TimePoint now) const
{
    const auto rank = [this, now](const StepUrgency& it) {
        const bool worthless = now + it.remaining > it.worthlessAt;
        const bool late = now + it.remaining > it.objective;
        const bool overShare = it.shareOfAccount > m_fairShare;
        return std::tuple(
            it.priority, worthless, overShare, late, late ? TimePoint() + it.remaining : it.objective, it.age);
    };
    return rank(a) < rank(b);
}

} // namespace lycheeledge::jobs
