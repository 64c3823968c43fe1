// Work items as submitted by callers, and their status.
#pragma once

#include "Ids.h"
#include "Resources.h"
#include "Time.h"

#include <cstdint>
#include <string>

namespace lycheeledge {

/** @brief Kind of work. Each kind has its own policy. */
enum class WorkKind {
    Request, ///< short request with a response and a deadline
    Batch, ///< job of one or more tasks that run to completion
    Service, ///< tasks that run until cancelled
};

/** @brief A validated submission. */
struct WorkSpec {
    WorkId id;
    QueueId queue; ///< empty for the team's default queue
    WorkKind kind = WorkKind::Request;
    Resources perTask; ///< declared size of each task
    std::uint32_t taskCount = 1; ///< 1 for requests
    bool gang = false; ///< gang scheduling: all tasks start in one decision, or none reserves any resources
    bool repeatable = false; ///< may be executed more than once
    bool urgent = false;
    Duration deadline {}; ///< time from receipt until the caller stops waiting; zero for none
    Duration declaredRunTime {}; ///< zero if not declared
    ZoneId preferredZone; ///< empty for none
    std::uint32_t attempt = 0; ///< number of this submission of the id, counted from 1 by the caller; 0 if not declared
    std::string payload; ///< opaque to the scheduler

    bool operator==(const WorkSpec&) const = default;
};

/** @brief Phase in the life cycle of a work item. */
enum class WorkPhase {
    Queued,
    Running,
    Finished,
    SetAside, ///< a job that cannot be scheduled because it exceeds the team's upper limit or the fleet
};

/** @brief Status of a work item, as returned to a query. */
struct WorkStatus {
    WorkId id;
    WorkKind kind = WorkKind::Request;
    WorkPhase phase = WorkPhase::Queued;
    std::uint32_t tasksRunning = 0;
    std::uint32_t tasksFinished = 0;
    std::uint32_t taskCount = 1;
    std::string reason; ///< one line that says why the work is waiting or how it ended

    bool operator==(const WorkStatus&) const = default;
};

} // namespace lycheeledge
