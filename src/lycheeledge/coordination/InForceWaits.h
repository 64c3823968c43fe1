// Waits until a configuration change is in force at all serving members.
#pragma once

#include "../state/Time.h"
#include "Freshness.h"
#include "MembershipTimes.h"
#include "RosterView.h"

#include <functional>
#include <optional>
#include <vector>

namespace lycheeledge {

/** @brief Result of waiting for a change to be in force. */
struct InForceResult {
    bool inForce = false;
    std::vector<MemberId> waitingFor; ///< members that have not applied it and may still serve; empty if in force

    bool operator==(const InForceResult&) const = default;
};

/**
 * @brief Pending waits for configuration changes to be in force.
 *
 * A change is in force when a majority of the quorum has applied it and every other member of the roster either has
 * applied it or can no longer serve. The latter holds once the member's lease has been missing, and the majority has
 * been complete, for longer than the isolation time: until then the member may still serve on the strength of messages
 * that were sent before.
 */
class InForceWaits {
public:
    using Callback = std::function<void(const InForceResult&)>;

    InForceWaits(const RosterView& roster, const Freshness& freshness, const MembershipTimes& times);

    void add(Revision revision, TimePoint deadline, Callback done);
    /** @brief Completes waits whose change is in force or whose deadline has passed. Called after gossip and reads. */
    void check(TimePoint now);
    bool empty() const { return m_waits.empty(); }

private:
    struct Wait {
        Revision revision = 0;
        TimePoint deadline;
        Callback done;
        std::optional<TimePoint> majoritySince; ///< since when a majority of the quorum has applied the change
    };

    std::optional<InForceResult> evaluate(Wait& wait, TimePoint now) const;

    const RosterView& m_roster;
    const Freshness& m_freshness;
    const Duration m_isolation;
    std::vector<Wait> m_waits;
};

} // namespace lycheeledge
