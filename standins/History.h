// Record of what callers, operators and workers saw during a run.
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

/** @brief Time of an event, in microseconds of the monotonic clock that all recorders share. */
using Microseconds = std::int64_t;

/** @brief A caller sent work. */
struct Submitted {
    WorkId id;
    bool repeatable = false;
    std::string key; ///< id of the key shown; empty for none
    std::string entry; ///< process that received it
    std::string expectedBody; ///< digest of the only right answer; empty if the work has no answer
};

/** @brief A caller received the end of its call. */
struct Answered {
    WorkId id;
    RunState run = RunState::Unknown;
    ErrorKind error = ErrorKind::None;
    std::string body; ///< digest of the answer
    std::string entry;
    bool cut = false; ///< the connection broke before a whole answer
};

struct TaskStarted {
    TaskId task;
    VmId worker;
    Resources size;
};

struct TaskStopped {
    TaskId task;
    VmId worker;
};

struct WorkerSeen {
    VmId worker;
    Resources capacity;
};

/** @brief The list, or an operator, declared that a VM is leaving. */
struct WorkerLeaving {
    VmId worker;
};

struct KeyGiven {
    std::string key;
    TeamId team;
};

/** @brief The withdrawal was acknowledged. */
struct KeyWithdrawn {
    std::string key;
};

/** @brief A queue that accepts work for the team without a key of it. */
struct QueueOpened {
    TeamId team;
};

/** @brief The limit was acknowledged. */
struct LimitSet {
    TeamId team;
    std::uint32_t maxRunningTasks = 0; ///< 0 for none
};

/** @brief A change of an entity was acknowledged as in force. */
struct ConfigurationAcknowledged {
    std::string entity;
    Revision version = 0;
};

/** @brief A process showed the version of an entity that it uses. */
struct ConfigurationObserved {
    std::string process;
    std::string entity;
    Revision version = 0;
};

/** @brief A process was asked to stop as planned. */
struct StopRequested {
    std::string process;
};

using EventBody = std::variant<Submitted, Answered, TaskStarted, TaskStopped, WorkerSeen, WorkerLeaving, KeyGiven,
    KeyWithdrawn, QueueOpened, LimitSet, ConfigurationAcknowledged, ConfigurationObserved, StopRequested>;

struct Event {
    Microseconds at = 0;
    EventBody body;
};

using History = std::vector<Event>;

} // namespace lycheeledge::standin
