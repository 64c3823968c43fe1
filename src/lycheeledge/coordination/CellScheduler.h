// The scheduler of a cell: decides which work starts where and when.
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
 * @brief Single-threaded state machine without I/O that runs on the owner of a cell.
 *
 * Callbacks given to submit() and cancel() are posted to the runtime, never called from within the call. None is
 * called after the scheduler is destroyed.
 */
class CellScheduler final : public WorkerPoolListener {
public:
    using Done = WorkItem::Done;

    CellScheduler(Runtime& runtime, WorkerPool& pool, JobJournal& journal, SchedulerSettings settings = {});
    ~CellScheduler() override;
    CellScheduler(const CellScheduler&) = delete;
    CellScheduler& operator=(const CellScheduler&) = delete;

    /** @brief Puts teams, policies and drain marks into force. */
    void applyConfiguration(const Configuration& configuration);
    /** @brief Restores accepted jobs from the journal. Must be called before activate(). */
    void recover(const std::vector<JournalRecord>& records);
    /** @brief Starts placing work. @param missingWorkers journalled workers that have not reported. */
    void activate(const std::vector<VmId>& missingWorkers);
    /**
     * @brief Submits work, or attaches to an earlier submission of the same identity.
     * @param done called once: for requests with the final result, for jobs when they are durably accepted (error
     * None, NotRun, message "accepted") or refused.
     */
    void submit(WorkSpec spec, std::string traceparent, Done done);
    /** @brief Cancels work; a cancelled task never starts afterwards. @param done none for unknown work. */
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
    struct EarlySubmission {
        WorkSpec spec;
        std::string traceparent;
        Done done;
        TimePoint arrival;
    };
    /// Team in the order of one scheduling pass; urgent work within the team's entitlement has rank 0.
    struct Turn {
        int rank = 0;
        double key = 0;
        TeamRecord* team = nullptr;
    };

    // Submissions (CellScheduler.cpp).
    void accept(WorkSpec spec, std::string traceparent, Done done, TimePoint arrival);
    bool attach(const WorkSpec& spec, Done& done);
    void refuse(const WorkSpec& spec, ErrorKind error, std::string message, const char* reason, Done done);
    WorkItem& create(WorkSpec spec, std::string traceparent, TimePoint arrival);
    void journalSubmission(WorkItem& item);
    void enqueue(WorkItem& item, bool front);
    std::optional<std::string> neverFits(const WorkSpec& spec) const;
    bool fleetKnown() const;
    /// Whether an identity that is not found has certainly not run in the deduplication window.
    bool historyComplete() const;
    WorkStatus statusOf(const WorkItem& item) const;
    WorkItem* find(const WorkId& id) const;
    const KindPolicy& policy(WorkKind kind) const;
    void answer(WorkItem& item, const WorkResult& result);
    void postResult(Done done, WorkResult result);
    void reviewSetAside();

    // Ends (CellSchedulerEnds.cpp).
    void close(WorkItem& item, ErrorKind error, std::string message);
    void finishIfEnded(WorkItem& item);
    void finish(WorkItem& item, WorkResult result);
    void journalEnd(WorkItem& item, const WorkResult& result);
    void applyFinished(WorkItem& item, const FinishedTask& task);
    void taskFailed(WorkItem& item, std::uint32_t index, const std::string& message);
    void taskNotRun(WorkItem& item, std::uint32_t index, const std::string& message);
    void taskLost(WorkItem& item, std::uint32_t index);
    void taskDropped(WorkItem& item, std::uint32_t index);
    void failTask(WorkItem& item, std::uint32_t index, ErrorKind error, RunState run, std::string message);
    void startAnswered(const TaskId& id, CommandOutcome outcome, const std::string& message);
    bool retry(WorkItem& item, std::uint32_t index);
    void requeue(WorkItem& item, std::uint32_t index);
    void setState(WorkItem& item, std::uint32_t index, TaskState state);
    void releaseTask(WorkItem& item, std::uint32_t index);
    void releaseReservation(const TaskId& id);
    void releaseOn(std::optional<WorkerSlot> worker, const TaskId& id);
    void tick();
    void fireDeadlines();
    void dropEarly(TimePoint now);
    void fireRetries();

    // Decisions (CellSchedulerDecisions.cpp).
    void schedule();
    std::vector<Turn> turns() const;
    Turn turnOf(TeamRecord& team) const;
    bool placeFrom(TeamRecord& team, bool urgentOnly);
    bool tryPlace(WorkItem& item);
    bool tryPlaceGang(WorkItem& item);
    bool blocked(WorkItem& item, WaitCause cause);
    void placed(WorkItem& item);
    bool journalStalled() const;
    bool withinLimit(const WorkItem& item, std::uint32_t count) const;
    std::optional<WorkerSlot> choose(const WorkItem& item, std::uint32_t index);
    void reserveTask(WorkItem& item, std::uint32_t index, WorkerSlot worker);
    void addReservation(const TaskId& id, const Reservation& reservation);
    void startTask(WorkItem& item, std::uint32_t index);
    void sendStart(WorkItem& item, std::uint32_t index);
    void capacityFreed(WorkerSlot worker);
    void pruneFreedSizes();
    void everythingMayFit();

    // Gangs, health, overload and preemption (CellSchedulerPolicies.cpp).
    void manageHold();
    void dropHold();
    void placeHolder();
    void regroup(WorkItem& item, std::uint32_t index, TimePoint due);
    void regroupIfEnded(WorkItem& item);
    void fireRegroups();
    void noteHealth(const WorkItem& item, WorkerSlot worker, bool succeeded);
    void setQuarantined(WorkerSlot worker, bool quarantined);
    void manageProbes();
    void shedRequests();
    void preempt();
    void preemptFor(TeamRecord& team, const WorkItem& waiter, double demandingShares);
    double targetPart(const TeamRecord& team, double demandingShares) const;
    double plannedPart(const TeamRecord& team) const;
    const WorkItem* starvingItem(TeamRecord& team, double demandingShares);
    void sendPreemptions();
    void releaseStalledStarts();

    // Recovery and workers' reports (CellSchedulerRecovery.cpp).
    void recoverRecord(const JournalRecord& record);
    void claimReported(WorkItem& item);
    bool ownsRun(const WorkItem* item, const TaskId& id) const;
    void attachRunning(WorkItem& item, const TaskId& task, WorkerSlot worker);
    std::vector<TaskId> tasksOn(WorkerSlot slot) const;
    void loseTask(const TaskId& id);
    void setWorkerFlags(WorkerSlot slot, bool available, bool reachable);
    void resolveTasks();
    void missingChanged();
    void applyReported(WorkItem& item, const FinishedTask& task);
    void reportRunning(WorkerSlot slot, const RunningTask& task);
    void dropAbsent(WorkerSlot slot, const LeaseReport& report);

    Runtime& m_runtime;
    WorkerPool& m_pool;
    JobJournal& m_journal;
    const SchedulerSettings m_settings;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< guards callbacks that outlive the scheduler
    Runtime::TimerId m_timer = 0;

    bool m_active = false;
    std::set<VmId> m_missing; ///< journalled workers without a report
    std::map<VmId, Resources> m_journalledCapacity; ///< of the workers of the journalled set
    std::optional<Resources> m_missingCapacity; ///< of all missing workers; none if one is not journalled
    TimePoint m_historyCompleteAt; ///< end of the deduplication window of workers removed without a report
    std::vector<EarlySubmission> m_early; ///< submissions before activate()

    std::map<WorkKind, KindPolicy> m_policies;
    std::map<VmId, bool> m_drained;
    WorkerTable m_workers;
    TeamTable m_teams;
    std::unique_ptr<Placement> m_placement;
    std::unique_ptr<TeamOrder> m_order;

    absl::flat_hash_map<WorkId, std::unique_ptr<WorkItem>> m_items;
    std::uint64_t m_nextSequence = 1;
    std::map<std::pair<TimePoint, std::uint64_t>, WorkItem*> m_deadlines;
    std::multimap<TimePoint, TaskId> m_retries; ///< tasks in state Delayed
    std::map<std::uint64_t, WorkId> m_unresolved; ///< work with tasks in state Unresolved
    std::map<std::uint64_t, WorkItem*> m_setAside;
    OutcomeTable m_outcomes;
    absl::flat_hash_map<WorkId, std::vector<Done>> m_endingJobs; ///< waiters of jobs whose end is not yet durable
    UnclaimedTasks m_unclaimed;

    /// Sizes that fit on no worker at present. A size leaves the set when a worker gets enough free capacity.
    absl::flat_hash_set<Resources, ResourcesHash> m_blockedSizes;
    std::vector<Resources> m_freedSizes; ///< sizes that left `m_blockedSizes` since the last pass
    bool m_allDirty = false; ///< any team may have work that fits now
    std::set<TeamId> m_dirtyTeams; ///< teams whose own queue or usage changed

    GangHold m_hold;
    std::map<std::uint64_t, WorkItem*> m_blockedGangs; ///< gang jobs that are tried again at intervals
    std::multimap<TimePoint, WorkId> m_regroups; ///< gang jobs whose tasks have all ended, by the end of the backoff
    WorkerHealth m_health;
    absl::flat_hash_map<WorkerSlot, std::pair<TaskId, TimePoint>> m_probes;
    OverloadControl m_overload;
    Preemption m_preemption;
    TimePoint m_nextReview; ///< of holds and preemptions
    std::uint64_t m_nextStartNumber = 1;
    std::map<std::uint64_t, std::pair<TaskId, TimePoint>> m_startAppends; ///< journal records not yet durable

    std::uint64_t m_starts = 0;
    std::uint64_t m_finished = 0;
    std::uint64_t m_retryCount = 0;
    std::uint64_t m_preemptions = 0;
    std::map<std::string, std::uint64_t> m_refusals;
    std::array<WaitingTimes, 3> m_waiting; ///< by kind
};

} // namespace lycheeledge
