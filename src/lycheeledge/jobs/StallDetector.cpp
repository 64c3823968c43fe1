// Decides when a running task makes so little progress that it should restart on another worker.

#include "StallDetector.h"

#include <algorithm>
#include <chrono>

namespace lycheeledge::jobs {

namespace {

    using Milliseconds = std::chrono::duration<double, std::milli>;

    constexpr double fullPercent = 100;
    // A shorter window is inaccurate: progress is reported in whole percent, and reports follow each other quickly when
    // tasks of a worker end.
    constexpr double minWindowMs = 500;
    // A task is stalled if it makes no progress for both this time and this fraction of its declared run time. At less
    // than one percent in that window, it would take over a minute, or ten times as long as declared.
    constexpr double minStallMs = 700;
    constexpr double stallFraction = 0.1;
    // Time to stop the run (at most 200 ms), receive the report, request admission and start a new run.
    constexpr double restartOverheadMs = 450;
    // Time to restore a checkpoint (bound set by the platform).
    constexpr double checkpointRestoreMs = 250;
    // A run is abandoned only if a new one would end in less than half of its remaining time.
    constexpr double minSpeedup = 2;

} // namespace

ProgressVerdict judgeProgress(const ProgressSample& before, const ProgressSample& now, const TaskLength& length)
{
    const auto windowMs = static_cast<double>(now.clockMs - before.clockMs);
    if (now.percent <= before.percent) {
        const double stallTimeoutMs = std::max(minStallMs, stallFraction * Milliseconds(length.declared).count());
        if (windowMs < stallTimeoutMs)
            return ProgressVerdict::Unknown;
        return now.percent < fullPercent ? ProgressVerdict::Stalled : ProgressVerdict::Healthy;
    }
    if (windowMs < minWindowMs)
        return ProgressVerdict::Unknown;
    if (!length.measured)
        return ProgressVerdict::Healthy;
    const double measuredMs = Milliseconds(*length.measured).count();
    const double remaining = fullPercent - now.percent;
    const double remainingMs = remaining * windowMs / (now.percent - before.percent);
    const double rerunMs = restartOverheadMs
        + (length.checkpoints ? checkpointRestoreMs + measuredMs * remaining / fullPercent : measuredMs);
    return remainingMs > minSpeedup * rerunMs ? ProgressVerdict::Slow : ProgressVerdict::Healthy;
}

} // namespace lycheeledge::jobs
