// Scheduler of the owner: decides when and on which worker each task runs, and tracks the state of every run.
#pragma once

#include "../coordination/Runtime.h"
#include "AdmissionDispatcher.h"
#include "ClusterConfiguration.h"
#include "EventLog.h"
#include "FailureQuarantine.h"
#include "Job.h"
#include "JobLedger.h"
#include "JobSchedulerSettings.h"
#include "MaintenanceCoordinator.h"
#include "Placement.h"
#include "PoolIndex.h"
#include "StepOrder.h"
#include "UncountedUsage.h"
#include "VanishedWorkers.h"
#include "WorkerTable.h"
#include "overload/RunTimeRatios.h"
#include "overload/SubmissionGate.h"
#include "overload/SubmissionRate.h"
#include "overload/WorkMemory.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lycheeledge::jobs {

/** @brief Why a step asks for admission. */
enum class AdmissionReason : std::uint8_t {
    SchedulingOrder,
    Overdue,
    LongRunning, ///< overdue, and has tasks that have to run all the time
};

/** @brief Services that the host process provides to the scheduler. */
class JobSchedulerHost {
public:
    virtual ~JobSchedulerHost() = default;

    /** @brief Whether this process still holds ownership and may send orders. */
    virtual bool maySendOrders() const = 0;
    /** @brief Until when it may send orders unless the ownership is confirmed again. */
    virtual TimePoint ordersEnd() const = 0;
    /** @brief Whether it may also start tasks. */
    virtual bool mayStartTasks() const = 0;
    /** @brief Whether an operator has asked that no task start in this data centre. */
    virtual bool isEvacuated(const std::string& dataCentre) const = 0;
    /** @brief Until this time, no other process has certainly owned the jobs since this one does. */
    virtual TimePoint ownershipConfirmedAt() const = 0;
    /** @brief Called when a worker has rejected an order because it has accepted a higher epoch. */
    virtual void fenced() = 0;
    /** @brief Milliseconds since 1970. */
    virtual std::int64_t unixMs() const = 0;
    /** @brief Reads the payload of a stored job. `done` gets nothing if it cannot be read now. */
    virtual void readPayload(const JobId& job, std::function<void(std::optional<std::string>)> done) = 0;
};

/** @brief A submission that was read from the store. */
struct RecoveredSubmission {
    SubmissionRecord record;
    bool hasPayload = true; ///< otherwise `record` is without it, to save memory

    bool operator==(const RecoveredSubmission&) const = default;
};

/**
 * @brief State machine of all jobs. Runs on the coordination thread.
 *
 * Invariants: a task has at most one run that may exist; resources are reserved on a worker exactly while a run may
 * exist there; a step starts only after the steps it depends on have ended; the end of a run is acknowledged to its
 * worker, and a final job state is reported to callers, only after it is stored.
 */
class JobScheduler final : public WorkerLinkListener, public WorkerDrainer {
public:
    struct Ports {
        Runtime& runtime;
        WorkerPort& workers;
        AdmissionDispatcher& admission;
        JobLedger& ledger;
        EventLog& log;
        JobSchedulerHost& host;
    };

    JobScheduler(Ports ports, JobSchedulerSettings settings = {});
    ~JobScheduler() override;

    // --- Ownership ---

    /** @brief Resets all state and begins an ownership epoch. No task starts before activate(). */
    void begin(Epoch epoch);
    /** @brief Adds a job that was read from the store. */
    void recover(
        const JobId& id, std::optional<RecoveredSubmission> submission, std::optional<ProgressRecord> progress);
    /** @brief Adds the workers to which earlier owners may have sent orders. */
    void recoverWorkers(const WorkerSetRecord& workers);
    /** @brief Called once all earlier owners have certainly stopped: runs that they started end with their leases. */
    void earlierOwnersStopped();
    /** @brief Ends recovery from the store. Tasks start once the workers have reported. */
    void activate();
    void end();
    bool isActive() const { return m_recovered; }

    // --- Inputs ---

    void setConfiguration(std::shared_ptr<const ClusterConfiguration> configuration);
    /** @brief Replaces the registered workers. */
    void setWorkers(const std::vector<WorkerRecord>& records);

    /**
     * @brief Adds a submission. `stored` is called once it is stored. The job must not exist. Sets
     * SubmissionRecord::beyondRate, which uses up a part of the account's rate.
     */
    void submit(const JobId& id, SubmissionRecord submission, std::function<void()> stored);
    /**
     * @brief Predicts whether a job that is submitted now would end in time. An accepted one counts as load at once;
     * it is expected to be submitted next.
     * @param random uniformly distributed.
     */
    GateDecision evaluate(
        const QueuePolicy& queue, const AccountId& account, const JobSpec& spec, std::uint64_t random);
    /** @brief Whether a job of the account may be submitted, so that the accepted work stays within its memory. */
    bool hasMemoryFor(const AccountId& account, const JobSpec& spec) const;
    /** @brief Drops a submission that is not stored and will never be. */
    void withdraw(const JobId& id);
    /** @brief Cancels a job. `stored` is called once the cancellation is stored. */
    void cancel(const JobId& id, std::function<void()> stored);

    // --- WorkerDrainer ---

    void setMaintenance(const WorkerId& worker, bool isDraining) override;
    std::size_t drain(const WorkerId& worker, bool force) override;

    // --- Persistence (called by the ledger) ---

    std::optional<JobChange> pendingChange(const JobId& id);
    void changeStored(const JobId& id, const JobChange& change);
    /** @brief Fails a job whose progress cannot be stored, so that the ends of its tasks can be acknowledged. */
    void progressRefused(const JobId& id, std::vector<std::function<void()>> stored);

    // --- Queries ---

    const Job* job(const JobId& id) const;
    /** @brief Number of accepted jobs of a queue of which no task has started. */
    std::size_t unstartedJobs(const std::string& queue) const;
    const WorkMemory& workMemory() const { return m_workMemory; }
    const WorkerTable& workers() const { return m_workers; }
    const JobSchedulerCounters& counters() const { return m_counters; }
    std::size_t jobCount() const { return m_jobs.size(); }
    std::size_t readySteps() const { return m_readySteps.size(); }
    /** @brief Reserved CPU as a percentage of the registered workers' capacity. */
    int reservedCpuPercent() const;
    Resources usage(const AccountId& account) const;
    /** @brief Whether a submission of the account would be beyond its rate now. Uses up nothing. */
    bool isRateExceeded(const AccountId& account);
    /** @brief Wait until the first task that was last predicted for each queue. */
    const std::map<std::string, Duration>& predictedWaits() const { return m_predictedWaits; }

private:
    // WorkerLinkListener
    void workerReported(const WorkerId& id, const PollReport& report, TimePoint sentAt) override;
    void workerReachabilityChanged(const WorkerId& id, bool reachable) override;
    void workerIncarnationEnded(const WorkerId& id) override;
    /** @brief The same, as told by the response to an order with this fencing token. */
    void incarnationEnded(const WorkerId& id, Epoch fencingToken);
    void workerFenced(const WorkerId& id) override;

    // Passes (JobSchedulerPasses.cpp)
    /** @brief Longest time from the last order of an earlier owner until a lease of this length has ended. */
    Duration leaseOf(Duration workerTime) const;
    /** @brief The same for the longest lease: a worker that restarted unnoticed may hold it. */
    Duration longestLease() const { return leaseOf(m_settings.link.maxLease); }
    void requestPass();
    void pass();
    void tick();
    /** @param released number of occurrences that an earlier owner has released, if known. */
    void releaseDueOccurrences(Job& job, std::uint32_t released = 0);
    /** @brief Releases steps and completes the job if all is done. Steps and tasks stay valid. */
    void releaseSteps(Job& job);
    /** @brief Steps and tasks of occurrences that are done, and of jobs that have ended, become invalid. */
    void eraseDoneOccurrences();
    /** @brief Done tasks become invalid. */
    void eraseDoneTasks();
    void refreshReady(const StepKey& key, const Job& job, const Step& step);
    StepUrgency urgencyOf(const Job& job, const StepKey& key);
    void scheduleStep(Job& job, const StepKey& key);
    std::size_t placeTasks(
        Job& job, const StepKey& key, const QueuePolicy& queue, const std::vector<std::uint32_t>& due);
    /**
     * @brief Selects workers that no task has just started on under which another worker crashed, and prefers those
     * that no task at all has just started on.
     */
    std::vector<PlacementCandidate> apartFromSuspects(std::vector<PlacementCandidate> candidates) const;
    /** @brief Whether the owner can know how the last run of a waiting task ended. */
    bool isEndKnown(const Task& task) const { return task.lostAt <= m_host.ownershipConfirmedAt(); }
    bool isPlaceable(const Worker& worker) const;
    /** @brief Whether a start order may be sent to the worker now, the repetition of an unanswered one included. */
    bool maySendStart(const Worker& worker) const
    {
        return m_host.mayStartTasks() && !m_host.isEvacuated(worker.record.dataCentre);
    }
    /** @brief Workers of the queue's pool on which a task of the step may run now. */
    std::vector<PlacementCandidate> candidates(Job& job, const StepKey& key);
    /** @brief The same, for workers for which the step has a ticket. */
    std::vector<PlacementCandidate> candidatesWithTicket(Job& job, const StepKey& key);
    /** @brief Adds the worker unless it must not run tasks of the step. */
    void addCandidate(std::vector<PlacementCandidate>& to, const Worker& worker, const QueuePolicy& queue,
        const Step& step, const StepSpec& spec) const;
    bool withinLimit(const Job& job, const StepSpec& spec, std::uint32_t count) const;
    /** @brief Evaluates again what unknown runs may use, if that has changed since the last pass. */
    void refreshUncountedUsage();
    void logHeldBackAccounts();

    // Runs of earlier owners and stored placements (JobSchedulerPlacements.cpp)
    /** @brief Whether no run of an earlier owner may exist that this owner does not know of. */
    bool allRunsLocated(const Job& job);
    /** @brief Whether a waiting task has certainly no run of an earlier owner. */
    bool mayStart(Job& job, const TaskKey& key);
    /** @brief Number of tasks of the job that may start for the first time in this pass, so that its progress fits. */
    std::size_t firstStartsLeft(Job& job) const;
    /** @brief Whether the run of an earlier owner has certainly ended, and has not been found. */
    bool hasEnded(const TaskKey& key, const RunPlacement& placement) const;
    /** @brief Stores where a long-running task runs, now that its worker has confirmed it. */
    void recordPlacement(Job& job, const TaskKey& key, const Worker& worker);
    /** @brief Another run of the task shall start, once the store has applied this. */
    void erasePlacement(Job& job, const TaskKey& key);
    /** @brief Notes which placements are in a record that is being stored, or has been stored. */
    static void notePlacements(Job& job, const ProgressRecord& record, bool isStored);

    // Submission rates (JobSchedulerRates.cpp)
    /** @brief Uses up a part of the account's rate. @return whether the submission is beyond it. */
    bool takeFromRate(const AccountId& account);
    /** @brief Counts a submission that an earlier owner accepted against the rate of its account. */
    void recoverRate(const SubmissionRecord& submission);
    /** @brief Forgets accounts that are not configured or have no rate. */
    void retainRates();

    // Admission (JobSchedulerAdmission.cpp)
    void prefetchTickets();
    void markUpcomingSteps(const Job& job, const StepKey& placed);
    bool hasUsableTicket(const Step& step, const Resources& reservation) const;
    /** @return whether a request was made. */
    bool requestAdmission(Job& job, const StepKey& key, const AdmissionPolicy& policy,
        AdmissionReason reason = AdmissionReason::SchedulingOrder);
    void requestOverdueAdmissions();
    /** @brief Whether one more request may be made ahead of the scheduling order. */
    bool mayRequestAhead(AdmissionReason reason) const;
    /** @brief Whether a waiting task of the step may run, except that there is no ticket for it. */
    bool lacksTicket(Job& job, const StepKey& key);
    std::vector<WorkerId> selectAdmissionWorkers(Job& job, const StepKey& key, const AdmissionPolicy& policy);
    void handleAdmissionReply(const StepKey& key, const AdmissionPolicy& policy, const std::vector<WorkerId>& requested,
        const absl::StatusOr<std::vector<AdmissionGrant>>& grants);

    // Load (JobSchedulerLoad.cpp)
    /** @brief Expected run time of a task, by measured runs of its image. */
    Duration expectedRunTime(const QueuePolicy& queue, const StepSpec& spec) const;
    void recordRunTime(const Job& job, const StepSpec& spec, const MeasuredRun& run);
    /** @brief Load of a pool, of at most the lifetime's age. */
    PoolLoad& currentLoad(const std::string& pool);
    void rebuildLoads();
    /** @brief Whether tasks can be expected to start on a worker within a second. */
    bool countsAsCapacity(const Worker& worker) const;
    void addWorkers(PoolLoad& load, const Pool& pool);
    void addRuns(const Worker& worker);
    void addWaitingWork(const Job& job, const Occurrence& occurrence);
    /** @brief A job as if it were submitted now. */
    SubmittedWork submittedWork(const QueuePolicy& queue, const AccountId& account, const JobSpec& spec) const;
    AccountBounds boundsOf(const AccountId& id) const;

    // Runs (JobSchedulerRuns.cpp)
    RunNumber nextRun(const Step& step, const Task& task, bool gang) const;
    void startTask(Job& job, const TaskKey& key, Worker& worker, RunNumber run);
    void assignTask(Job& job, const TaskKey& key, Worker& worker, RunNumber run, TaskPhase phase);
    void markStarted(Job& job);
    void sendStart(const TaskKey& key, RunNumber run, const WorkerId& worker, int attempt);
    /** @param fencingToken of the order. */
    void handleStartReply(const TaskKey& key, RunNumber run, const WorkerId& worker, Epoch fencingToken, int attempt,
        TimePoint sentAt, const OrderResult& result);
    void stopTask(Job& job, const TaskKey& key, const char* reason);
    void sendStop(const TaskKey& key, RunNumber run, const WorkerId& worker);
    void retryStop(const TaskKey& key, RunNumber run, const WorkerId& worker);
    /** @param fencingToken of the order. */
    void handleStopReply(
        const TaskKey& key, RunNumber run, const WorkerId& worker, Epoch fencingToken, const OrderResult& result);
    void stopStrayRun(Worker& worker, const RunKey& run);
    void stopAll(Job& job, const char* reason);
    void stopGang(Job& job, const StepKey& key, const char* reason);
    void unassignTask(Job& job, const TaskKey& key, Task& task);
    void taskLost(const TaskKey& key, const char* reason);
    void taskDone(Job& job, const TaskKey& key, Task& task);
    void taskFailed(Job& job, const TaskKey& key, Task& task, RunNumber run);
    bool hasFailed(const Job& job, const StepKey& key, const Task& task) const;
    void finish(Job& job, JobState state, const char* reason);
    void logEnd(const Job& job, const char* reason);
    /** @brief Whether the payload is in memory. Otherwise begins to read it; its arrival requests a pass. */
    bool hasPayload(const Job& job);
    void payloadRead(const JobId& id, std::optional<std::string> payload);
    /** @brief Counts the memory of a job after it has changed. */
    void countMemory(Job& job);
    void erase(const JobId& id);
    void markChanged(const Job& job, std::function<void()> stored = {});

    // Reports (JobSchedulerReports.cpp)
    /**
     * @brief Compares the incarnation that the worker or the registry tells of with the known one. The worker itself is
     * always right, also if its clock was set back.
     * @return whether it is a restart.
     */
    bool noteIncarnation(Worker& worker, std::int64_t incarnationStartUnixMs);
    void handleWorkerRestart(Worker& worker, std::int64_t incarnationStartUnixMs);
    /** @brief An order was answered by another incarnation than the last report, which the next report tells of. */
    void handleOtherClock(Worker& worker);
    /** @brief Ends the runs that a restarted worker no longer has. The report answers its new fencing token. */
    void settleRestart(Worker& worker, const PollReport& report);
    void endListedRuns(Worker& worker);
    /** @brief Ends the runs of an earlier incarnation, and counts them as crashed with it. */
    void endRunsExcept(Worker& worker, const absl::flat_hash_set<RunKey>& survivors);
    void processEnds(Worker& worker, const PollReport& report);
    void processEnd(Worker& worker, const EndedTask& end);
    /** @brief Releases the occurrence of a reported run: by the clock of an earlier owner, it was due. */
    void releaseReportedOccurrence(const TaskKey& key);
    void processRunning(Worker& worker, const PollReport& report, TimePoint sentAt);
    /**
     * @brief Stops a run that makes too little progress, so that its task restarts on another worker.
     * @param clockMs worker's clock at the time of the report.
     */
    void checkProgress(Job& job, const TaskKey& key, Task& task, const RunningTask& running, std::int64_t clockMs);
    void adopt(Worker& worker, const RunningTask& running);
    void detectMissingRuns(Worker& worker, const absl::flat_hash_set<RunKey>& listed, TimePoint sentAt);
    void controlPace(Worker& worker, const PollReport& report);

    // Crashes of workers (JobSchedulerCrashes.cpp)
    /**
     * @brief Counts the end of a worker's incarnation, before the lease of its runs, against the tasks that it ran.
     * @param survivors runs of the next incarnation.
     * @return jobs that shall fail once the worker's runs are known to have ended.
     */
    std::vector<JobId> recordCrash(Worker& worker, const absl::flat_hash_set<RunKey>& survivors = {});
    /**
     * @brief Counts an unexplained loss of the tasks that had just started on a worker which is out of reach and may
     * have crashed. Called when the lease of its runs has ended.
     * @return jobs that shall fail once the worker's runs are known to have ended.
     */
    std::vector<JobId> recordVanished(Worker& worker, const absl::flat_hash_set<RunKey>& survivors = {});
    /**
     * @brief Takes the losses back if the worker of the report had not crashed, and counts a crash if its report shows
     * that the earlier incarnation did while it held the lease.
     */
    void explainLosses(const Worker& worker, const PollReport& report);
    /** @brief A run of the task was alive for long enough: so the task does not crash its workers when it starts. */
    void noteSurvived(const TaskKey& key);
    void forgetVanishedWorkers();
    /** @return jobs that shall fail. */
    std::set<JobId> countCrashes(const WorkerId& worker, const std::vector<RunKey>& suspects);
    std::vector<RunKey> likeliestCauses(const std::vector<RunKey>& suspects);
    void failCrashingJobs(const std::vector<JobId>& jobs);
    void logCrash(const char* event, const WorkerId& worker, const std::vector<RunKey>& suspects, std::size_t runs);
    void logSuspicion(const char* outcome, const RunKey& run, const WorkerId& worker, const Task& task);

    // Workers (JobSchedulerWorkers.cpp)
    void forgetStrayRuns(Worker& worker);
    void markRunsLost(const Worker& worker, const char* reason);
    /** @param incarnationEnded whether its incarnation has certainly ended. */
    void removeLostWorker(const WorkerId& id, const char* reason, bool incarnationEnded);
    void expireWorkers();
    /** @brief Token for the orders to an incarnation of a worker: higher than those of its earlier incarnations. */
    Epoch newFencingToken(const WorkerId& id);
    void connect(Worker& worker);
    void storeWorkerSet();
    /** @brief Whether the worker has been missing from the registry for as long as the grace period. */
    bool isUnregistered(const Worker& worker) const;
    /**
     * @brief Whether a worker is gone from the registry, does not respond, runs nothing, and lists no end that is not
     * stored. It may come back.
     */
    static bool hasLeft(const Worker& worker);
    void evacuate(Worker& worker);
    bool mayInterrupt(Job& job, const TaskKey& key) const;

    Job* find(const JobId& id);
    /** @brief A task that is not done, of a job that has not ended. */
    Task* findUnfinished(const TaskKey& key);
    const QueuePolicy* queueOf(const Job& job) const;

    Runtime& m_runtime;
    WorkerPort& m_port;
    AdmissionDispatcher& m_admission;
    JobLedger& m_ledger;
    EventLog& m_log;
    JobSchedulerHost& m_host;
    JobSchedulerSettings m_settings;
    std::shared_ptr<const ClusterConfiguration> m_configuration;
    Epoch m_epoch = 0;
    bool m_running = false; ///< between begin() and end()
    bool m_recovered = false; ///< recovery from the store is complete
    TimePoint m_beginTime;
    /// Until this time, runs from before the takeover may still exist on workers that have not reported.
    TimePoint m_unlocatedRunsExpiry;
    /// The same for runs with a stored placement. Their worker has not restarted since it gave its clock, so that it
    /// holds no longer lease than the earlier owners meant to grant.
    TimePoint m_placedRunsExpiry;
    TimePoint m_unreportedLossAt; ///< when a worker was last found to have left before it had reported
    std::map<JobId, std::unique_ptr<Job>> m_jobs;
    std::set<JobId> m_unstoredJobs; ///< submissions that are being stored
    std::set<StepKey> m_readySteps; ///< released steps with waiting tasks
    std::set<StepKey> m_upcomingSteps; ///< urgent steps whose predecessors' tasks are all running or done
    std::map<AdmissionReason, std::size_t> m_requestsAhead; ///< pending ones made ahead of the scheduling order
    std::map<std::string, TimePoint> m_lastOverdueRequest; ///< by queue; the queues take turns
    WorkerTable m_workers;
    TimePoint m_registryReadAt; ///< when the registry was last read
    absl::flat_hash_map<WorkerId, Epoch> m_fencingTokens; ///< last one of each worker, also of removed ones
    absl::flat_hash_set<WorkerId> m_storedWorkers; ///< workers in the stored set; only these receive orders
    bool m_workerSetWriting = false; ///< a write of the stored set is in progress
    bool m_workerSetChanged = false; ///< workers came or left since that write began
    absl::flat_hash_map<AccountId, Resources> m_usage; ///< resources charged to each account
    UncountedUsage m_uncounted; ///< what runs that are not in `m_usage` may use; too high at worst
    /// Whether a worker of earlier owners reported or was lost, or stray runs appeared or ended, since the evaluation.
    bool m_uncountedChanged = false;
    absl::flat_hash_set<AccountId> m_heldBackAccounts; ///< logged as held back by unknown runs
    VanishedWorkers m_vanished; ///< since this owner took over
    FailureQuarantine m_quarantine;
    WorkerSpeeds m_speeds;
    SubmissionRate m_submissionRate;
    absl::flat_hash_set<JobId> m_payloadReads; ///< jobs whose payload is being read, or could not be read a moment ago
    WorkMemory m_workMemory; ///< of all jobs in `m_jobs`
    RunTimeRatios m_runTimes;
    TimePoint m_activatedAt;
    std::map<std::string, PoolLoad> m_loads; ///< by pool; a cache
    TimePoint m_loadsBuiltAt; ///< zero: not built
    std::map<std::string, Duration> m_predictedWaits; ///< by queue
    std::set<std::pair<std::int64_t, JobId>> m_finishedJobs; ///< ordered by end time
    std::set<JobId> m_jobsWithDoneOccurrences; ///< to be erased
    std::set<StepKey> m_stepsWithDoneTasks; ///< of which the state is to be erased
    absl::flat_hash_set<JobId> m_scheduledJobs; ///< jobs with occurrences that are not yet due
    PoolIndex m_pools;
    std::size_t m_scanOffset = 0; ///< where the next search for workers in a large pool begins
    std::uint64_t m_passes = 0; ///< number of scheduling passes
    std::optional<bool> m_allWorkersReported; ///< determined once in each pass
    TimePoint m_nextPass;
    std::optional<Runtime::TimerId> m_passTimer;
    std::optional<Runtime::TimerId> m_tickTimer;
    JobSchedulerCounters m_counters;
    std::shared_ptr<int> m_session; ///< replaced by begin(), so that callbacks of earlier epochs are ignored
};

/** @brief Text form of a task key for log records. */
std::string describe(const TaskKey& key);

} // namespace lycheeledge::jobs
