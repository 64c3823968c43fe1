// Submission rate that each client account is entitled to. Submissions beyond it are accepted, and scheduled after all
// work within the rates.
#pragma once

#include "../JobSpec.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <optional>
#include <vector>

namespace lycheeledge::jobs {

/**
 * @brief Token bucket for each account, with a capacity of one second's worth of tokens and at least one. An account
 * of which nothing is known has a full bucket.
 *
 * All rates are in submissions per second. A rate that is not positive entitles to no submission; rates over 1e9 count
 * as 1e9. Times that step back count as the latest time known for the account, so that no time is refilled twice.
 */
class SubmissionRate {
public:
    /** @brief Whether a submission would find no token. Takes none. */
    bool isExceeded(const AccountId& account, double perSecond, TimePoint now);
    /** @brief Takes a token for a submission. @return false if it finds none and is therefore beyond the rate. */
    bool take(const AccountId& account, double perSecond, TimePoint now);
    /** @brief Returns the token of a submission that was dropped. */
    void putBack(const AccountId& account);
    /**
     * @brief Adds a submission within the rate that an earlier owner accepted, in any order. It takes effect at the
     * account's next call of isExceeded() or take(), with the rate given there.
     */
    void recover(const AccountId& account, TimePoint acceptedAt);
    /** @brief Forgets all other accounts. */
    void retain(const absl::flat_hash_set<AccountId>& accounts);
    void clear() { m_buckets.clear(); }

private:
    struct Bucket {
        std::optional<double> tokens; ///< empty before first use; between 0 and the capacity
        double capacity = 0; ///< at the last refill
        TimePoint refilledAt; ///< never goes back
        std::vector<TimePoint> recovered; ///< accept times that are not applied yet
    };

    /** @brief Brings the account's bucket up to date. */
    Bucket& refilled(const AccountId& account, double perSecond, TimePoint now);

    absl::flat_hash_map<AccountId, Bucket> m_buckets;
};

} // namespace lycheeledge::jobs
