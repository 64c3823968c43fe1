// In-memory state of a job on the owner.
#pragma once

#include "JobRecord.h"
#include "TaskTable.h"
#include "WorkerSpeeds.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lycheeledge::jobs {

/// Bytes that a task which has started and is not done may need in the stored progress, without its checkpoint and
/// failed runs beyond the first: an entry of 37 bytes and its crash counts.
inline constexpr std::size_t unfinishedTaskBytes = 64;

struct Ticket {
    std::string text;
    TimePoint expiry;
};

/** @brief Replies of the admission service for a step. */
struct StepAdmission {
    absl::flat_hash_map<WorkerId, Ticket> tickets;
    absl::flat_hash_map<WorkerId, bool> allowed; ///< replies do not change during the lifetime of a step
    bool requestPending = false;
    bool prefetched = false; ///< tickets were requested before the step was released
    TimePoint nextRequestAt;
    TimePoint grantedAt; ///< time of the first grant; zero before that
};

/**
 * @brief Time that finished steps spent in each phase, under this owner. Steps whose release or placement time is
 * unknown are left out.
 */
struct JobTiming {
    Duration admission {}; ///< from release until the admission service granted the first worker
    Duration placement {}; ///< from the first grant until the last task had a worker
    Duration running {}; ///< from the placement of the last task until all tasks were done, including repeated runs

    bool operator==(const JobTiming&) const = default;

    JobTiming& operator+=(const JobTiming& other)
    {
        admission += other.admission;
        placement += other.placement;
        running += other.running;
        return *this;
    }
};

struct Step {
    TaskTable tasks;
    std::uint32_t done = 0;
    std::uint32_t assigned = 0; ///< number of tasks with reserved resources
    std::vector<RunNumber> failedGangRuns; ///< failed runs of a gang that count as attempts
    bool released = false; ///< all steps that it depends on are done
    std::vector<MeasuredRun> measured; ///< run times of tasks that completed in a single full run, of some of them
    StepAdmission admission;
    TimePoint releasedAt; ///< zero before release; time of recovery if an earlier owner released the step
    TimePoint placedAt; ///< when all its tasks first had a worker; zero before that

    /** @brief Time spent in each phase if the step ends now; nothing if its release or placement time is unknown. */
    std::optional<JobTiming> timing(TimePoint now) const;
    /** @brief Since when the task that has waited longest waits. There must be one that waits. */
    TimePoint waitingSince() const;
    /** @brief Number of unavailable tasks, not counting the one at `index`. */
    std::uint32_t unavailableExcept(std::uint32_t index) const;
    std::uint32_t waiting() const { return tasks.size() - done - assigned; }
    bool hasWaiting() const { return waiting() > 0; }
    bool isDone() const { return done == tasks.size(); }
};

struct Occurrence {
    std::vector<Step> steps;
    TimePoint releasedAt;
    TimePoint objective; ///< time by which its last task should have ended

    bool isDone() const
    {
        return std::all_of(steps.begin(), steps.end(), [](const Step& step) { return step.isDone(); });
    }
};

/** @brief Estimated memory of a job that was just submitted, until it is stored. */
std::size_t submissionBytes(const JobSpec& spec);
/** @brief Estimated memory of one open occurrence, without that of tasks which have started. */
std::size_t occurrenceBytes(const JobSpec& spec);

/** @brief State of one job. Tasks exist from the release of their occurrence until a while after its end. */
struct Job {
    JobId id;
    SubmissionRecord submission; ///< the spec is dropped once the state is final
    JobState state = JobState::Queued;
    JobState storedState = JobState::Queued; ///< state that is reported to callers
    bool accepted = false; ///< the submission is stored
    bool everStarted = false; ///< at least one task has run
    std::uint32_t nextOccurrence = 0;
    std::map<std::uint32_t, Occurrence> open;
    std::int64_t endedUnixMs = 0;
    RunUsage runsAtEnd; ///< of the runs that could exist when the job failed or was cancelled
    JobTiming timing;
    std::uint64_t budgetPass = 0; ///< scheduling pass in which `firstStartsLeft` was evaluated
    std::size_t firstStartsLeft = 0; ///< number of tasks that may start for the first time in that pass
    std::map<TaskKey, RunPlacement> placements; ///< of confirmed runs of long-running tasks, as they shall be stored
    absl::flat_hash_set<TaskKey> storedPlacements; ///< tasks of which a placement may be in the store
    bool isPayloadUnloaded = false; ///< the payload is only in the store, and is read before a task starts
    std::size_t countedBytes = 0; ///< as last counted in WorkMemory
    /// After a takeover, unlocated tasks of the job may run on workers that have not reported yet. So may tasks of a
    /// job that had ended before.
    bool mayHaveUnlocatedRuns = false;

    const JobSpec& spec() const { return submission.spec; }
    std::size_t assignedTasks() const;
    /** @brief Of all tasks that are assigned to a worker. */
    RunUsage assignedUsage() const;
    /** @brief Of all tasks that wait, as if each had a run. */
    RunUsage waitingUsage() const;
    /** @brief Gives the task a state of its own. @return `nullptr` also for a done task whose state was erased. */
    Task* find(const TaskKey& key);
    Step* find(const StepKey& key);
    /** @brief Estimated memory of the job, without that of tasks which have started. */
    std::size_t memoryBytes() const;
    /** @brief Adds an occurrence, with all of its tasks waiting. */
    Occurrence& openOccurrence(std::uint32_t n, TimePoint now);
    /** @param maxCheckpointBytes checkpoints beyond this total are left out, so that the next owner repeats work. */
    ProgressRecord progress(std::size_t maxCheckpointBytes = std::numeric_limits<std::size_t>::max()) const;
    /** @brief Bytes of progress() that tasks which have started and are not done may need, without checkpoints. */
    std::size_t unfinishedBytes() const;
    /** @brief Restores the state that progress() returned. */
    void restore(const ProgressRecord& record, TimePoint now);
};

} // namespace lycheeledge::jobs
