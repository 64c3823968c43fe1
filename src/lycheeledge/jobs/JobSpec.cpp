// What a client submits: jobs of ordered steps, each of one or more tasks.

#include "JobSpec.h"

#include <algorithm>

namespace lycheeledge::jobs {

bool isLongRunning(const JobSpec& spec)
{
    return std::any_of(spec.steps.begin(), spec.steps.end(), [](const StepSpec& step) { return step.longRunning; });
}

Duration estimatedChain(const JobSpec& spec)
{
    // Steps name only earlier steps, so one pass in order sees each dependency first.
    std::vector<Duration> ends;
    Duration longest {};
    for (const auto& step : spec.steps) {
        Duration begin {};
        for (const auto n : step.after)
            begin = std::max(begin, n < ends.size() ? ends[n] : Duration {});
        ends.push_back(begin + step.estimatedRunTime);
        longest = std::max(longest, ends.back());
    }
    return longest;
}

} // namespace lycheeledge::jobs
