// Choice of workers for the tasks of a step.
//
// Answers a mix of short urgent tasks, wide batch steps and gangs on workers of different sizes and speeds: urgent work
// is spread over the fastest and emptiest workers, batch work is packed so that wide tasks still find room and avoids
// only very slow workers, a gang is placed whole.
#pragma once

#include "JobSpec.h"

#include <optional>
#include <string>
#include <vector>

namespace lycheeledge::jobs {

/** @brief A worker that may get tasks of the step, with the room that is left. */
struct PlacementCandidate {
    WorkerId worker;
    std::string rack;
    Resources free;
    Resources capacity;
    std::uint32_t tasksOfStep = 0; ///< already there, of this step and occurrence
    bool hasServingTasks = false; ///< tasks with a latency target
    bool hasFillingTasks = false; ///< tasks that use idle processors
    bool preferLess = false; ///< on probation, or slow to respond
    double slowness = 1; ///< run time as a multiple of the usual one
};

enum class PlacementGoal { Spread, Pack };

/** @brief Places tasks one by one; takes room from the candidates as it goes. */
class Placement {
public:
    Placement(const StepSpec& step, std::vector<PlacementCandidate> candidates, PlacementGoal goal);

    /** @brief Worker for one more task. @return index of the candidate; nothing if none has room. */
    std::optional<std::size_t> place();
    /** @brief Places all of a gang, on one rack if it asks for that and one has room. Empty if they do not fit. */
    std::vector<std::size_t> placeGang(std::size_t count);

    /** @brief Candidates with room, best first, as if none of them got a task. */
    std::vector<std::size_t> ranking() const;

    /** @brief How many tasks of the step fit on a candidate. */
    std::uint64_t roomOn(std::size_t n) const;
    const PlacementCandidate& candidate(std::size_t n) const { return m_candidates[n]; }
    /** @brief What a task takes from its worker's room. */
    const Resources& reservation() const { return m_reservation; }

private:
    bool fits(const PlacementCandidate& candidate) const;
    double score(const PlacementCandidate& candidate) const;
    std::vector<std::size_t> placeOn(const std::string* rack, std::size_t count);

    const StepSpec& m_step;
    std::vector<PlacementCandidate> m_candidates;
    PlacementGoal m_goal;
    Resources m_reservation;
};

/** @brief Room that a task takes: a task that uses idle processors reserves none. */
Resources reservationOf(const StepSpec& step);

} // namespace lycheeledge::jobs
