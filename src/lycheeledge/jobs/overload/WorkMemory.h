// Bound of the memory that accepted jobs take, and its division among the client accounts.
#pragma once

#include "../ClusterConfiguration.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>

namespace lycheeledge::jobs {

/**
 * @brief Memory of the accepted jobs, in bytes, by account.
 *
 * Half of the limit is divided among the configured accounts by weight: what an account takes within its part is always
 * accepted. The other half is for whoever comes first. So no account can use up what the others are owed, and all
 * together stay within the limit.
 */
class WorkMemory {
public:
    /** @param limit in bytes; 0: no limit. */
    explicit WorkMemory(std::size_t limit = 0)
        : m_limit(limit)
    {
    }

    /** @brief An account whose jobs took `before` bytes more takes `after` bytes instead. */
    void replace(const AccountId& account, std::size_t before, std::size_t after);
    void clear();
    /**
     * @brief Whether an account may take this much more. Work that earlier owners accepted may exceed the limit. Then
     * accounts within their part are accepted up to one and a half times the limit.
     */
    bool admits(const AccountId& account, std::size_t bytes, const ClusterConfiguration& configuration) const;
    /** @brief Whether work that could wait may take this much more, so that half of the limit is left for submissions.
     */
    bool hasSpare(std::size_t bytes) const { return m_limit == 0 || m_used + bytes <= m_limit / 2; }
    std::size_t used() const { return m_used; }
    std::size_t limit() const { return m_limit; }

private:
    std::size_t usedBy(const AccountId& account) const;

    std::size_t m_limit;
    std::size_t m_used = 0; ///< sum of `m_accounts`
    absl::flat_hash_map<AccountId, std::size_t> m_accounts; ///< without accounts that take nothing
};

} // namespace lycheeledge::jobs
