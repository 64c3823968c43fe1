// A piece of work inside the scheduler.
#pragma once

#include "../state/Outcome.h"
#include "../state/Work.h"
#include "Placement.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <optional>
#include <string>
#include <vector>

namespace lycheeledge {

struct TeamRecord;

/** @brief Where a task stands. */
enum class TaskState {
    Waiting, ///< ready to be placed
    Delayed, ///< waits for its backoff to end
    Regrouping, ///< of a gang job; waits until all of its tasks have ended, to start with them
    Unresolved, ///< recovered; may run on a worker that has not reported
    Journalling, ///< reserved; its start is being journalled
    Starting, ///< reserved; the start command is on its way
    Running,
    Succeeded,
    Failed,
    Dropped, ///< never to be started, since its work is being closed
};

/** @brief Why work waits. */
enum class WaitCause { None, Capacity, Limit, Journal };

/** @brief A task of a piece of work. */
struct TaskRecord {
    TaskState state = TaskState::Waiting;
    std::uint32_t run = 0; ///< number of the last start; 0 before the first
    std::uint32_t highestRun = 0; ///< of all runs heard of; a worker would not start one again that it remembers
    std::uint32_t attempts = 0; ///< starts that count against the policy's limit
    WorkerSlot worker = 0; ///< of the last start
    TimePoint since; ///< time of the last change of state
    std::uint64_t startNumber = 0; ///< key among the tasks of its team that may be preempted; 0 for none
    bool reportedFailed = false; ///< Unresolved, and its last reported run failed
    bool journalled = false; ///< `run` was journalled as starting
};

/** @brief A piece of work that has not ended. */
struct WorkItem {
    using Done = std::function<void(WorkResult)>;

    WorkSpec spec;
    std::string traceparent;
    std::uint64_t sequence = 0; ///< order of acceptance
    TimePoint arrival;
    std::optional<TimePoint> deadline;
    std::vector<Done> waiters;
    std::vector<TaskRecord> tasks;
    std::deque<std::uint32_t> waiting; ///< tasks ready to be placed
    std::uint32_t held = 0; ///< tasks with a reservation
    std::uint32_t succeeded = 0;
    std::uint32_t failed = 0;
    RunState run = RunState::NotRun; ///< what is known about execution so far
    bool durable = false; ///< its journal record is durable, or none is needed
    bool started = false; ///< a first task was placed
    bool setAside = false;
    std::optional<WorkResult> failure; ///< of the first task that failed for good
    std::optional<WorkResult> closing; ///< no task is started any more; the result once all tasks ended
    std::optional<WorkResult> answer; ///< what `waiters` were told
    std::string reason; ///< why it is set aside
    WaitCause cause = WaitCause::None; ///< result of the last attempt to place it
    TimePoint blockedSince; ///< valid while `cause` is not None
    TimePoint nextAttempt; ///< a gang job is not tried before
    TimePoint nextHold; ///< it gets no hold before
    bool regrouping = false; ///< a task of the gang ended early and the others are being stopped
    TimePoint regroupAt; ///< end of the backoff while `regrouping`
    Spread spread;

    TeamRecord* team = nullptr;
    bool queued = false;
    std::list<WorkItem*>::iterator queuePosition; ///< valid while `queued`

    bool isGang() const { return spec.allTogether && tasks.size() > 1; }
    bool isJob() const { return spec.kind != WorkKind::Request; }
    std::uint32_t ended() const { return succeeded + failed; }
    /** @brief Adds to what is known about execution. Certainty that it ran outweighs doubt. */
    void noteRun(RunState state)
    {
        if (state == RunState::Run || run == RunState::NotRun)
            run = state;
    }
    /** @brief Notes that a run of a task exists, so that its number is not used again. */
    void noteRunNumber(const TaskId& id)
    {
        if (id.index < tasks.size())
            tasks[id.index].highestRun = std::max(tasks[id.index].highestRun, id.run);
    }
    TaskId taskId(std::uint32_t index) const { return { spec.id, index, tasks[index].run }; }
};

} // namespace lycheeledge
