// Requests and jobs inside the scheduler.
#pragma once

#include "../state/Outcome.h"
#include "../state/Work.h"
#include "../state/Worker.h"
#include "Placement.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lycheeledge {

struct TeamRecord;

enum class TaskState {
    Waiting, ///< ready to be placed
    Delayed, ///< waits for its retry backoff to end
    AwaitingGangRestart, ///< restarts together with its gang once all tasks of the gang have ended
    Unresolved, ///< may be running on a worker that has not reported yet
    Journalling, ///< capacity reserved; the journal record of its start is not durable yet
    Starting, ///< capacity reserved; the start command has not been answered yet
    Running,
    Succeeded,
    Failed,
    Aborted, ///< never to be started again, since its work was aborted
};

/** @brief Why work could not be placed. */
enum class WaitCause { None, Capacity, Limit, Journal };

struct TaskRecord {
    TaskState state = TaskState::Waiting;
    std::uint32_t run = 0; ///< run number of the last start; 0 before the first
    std::uint32_t highestRun = 0; ///< highest run number seen; workers do not start a run that they remember
    std::uint32_t attempts = 0; ///< starts that count towards the policy's maxAttempts
    std::uint32_t unjournalledFailures = 0; ///< failed runs whose record is not durable yet
    WorkerIndex worker = 0; ///< worker of the last start
    TimePoint since; ///< time of the last state change
    std::uint64_t startNumber = 0; ///< key in TeamRecord::preemptibleTasks; 0 if it is not in there
    bool reportedFailed = false; ///< the task is Unresolved and its last reported run failed
    bool journalled = false; ///< a durable TaskStarting record of `run` exists
};

/** @brief A request or job that has not ended. */
struct WorkItem {
    using Done = std::function<void(WorkResult)>;

    WorkSpec spec;
    std::string traceparent;
    std::uint64_t sequence = 0; ///< order of acceptance
    TimePoint arrival;
    std::optional<TimePoint> deadline;
    std::vector<Done> waiters; ///< callbacks of all submissions with this ID
    std::vector<TaskRecord> tasks;
    std::deque<std::uint32_t> waiting; ///< tasks ready to be placed
    /// Succeeded ends of earlier runs of tasks that have a reservation, by task. Each counts if the current run fails.
    std::map<std::uint32_t, FinishedTask> earlierSuccesses;
    std::uint32_t reservedTasks = 0; ///< number of tasks with a reservation
    std::uint32_t succeeded = 0;
    std::uint32_t failed = 0;
    RunState runState = RunState::NotRun; ///< what is known about its execution so far
    bool durable = false; ///< its JobSubmitted record is durable, or it is a request and needs none
    bool started = false; ///< at least one task was placed
    bool setAside = false;
    std::optional<WorkResult> failure; ///< result of the first task that failed permanently
    /// Set once the work is aborted: no further task is started, and this is the result when all tasks have ended.
    std::optional<WorkResult> abortResult;
    std::optional<WorkResult> sentResult; ///< what `waiters` were called with
    std::string reason; ///< why it is set aside; empty if it is not
    WaitCause cause = WaitCause::None; ///< result of the last attempt to place it
    TimePoint blockedSince; ///< valid while `cause` is not None
    TimePoint earliestAttempt; ///< a gang job is not placed before this time
    TimePoint earliestHold; ///< it gets no hold before this time
    bool restarting = false; ///< a task of the gang failed or was lost, and the others are being stopped
    TimePoint restartAt; ///< end of the backoff; valid while `restarting`
    Spread spread;

    TeamRecord* team = nullptr;
    bool queued = false;
    std::list<WorkItem*>::iterator queuePosition; ///< valid while `queued`

    bool isGang() const { return spec.gang && tasks.size() > 1; }
    bool isJob() const { return spec.kind != WorkKind::Request; }
    std::uint32_t ended() const { return succeeded + failed; }
    /** @brief Updates what is known about execution. Run takes precedence over Unknown, and Unknown over NotRun. */
    void recordRunState(RunState state)
    {
        if (state == RunState::Run || runState == RunState::NotRun)
            runState = state;
    }
    /** @brief Records that a run of a task exists, so that its number is not reused. */
    void recordRunNumber(const TaskId& id)
    {
        if (id.index < tasks.size())
            tasks[id.index].highestRun = std::max(tasks[id.index].highestRun, id.run);
    }
    TaskId taskId(std::uint32_t index) const { return { spec.id, index, tasks[index].run }; }
};

} // namespace lycheeledge
