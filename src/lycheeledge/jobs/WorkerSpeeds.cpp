// Estimates the speed of workers from the run times of tasks of the same step.

#include "WorkerSpeeds.h"

#include <algorithm>

namespace lycheeledge::jobs {

namespace {

    // Weight of one run in the moving average of a worker. Run times of a step's tasks vary by 15% to 30%, so an
    // estimate needs about seven runs.
    constexpr double workerGain = 0.15;
    // Lower for kinds, since a kind has many workers, whose speeds differ.
    constexpr double kindGain = 0.03;
    // A ratio outside these bounds reflects the task rather than the worker.
    constexpr double minRatio = 0.3;
    constexpr double maxRatio = 8;

    void updateEstimate(double& estimate, double ratio, double gain) { estimate += gain * (ratio - estimate); }

} // namespace

double WorkerSpeeds::slowness(const WorkerId& worker, const std::string& kind) const
{
    if (const auto it = m_workers.find(worker); it != m_workers.end())
        return it->second;
    const auto it = m_kinds.find(kind);
    return it == m_kinds.end() ? 1 : it->second;
}

void WorkerSpeeds::recordStep(const std::vector<MeasuredRun>& runs)
{
    if (runs.size() < 2)
        return;
    // Mean run time of the step's tasks, normalized to a worker of usual speed.
    double expected = 0;
    for (const auto& run : runs)
        expected += static_cast<double>(run.runTime.count()) / slowness(run.worker, run.kind);
    expected /= static_cast<double>(runs.size());
    if (expected <= 0)
        return;
    for (const auto& run : runs) {
        const double ratio = std::clamp(static_cast<double>(run.runTime.count()) / expected, minRatio, maxRatio);
        updateEstimate(
            m_workers.try_emplace(run.worker, slowness(run.worker, run.kind)).first->second, ratio, workerGain);
        updateEstimate(m_kinds.try_emplace(run.kind, 1).first->second, ratio, kindGain);
    }
}

} // namespace lycheeledge::jobs
