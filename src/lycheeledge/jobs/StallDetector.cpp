// Decides when a running task should start again on another worker, because it makes too little progress.

#include "StallDetector.h"

#include <algorithm>
#include <chrono>

namespace lycheeledge::jobs {

namespace {

    using Milliseconds = std::chrono::duration<double, std::milli>;

    constexpr double whole = 100; // percent
    // Progress comes in whole percent, and reports of a worker's ends come in quick succession.
    constexpr double shortestWindowMs = 500;
    // A task without progress in this time and this part of its declared run time would take over a minute, or ten
    // times as long as declared.
    constexpr double stallMs = 700;
    constexpr double stallPart = 0.1;
    // Stop (200 ms at most), its report, admission and start of another run.
    constexpr double restartMs = 450;
    // Until a checkpoint is restored (platform's bound).
    constexpr double restoreMs = 250;
    // The run is given up only if another one would end in less than half of its time.
    constexpr double benefit = 2;

} // namespace

ProgressVerdict judgeProgress(const ProgressSample& before, const ProgressSample& now, const TaskLength& length)
{
    const auto windowMs = static_cast<double>(now.clockMs - before.clockMs);
    if (now.percent <= before.percent) {
        const double patienceMs = std::max(stallMs, stallPart * Milliseconds(length.declared).count());
        if (windowMs < patienceMs)
            return ProgressVerdict::Unknown;
        return now.percent < whole ? ProgressVerdict::Stalled : ProgressVerdict::Sound;
    }
    if (windowMs < shortestWindowMs)
        return ProgressVerdict::Unknown;
    if (!length.measured)
        return ProgressVerdict::Sound;
    const double usualMs = Milliseconds(*length.measured).count();
    const double left = whole - now.percent;
    const double leftMs = left * windowMs / (now.percent - before.percent);
    const double againMs = restartMs + (length.checkpoints ? restoreMs + usualMs * left / whole : usualMs);
    return leftMs > benefit * againMs ? ProgressVerdict::Slow : ProgressVerdict::Sound;
}

} // namespace lycheeledge::jobs
