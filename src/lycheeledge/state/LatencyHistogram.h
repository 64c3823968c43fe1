// Histogram of latencies.
#pragma once

#include "Time.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace lycheeledge {

/** @brief Histogram of latencies since the start of the process, with fixed buckets. */
struct LatencyHistogram {
    /// Upper bounds of the buckets in seconds, for durations from store calls (13 ms) to runs of long batch jobs.
    static constexpr std::array<double, 12> bounds { 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30 };

    std::array<std::uint64_t, bounds.size() + 1> counts {}; ///< per bucket; the last one is above all bounds
    double sum = 0; ///< in seconds

    bool operator==(const LatencyHistogram&) const = default;

    void observe(Duration latency)
    {
        const double seconds = std::chrono::duration<double>(latency).count();
        const auto bucket = std::lower_bound(bounds.begin(), bounds.end(), seconds) - bounds.begin();
        ++counts[static_cast<std::size_t>(bucket)];
        sum += seconds;
    }

    LatencyHistogram& operator+=(const LatencyHistogram& other)
    {
        for (std::size_t i = 0; i < counts.size(); ++i)
            counts[i] += other.counts[i];
        sum += other.sum;
        return *this;
    }
};

} // namespace lycheeledge
