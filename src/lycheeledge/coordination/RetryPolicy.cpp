// Retry backoff and retry budget.

#include "RetryPolicy.h"

#include <algorithm>

namespace lycheeledge {

Duration retryBackoff(std::uint32_t attempts, std::uint64_t random)
{
    constexpr Duration initialDelay = std::chrono::milliseconds(20);
    constexpr Duration maxDelay = std::chrono::seconds(1);
    const std::uint32_t doublings = std::min<std::uint32_t>(attempts > 0 ? attempts - 1 : 0, 6);
    const Duration fullDelay = std::min<Duration>(maxDelay, initialDelay * (1LL << doublings));
    return fullDelay - Duration(static_cast<Duration::rep>(random % static_cast<std::uint64_t>(fullDelay.count() / 2)));
}

RetryBudget::Bucket& RetryBudget::bucket(TimePoint now)
{
    const std::int64_t second = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    Bucket& bucket = m_buckets[static_cast<std::size_t>(second) % bucketCount];
    if (bucket.second != second)
        bucket = { second, 0, 0 };
    return bucket;
}

void RetryBudget::countStart(TimePoint now) { ++bucket(now).starts; }

bool RetryBudget::take(TimePoint now)
{
    Bucket& current = bucket(now);
    std::uint64_t starts = 0;
    std::uint64_t retries = 0;
    for (const Bucket& bucket : m_buckets) {
        if (current.second - bucket.second < static_cast<std::int64_t>(bucketCount)) {
            starts += bucket.starts;
            retries += bucket.retries;
        }
    }
    if (retries >= std::max<std::uint64_t>(10, starts / 10))
        return false;
    ++current.retries;
    return true;
}

} // namespace lycheeledge
