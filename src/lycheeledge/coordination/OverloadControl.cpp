// Admission control and load shedding for requests.

#include "OverloadControl.h"

#include <algorithm>

namespace lycheeledge {

namespace {

    constexpr Duration bucketLength = std::chrono::milliseconds(100);
    /// Minimum number of starts for a usable estimate.
    constexpr std::uint64_t minStarts = 10;

    std::int64_t bucketNumber(TimePoint time) { return time.time_since_epoch() / bucketLength; }

} // namespace

void QueueRate::begin(TimePoint now)
{
    if (m_busySince)
        return;
    m_busySince = now;
    m_buckets = {};
}

void QueueRate::countStart(TimePoint now)
{
    if (!m_busySince)
        return;
    const std::int64_t number = bucketNumber(now);
    Bucket& bucket = m_buckets[static_cast<std::size_t>(number) % bucketCount];
    if (bucket.number != number)
        bucket = { number, 0 };
    ++bucket.starts;
}

std::optional<Duration> QueueRate::expectedDelay(TimePoint now, std::uint64_t queued) const
{
    if (!m_busySince || now - *m_busySince < bucketLength)
        return std::nullopt;
    const std::int64_t newest = bucketNumber(now);
    std::uint64_t starts = 0;
    for (const Bucket& bucket : m_buckets) {
        if (newest - bucket.number < static_cast<std::int64_t>(bucketCount))
            starts += bucket.starts;
    }
    const Duration interval
        = std::min<Duration>(now - *m_busySince, bucketLength * static_cast<std::int64_t>(bucketCount));
    if (starts < minStarts)
        return std::nullopt;
    const double delayPerRequest = static_cast<double>(interval.count()) / static_cast<double>(starts);
    return Duration(static_cast<Duration::rep>(delayPerRequest * static_cast<double>(queued)));
}

bool OverloadControl::update(TimePoint now, Duration queueDelay)
{
    if (queueDelay <= targetDelay) {
        m_aboveSince.reset();
        return false;
    }
    if (!m_aboveSince)
        m_aboveSince = now;
    return now - *m_aboveSince >= overloadPeriod;
}

} // namespace lycheeledge
