// Refusal of requests that would wait too long.
#pragma once

#include "../state/Time.h"

#include <array>
#include <cstdint>
#include <optional>

namespace lycheeledge {

/** @brief Rate at which requests leave a queue, measured only while some are queued. */
class QueueRate {
public:
    /** @brief The queue has become non-empty. */
    void begin(TimePoint now);
    /** @brief The queue has become empty. */
    void reset() { m_busySince.reset(); }
    void countStart(TimePoint now);
    /** @brief Time that a request behind `queued` others will wait; none while too little was measured. */
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

/** @brief Tells a standing queue from a short burst: the delay must stay above 100 ms for 500 ms. */
class OverloadControl {
public:
    static constexpr Duration target = std::chrono::milliseconds(100);
    static constexpr Duration patience = std::chrono::milliseconds(500);

    /** @brief Notes the longest time that a request has been queued. @return whether requests must be refused. */
    bool update(TimePoint now, Duration queueDelay);

private:
    std::optional<TimePoint> m_aboveSince;
};

} // namespace lycheeledge
