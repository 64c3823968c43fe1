// Preemption of tasks in favour of teams below their share.
#pragma once

#include "../state/Worker.h"
#include "WorkerTable.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lycheeledge {

/** @brief A task that may be preempted. */
struct Victim {
    TaskId id;
    WorkerIndex worker = 0;
    Resources size;
};

/**
 * @brief Rate limit and progress of preemptions.
 *
 * A preempted task is sent a checkpoint command, a throttle command 500 ms later, and a stop command another 500 ms
 * later.
 */
class Preemption {
public:
    /** @brief Command to send to the worker of a task. */
    struct Step {
        TaskId id;
        TaskAction action = TaskAction::Checkpoint;
    };

    /**
     * @brief Chooses the worker on which the fewest of `victims` have to be stopped to make room for `size`.
     * @param victims in order of preference.
     * @return the victims on that worker; empty if stopping them makes room on no worker.
     */
    static std::vector<Victim> choose(
        const WorkerTable& workers, const std::vector<Victim>& victims, const Resources& size);

    /**
     * @brief Takes a fraction of the fleet from the budget, which refills at 5% of the fleet per second.
     *
     * A full budget also allows one larger amount and then becomes negative.
     * @return false if the budget does not suffice.
     */
    bool takeBudget(TimePoint now, double part);
    void begin(TimePoint now, const TaskId& id, const TeamId& beneficiary, const Resources& size);
    /** @brief Removes and returns the commands that are due. */
    std::vector<Step> takeDueSteps(TimePoint now);
    bool contains(const TaskId& id) const { return m_active.contains(id); }
    /** @brief Whether the stop command is due or has been sent. */
    bool stopRequested(const TaskId& id) const;
    void taskEnded(const TaskId& id) { m_active.erase(id); }
    /** @brief Resources being freed for a team. */
    Resources pendingFor(const TeamId& beneficiary) const;
    /** @brief Resources being taken from a team. */
    Resources pendingFrom(const TeamId& team) const;
    bool idle() const { return m_active.empty(); }

private:
    struct Progress {
        TeamId beneficiary;
        Resources size;
        TimePoint nextStepAt;
        std::uint32_t stepsSent = 0;
    };

    std::map<TaskId, Progress> m_active;
    double m_budget = 0;
    std::optional<TimePoint> m_refilled;
};

} // namespace lycheeledge
