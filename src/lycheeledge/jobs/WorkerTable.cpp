// The owner's view of the workers: their runs, reserved resources and eligibility for tasks.

#include "WorkerTable.h"

namespace lycheeledge::jobs {

void reserve(Worker& worker, const TaskKey& task, const PlacedRun& run)
{
    (void)release(worker, task);
    worker.reserved += run.reserved;
    worker.latencySensitiveRuns += run.latencySensitive ? 1 : 0;
    worker.idleCpuRuns += run.usesIdleCpu ? 1 : 0;
    worker.runs[task] = run;
}

std::optional<PlacedRun> release(Worker& worker, const TaskKey& task)
{
    const auto it = worker.runs.find(task);
    if (it == worker.runs.end())
        return std::nullopt;
    const PlacedRun run = it->second;
    worker.reserved -= run.reserved;
    worker.latencySensitiveRuns -= run.latencySensitive ? 1 : 0;
    worker.idleCpuRuns -= run.usesIdleCpu ? 1 : 0;
    worker.runs.erase(it);
    return run;
}

} // namespace lycheeledge::jobs
