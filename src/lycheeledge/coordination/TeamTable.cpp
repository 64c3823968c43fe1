// Teams of a cell: shares, limits, usage and queues.

#include "TeamTable.h"

namespace lycheeledge {

bool TeamRecord::withinLimits(const Resources& size, std::uint32_t count) const
{
    if (team.maxRunningTasks > 0 && running + count > team.maxRunningTasks)
        return false;
    return !team.upperLimit || (usage + size * count).fitsIn(*team.upperLimit);
}

bool TeamRecord::couldFit(const Resources& size, std::uint32_t count) const
{
    if (team.maxRunningTasks > 0 && count > team.maxRunningTasks)
        return false;
    return !team.upperLimit || (size * count).fitsIn(*team.upperLimit);
}

TeamRecord& TeamTable::at(const TeamId& id)
{
    const auto [it, added] = m_teams.try_emplace(id);
    if (added) {
        it->second.team.id = id;
        m_totalShare += it->second.team.share;
    }
    return it->second;
}

void TeamTable::configure(const std::map<TeamId, Team>& teams)
{
    for (const auto& [id, team] : teams)
        at(id);
    m_totalShare = 0;
    for (auto& [id, record] : m_teams) {
        const auto it = teams.find(id);
        record.team = it == teams.end() ? Team {} : it->second;
        record.team.id = id;
        m_totalShare += record.team.share;
    }
}

double TeamTable::entitledPart(const TeamRecord& team) const
{
    return m_totalShare > 0 ? team.team.share / m_totalShare : 1.0;
}

} // namespace lycheeledge
