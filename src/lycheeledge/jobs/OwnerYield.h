// Decides whether an owner hands its ownership to another member because its VM is too small or too slow.
//
// After the loss of many VMs, any VM may claim first, even a small one, and a VM may become slow later. An owner that
// cannot keep up lets the leases of workers expire, which ends the tasks running there.
#pragma once

#include "../state/Time.h"

namespace lycheeledge::jobs {

struct YieldSettings {
    Duration smallVmGracePeriod = std::chrono::milliseconds(600); ///< after a claim, for larger VMs to connect
    double largeVmRatio = 0.75; ///< a VM with at least this fraction of the largest processor share is large enough
    Duration slowVmGracePeriod = std::chrono::seconds(2); ///< after a claim, when recovery delays timers
    /// Timers of a busy owner are about 50 ms late; polls of workers time out after some hundred milliseconds.
    Duration maxTimerLag = std::chrono::milliseconds(250);
    Duration smallVmClaimPause = std::chrono::seconds(1); ///< before a small VM claims again
    Duration slowVmClaimPause = std::chrono::seconds(5); ///< before a slow VM claims again
};

struct YieldSituation {
    Duration ownershipAge {}; ///< time since the ownership was gained
    double cpuShare = 1; ///< of this VM, in cores
    double largestMemberCpuShare = 0; ///< largest share among the connected members, in cores; 0 if there are none
    Duration lag {}; ///< mean lateness of timers in the last second

    bool operator==(const YieldSituation&) const = default;
};

enum class YieldReason { None, SmallVm, SlowVm };

inline YieldReason shouldYield(const YieldSituation& situation, const YieldSettings& settings)
{
    if (situation.ownershipAge >= settings.smallVmGracePeriod
        && situation.cpuShare < settings.largeVmRatio * situation.largestMemberCpuShare)
        return YieldReason::SmallVm;
    const bool hasEqual = situation.largestMemberCpuShare >= settings.largeVmRatio * situation.cpuShare;
    if (situation.ownershipAge >= settings.slowVmGracePeriod && situation.lag >= settings.maxTimerLag && hasEqual)
        return YieldReason::SlowVm;
    return YieldReason::None;
}

} // namespace lycheeledge::jobs
