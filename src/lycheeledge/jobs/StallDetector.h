// Decides when a running task makes so little progress that it should restart on another worker.
//
// On a faulty worker, tasks may stall or run many times slower while the worker itself still responds. Such a task
// would delay its job until the worker recovers or is lost.
#pragma once

#include "JobSpec.h"

#include <cstdint>
#include <optional>

namespace lycheeledge::jobs {

/** @brief Progress of a task at a point in time, by its worker's clock. */
struct ProgressSample {
    int percent = 0;
    std::int64_t clockMs = 0;

    bool operator==(const ProgressSample&) const = default;
};

/** @brief Known run times of a task. */
struct TaskLength {
    Duration declared {}; ///< by the client; may be inaccurate by a large factor
    std::optional<Duration> measured; ///< mean of the finished tasks of its step
    bool checkpoints = false; ///< a new run continues near the progress of this one

    bool operator==(const TaskLength&) const = default;
};

enum class ProgressVerdict {
    Unknown, ///< the samples are too close in time
    Healthy, ///< restarting would not help
    Slow, ///< a new run would end much earlier
    Stalled, ///< no progress at all
};

/** @brief Evaluates the progress between two samples of one run. */
ProgressVerdict judgeProgress(const ProgressSample& before, const ProgressSample& now, const TaskLength& length);

} // namespace lycheeledge::jobs
