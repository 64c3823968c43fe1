// In-memory state of a task on the owner.
#pragma once

#include "JobSpec.h"
#include "StallDetector.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lycheeledge::jobs {

enum class TaskPhase : std::uint8_t {
    Waiting,
    Starting, ///< a start order was sent; the run may or may not exist
    Running,
    Stopping, ///< a stop order was sent; the run may still exist
    Done,
};

struct Task {
    TaskPhase phase = TaskPhase::Waiting;
    RunNumber run = 0; ///< number of the latest run; 0 before the first start
    std::vector<RunNumber> failedRuns; ///< failed runs that count as attempts
    std::uint32_t crashes = 0; ///< workers that crashed soon after they had started the task
    /// Workers that went out of reach soon after they had started the task, and may have crashed; zero again once a run
    /// has been alive for long enough.
    std::uint32_t unexplainedLosses = 0;
    std::uint32_t interruptions = 0; ///< workers that crashed while they ran the task, however long
    WorkerId worker; ///< set exactly while Starting, Running or Stopping, when resources are reserved on it
    TimePoint since; ///< when the phase began
    TimePoint confirmedAt; ///< when the worker confirmed the start or stop order; zero before that
    bool doneWhenRunEnds = false; ///< another gang member or an earlier run completed the task; the run still exists
    TimePoint notBefore; ///< earliest time of the next start
    TimePoint lostAt; ///< when its last run ended of which no worker reported the end; zero if there was none
    std::string checkpoint;
    int pacePercent = 100;
    bool isFullRun = false; ///< this owner started the run without a checkpoint, so that its run time can be measured
    int restarts = 0; ///< restarts because of too little progress
    /// No run of an earlier owner exists elsewhere, nor an end that this owner has to count: it has started the task,
    /// or found a run of it if it is long-running.
    bool isLocated = false;
    int progressPercent = 0; ///< as last reported; a long-running task is available at 100
    std::optional<ProgressSample> progress; ///< last sample of the run that was evaluated

    /** @brief Whether this or an earlier owner knows of a run of it. */
    bool hasStarted() const { return run != 0 || !failedRuns.empty() || !checkpoint.empty(); }
    /** @brief Number of workers that the task may have crashed. */
    std::uint32_t suspicions() const { return crashes + unexplainedLosses; }
    /** @brief Whether it starts apart from other such tasks. A partition may cost many tasks one loss each. */
    bool startsApart() const { return crashes > 0 || unexplainedLosses > 1; }
    /** @brief Whether a long-running task is ready to serve its users. */
    bool isAvailable() const { return phase == TaskPhase::Running && progressPercent >= 100; }
    bool isAssigned() const
    {
        return phase == TaskPhase::Starting || phase == TaskPhase::Running || phase == TaskPhase::Stopping;
    }
};

} // namespace lycheeledge::jobs
