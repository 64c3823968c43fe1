// Tasks that are stopped so that teams below their share get capacity.
#pragma once

#include "../state/Worker.h"
#include "WorkerTable.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lycheeledge {

/** @brief A task that may be stopped. */
struct Victim {
    TaskId id;
    WorkerSlot worker = 0;
    Resources size;
};

/**
 * @brief Budget and progress of preemptions.
 *
 * A chosen task is told to checkpoint, 500 ms later throttled, and 500 ms later stopped.
 */
class Preemption {
public:
    /** @brief Command that is due. */
    struct Step {
        TaskId id;
        TaskAction action = TaskAction::Checkpoint;
    };

    /**
     * @brief Fewest of `victims` (in order of preference) on one worker that make room for `size` there.
     * @return empty if no worker can be freed enough.
     */
    static std::vector<Victim> choose(
        const WorkerTable& workers, const std::vector<Victim>& victims, const Resources& size);

    /** @brief Takes a part of the fleet from the budget of 5% a second. A full budget allows one larger task. */
    bool afford(TimePoint now, double part);
    void begin(TimePoint now, const TaskId& id, const TeamId& beneficiary, const Resources& size);
    /** @brief Commands that are due for tasks being preempted. */
    std::vector<Step> takeSteps(TimePoint now);
    bool contains(const TaskId& id) const { return m_active.contains(id); }
    /** @brief Whether the task was told to stop. */
    bool stopped(const TaskId& id) const;
    void ended(const TaskId& id) { m_active.erase(id); }
    /** @brief Amount being freed for a team. */
    Resources pendingFor(const TeamId& beneficiary) const;
    /** @brief Amount being taken from a team. */
    Resources pendingFrom(const TeamId& team) const;
    bool idle() const { return m_active.empty(); }

private:
    struct Progress {
        TeamId beneficiary;
        Resources size;
        TimePoint next;
        std::uint32_t steps = 0; ///< commands sent
    };

    std::map<TaskId, Progress> m_active;
    double m_budget = 0;
    std::optional<TimePoint> m_refilled;
};

} // namespace lycheeledge
