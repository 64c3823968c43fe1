// Decides how long a member waits before it claims an ownership that no member holds.
//
// The owner's lease can expire during a store outage while the owner is alive. Such an owner restores its record at its
// next renewal, so the other members wait for that. In a fleet of VMs of different sizes, small VMs also wait longer,
// because an owner on the smallest VM cannot keep up.
//
// Also decides when an owner asks for a handover: the store may turn away the owner's VM alone and serve the others,
// which then wait for a lease that nobody will renew.
#pragma once

#include "../state/Time.h"

namespace lycheeledge::jobs {

struct ClaimSettings {
    /// Covers two renewals by the owner, each with one call to the store.
    Duration reachableOwnerDelay = std::chrono::milliseconds(800);
    /// Covers a claim by a larger VM, which takes three calls to the store.
    Duration smallVmDelay = std::chrono::milliseconds(300);
    /// A VM whose processor share is at least this fraction of the largest one counts as large.
    double largeVmRatio = 0.75;
};

struct ClaimSituation {
    Duration timeWithoutOwner {}; ///< since the owner record is known to be absent
    bool ownerIsReachable = false; ///< whether messages from the last owner's process still arrive
    double cpuShare = 1; ///< of this VM, in cores
    double largestCpuShare = 0; ///< among the members; 0 if unknown

    bool operator==(const ClaimSituation&) const = default;
};

/** @return whether to claim now; if false, the caller checks again after a short delay. */
inline bool shouldClaim(const ClaimSituation& situation, const ClaimSettings& settings)
{
    const bool large = situation.cpuShare >= settings.largeVmRatio * situation.largestCpuShare;
    Duration delay {};
    if (situation.ownerIsReachable)
        delay += settings.reachableOwnerDelay;
    if (!large)
        delay += settings.smallVmDelay;
    return situation.timeWithoutOwner >= delay;
}

struct HandoverSettings {
    /// Unconfirmed time after which an owner asks if its calls fail at once; covers two renewals.
    Duration afterErrors = std::chrono::milliseconds(500);
    /// The same if its calls get no answer.
    Duration afterSilence = std::chrono::milliseconds(800);
    /// A renewal without an answer for this long counts as failed. A slow store answers within 240 ms.
    Duration renewalLimit = std::chrono::milliseconds(600);
    /// How long a member's own calls must have been answered before it ends the owner's lease. After an outage of the
    /// whole store, the owner's next renewal comes first.
    Duration memberCheckTime = std::chrono::milliseconds(300);
    Duration requestInterval = std::chrono::milliseconds(320);
    /// A request this old is void, because the owner would have repeated it.
    Duration requestValidity = std::chrono::milliseconds(500);
};

/** @brief How an owner's calls to the store went since the last one that was answered. */
struct StoreContact {
    Duration unconfirmed {}; ///< since the last call was sent that the store answered
    int failedRenewals = 0; ///< in a row
    Duration pendingRenewal {}; ///< since the renewal in progress was sent; zero if there is none

    bool operator==(const StoreContact&) const = default;
};

/** @return whether the owner asks its members to take over. */
inline bool shouldRequestHandover(const StoreContact& contact, const HandoverSettings& settings)
{
    if (contact.failedRenewals == 0 && contact.pendingRenewal < settings.renewalLimit)
        return false;
    return contact.unconfirmed >= (contact.failedRenewals > 1 ? settings.afterErrors : settings.afterSilence);
}

} // namespace lycheeledge::jobs
