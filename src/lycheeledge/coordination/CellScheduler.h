// Scheduler of a cell: decides when each task starts and on which worker.
#pragma once

#include "../state/Configuration.h"
#include "../state/Outcome.h"
#include "FairShare.h"
#include "GangHold.h"
#include "JobJournal.h"
#include "OutcomeTable.h"
#include "OverloadControl.h"
#include "Placement.h"
#include "Preemption.h"
#include "Runtime.h"
#include "SchedulerOverview.h"
#include "SchedulerSettings.h"
#include "TeamTable.h"
#include "UnclaimedTasks.h"
#include "WaitingTimes.h"
#include "WorkItem.h"
#include "WorkerHealth.h"
#include "WorkerPool.h"
#include "WorkerTable.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/hash/hash.h>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lycheeledge {

/**
 * @brief Single-threaded state machine, without I/O of its own, that runs on the owner of a cell.
 *
 * Callbacks passed to submit() and cancel() are posted to the runtime and never invoked from within the call. None is
 * invoked after the scheduler is destroyed.
 */
class CellScheduler final : public WorkerPoolListener {
public:
    using Done = WorkItem::Done;

    CellScheduler(Runtime& runtime, WorkerPool& pool, JobJournal& journal, SchedulerSettings settings = {});
    ~CellScheduler() override;
    CellScheduler(const CellScheduler&) = delete;
    CellScheduler& operator=(const CellScheduler&) = delete;

    /** @brief Applies teams, policies and drain flags. */
    void applyConfiguration(const Configuration& configuration);
    /** @brief Restores accepted jobs from journal records. Must be called before activate(). */
    void recover(const std::vector<JournalRecord>& records);
    /** @brief Starts placing work. @param missingWorkers journalled workers that have not reported yet. */
    void activate(const std::vector<VmId>& missingWorkers);
    /**
     * @brief Submits work, or attaches to an earlier submission with the same ID.
     * @param done invoked once: for requests with the final result, for jobs when they are durably accepted (error
     * None, run state NotRun, message "accepted") or refused.
     */
    void submit(WorkSpec spec, std::string traceparent, Done done);
    /** @brief Cancels work; none of its tasks starts afterwards. @param done receives nullopt for unknown work. */
    void cancel(const WorkId& id, std::function<void(std::optional<WorkStatus>)> done);
    std::optional<WorkStatus> status(const WorkId& id) const;
    SchedulerOverview overview() const;

    void workerAvailable(const WorkerDescription& worker, const LeaseReport& report) override;
    void workerReported(const VmId& worker, const LeaseReport& report) override;
    void workerChanged(const WorkerDescription& worker) override;
    void workerUnreachable(const VmId& worker) override;
    void workerLost(const VmId& worker) override;
    void taskFinished(const VmId& worker, const FinishedTask& task) override;

private:
    struct ResourcesHash {
        std::size_t operator()(const Resources& r) const
        {
            return absl::HashOf(r.milliCpu, r.memoryMb, r.accelerators, r.slots, r.connections);
        }
    };
    /// Submission received before activate().
    struct DeferredSubmission {
        WorkSpec spec;
        std::string traceparent;
        Done done;
        TimePoint arrival;
    };
    /// Priority of a team in a scheduling pass. Rank 0: it has urgent work and is within its entitlement for such work.
    struct TeamPriority {
        int rank = 0;
        double key = 0;
        TeamRecord* team = nullptr;
    };

    // Submissions (CellScheduler.cpp).
    void accept(WorkSpec spec, std::string traceparent, Done done, TimePoint arrival);
    bool attachToExisting(const WorkSpec& spec, Done& done);
    void refuse(const WorkSpec& spec, ErrorKind error, std::string message, const char* reason, Done done);
    WorkItem& createItem(WorkSpec spec, std::string traceparent, TimePoint arrival);
    void journalSubmission(WorkItem& item);
    void enqueue(WorkItem& item, bool front);
    /// Why the work does not fit even on the idle fleet or within the team's limits; nullopt if it does.
    std::optional<std::string> unschedulableReason(const WorkSpec& spec) const;
    /// Whether no journalled worker is missing and at least one worker counts towards the fleet.
    bool fleetKnown() const;
    /// Whether work with an unknown ID has certainly not run within the deduplication window.
    bool historyComplete() const;
    WorkStatus statusOf(const WorkItem& item) const;
    WorkItem* find(const WorkId& id) const;
    const KindPolicy& policy(WorkKind kind) const;
    void answer(WorkItem& item, const WorkResult& result);
    void postResult(Done done, WorkResult result);
    void requeueSetAside();

    // Task and work completion (CellSchedulerEnds.cpp).
    /// Starts no further task of the work, stops the running ones, and ends the work with `error` once all have ended.
    void abort(WorkItem& item, ErrorKind error, std::string message);
    void finishIfEnded(WorkItem& item);
    void finish(WorkItem& item, WorkResult result);
    void journalEnd(WorkItem& item, const WorkResult& result);
    void applyFinished(WorkItem& item, const FinishedTask& task);
    void taskFailed(WorkItem& item, std::uint32_t index, const std::string& message);
    void taskNotRun(WorkItem& item, std::uint32_t index, const std::string& message);
    void taskLost(WorkItem& item, std::uint32_t index);
    void taskAborted(WorkItem& item, std::uint32_t index);
    /// Applies the end of a task that the worker reports, without placing work.
    void applyEnd(const VmId& worker, const FinishedTask& finished);
    /// Applies the success of an earlier run than the one that is waiting, starting or running.
    void applyEarlierSuccess(WorkItem& item, const FinishedTask& finished);
    /// Ends a task whose current run failed or was lost with the success of an earlier run, if there was one.
    bool endWithEarlierSuccess(WorkItem& item, std::uint32_t index);
    /// Removes a task from the tasks that are ready to be placed.
    void withdraw(WorkItem& item, std::uint32_t index);
    void failTask(WorkItem& item, std::uint32_t index, ErrorKind error, RunState run, std::string message);
    void startCommandCompleted(const TaskId& id, CommandOutcome outcome, const std::string& message);
    bool retry(WorkItem& item, std::uint32_t index);
    /// Makes a failed run of a batch task durable, so that it counts under the next owner, too.
    void journalFailure(WorkItem& item, std::uint32_t index);
    void requeue(WorkItem& item, std::uint32_t index);
    void setState(WorkItem& item, std::uint32_t index, TaskState state);
    void releaseTask(WorkItem& item, std::uint32_t index);
    void releaseReservation(const TaskId& id);
    void releaseReservationOn(std::optional<WorkerIndex> worker, const TaskId& id);
    void tick();
    void expireDeadlines();
    void expireDeferredSubmissions(TimePoint now);
    void requeueDueRetries();

    // Placement decisions (CellSchedulerDecisions.cpp).
    void schedule();
    std::vector<TeamPriority> teamPriorities() const;
    TeamPriority priorityOf(TeamRecord& team) const;
    bool placeFrom(TeamRecord& team, bool urgentOnly);
    bool tryPlace(WorkItem& item);
    bool tryPlaceGang(WorkItem& item);
    bool markBlocked(WorkItem& item, WaitCause cause);
    void onPlaced(WorkItem& item);
    bool journalStalled() const;
    bool withinLimit(const WorkItem& item, std::uint32_t count) const;
    std::optional<WorkerIndex> chooseWorker(const WorkItem& item, std::uint32_t index);
    void reserveTask(WorkItem& item, std::uint32_t index, WorkerIndex worker);
    void addReservation(const TaskId& id, const Reservation& reservation);
    void startTask(WorkItem& item, std::uint32_t index);
    void sendStart(WorkItem& item, std::uint32_t index);
    void capacityFreed(WorkerIndex worker);
    void reblockFullSizes();
    void markAllDirty();

    // Holds, gang restarts, worker health, overload and preemption (CellSchedulerPolicies.cpp).
    void updateHold();
    void releaseHold();
    void tryPlaceHolder();
    /// Marks an ended task as waiting for the restart of its gang, and stops the other tasks of the gang.
    void awaitGangRestart(WorkItem& item, std::uint32_t index, TimePoint due);
    void scheduleGangRestartIfEnded(WorkItem& item);
    void requeueDueGangs();
    void recordHealth(const WorkItem& item, WorkerIndex worker, bool succeeded);
    void setQuarantined(WorkerIndex worker, bool quarantined);
    void updateProbes();
    void shedRequests();
    void preempt();
    void preemptFor(TeamRecord& team, const WorkItem& waiter, double totalActiveShare);
    double targetPart(const TeamRecord& team, double totalActiveShare) const;
    double plannedPart(const TeamRecord& team) const;
    const WorkItem* starvingItem(TeamRecord& team, double totalActiveShare);
    void sendPreemptions();
    void releaseStalledStarts();

    // Recovery and workers' reports (CellSchedulerRecovery.cpp).
    void recoverRecord(const JournalRecord& record);
    void claimReportedTasks(WorkItem& item);
    /// Whether `id` is the current run of its task and has a reservation.
    bool isActiveRun(const WorkItem* item, const TaskId& id) const;
    void attachRunningTask(WorkItem& item, const TaskId& task, WorkerIndex worker);
    std::vector<TaskId> tasksOn(WorkerIndex slot) const;
    void loseTask(const TaskId& id);
    void setWorkerFlags(WorkerIndex slot, bool available, bool reachable);
    void resolveTasks();
    void missingWorkersChanged();
    void applyReported(WorkItem& item, const FinishedTask& task);
    void addReportedTask(WorkerIndex slot, const RunningTask& task);
    /// Treats tasks that a full report of their worker no longer contains as lost.
    void loseAbsentTasks(WorkerIndex slot, const LeaseReport& report);

    Runtime& m_runtime;
    WorkerPool& m_pool;
    JobJournal& m_journal;
    const SchedulerSettings m_settings;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< expires with the scheduler; checked by callbacks
    Runtime::TimerId m_timer = 0;

    bool m_active = false;
    std::set<VmId> m_missingWorkers; ///< journalled workers that have not reported yet
    std::map<VmId, Resources> m_journalledCapacity; ///< capacity of each journalled worker
    std::optional<Resources> m_missingCapacity; ///< total of the missing workers; nullopt if one is not journalled
    TimePoint m_historyCompleteAt; ///< end of the deduplication window for workers lost without a report
    std::vector<DeferredSubmission> m_deferredSubmissions;

    std::map<WorkKind, KindPolicy> m_policies;
    std::map<VmId, bool> m_drained;
    WorkerTable m_workers;
    TeamTable m_teams;
    std::unique_ptr<Placement> m_placement;
    std::unique_ptr<TeamOrder> m_teamOrder;

    absl::flat_hash_map<WorkId, std::unique_ptr<WorkItem>> m_items;
    std::uint64_t m_nextSequence = 1;
    std::map<std::pair<TimePoint, std::uint64_t>, WorkItem*> m_deadlines;
    std::multimap<TimePoint, TaskId> m_retries; ///< tasks in state Delayed, by the end of the backoff
    std::map<std::uint64_t, WorkId> m_unresolved; ///< work with tasks in state Unresolved, by sequence number
    std::map<std::uint64_t, WorkItem*> m_setAside;
    OutcomeTable m_outcomes;
    /// Callbacks of jobs whose JobEnded record is not durable yet.
    absl::flat_hash_map<WorkId, std::vector<Done>> m_pendingEndWaiters;
    UnclaimedTasks m_unclaimed;

    /// Task sizes that currently fit on no worker. A size is removed when a worker gains enough free capacity.
    absl::flat_hash_set<Resources, ResourcesHash> m_blockedSizes;
    std::vector<Resources> m_unblockedSizes; ///< sizes removed from `m_blockedSizes` since the last pass
    bool m_allDirty = false; ///< any team may have work that can be placed now
    std::set<TeamId> m_dirtyTeams; ///< teams whose queue or usage changed since the last pass

    GangHold m_hold;
    std::map<std::uint64_t, WorkItem*> m_blockedGangs; ///< gang jobs whose placement is retried periodically
    std::multimap<TimePoint, WorkId> m_gangRestarts; ///< gang jobs with no running task, by the end of the backoff
    WorkerHealth m_health;
    /// Probe tasks on workers whose quarantine has ended, with the time of placement.
    absl::flat_hash_map<WorkerIndex, std::pair<TaskId, TimePoint>> m_probes;
    OverloadControl m_overload;
    Preemption m_preemption;
    TimePoint m_nextReview; ///< time of the next review of the hold and of preemptions
    std::uint64_t m_nextStartNumber = 1;
    /// TaskStarting records that are not durable yet, with the time they were appended.
    std::map<std::uint64_t, std::pair<TaskId, TimePoint>> m_pendingStartRecords;

    std::uint64_t m_starts = 0;
    std::uint64_t m_finished = 0;
    std::uint64_t m_retryCount = 0;
    std::uint64_t m_preemptions = 0;
    std::map<std::string, std::uint64_t> m_refusals;
    std::array<WaitingTimes, 3> m_waiting; ///< by work kind
};

} // namespace lycheeledge
