// Intervals and time limits of the membership.
#pragma once

#include "../state/Time.h"

namespace lycheeledge {

/** @brief Intervals and time limits of the membership. */
struct MembershipTimes {
    Duration gossipInterval = std::chrono::milliseconds(200);
    Duration readInterval = std::chrono::seconds(1);
    Duration leaseTimeToLive = std::chrono::seconds(6);
    Duration renewInterval = std::chrono::seconds(2);
    Duration isolation = std::chrono::seconds(3); ///< longest age of the configuration that a process serves with
    Duration silence = std::chrono::milliseconds(1500); ///< without gossip, a member is reported as not heard
    Duration staleAfter = std::chrono::seconds(60); ///< a roster record goes when its lease has been gone this long
    Duration abandonAfter = std::chrono::minutes(5); ///< the same for a quorum that lost its majority but not all
    Duration inForceTimeout = std::chrono::seconds(10); ///< longest wait for a change to be in force everywhere

    bool operator==(const MembershipTimes&) const = default;
    /** @brief Time after which another process whose clock is up to 1% slower has passed its isolation time. */
    Duration isolationWithDrift() const { return isolation + isolation / 100; }
};

} // namespace lycheeledge
