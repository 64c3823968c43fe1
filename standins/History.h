// Events that callers, operators and workers observed during a test run.
#pragma once

#include <lycheeledge/state/Ids.h>
#include <lycheeledge/state/Outcome.h>
#include <lycheeledge/state/Resources.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lycheeledge::standin {

/** @brief Time of an event, in microseconds of the monotonic clock that all recording processes share. */
using Microseconds = std::int64_t;

/** @brief A caller sent a submission, for the first time or again. */
struct Submitted {
    WorkId id;
    bool repeatable = false;
    std::string key; ///< id of the API key in the call; empty for none
    std::string entry; ///< entry process to which it was sent
    std::string expectedBody; ///< SHA-256 of the expected response body; empty if the work has none
};

/** @brief A call ended, with or without a response. */
struct Answered {
    WorkId id;
    RunState run = RunState::Unknown;
    ErrorKind error = ErrorKind::None;
    std::string body; ///< SHA-256 of the response body
    std::string entry; ///< entry process that was called
    bool incomplete = false; ///< no complete response arrived; `cut` in the JSON form
};

/** @brief A worker started a run of a task. */
struct TaskRunStarted {
    TaskId task;
    VmId worker;
    Resources size;
};

/** @brief A run of a task ended on a worker, for any reason. */
struct TaskRunEnded {
    TaskId task;
    VmId worker;
};

/** @brief The capacity of a worker is known. */
struct WorkerCapacity {
    VmId worker;
    Resources capacity;
};

/** @brief The VM list or an operator declared that a VM is leaving. */
struct WorkerLeaving {
    VmId worker;
};

/** @brief An API key was created for a team. */
struct KeyCreated {
    std::string key; ///< id of the key
    TeamId team;
};

/** @brief The withdrawal of an API key was acknowledged. */
struct KeyWithdrawn {
    std::string key; ///< id of the key
};

/** @brief A queue was opened that accepts work for the team without one of its keys. */
struct QueueOpened {
    TeamId team;
};

/** @brief A limit of a team was acknowledged. */
struct LimitSet {
    TeamId team;
    std::uint32_t maxRunningTasks = 0; ///< 0 for no limit
};

/** @brief A configuration change was acknowledged as in force. */
struct ConfigurationAcknowledged {
    std::string entity;
    Revision version = 0;
};

/** @brief A process reported the version of a configuration entity that it uses. */
struct ConfigurationObserved {
    std::string process;
    std::string entity;
    Revision version = 0;
};

/** @brief A planned stop of a process was requested. */
struct StopRequested {
    std::string process;
};

using EventBody = std::variant<Submitted, Answered, TaskRunStarted, TaskRunEnded, WorkerCapacity, WorkerLeaving,
    KeyCreated, KeyWithdrawn, QueueOpened, LimitSet, ConfigurationAcknowledged, ConfigurationObserved, StopRequested>;

struct Event {
    Microseconds at = 0;
    EventBody body;
};

using History = std::vector<Event>;

} // namespace lycheeledge::standin
