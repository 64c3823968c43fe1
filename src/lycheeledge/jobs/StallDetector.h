// Decides when a running task should start again on another worker, because it makes too little progress.
//
// Answers workers whose tasks stand still, or work many times slower, while the worker itself answers: such a task
// would keep its job waiting until the worker recovers or is lost.
#pragma once

#include "JobSpec.h"

#include <cstdint>
#include <optional>

namespace lycheeledge::jobs {

/** @brief Progress of a task at a time on its worker's clock. */
struct ProgressSample {
    int percent = 0;
    std::int64_t clockMs = 0;

    bool operator==(const ProgressSample&) const = default;
};

/** @brief What is known of a task's length. */
struct TaskLength {
    Duration declared {}; ///< may be far off
    std::optional<Duration> measured; ///< mean of the tasks of its step that have ended
    bool checkpoints = false; ///< another run continues near the progress of this one

    bool operator==(const TaskLength&) const = default;
};

enum class ProgressVerdict {
    Unknown, ///< the samples are too close to each other
    Sound,
    Slow, ///< another run would end much earlier
    Stalled, ///< no progress at all
};

/** @brief Judges the progress between two samples of one run. */
ProgressVerdict judgeProgress(const ProgressSample& before, const ProgressSample& now, const TaskLength& length);

} // namespace lycheeledge::jobs
