// Decides whether an owner gives its ownership to another member, because its VM is too small or too slow.
//
// Answers takeovers after the loss of many VMs, in which any VM may claim first, and VMs that turn slow: an owner that
// cannot keep up lets leases of workers lapse, and with them the tasks.
#pragma once

#include "../state/Time.h"

namespace lycheeledge::jobs {

struct YieldSettings {
    Duration smallAfter = std::chrono::milliseconds(600); ///< time for larger VMs to connect, after a claim
    double largePart = 0.75; ///< a VM with this part of the largest one's processors is large enough
    Duration slowAfter = std::chrono::seconds(2); ///< recovery after a claim is a busy time
    /// Timers of a busy owner are some 50 ms late; looks at workers time out after some hundred.
    Duration lagLimit = std::chrono::milliseconds(250);
    Duration smallPause = std::chrono::seconds(1); ///< before a small VM claims again
    Duration slowPause = std::chrono::seconds(5); ///< before a slow VM claims again
};

struct YieldSituation {
    Duration owning {}; ///< since ownership was gained
    double cpuShare = 1; ///< of this VM, in cores
    double largestMember = 0; ///< largest share among the connected members, in cores; 0 if there are none
    Duration lag {}; ///< mean lateness of timers in the last second

    bool operator==(const YieldSituation&) const = default;
};

enum class YieldReason { None, SmallVm, SlowVm };

inline YieldReason shouldYield(const YieldSituation& situation, const YieldSettings& settings)
{
    if (situation.owning >= settings.smallAfter && situation.cpuShare < settings.largePart * situation.largestMember)
        return YieldReason::SmallVm;
    const bool hasEqual = situation.largestMember >= settings.largePart * situation.cpuShare;
    if (situation.owning >= settings.slowAfter && situation.lag >= settings.lagLimit && hasEqual)
        return YieldReason::SlowVm;
    return YieldReason::None;
}

} // namespace lycheeledge::jobs
