// Retry backoff and retry budget.
#pragma once

#include "../state/Time.h"

#include <array>
#include <cstdint>

namespace lycheeledge {

/**
 * @brief Delay before attempt number `attempts + 1`: exponential backoff from 20 ms to 1 s with jitter.
 *
 * The jitter takes off up to half of the delay.
 */
Duration retryBackoff(std::uint32_t attempts, std::uint64_t random);

/**
 * @brief Limits the retries of a team to 10% of its starts in the last 10 s, but not below 10 retries.
 *
 * Prevents retries from amplifying the load while a dependency fails.
 */
class RetryBudget {
public:
    void countStart(TimePoint now);
    /** @brief Takes one retry from the budget. @return false if the budget is exhausted. */
    bool take(TimePoint now);

private:
    static constexpr std::size_t bucketCount = 10;
    struct Bucket {
        std::int64_t second = -1;
        std::uint64_t starts = 0;
        std::uint64_t retries = 0;
    };

    Bucket& bucket(TimePoint now);

    std::array<Bucket, bucketCount> m_buckets;
};

} // namespace lycheeledge
