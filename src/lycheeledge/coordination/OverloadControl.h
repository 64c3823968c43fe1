// Admission control and load shedding for requests.
#pragma once

#include "../state/Time.h"

#include <array>
#include <cstdint>
#include <optional>

namespace lycheeledge {

/** @brief Estimates queueing delay from the rate at which requests are started, measured only while some are queued. */
class QueueRate {
public:
    /** @brief Starts measuring; called when the queue becomes non-empty. */
    void begin(TimePoint now);
    /** @brief Stops measuring; called when the queue becomes empty. */
    void reset() { m_busySince.reset(); }
    void countStart(TimePoint now);
    /** @brief Expected wait of a request behind `queued` others; nullopt while there are too few measurements. */
    std::optional<Duration> expectedDelay(TimePoint now, std::uint64_t queued) const;

private:
    static constexpr std::size_t bucketCount = 20;
    struct Bucket {
        std::int64_t number = -1;
        std::uint64_t starts = 0;
    };

    std::optional<TimePoint> m_busySince;
    std::array<Bucket, bucketCount> m_buckets;
};

/** @brief Distinguishes a standing queue from a short burst: the delay must stay above 100 ms for 500 ms. */
class OverloadControl {
public:
    static constexpr Duration targetDelay = std::chrono::milliseconds(100);
    static constexpr Duration overloadPeriod = std::chrono::milliseconds(500);

    /** @param queueDelay longest time that a queued request has waited. @return whether requests must be shed. */
    bool update(TimePoint now, Duration queueDelay);

private:
    std::optional<TimePoint> m_aboveSince;
};

} // namespace lycheeledge
