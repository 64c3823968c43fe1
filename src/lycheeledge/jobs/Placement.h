// Selects workers for the tasks of a step.
//
// The load mixes short urgent tasks, wide batch steps and gangs on workers of different sizes and speeds. Urgent work
// is spread over the fastest and least loaded workers. Batch work is packed, so that wide tasks still fit somewhere,
// and avoids only very slow workers. A gang is placed completely or not at all.
#pragma once

#include "JobSpec.h"

#include <optional>
#include <string>
#include <vector>

namespace lycheeledge::jobs {

/** @brief A worker that may receive tasks of the step, with its free resources. */
struct PlacementCandidate {
    WorkerId worker;
    std::string rack;
    Resources free;
    Resources capacity;
    std::uint32_t tasksOfStep = 0; ///< tasks of this step and occurrence that it already runs
    bool hasLatencySensitiveTasks = false; ///< runs tasks with a latency target
    bool hasIdleCpuTasks = false; ///< runs tasks that use idle CPU
    bool deprioritized = false; ///< on probation after a quarantine
    double slowness = 1; ///< run time on it, as a multiple of the usual one
};

enum class PlacementGoal {
    Spread, ///< prefers fast, lightly loaded workers
    Pack, ///< prefers workers with the least free capacity that suffices
};

/** @brief Places tasks one by one, and deducts their resources from the candidates. */
class Placement {
public:
    Placement(const StepSpec& step, std::vector<PlacementCandidate> candidates, PlacementGoal goal);

    /** @brief Selects a worker for one more task. @return index of the candidate; nothing if the task fits on none. */
    std::optional<std::size_t> place();
    /**
     * @brief Places all members of a gang; on one rack, if requested and possible.
     * @return index of the candidate for each member; empty if they do not all fit.
     */
    std::vector<std::size_t> placeGang(std::size_t count);

    /** @brief Candidates on which a task fits, best first, each rated for a single task. */
    std::vector<std::size_t> ranking() const;

    /** @brief Number of tasks of the step that fit on a candidate. */
    std::uint64_t taskCapacityOn(std::size_t n) const;
    std::size_t candidateCount() const { return m_candidates.size(); }
    const PlacementCandidate& candidate(std::size_t n) const { return m_candidates[n]; }
    /** @brief Resources that a task reserves on its worker. */
    const Resources& reservation() const { return m_reservation; }

private:
    bool fits(const PlacementCandidate& candidate) const;
    double score(const PlacementCandidate& candidate) const;
    std::vector<std::size_t> placeOnRack(const std::string* rack, std::size_t count);

    const StepSpec& m_step;
    std::vector<PlacementCandidate> m_candidates;
    PlacementGoal m_goal;
    Resources m_reservation;
};

} // namespace lycheeledge::jobs
