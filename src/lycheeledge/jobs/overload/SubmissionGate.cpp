// Decides whether a submission is accepted, or refused because it cannot be served in time.

#include "SubmissionGate.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>

namespace lycheeledge::jobs {

namespace {

    // A prediction error up to this factor refuses nothing that could be served in time.
    constexpr double predictionMargin = 1.2;
    constexpr double minRetryAfterS = 1;
    constexpr double maxRetryAfterS = 30;

} // namespace

GateDecision SubmissionGate::decide(const PoolLoad& load, const SubmittedWork& job, TimePoint now, std::uint64_t random)
{
    GateDecision result;
    if (!load.hasReports || load.waiting.empty())
        return result;
    result.predicted = ServicePrediction(load, now).of(job);
    const Duration useful = job.waiting.resultExpiry - now;
    const std::chrono::duration<double> limit = predictionMargin * std::chrono::duration<double>(useful);
    if (result.predicted.end > limit)
        result.refusal = { .predicted = result.predicted.end,
            .useful = useful,
            .retryAfterS = retryAfter(result.predicted.end - useful, random) };
    return result;
}

std::uint32_t SubmissionGate::retryAfter(Duration delay, std::uint64_t random)
{
    const double part = static_cast<double>(random) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    const double seconds = std::chrono::duration<double>(delay).count() * (1 + part / 2);
    return static_cast<std::uint32_t>(std::clamp(std::ceil(seconds), minRetryAfterS, maxRetryAfterS));
}

} // namespace lycheeledge::jobs
