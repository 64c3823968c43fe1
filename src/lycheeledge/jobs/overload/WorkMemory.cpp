// Bound of the memory that accepted jobs take, and its division among the client accounts.

#include "WorkMemory.h"

#include <algorithm>

namespace lycheeledge::jobs {

void WorkMemory::replace(const AccountId& account, std::size_t before, std::size_t after)
{
    if (before == after)
        return;
    m_used = m_used - before + after;
    std::size_t& used = m_accounts[account];
    used = used - before + after;
    if (used == 0)
        m_accounts.erase(account);
}

void WorkMemory::clear()
{
    m_used = 0;
    m_accounts.clear();
}

std::size_t WorkMemory::usedBy(const AccountId& account) const
{
    const auto it = m_accounts.find(account);
    return it == m_accounts.end() ? 0 : it->second;
}

bool WorkMemory::admits(const AccountId& account, std::size_t bytes, const ClusterConfiguration& configuration) const
{
    if (hasSpare(bytes))
        return true;
    if (m_used + bytes > m_limit + m_limit / 2)
        return false;
    double weights = 0;
    for (const auto& it : configuration.accounts)
        weights += std::max(0.0, it.weight);
    const std::size_t divided = m_limit / 2;
    const double bytesPerWeight = weights > 0 ? static_cast<double>(divided) / weights : 0;
    const auto partOf
        = [&](const ClientAccount& it) { return static_cast<std::size_t>(std::max(0.0, it.weight) * bytesPerWeight); };
    const std::size_t wanted = usedBy(account) + bytes;
    // What accounts take beyond their parts, this account as if it were accepted.
    std::size_t shared = m_used + bytes;
    std::size_t parts = 0;
    for (const auto& it : configuration.accounts) {
        const std::size_t part = partOf(it);
        if (it.id == account && wanted <= part)
            return true;
        parts += part;
        shared -= std::min(part, it.id == account ? wanted : usedBy(it.id));
    }
    return shared + parts <= m_limit;
}

} // namespace lycheeledge::jobs
