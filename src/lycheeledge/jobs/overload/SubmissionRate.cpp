// Submission rate that each client account is entitled to.

#include "SubmissionRate.h"

#include <algorithm>
#include <utility>

namespace lycheeledge::jobs {

namespace {

    constexpr double maxRate = 1e9; // per second; keeps all products finite
    // Sums of many refills deviate from a whole token by rounding, which must not cost a submission its token.
    constexpr double wholeToken = 1 - 1e-6;

} // namespace

SubmissionRate::Bucket& SubmissionRate::refilled(const AccountId& account, double perSecond, TimePoint now)
{
    const double rate = perSecond > 0 ? std::min(perSecond, maxRate) : 0;
    Bucket& bucket = m_buckets[account];
    bucket.capacity = rate > 0 ? std::max(rate, 1.0) : 0;
    const auto refill = [&bucket, rate](TimePoint time) {
        if (!bucket.tokens) {
            bucket.tokens = bucket.capacity;
            bucket.refilledAt = time;
        }
        const TimePoint until = std::max(time, bucket.refilledAt);
        const double elapsed = std::chrono::duration<double>(until - bucket.refilledAt).count();
        bucket.tokens = std::min(bucket.capacity, *bucket.tokens + elapsed * rate);
        bucket.refilledAt = until;
    };
    auto recovered = std::exchange(bucket.recovered, {});
    std::sort(recovered.begin(), recovered.end());
    for (const TimePoint acceptedAt : recovered) {
        refill(std::min(acceptedAt, now));
        bucket.tokens = std::max(0.0, *bucket.tokens - 1);
    }
    refill(now);
    return bucket;
}

bool SubmissionRate::isExceeded(const AccountId& account, double perSecond, TimePoint now)
{
    return *refilled(account, perSecond, now).tokens < wholeToken;
}

bool SubmissionRate::take(const AccountId& account, double perSecond, TimePoint now)
{
    Bucket& bucket = refilled(account, perSecond, now);
    if (*bucket.tokens < wholeToken)
        return false;
    bucket.tokens = std::max(0.0, *bucket.tokens - 1);
    return true;
}

void SubmissionRate::putBack(const AccountId& account)
{
    const auto it = m_buckets.find(account);
    if (it != m_buckets.end() && it->second.tokens)
        it->second.tokens = std::min(it->second.capacity, *it->second.tokens + 1);
}

void SubmissionRate::recover(const AccountId& account, TimePoint acceptedAt)
{
    m_buckets[account].recovered.push_back(acceptedAt);
}

void SubmissionRate::retain(const absl::flat_hash_set<AccountId>& accounts)
{
    absl::erase_if(m_buckets, [&accounts](const auto& it) { return !accounts.contains(it.first); });
}

} // namespace lycheeledge::jobs
