// Settings of the cell scheduler.
#pragma once

#include "../state/Time.h"

#include <cstddef>
#include <cstdint>

namespace lycheeledge {

/** @brief How tasks are assigned to workers. */
enum class PlacementMethod { Best, FirstFit };

/** @brief Which team goes next. */
enum class OrderMethod { WeightedDominantShare, EqualSplit, FirstComeFirstServed };

/** @brief Settings of the cell scheduler. The defaults are those of the design. */
struct SchedulerSettings {
    PlacementMethod placement = PlacementMethod::Best;
    OrderMethod order = OrderMethod::WeightedDominantShare;
    Duration tick = std::chrono::milliseconds(10); ///< resolution of deadlines, backoff and holds
    Duration outcomeRetention = std::chrono::minutes(10); ///< time finished outcomes are kept
    std::size_t maxKeptBodyBytes = 32 << 20; ///< total size of answers kept for callers that ask again
    std::size_t placementSample = 64; ///< workers scored for one decision
};

} // namespace lycheeledge
