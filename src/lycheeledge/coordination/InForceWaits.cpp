// Waits until a configuration change is in force at all serving members.

#include "InForceWaits.h"

#include <utility>

namespace lycheeledge {

InForceWaits::InForceWaits(const RosterView& roster, const Freshness& freshness, const MembershipTimes& times)
    : m_roster(roster)
    , m_freshness(freshness)
    , m_isolation(times.isolationWithDrift())
{
}

void InForceWaits::add(Revision revision, TimePoint deadline, Callback done)
{
    m_waits.push_back({ revision, deadline, std::move(done), std::nullopt });
}

void InForceWaits::check(TimePoint now)
{
    std::vector<std::pair<Callback, InForceResult>> completed;
    std::erase_if(m_waits, [&](Wait& wait) {
        auto result = evaluate(wait, now);
        if (result)
            completed.emplace_back(std::move(wait.done), std::move(*result));
        return result.has_value();
    });
    for (const auto& [done, result] : completed)
        done(result);
}

std::optional<InForceResult> InForceWaits::evaluate(Wait& wait, TimePoint now) const
{
    const bool majority = m_freshness.majorityConfirmed(wait.revision);
    if (majority && !wait.majoritySince)
        wait.majoritySince = now;
    const bool priorMessagesExpired = wait.majoritySince && now - *wait.majoritySince > m_isolation;
    InForceResult result;
    for (const auto& [id, entry] : m_roster.entries()) {
        if (m_freshness.hasConfirmed(id, wait.revision))
            continue;
        const bool leaseExpired = entry.leaseMissingSince && now - *entry.leaseMissingSince > m_isolation;
        if (!leaseExpired || !priorMessagesExpired)
            result.waitingFor.push_back(id);
    }
    result.inForce = majority && result.waitingFor.empty();
    if (result.inForce || now >= wait.deadline)
        return result;
    return std::nullopt;
}

} // namespace lycheeledge
