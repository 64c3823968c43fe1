// Time types. All decisions use the monotonic clock of the runtime.
#pragma once

#include <chrono>

namespace lycheeledge {

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

} // namespace lycheeledge
