// Snapshot of a cell's scheduling state for operators.
#pragma once

#include "../state/Ids.h"
#include "../state/Resources.h"
#include "../state/Time.h"
#include "../state/Work.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lycheeledge {

struct TeamOverview {
    TeamId id;
    double share = 1.0; ///< weight in fair sharing
    double entitledPart = 0; ///< fraction of the fleet the team is entitled to when all teams have demand
    double usedPart = 0; ///< fraction of the fleet in use, as the dominant share
    Resources usage;
    std::optional<Resources> upperLimit;
    std::uint32_t maxRunningTasks = 0;
    std::uint32_t runningTasks = 0;
    std::uint64_t queued = 0; ///< requests and jobs with tasks to place
    std::uint64_t starts = 0;

    bool operator==(const TeamOverview&) const = default;
};

struct WorkerOverview {
    VmId id;
    ZoneId zone;
    RackId rack;
    Resources capacity;
    Resources reserved;
    Resources used; ///< measured usage, reported with a delay
    std::uint32_t tasks = 0;
    bool available = false;
    bool reachable = false;
    bool quarantined = false;
    bool drained = false;
    bool leaving = false;

    bool operator==(const WorkerOverview&) const = default;
};

/** @brief Waiting times from acceptance to placement of the first task, over the last one to two minutes. */
struct WaitingOverview {
    std::uint64_t count = 0;
    Duration p50 {};
    Duration p90 {};
    Duration p99 {};

    bool operator==(const WaitingOverview&) const = default;
};

struct SchedulerOverview {
    bool active = false;
    std::vector<TeamOverview> teams;
    std::vector<WorkerOverview> workers;
    std::uint64_t pending = 0; ///< requests and jobs that have not ended
    std::uint64_t setAside = 0; ///< jobs that can never run on the present fleet or under the team's limits
    std::uint64_t missingWorkers = 0; ///< journalled workers that have not reported yet
    std::uint64_t unclaimedTasks = 0; ///< reported requests and jobs that were not submitted to this owner
    std::uint64_t starts = 0;
    std::uint64_t finished = 0;
    std::uint64_t retries = 0;
    std::uint64_t preemptions = 0;
    std::map<std::string, std::uint64_t> refusals; ///< by reason
    std::map<WorkKind, WaitingOverview> waiting;
    std::optional<WorkId> holder; ///< job for which freed capacity is held

    bool operator==(const SchedulerOverview&) const = default;
};

} // namespace lycheeledge
