// Teams of a cell: their shares, limits, usage and queues.
#pragma once

#include "../state/Configuration.h"
#include "OverloadControl.h"
#include "RetryPolicy.h"
#include "TeamQueues.h"

#include <map>
#include <optional>

namespace lycheeledge {

/** @brief A team as the scheduler sees it. */
struct TeamRecord {
    Team team;
    Resources usage; ///< sum of its reservations
    Resources urgentUsage; ///< part of `usage` that urgent work has
    std::uint32_t running = 0; ///< number of its reservations
    std::uint64_t starts = 0;
    RetryBudget retries;
    QueueRate requestRate;
    std::map<std::uint64_t, TaskId> preemptible; ///< running tasks that may be restarted, oldest first
    std::optional<TimePoint> belowShareSince; ///< it has had blocked work and less than its share since
    TeamQueues queues;

    /** @brief Whether `count` more tasks of this size stay within the upper limit. */
    bool allows(const Resources& size, std::uint32_t count) const;
    /** @brief Whether the limit can ever allow `count` tasks at a time. */
    bool couldAllow(const Resources& size, std::uint32_t count) const;
};

/** @brief All teams that are configured or have work. Records stay where they are. */
class TeamTable {
public:
    /** @brief The record of a team; created with a share of 1 and no limit if it is not configured. */
    TeamRecord& at(const TeamId& id);
    void configure(const std::map<TeamId, Team>& teams);
    std::map<TeamId, TeamRecord>& all() { return m_teams; }
    const std::map<TeamId, TeamRecord>& all() const { return m_teams; }
    /** @brief Part of the fleet that a team is entitled to when all teams have demand. */
    double entitledPart(const TeamRecord& team) const;

private:
    std::map<TeamId, TeamRecord> m_teams;
    double m_totalShare = 0;
};

} // namespace lycheeledge
