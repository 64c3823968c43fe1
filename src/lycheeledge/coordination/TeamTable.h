// Teams of a cell: shares, limits, usage and queues.
#pragma once

#include "../state/Configuration.h"
#include "OverloadControl.h"
#include "RetryPolicy.h"
#include "TeamQueues.h"

#include <map>
#include <optional>

namespace lycheeledge {

/** @brief Scheduling state of a team. */
struct TeamRecord {
    Team team;
    Resources usage; ///< sum of the reservations of its tasks
    Resources urgentUsage; ///< part of `usage` that belongs to urgent work
    std::uint32_t running = 0; ///< number of tasks with a reservation
    std::uint64_t starts = 0;
    RetryBudget retries;
    QueueRate requestRate;
    std::map<std::uint64_t, TaskId> preemptibleTasks; ///< running non-gang tasks of repeatable jobs, oldest first
    std::optional<TimePoint> belowShareSince; ///< since when it has had blocked work and less than its share
    TeamQueues queues;

    /** @brief Whether `count` more tasks of this size stay within the team's limits. */
    bool withinLimits(const Resources& size, std::uint32_t count) const;
    /** @brief Whether `count` tasks of this size stay within the limits when nothing else of the team runs. */
    bool couldFit(const Resources& size, std::uint32_t count) const;
};

/** @brief All teams that are configured or have submitted work. References to records stay valid. */
class TeamTable {
public:
    /** @brief Record of a team; created with a share of 1 and no limits if the team is not configured. */
    TeamRecord& at(const TeamId& id);
    void configure(const std::map<TeamId, Team>& teams);
    std::map<TeamId, TeamRecord>& all() { return m_teams; }
    const std::map<TeamId, TeamRecord>& all() const { return m_teams; }
    /** @brief Fraction of the fleet that a team is entitled to when all teams have demand. */
    double entitledPart(const TeamRecord& team) const;

private:
    std::map<TeamId, TeamRecord> m_teams;
    double m_totalShare = 0;
};

} // namespace lycheeledge
