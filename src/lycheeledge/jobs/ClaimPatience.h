// Decides how long a member waits before it claims an ownership that nobody holds.
//
// Answers leases that lapse with an outage of the store while their owner is alive, which takes the record back at its
// next renewal, and fleets of VMs of different sizes, on the smallest of which an owner falls behind.
#pragma once

#include "../state/Time.h"

namespace lycheeledge::jobs {

struct ClaimSettings {
    /// Two renewals of the owner, with a call to the store each.
    Duration livingOwner = std::chrono::milliseconds(800);
    /// Time for larger VMs to claim, with three calls to the store.
    Duration smallerVm = std::chrono::milliseconds(300);
    /// A VM with this part of the largest one's processors counts as large.
    double largePart = 0.75;
};

struct ClaimSituation {
    Duration unowned {}; ///< since the owner record is known to be absent
    bool ownerIsHeard = false; ///< the last owner's process sends messages
    double cpuShare = 1; ///< of this VM, in cores
    double largestCpuShare = 0; ///< among the members; 0 if unknown

    bool operator==(const ClaimSituation&) const = default;
};

/** @return whether to claim now; otherwise to ask again soon. */
inline bool shouldClaim(const ClaimSituation& situation, const ClaimSettings& settings)
{
    const bool large = situation.cpuShare >= settings.largePart * situation.largestCpuShare;
    Duration patience {};
    if (situation.ownerIsHeard)
        patience += settings.livingOwner;
    if (!large)
        patience += settings.smallerVm;
    return situation.unowned >= patience;
}

} // namespace lycheeledge::jobs
