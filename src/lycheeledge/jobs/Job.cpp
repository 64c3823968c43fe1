// In-memory state of a job on the owner.

#include "Job.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace lycheeledge::jobs {

namespace {

    constexpr std::size_t maxDoneEntries = 256; ///< in a record; beyond that, done tasks are stored as bits
    // Ids and names of the job, and the entries of the containers that hold it.
    constexpr std::size_t jobEntryBytes = 256;
    constexpr std::size_t mapEntryBytes = 48;
    // The client's call, the job, the commit and its encoded form hold a copy each until the submission is stored.
    constexpr std::size_t copiesBeforeCommit = 4;
    constexpr std::size_t taskEntryBytes = 29; ///< of a TaskProgress without failed runs and checkpoint

    /** @param count gives the number of tasks of a step. */
    template <typename Count> RunUsage usageOfTasks(const Job& job, Count count)
    {
        RunUsage result;
        for (const auto& [n, occurrence] : job.open) {
            for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
                const StepSpec& spec = job.spec().steps[i];
                const std::int64_t tasks = count(occurrence.steps[i]);
                result += { .reserved = reservationOf(spec) * tasks, .charged = spec.request * tasks };
            }
        }
        return result;
    }

    std::size_t specBytes(const JobSpec& spec)
    {
        return std::accumulate(
            spec.steps.begin(), spec.steps.end(), spec.payload.size(), [](std::size_t n, const StepSpec& step) {
                return n + sizeof(StepSpec) + step.after.size() * sizeof(std::uint32_t) + step.requiredLabel.size()
                    + step.preferredRack.size() + step.image.size();
            });
    }

} // namespace

std::size_t submissionBytes(const JobSpec& spec)
{
    return sizeof(Job) + jobEntryBytes + specBytes(spec) * copiesBeforeCommit;
}

std::size_t occurrenceBytes(const JobSpec& spec)
{
    return sizeof(Occurrence) + mapEntryBytes + spec.steps.size() * sizeof(Step);
}

std::uint32_t Step::unavailableExcept(std::uint32_t index) const
{
    const auto& states = tasks.states();
    const auto available = static_cast<std::uint32_t>(
        std::count_if(states.begin(), states.end(), [](const auto& it) { return it.second.isAvailable(); }));
    return tasks.size() - available - (tasks[index].isAvailable() ? 0 : 1);
}

TimePoint Step::waitingSince() const
{
    TimePoint result = tasks.untouched() > 0 ? releasedAt : TimePoint::max();
    for (const auto& [i, task] : tasks.states()) {
        if (task.phase == TaskPhase::Waiting)
            result = std::min(result, std::max(releasedAt, task.since));
    }
    return result;
}

Step* Job::find(const StepKey& key)
{
    const auto it = open.find(key.occurrence);
    if (it == open.end() || key.step >= it->second.steps.size())
        return nullptr;
    return &it->second.steps[key.step];
}

Task* Job::find(const TaskKey& key)
{
    Step* step = find(stepOf(key));
    return step != nullptr ? step->tasks.find(key.index) : nullptr;
}

std::size_t Job::memoryBytes() const
{
    const std::size_t spec = specBytes(submission.spec);
    return sizeof(Job) + jobEntryBytes + spec * (accepted ? 1 : copiesBeforeCommit)
        + open.size() * occurrenceBytes(submission.spec);
}

Occurrence& Job::openOccurrence(std::uint32_t n, TimePoint now)
{
    Occurrence& occurrence = open[n];
    occurrence.releasedAt = now;
    occurrence.steps.resize(spec().steps.size());
    for (std::size_t i = 0; i < occurrence.steps.size(); ++i)
        occurrence.steps[i].tasks = TaskTable(spec().steps[i].taskCount);
    return occurrence;
}

std::optional<JobTiming> Step::timing(TimePoint now) const
{
    if (releasedAt == TimePoint() || placedAt == TimePoint())
        return std::nullopt;
    const TimePoint granted = std::clamp(admission.grantedAt, releasedAt, placedAt);
    return JobTiming { .admission = granted - releasedAt, .placement = placedAt - granted, .running = now - placedAt };
}

std::size_t Job::assignedTasks() const
{
    std::size_t n = 0;
    for (const auto& [k, occurrence] : open) {
        for (const auto& step : occurrence.steps)
            n += step.assigned;
    }
    return n;
}

RunUsage Job::assignedUsage() const
{
    return usageOfTasks(*this, [](const Step& step) { return step.assigned; });
}

RunUsage Job::waitingUsage() const
{
    return usageOfTasks(*this, [](const Step& step) { return step.waiting(); });
}

ProgressRecord Job::progress(std::size_t maxCheckpointBytes) const
{
    ProgressRecord record { .state = state,
        .account = submission.account,
        .queue = submission.queue,
        .endedUnixMs = endedUnixMs,
        .nextOccurrence = nextOccurrence,
        .open = {},
        .crashCounts = {},
        .runsAtEnd = runsAtEnd,
        .placements = {},
        .doneTasks = {},
        .crashTallies = {} };
    if (isFinal(state))
        return record;
    for (const auto& [key, placement] : placements)
        record.placements.push_back(placement);
    std::size_t done = 0;
    for (const auto& [n, occurrence] : open) {
        for (const auto& step : occurrence.steps)
            done += step.isDone() ? 0 : step.done;
    }
    const bool compact = done > maxDoneEntries;
    for (const auto& [n, occurrence] : open) {
        OccurrenceProgress entry { .occurrence = n, .steps = {} };
        for (std::uint32_t k = 0; k < occurrence.steps.size(); ++k) {
            const Step& step = occurrence.steps[k];
            StepProgress& progress = entry.steps.emplace_back();
            progress.failedGangRuns = step.failedGangRuns;
            progress.allDone = step.isDone();
            if (progress.allDone)
                continue;
            std::string doneBits = compact ? step.tasks.doneBits() : std::string();
            if (!compact) {
                for (std::uint32_t i = 0; i < step.tasks.doneBits().size() * 8; ++i) {
                    if (detail::hasBit(step.tasks.doneBits(), i))
                        progress.tasks.push_back({ i, true, {}, {} });
                }
            }
            for (const auto& [i, task] : step.tasks.states()) {
                if (task.phase == TaskPhase::Done || task.doneWhenRunEnds) {
                    if (compact)
                        detail::setBit(doneBits, i);
                    else
                        progress.tasks.push_back({ i, true, task.failedRuns, {} });
                    continue;
                }
                if (task.suspicions() + task.interruptions > 0)
                    record.crashTallies.push_back(
                        { n, k, i, task.crashes, task.unexplainedLosses, task.interruptions });
                const bool hasCheckpoint = !task.checkpoint.empty() && task.checkpoint.size() <= maxCheckpointBytes;
                if (task.failedRuns.empty() && !hasCheckpoint)
                    continue;
                progress.tasks.push_back({ i, false, task.failedRuns, hasCheckpoint ? task.checkpoint : "" });
                if (hasCheckpoint)
                    maxCheckpointBytes -= std::min(maxCheckpointBytes, task.checkpoint.size() + taskEntryBytes);
            }
            std::sort(progress.tasks.begin(), progress.tasks.end(),
                [](const auto& a, const auto& b) { return a.index < b.index; });
            if (!doneBits.empty())
                record.doneTasks.push_back({ n, k, std::move(doneBits) });
        }
        record.open.push_back(std::move(entry));
    }
    return record;
}

std::size_t Job::unfinishedBytes() const
{
    std::size_t result = 0;
    for (const auto& [n, occurrence] : open) {
        for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
            // Failed runs are not counted for long-running tasks, and counted once for a gang.
            if (spec().steps[i].longRunning || spec().steps[i].gang)
                continue;
            for (const auto& [index, task] : occurrence.steps[i].tasks.states()) {
                if (task.phase != TaskPhase::Done && task.hasStarted())
                    result += unfinishedTaskBytes + task.failedRuns.size() * sizeof(RunNumber);
            }
        }
    }
    return result;
}

void Job::restore(const ProgressRecord& record, TimePoint now)
{
    state = record.state;
    storedState = record.state;
    nextOccurrence = record.nextOccurrence;
    endedUnixMs = record.endedUnixMs;
    runsAtEnd = record.runsAtEnd;
    open.clear();
    for (const auto& entry : record.open) {
        Occurrence& occurrence = openOccurrence(entry.occurrence, now);
        for (std::size_t i = 0; i < entry.steps.size() && i < occurrence.steps.size(); ++i) {
            const StepProgress& progress = entry.steps[i];
            Step& step = occurrence.steps[i];
            step.failedGangRuns = progress.failedGangRuns;
            // The end of one member completes a gang; the others may not have been stored as done yet.
            const bool gangDone = spec().steps[i].gang
                && std::any_of(
                    progress.tasks.begin(), progress.tasks.end(), [](const auto& task) { return task.done; });
            if (progress.allDone || gangDone) {
                step.tasks.markAllDone();
                step.done = step.tasks.size();
            }
            for (const auto& taskProgress : progress.tasks) {
                if (taskProgress.index >= step.tasks.size() || step.tasks.isDone(taskProgress.index))
                    continue;
                if (taskProgress.done) {
                    step.tasks.markDone(taskProgress.index);
                    ++step.done;
                    continue;
                }
                Task& task = *step.tasks.find(taskProgress.index);
                task.failedRuns = taskProgress.failedRuns;
                task.checkpoint = taskProgress.checkpoint;
            }
        }
    }
    for (const auto& entry : record.doneTasks) {
        Step* step = find(StepKey { id, entry.occurrence, entry.step });
        for (std::uint32_t i = 0; step != nullptr && i < step->tasks.size(); ++i) {
            // The end of one member completes a gang.
            if (spec().steps[entry.step].gang || detail::hasBit(entry.bits, i))
                step->done += step->tasks.markDone(i) ? 1 : 0;
        }
    }
    // Earlier builds counted workers out of reach among the crashes, but not among the interruptions.
    for (const auto& count : record.crashCounts) {
        if (Task* task = find(TaskKey { id, count.occurrence, count.step, count.index }))
            task->interruptions = count.interruptions;
    }
    for (const auto& tally : record.crashTallies) {
        if (Task* task = find(TaskKey { id, tally.occurrence, tally.step, tally.index })) {
            task->crashes = tally.crashes;
            task->unexplainedLosses = tally.unexplainedLosses;
            task->interruptions = tally.interruptions;
        }
    }
    placements.clear();
    storedPlacements.clear();
    for (const auto& placement : record.placements) {
        const TaskKey key { id, placement.occurrence, placement.step, placement.index };
        if (find(key) == nullptr)
            continue;
        placements[key] = placement;
        storedPlacements.insert(key);
    }
    everStarted = state != JobState::Queued;
}

} // namespace lycheeledge::jobs
