// Job submissions: a job consists of ordered steps of one or more tasks each.

#include "JobSpec.h"

#include <algorithm>

namespace lycheeledge::jobs {

Resources reservationOf(const StepSpec& step)
{
    Resources result = step.request;
    if (step.usesIdleCpu)
        result.milliCpu = 0;
    return result;
}

bool isLongRunning(const JobSpec& spec)
{
    return std::any_of(spec.steps.begin(), spec.steps.end(), [](const StepSpec& step) { return step.longRunning; });
}

Duration estimatedCriticalPath(const JobSpec& spec)
{
    // Steps depend only on earlier steps, so one pass in order visits each dependency first.
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
