// Persistent form of a job: the state that the next owner needs to continue it.
#pragma once

#include "JobSpec.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lycheeledge::jobs {

enum class JobState : std::uint8_t { Queued, Running, Completed, Failed, Cancelled };

inline bool isFinal(JobState state)
{
    return state == JobState::Completed || state == JobState::Failed || state == JobState::Cancelled;
}

/** @brief An accepted submission. Written once and never changed. */
struct SubmissionRecord {
    AccountId account; ///< empty if the queue is open to all
    std::string queue;
    JobSpec spec;
    std::int64_t acceptedUnixMs = 0;
    bool beyondRate = false; ///< beyond the rate that its account was entitled to; omitted in the encoding if false

    bool operator==(const SubmissionRecord&) const = default;
};

/** @brief Stored progress of a task that is done, has failed runs or has a checkpoint. */
struct TaskProgress {
    std::uint32_t index = 0;
    bool done = false;
    std::vector<RunNumber> failedRuns; ///< repeated reports of these runs are ignored
    std::string checkpoint;

    bool operator==(const TaskProgress&) const = default;
};

struct StepProgress {
    std::vector<RunNumber> failedGangRuns;
    bool allDone = false; ///< then `tasks` is empty
    std::vector<TaskProgress> tasks; ///< ordered by index; tasks without progress are omitted

    bool operator==(const StepProgress&) const = default;
};

/** @brief Tasks of a step that are done, in a record that would grow too long with an entry for each. */
struct DoneTasks {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::string bits; ///< bit `index % 8` of byte `index / 8` is set for each of them

    bool operator==(const DoneTasks&) const = default;
};

struct OccurrenceProgress {
    std::uint32_t occurrence = 0;
    std::vector<StepProgress> steps;

    bool operator==(const OccurrenceProgress&) const = default;
};

/** @brief Crashes of workers under a task that is not done, as earlier builds wrote them. */
struct CrashCount {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    std::uint32_t crashes = 0; ///< soon after the start of the task
    std::uint32_t interruptions = 0; ///< at any time

    bool operator==(const CrashCount&) const = default;
};

/** @brief Workers that crashed, or may have, under a task that is not done. */
struct CrashTally {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    std::uint32_t crashes = 0; ///< soon after the start of the task
    std::uint32_t unexplainedLosses = 0; ///< out of reach soon after the start of the task
    std::uint32_t interruptions = 0; ///< crashes at any time

    bool operator==(const CrashTally&) const = default;
};

/**
 * @brief The confirmed run of a task that runs until it is cancelled.
 *
 * While it is stored, no other run of the task exists, though this one may have ended: an owner starts the task again
 * only after the store has applied a record without it. Its worker held no longer lease than owners grant.
 */
struct RunPlacement {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    RunNumber run = 0;
    WorkerId worker;

    bool operator==(const RunPlacement&) const = default;
};

/** @brief Resources of a set of runs. */
struct RunUsage {
    Resources reserved; ///< on their workers
    Resources charged; ///< counted against the upper limit of the client account

    bool operator==(const RunUsage&) const = default;

    RunUsage& operator+=(const RunUsage& other)
    {
        reserved += other.reserved;
        charged += other.charged;
        return *this;
    }
};

/** @brief Progress of a job. Each commit replaces the whole record. */
struct ProgressRecord {
    JobState state = JobState::Queued;
    AccountId account;
    std::string queue;
    std::int64_t endedUnixMs = 0; ///< 0 unless the state is final
    std::uint32_t nextOccurrence = 0; ///< occurrences with lower numbers have been released
    /// Occurrences that are released and not yet done; empty if the state is final.
    std::vector<OccurrenceProgress> open;
    std::vector<CrashCount> crashCounts; ///< only in records of earlier builds; omitted in the encoding if empty
    /// Of the runs that could exist when the job failed or was cancelled; omitted in the encoding if zero.
    RunUsage runsAtEnd;
    std::vector<RunPlacement> placements; ///< of long-running tasks; omitted in the encoding if empty
    std::vector<DoneTasks> doneTasks; ///< beside those in `open`; omitted in the encoding if empty
    /// Of tasks under which a worker crashed or may have; omitted in the encoding if empty.
    std::vector<CrashTally> crashTallies;

    bool operator==(const ProgressRecord&) const = default;
};

/** @brief A worker that may have received orders. */
struct KnownWorker {
    WorkerId id;
    std::string address;
    Resources largestCapacity; ///< that it has announced; stored in a record of its own; zero if unknown

    bool operator==(const KnownWorker&) const = default;
};

/** @brief Workers on which tasks of any owner may still run. A worker is stored before its first order. */
struct WorkerSetRecord {
    std::vector<KnownWorker> workers;

    bool operator==(const WorkerSetRecord&) const = default;
};

/** @brief Binary encoding of the records. Decoding a malformed record fails with `INVALID_ARGUMENT`. */
class RecordCodec {
public:
    virtual ~RecordCodec() = default;

    virtual std::string encode(const SubmissionRecord& record) const = 0;
    virtual std::string encode(const ProgressRecord& record) const = 0;
    /** @brief Without the capacities: earlier builds read and write this form. */
    virtual std::string encode(const WorkerSetRecord& record) const = 0;
    virtual std::string encodeCapacities(const WorkerSetRecord& record) const = 0;
    virtual absl::StatusOr<SubmissionRecord> decodeSubmission(std::string_view buf) const = 0;
    virtual absl::StatusOr<ProgressRecord> decodeProgress(std::string_view buf) const = 0;
    virtual absl::StatusOr<WorkerSetRecord> decodeWorkerSet(std::string_view buf) const = 0;
    /** @brief Sets the capacities of the workers in `record` that `buf` names, and leaves the others. */
    virtual absl::Status decodeCapacities(std::string_view buf, WorkerSetRecord& record) const = 0;
};

} // namespace lycheeledge::jobs
