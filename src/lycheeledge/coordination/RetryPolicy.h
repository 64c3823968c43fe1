// When failed work is tried again.
#pragma once

#include "../state/Time.h"

#include <array>
#include <cstdint>

namespace lycheeledge {

/** @brief Delay before try number `attempts + 1`: doubles from 20 ms to 1 s, of which a random half is taken off. */
Duration retryBackoff(std::uint32_t attempts, std::uint64_t random);

/**
 * @brief Bounds the retries of a team to 10% of its starts in the last 10 s, and at least 10.
 *
 * Keeps a failing dependency from multiplying the load.
 */
class RetryBudget {
public:
    void countStart(TimePoint now);
    /** @brief Takes one retry from the budget. @return false if it is used up. */
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
