// Learns how fast workers are, from the run times of tasks of the same step.

#include "WorkerSpeeds.h"

#include <algorithm>

namespace lycheeledge::jobs {

namespace {

    // Tasks of a step differ by 15% to 30%, so about seven runs make an estimate.
    constexpr double workerGain = 0.15;
    // A kind has many workers, whose own speeds differ.
    constexpr double kindGain = 0.03;
    // Beyond these, a run says more about its task than about its worker.
    constexpr double leastRatio = 0.3;
    constexpr double greatestRatio = 8;

    void learn(double& estimate, double ratio, double gain) { estimate += gain * (ratio - estimate); }

} // namespace

double WorkerSpeeds::slowness(const WorkerId& worker, const std::string& kind) const
{
    if (const auto it = m_workers.find(worker); it != m_workers.end())
        return it->second;
    const auto it = m_kinds.find(kind);
    return it == m_kinds.end() ? 1 : it->second;
}

void WorkerSpeeds::stepDone(const std::vector<MeasuredRun>& runs)
{
    if (runs.size() < 2)
        return;
    // Run time of the step's tasks on a worker of usual speed.
    double usual = 0;
    for (const auto& run : runs)
        usual += static_cast<double>(run.runTime.count()) / slowness(run.worker, run.kind);
    usual /= static_cast<double>(runs.size());
    if (usual <= 0)
        return;
    for (const auto& run : runs) {
        const double ratio = std::clamp(static_cast<double>(run.runTime.count()) / usual, leastRatio, greatestRatio);
        learn(m_workers.try_emplace(run.worker, slowness(run.worker, run.kind)).first->second, ratio, workerGain);
        learn(m_kinds.try_emplace(run.kind, 1).first->second, ratio, kindGain);
    }
}

} // namespace lycheeledge::jobs
