// Learns how fast workers are, from the run times of tasks of the same step.
//
// Answers a fleet of VMs of different speeds, and VMs that turn slow: an urgent step ends with its slowest task, so one
// slow worker among ten makes the job late.
#pragma once

#include "JobSpec.h"

#include <absl/container/flat_hash_map.h>

#include <string>
#include <vector>

namespace lycheeledge::jobs {

/** @brief A finished task of a step. */
struct MeasuredRun {
    WorkerId worker;
    std::string kind; ///< of the worker's VM
    Duration runTime {};

    bool operator==(const MeasuredRun&) const = default;
};

class WorkerSpeeds {
public:
    /** @brief Adds the runs of one step, whose tasks are of about the same size. Fewer than two runs tell nothing. */
    void stepDone(const std::vector<MeasuredRun>& runs);
    /** @return run time on the worker as a multiple of the usual one; that of its kind if the worker is not known. */
    double slowness(const WorkerId& worker, const std::string& kind) const;
    void forget(const WorkerId& worker) { m_workers.erase(worker); }

private:
    absl::flat_hash_map<WorkerId, double> m_workers;
    absl::flat_hash_map<std::string, double> m_kinds;
};

} // namespace lycheeledge::jobs
