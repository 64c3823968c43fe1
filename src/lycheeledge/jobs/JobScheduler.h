// The owner's scheduler: which task starts where and when, and what became of it.
#pragma once

#include "../coordination/Runtime.h"
#include "../state/LatencyHistogram.h"
#include "AdmissionDesk.h"
#include "ClusterConfiguration.h"
#include "EventLog.h"
#include "FailureQuarantine.h"
#include "Job.h"
#include "JobLedger.h"
#include "MaintenanceDesk.h"
#include "Placement.h"
#include "StepOrder.h"
#include "WorkerTable.h"

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

struct JobSchedulerSettings {
    WorkerLinkSettings link;
    Duration passDelay = std::chrono::milliseconds(2); ///< groups the events that one pass of decisions answers
    int passShare = 5; ///< passes take at most one part in this many of the time, however long they are
    Duration tickInterval = std::chrono::milliseconds(50); ///< for what only time changes
    Duration startTimeout = std::chrono::milliseconds(500); ///< healthy workers answer in 20 ms, busy owners read late
    Duration stopTimeout = std::chrono::milliseconds(500);
    Duration orderRetryPause = std::chrono::milliseconds(150);
    Duration stopLimit = std::chrono::milliseconds(200); ///< from a stop until the run is gone (platform's bound)
    Duration ownerConfirmation {}; ///< an earlier owner may order for so long; set from the lease's settings
    Duration statusRetention = std::chrono::seconds(130); ///< finished jobs stay known (platform asks for 120 s)
    Duration missingGrace = std::chrono::seconds(3); ///< entries that lapsed with the store are back after 2 s
    Duration failureBackoff = std::chrono::milliseconds(150); ///< before a failed task starts again
    std::size_t maxQuestionWorkers = 30; ///< the objective counts one call for advice on 30 workers
    std::size_t maxRepeatWorkers = 10; ///< named when tickets are asked for again
    std::size_t maxGangWorkers = 60; ///< named for a gang, whose tickets must all be valid at a time
};

/** @brief Counters since the start of the process. */
struct JobSchedulerCounters {
    std::uint64_t starts = 0;
    std::uint64_t startsRefusedNoRoom = 0;
    std::uint64_t startsRefusedTicket = 0;
    std::uint64_t startsRefusedOther = 0;
    std::uint64_t startsUnanswered = 0;
    std::uint64_t endsDone = 0;
    std::uint64_t endsFailed = 0;
    std::uint64_t endsOther = 0;
    std::uint64_t runsLost = 0;
    std::uint64_t stops = 0;
    std::uint64_t questions = 0;
    std::uint64_t jobsCompleted = 0;
    std::uint64_t jobsFailed = 0;
    std::uint64_t jobsCancelled = 0;
    LatencyHistogram completionTimes; ///< of completed jobs that are not scheduled, from their acceptance
    LatencyHistogram admissionTimes; ///< of steps, from their release to the first grant
    LatencyHistogram placementTimes; ///< of steps, from then until all tasks have a worker

    bool operator==(const JobSchedulerCounters&) const = default;
};

/** @brief What the scheduler asks of its owner. */
class JobSchedulerHost {
public:
    virtual ~JobSchedulerHost() = default;

    /** @brief Whether this process may still act as the owner. */
    virtual bool mayOrder() const = 0;
    /** @brief A worker has accepted a higher epoch. */
    virtual void fenced() = 0;
    /** @brief Milliseconds since 1970. */
    virtual std::int64_t unixMs() const = 0;
};

/**
 * @brief State machine of all jobs, on the coordination thread.
 *
 * Invariants: a task has at most one run that may exist; room is reserved on a worker exactly while a run may exist
 * there; a step starts only after the steps before it have ended; an end is acknowledged to its worker, and a final
 * state is shown, only after it is stored.
 */
class JobScheduler final : public WorkerLinkListener, public WorkerDrainer {
public:
    struct Ports {
        Runtime& runtime;
        WorkerPort& workers;
        AdmissionDesk& admission;
        JobLedger& ledger;
        EventLog& log;
        JobSchedulerHost& host;
    };

    JobScheduler(Ports ports, JobSchedulerSettings settings = {});
    ~JobScheduler() override;

    // --- Ownership ---

    /** @brief Forgets everything and begins as the owner of an epoch, not yet starting tasks. */
    void begin(Epoch epoch);
    /** @brief Adds a job that was read from the store. */
    void recover(const JobId& id, std::optional<SubmissionRecord> submission, std::optional<ProgressRecord> progress);
    /** @brief Adds the workers that earlier owners may have given orders to. */
    void recoverWorkers(const WorkerSetRecord& workers);
    /** @brief All earlier owners have certainly stopped ordering: tasks that they started end with their leases. */
    void earlierOwnersStopped();
    /** @brief Everything was read: starts tasks once the workers have reported. */
    void activate();
    void end();
    bool isActive() const { return m_recovered; }

    // --- Inputs ---

    void setConfiguration(std::shared_ptr<const ClusterConfiguration> configuration);
    /** @brief Replaces the registered workers. */
    void setWorkers(const std::vector<WorkerRecord>& records);

    /** @brief Adds a submission; `stored` is called when it is stored. The job must not exist. */
    void submit(const JobId& id, SubmissionRecord submission, std::function<void()> stored);
    /** @brief Drops a submission that is not stored and never will be. */
    void withdraw(const JobId& id);
    /** @brief Cancels a job; `stored` is called when that is stored. */
    void cancel(const JobId& id, std::function<void()> stored);

    // --- WorkerDrainer ---

    void setMaintenance(const WorkerId& worker, bool isDraining) override;
    std::size_t drain(const WorkerId& worker, bool force) override;

    // --- For the ledger ---

    std::optional<JobChange> changeOf(const JobId& id);
    void changeStored(const JobId& id, const JobChange& change);

    // --- Views ---

    const Job* job(const JobId& id) const;
    /** @brief Accepted jobs of a queue of which no task has started. */
    std::size_t unstartedJobs(const std::string& queue) const;
    const WorkerTable& workers() const { return m_workers; }
    const JobSchedulerCounters& counters() const { return m_counters; }
    std::size_t jobCount() const { return m_jobs.size(); }
    std::size_t readySteps() const { return m_ready.size(); }
    /** @brief Part of the registered workers' processors that is reserved, in percent. */
    int reservedCpuPercent() const;
    Resources usage(const AccountId& account) const;

private:
    // WorkerLinkListener
    void workerReported(const WorkerId& id, const LookReport& report, TimePoint sentAt) override;
    void workerReachabilityChanged(const WorkerId& id, bool reachable) override;
    void workerIncarnationEnded(const WorkerId& id) override;
    void workerFenced(const WorkerId& id) override;

    // Passes (JobSchedulerPasses.cpp)
    Duration longestLease() const;
    void requestPass();
    void pass();
    void tick();
    void askAhead();
    void noteUpcoming(const Job& job, const StepKey& placed);
    void releaseDueOccurrences(Job& job);
    void releaseSteps(Job& job);
    void refreshReady(const StepKey& key, const Job& job, const Step& step);
    /** @param capacity of the pools, by name. */
    StepUrgency urgencyOf(const Job& job, const StepKey& key, const std::map<std::string, Resources>& capacity) const;
    void scheduleStep(Job& job, const StepKey& key);
    std::size_t placeTasks(
        Job& job, const StepKey& key, const QueuePolicy& queue, const std::vector<std::uint32_t>& due);
    bool mayStart(const Job& job) const;
    bool isPlaceable(const Worker& worker) const;
    std::vector<PlacementCandidate> candidates(Job& job, const StepKey& key, bool needsTicket);
    bool hasTicketWithRoom(const Step& step, const Resources& reservation) const;
    bool withinLimit(const Job& job, const StepSpec& spec, std::uint32_t count) const;
    void askAdmission(Job& job, const StepKey& key, const AdmissionPolicy& policy);
    std::vector<WorkerId> chooseForQuestion(Job& job, const StepKey& key);
    void admissionAnswered(const StepKey& key, const AdmissionPolicy& policy, const std::vector<WorkerId>& asked,
        const absl::StatusOr<std::vector<AdmissionGrant>>& grants);
    const QueuePolicy* queueOf(const Job& job) const;

    // Runs (JobSchedulerRuns.cpp)
    RunNumber nextRun(const Step& step, const Task& task, bool gang) const;
    void startTask(Job& job, const TaskKey& key, Worker& worker, RunNumber run);
    void occupy(Job& job, const TaskKey& key, Worker& worker, RunNumber run, TaskPhase phase);
    void noteStarted(Job& job);
    void sendStart(const TaskKey& key, RunNumber run, const WorkerId& worker, int attempt);
    void startAnswered(
        const TaskKey& key, RunNumber run, const WorkerId& worker, int attempt, const OrderResult& result);
    void stopTask(Job& job, const TaskKey& key, const char* reason);
    void sendStop(const TaskKey& key, RunNumber run, const WorkerId& worker);
    void retryStop(const TaskKey& key, RunNumber run, const WorkerId& worker);
    void stopAnswered(const TaskKey& key, RunNumber run, const WorkerId& worker, const OrderResult& result);
    void stopStray(Worker& worker, const RunKey& run);
    void stopAll(Job& job, const char* reason);
    void stopGang(Job& job, const StepKey& key, const char* reason);
    void vacate(Job& job, const TaskKey& key, Task& task);
    void taskLost(const TaskKey& key, const char* reason);
    void taskDone(Job& job, const TaskKey& key, Task& task);
    void taskFailed(Job& job, const TaskKey& key, Task& task, RunNumber run);
    void finish(Job& job, JobState state, const char* reason);
    void logEnd(const Job& job, const char* reason);
    void markChanged(const Job& job, std::function<void()> stored = {});

    // Reports (JobSchedulerReports.cpp)
    void beginNewLife(Worker& worker, std::int64_t bornUnixMs);
    void processEnds(Worker& worker, const LookReport& report);
    void processEnd(Worker& worker, const EndedTask& end);
    void processRunning(Worker& worker, const LookReport& report, TimePoint sentAt);
    /** @brief Starts a task that makes too little progress again elsewhere. @param clockMs of the worker's report. */
    void checkProgress(Job& job, const TaskKey& key, Task& task, const RunningTask& running, std::int64_t clockMs);
    void adopt(Worker& worker, const RunningTask& running);
    void missingRuns(Worker& worker, const absl::flat_hash_set<RunKey>& listed, TimePoint sentAt);
    void controlPace(Worker& worker, const LookReport& report);

    // Workers (JobSchedulerWorkers.cpp)
    void loseRuns(const Worker& worker, const char* reason);
    void loseWorker(const WorkerId& id, const char* reason);
    void expireWorkers();
    void connect(Worker& worker);
    void storeWorkerSet();
    void evacuate(Worker& worker);
    bool mayInterrupt(Job& job, const TaskKey& key) const;

    Job* find(const JobId& id);

    Runtime& m_runtime;
    WorkerPort& m_port;
    AdmissionDesk& m_admission;
    JobLedger& m_ledger;
    EventLog& m_log;
    JobSchedulerHost& m_host;
    JobSchedulerSettings m_settings;
    std::shared_ptr<const ClusterConfiguration> m_configuration;
    Epoch m_epoch = 0;
    bool m_running = false; ///< between begin() and end()
    bool m_recovered = false; ///< everything was read from the store
    TimePoint m_begun;
    /// Tasks of before the takeover that were not found may still run on workers that have not reported, until then.
    TimePoint m_unlocatedUntil;
    std::map<JobId, std::unique_ptr<Job>> m_jobs;
    std::set<StepKey> m_ready; ///< released steps with waiting tasks
    std::set<StepKey> m_upcoming; ///< urgent steps that follow steps whose tasks all run or are done
    WorkerTable m_workers;
    absl::flat_hash_set<WorkerId> m_storedWorkers; ///< ids in the stored set; only these get orders
    absl::flat_hash_map<AccountId, Resources> m_usage; ///< reserved, by account
    FailureQuarantine m_quarantine;
    WorkerSpeeds m_speeds;
    std::set<std::pair<std::int64_t, JobId>> m_finished; ///< by the time they ended
    absl::flat_hash_set<JobId> m_scheduled; ///< jobs with occurrences that are not due yet
    std::map<std::string, std::vector<const Worker*>> m_placeable; ///< by pool; valid during a pass
    TimePoint m_nextPass;
    std::optional<Runtime::TimerId> m_passTimer;
    std::optional<Runtime::TimerId> m_tickTimer;
    JobSchedulerCounters m_counters;
    std::shared_ptr<int> m_session; ///< replaced at begin(); callbacks of earlier sessions are dropped
};

/** @brief Text form of a task for log lines. */
std::string describe(const TaskKey& key);

} // namespace lycheeledge::jobs
