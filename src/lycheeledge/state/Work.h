// Work as submitted by a caller.
#pragma once

#include "Ids.h"
#include "Resources.h"
#include "Time.h"

#include <cstdint>
#include <string>

namespace lycheeledge {

/** @brief Kinds of work, each with a policy of its own. */
enum class WorkKind {
    Request, ///< short request with an answer and a deadline
    Batch, ///< job of one or more tasks that end by themselves
    Service, ///< tasks that run until cancelled
};

/** @brief A validated submission. */
struct WorkSpec {
    WorkId id;
    QueueId queue; ///< empty for the team's default queue
    WorkKind kind = WorkKind::Request;
    Resources perTask; ///< declared size of each task
    std::uint32_t taskCount = 1; ///< 1 for requests
    bool allTogether = false; ///< all tasks start in one decision or none holds anything
    bool repeatable = false; ///< may be executed more than once
    bool urgent = false;
    Duration deadline {}; ///< time left until the caller gives up, from receipt; zero for none
    Duration declaredRunTime {}; ///< zero if not declared
    ZoneId preferredZone; ///< empty for none
    std::uint32_t attempt = 0; ///< sending of this identity, counted from 1 by the caller; 0 if not declared
    std::string payload; ///< opaque to the scheduler

    bool operator==(const WorkSpec&) const = default;
};

/** @brief Where a piece of work stands. */
enum class WorkPhase { Queued, Running, Finished, SetAside };

/** @brief Answer to a query about a piece of work. */
struct WorkStatus {
    WorkId id;
    WorkKind kind = WorkKind::Request;
    WorkPhase phase = WorkPhase::Queued;
    std::uint32_t tasksRunning = 0;
    std::uint32_t tasksFinished = 0;
    std::uint32_t taskCount = 1;
    std::string reason; ///< one line on why it waits or how it ended

    bool operator==(const WorkStatus&) const = default;
};

} // namespace lycheeledge
