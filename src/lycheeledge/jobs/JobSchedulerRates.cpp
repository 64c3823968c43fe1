// Scheduler of the owner: submissions within and beyond the rate that their account is entitled to.

#include "JobScheduler.h"

#include <algorithm>

namespace lycheeledge::jobs {

namespace {

    // Older accept times count as this old. A year fits into a Duration, whatever a stored record contains.
    constexpr std::int64_t maxAgeMs = std::int64_t { 365 } * 24 * 3600 * 1000;

} // namespace

bool JobScheduler::isRateExceeded(const AccountId& id)
{
    const ClientAccount* account = m_configuration ? m_configuration->account(id) : nullptr;
    return account != nullptr && account->submissionsPerSecond
        && m_submissionRate.isExceeded(id, *account->submissionsPerSecond, m_runtime.now());
}

bool JobScheduler::takeFromRate(const AccountId& id)
{
    const ClientAccount* account = m_configuration ? m_configuration->account(id) : nullptr;
    return account != nullptr && account->submissionsPerSecond
        && !m_submissionRate.take(id, *account->submissionsPerSecond, m_runtime.now());
}

// Submissions beyond the rate took nothing. The accept times come from the wall clocks of earlier owners: one that is
// ahead of this clock counts as now, so that the account may find its bucket empty for up to a second.
void JobScheduler::recoverRate(const SubmissionRecord& submission)
{
    if (submission.beyondRate || submission.account.empty())
        return;
    const double ageMs = static_cast<double>(m_host.unixMs()) - static_cast<double>(submission.acceptedUnixMs);
    const auto age = static_cast<std::int64_t>(std::clamp(ageMs, 0.0, static_cast<double>(maxAgeMs)));
    m_submissionRate.recover(submission.account, m_runtime.now() - std::chrono::milliseconds(age));
}

void JobScheduler::retainRates()
{
    if (!m_configuration)
        return;
    absl::flat_hash_set<AccountId> limited;
    for (const auto& account : m_configuration->accounts) {
        if (account.submissionsPerSecond)
            limited.insert(account.id);
    }
    m_submissionRate.retain(limited);
}

} // namespace lycheeledge::jobs
