// Estimates the speed of workers from the run times of tasks of the same step.
//
// VMs of a fleet differ in speed, and some become slow. An urgent step ends with its slowest task, so one slow worker
// among ten makes the job late.
#pragma once

#include "JobSpec.h"

#include <absl/container/flat_hash_map.h>

#include <string>
#include <vector>

namespace lycheeledge::jobs {

/** @brief Measured run time of a finished task. */
struct MeasuredRun {
    WorkerId worker;
    std::string kind; ///< VM kind of the worker
    Duration runTime {};

    bool operator==(const MeasuredRun&) const = default;
};

class WorkerSpeeds {
public:
    /** @brief Adds the runs of one step, whose tasks are of similar size. Fewer than two runs are ignored. */
    void recordStep(const std::vector<MeasuredRun>& runs);
    /**
     * @return run time on the worker as a multiple of the usual one; the estimate for its kind if the worker has no
     * measured runs.
     */
    double slowness(const WorkerId& worker, const std::string& kind) const;
    void forget(const WorkerId& worker) { m_workers.erase(worker); }

private:
    absl::flat_hash_map<WorkerId, double> m_workers;
    absl::flat_hash_map<std::string, double> m_kinds;
};

} // namespace lycheeledge::jobs
