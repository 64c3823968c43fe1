// Waits until a configuration change is in force at all members that serve.
#pragma once

#include "../state/Time.h"
#include "Freshness.h"
#include "MembershipTimes.h"
#include "RosterView.h"

#include <functional>
#include <optional>
#include <vector>

namespace lycheeledge {

/** @brief Result of waiting for a change. */
struct InForceResult {
    bool inForce = false;
    std::vector<MemberId> waitingFor; ///< members that have not confirmed and may still serve; empty if in force

    bool operator==(const InForceResult&) const = default;
};

/**
 * @brief Waits until a change is in force.
 *
 * That is when a majority of the quorum has confirmed it, and the lease of every member of the roster that has not has
 * been gone for longer than the isolation time. The same time must also have passed since the majority was complete:
 * until then a member that has not confirmed may serve on messages that were sent before.
 */
class InForceWaits {
public:
    using Callback = std::function<void(const InForceResult&)>;

    InForceWaits(const RosterView& roster, const Freshness& freshness, const MembershipTimes& times);

    void add(Revision revision, TimePoint deadline, Callback done);
    /** @brief Answers the waits that are over. Called after each gossip and read, and periodically. */
    void check(TimePoint now);
    bool empty() const { return m_waits.empty(); }

private:
    struct Wait {
        Revision revision = 0;
        TimePoint deadline;
        Callback done;
        std::optional<TimePoint> majoritySince; ///< a majority of the quorum has confirmed since then
    };

    std::optional<InForceResult> evaluate(Wait& wait, TimePoint now) const;

    const RosterView& m_roster;
    const Freshness& m_freshness;
    const Duration m_isolation;
    std::vector<Wait> m_waits;
};

} // namespace lycheeledge
