// A job in the owner's memory.
#pragma once

#include "JobRecord.h"
#include "StallDetector.h"
#include "WorkerSpeeds.h"

#include <absl/container/flat_hash_map.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lycheeledge::jobs {

enum class TaskPhase : std::uint8_t {
    Waiting,
    Starting, ///< an order was sent; whether it runs is not known
    Running,
    Stopping, ///< a stop was sent; it may still run
    Done,
};

struct Task {
    TaskPhase phase = TaskPhase::Waiting;
    RunNumber run = 0; ///< of the latest start; 0 before the first
    std::vector<RunNumber> failedRuns; ///< as many as count against the attempts
    WorkerId worker; ///< set while Starting, Running or Stopping; capacity is reserved there exactly then
    TimePoint since; ///< when the phase began
    TimePoint confirmedAt; ///< when the worker confirmed the start or the stop; zero before
    bool doneWithGang = false; ///< a member of this run ended as done, so this one has, too
    TimePoint notBefore; ///< earliest next start
    std::string checkpoint;
    int pacePercent = 100;
    bool isWholeRun = false; ///< this owner started the run, from the beginning: its run time tells the task's length
    int restarts = 0; ///< of runs that made too little progress
    int progressPercent = 0; ///< as last reported; a long-running task is at work at 100
    std::optional<ProgressSample> progress; ///< of the run, the last one that was judged

    /** @brief Whether a long-running task serves its users. */
    bool isAtWork() const { return phase == TaskPhase::Running && progressPercent >= 100; }
    bool occupiesWorker() const
    {
        return phase == TaskPhase::Starting || phase == TaskPhase::Running || phase == TaskPhase::Stopping;
    }
};

struct Ticket {
    std::string text;
    TimePoint expiry;
};

/** @brief What the admission service has said about a step. */
struct StepAdmission {
    absl::flat_hash_map<WorkerId, Ticket> tickets;
    absl::flat_hash_map<WorkerId, bool> allowed; ///< answers do not change while the step lives
    bool asking = false;
    bool askedAhead = false; ///< before the step was released
    TimePoint nextAsk;
    TimePoint grantedAt; ///< of the first grant; zero before
};

/** @brief Where the time of finished steps went, under this owner. Zero moments are unknown. */
struct JobTiming {
    Duration admission {}; ///< from release until the admission service granted the first worker
    Duration placement {}; ///< from then until the last task had a worker
    Duration running {}; ///< from then until the last task ended as done, repeated runs included

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
    std::vector<Task> tasks;
    std::uint32_t done = 0;
    std::uint32_t occupying = 0; ///< tasks with reserved capacity
    std::vector<RunNumber> failedGangRuns; ///< of a gang, as many as count against the attempts
    bool released = false; ///< all earlier steps that it names are done
    std::vector<MeasuredRun> measured; ///< tasks that ended as done in one run
    StepAdmission admission;
    TimePoint releasedAt; ///< zero before, and for steps that an earlier owner released
    TimePoint placedAt; ///< when its last task first had a worker; zero before

    /** @brief Where the time went if the step ends now; nothing for a step that an earlier owner released. */
    std::optional<JobTiming> timing(TimePoint now) const;
    /** @brief Tasks other than one that are not at work. */
    std::uint32_t awayWithout(std::uint32_t index) const;
    bool hasWaiting() const { return done + occupying < tasks.size(); }
    bool isDone() const { return done == tasks.size(); }
};

struct Occurrence {
    std::vector<Step> steps;
    TimePoint releasedAt;
    TimePoint objective; ///< when its last task should have ended
};

/** @brief State of one job. Its tasks belong to the released, unfinished occurrences. */
struct Job {
    JobId id;
    SubmissionRecord submission; ///< the spec is dropped once the state is final
    JobState state = JobState::Queued;
    JobState storedState = JobState::Queued; ///< what callers are shown
    bool accepted = false; ///< the submission is stored
    bool everStarted = false; ///< a task has run
    std::uint32_t nextOccurrence = 0;
    std::map<std::uint32_t, Occurrence> open;
    std::int64_t endedUnixMs = 0;
    JobTiming timing;
    /// After a takeover: tasks that are not located may run on workers that have not reported.
    bool mayRunElsewhere = false;

    const JobSpec& spec() const { return submission.spec; }
    Task* find(const TaskKey& key);
    Step* find(const StepKey& key);
    /** @brief Adds an occurrence with all of its tasks waiting. */
    Occurrence& openOccurrence(std::uint32_t n, TimePoint now);
    ProgressRecord progress() const;
    /** @brief Restores what progress() returned. */
    void restore(const ProgressRecord& record, TimePoint now);
};

} // namespace lycheeledge::jobs
