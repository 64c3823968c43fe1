// Intervals and time limits of membership.
#pragma once

#include "../state/Time.h"

namespace lycheeledge {

/** @brief Intervals and time limits of membership. */
struct MembershipTimes {
    Duration gossipInterval = std::chrono::milliseconds(200);
    Duration readInterval = std::chrono::seconds(1);
    Duration leaseTimeToLive = std::chrono::seconds(6);
    Duration renewInterval = std::chrono::seconds(2);
    Duration isolation = std::chrono::seconds(3); ///< maximum age of a configuration that a process may serve with
    Duration silenceTimeout = std::chrono::milliseconds(1500); ///< without gossip for this long, a member is silent
    Duration rosterRemovalDelay = std::chrono::seconds(60); ///< without a lease for this long, a record is removed
    /** @brief Time until a quorum without a majority of leases is replaced; rosterRemovalDelay if no lease is left. */
    Duration abandonQuorumAfter = std::chrono::minutes(5);
    Duration inForceTimeout = std::chrono::seconds(10); ///< limit of the wait until a change is in force at all members

    bool operator==(const MembershipTimes&) const = default;
    /** @brief Isolation time plus 1%, so that it has also passed on a process whose clock is up to 1% slower. */
    Duration isolationWithDrift() const { return isolation + isolation / 100; }
};

} // namespace lycheeledge
