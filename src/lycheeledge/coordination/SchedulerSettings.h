// Settings of the cell scheduler.
#pragma once

#include "../state/Time.h"

#include <cstddef>
#include <cstdint>

namespace lycheeledge {

/** @brief How tasks are assigned to workers. */
enum class PlacementMethod { Scored, FirstFit };

/** @brief Order in which teams are offered capacity. */
enum class OrderMethod { WeightedDominantShare, EqualSplit, FirstComeFirstServed };

struct SchedulerSettings {
    PlacementMethod placement = PlacementMethod::Scored;
    OrderMethod order = OrderMethod::WeightedDominantShare;
    Duration tickInterval = std::chrono::milliseconds(10); ///< resolution of deadlines, backoff and holds
    Duration outcomeRetention = std::chrono::minutes(10); ///< time during which repeated submissions are recognised
    std::size_t maxStoredBodyBytes = 32 << 20; ///< total size of the answers retained for repeated submissions
    std::size_t placementSample = 64; ///< maximum number of workers scored per decision
};

} // namespace lycheeledge
