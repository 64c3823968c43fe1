// State of one period of ownership: recovers jobs from the store and feeds the scheduler until the ownership ends.
#pragma once

#include "ClusterStore.h"
#include "JobScheduler.h"
#include "JobService.h"
#include "OwnerLease.h"
#include "evacuation/Evacuations.h"
#include "evacuation/OperatorView.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lycheeledge::jobs {

struct OwnerSessionSettings {
    /// Each response confirms the configuration, so this limits how outdated the known keys can be.
    Duration operatorWatchWait = std::chrono::milliseconds(700);
    Duration registryInterval = std::chrono::milliseconds(500); ///< well below the time limit for draining workers
    /// Larger fleets are read less often, in proportion: decoding the registry costs the owner some us for each entry.
    std::size_t workersPerRegistryInterval = 1000;
    Duration maxRegistryInterval = std::chrono::milliseconds(1500);
    Duration callTimeout = std::chrono::milliseconds(900);
    Duration retryPause = std::chrono::milliseconds(100);
    /// Time after the acknowledgement of a request from which on no task starts in the data centre; empty: no limit.
    std::optional<Duration> evacuationLimit;
    std::vector<std::string> dataCentres; ///< that operators may evacuate; empty: any
};

class OwnerSession final : public LedgerSource, public JobSchedulerHost {
public:
    struct Ports {
        Runtime& runtime;
        ClusterStore& store;
        const PlatformRecords& records;
        const RecordCodec& codec;
        const SubmissionCodec& submissions;
        WorkerPort& workers;
        VmPort& vms;
        AdmissionDispatcher& admission;
        EventLog& log;
        OwnerLease& lease;
        std::string member; ///< name of this process
        std::function<std::int64_t()> unixMs;
        std::function<void()> activated; ///< called when the session starts to accept calls
    };

    OwnerSession(Ports ports, JobSchedulerSettings scheduler, JobServiceSettings service, LedgerSettings ledger,
        MaintenanceSettings maintenance = {}, OwnerSessionSettings settings = {});
    ~OwnerSession() override;

    void begin(Epoch epoch, const std::string& headValue, Revision headRevision);
    /** @return calls in progress, to be forwarded to the next owner. */
    std::vector<JobService::UnfinishedCall> end();
    /** @brief Handles a client's call, or refuses it while the session is not active. */
    void handle(const ClientCall& call, JobService::Reply reply);
    bool isActive() const { return m_activated; }
    void ownershipConfirmed()
    {
        noteStaleView();
        m_service.ownershipConfirmed();
    }
    void earlierOwnersStopped() { m_scheduler.earlierOwnersStopped(); }
    /** @brief Calls `done` when all changes are stored. */
    void flush(std::function<void()> done) { m_ledger.whenFlushed(std::move(done)); }

    const JobScheduler& scheduler() const { return m_scheduler; }
    const JobService& service() const { return m_service; }
    const JobLedger& ledger() const { return m_ledger; }
    const Evacuations& evacuations() const { return m_evacuations; }
    /** @brief Number of runs that remain in data centres under evacuation. */
    std::size_t evacuatedRuns() const;
    /** @brief Whether no task starts because the operators' records are not known recently enough. */
    bool startsWithheld() const { return m_startsWithheld; }
    std::int64_t configurationVersion() const { return m_configuration ? m_configuration->version : 0; }

    // LedgerSource
    std::optional<JobChange> pendingChange(const JobId& job) override { return m_scheduler.pendingChange(job); }
    void changeStored(const JobId& job, const JobChange& change) override;
    void ledgerLost() override;
    void submissionsRejected(const std::vector<JobId>& jobs) override { m_service.refuseSubmissions(jobs); }
    void progressRefused(const JobId& job, std::vector<std::function<void()>> stored) override
    {
        m_scheduler.progressRefused(job, std::move(stored));
    }
    void configurationSuperseded(const StoreEntry& configuration) override { applyConfiguration(configuration); }
    Revision configurationRevision() const override { return m_configuration ? m_configuration->revision : 0; }

    // JobSchedulerHost
    bool maySendOrders() const override { return m_lease.maySendOrders(); }
    TimePoint ordersEnd() const override { return m_lease.ordersEnd(); }
    bool mayStartTasks() const override { return m_lease.mayStartTasks() && !isViewStale(); }
    bool isEvacuated(const std::string& dataCentre) const override { return m_evacuations.contains(dataCentre); }
    TimePoint ownershipConfirmedAt() const override { return m_lease.confirmedAt(); }
    void fenced() override;
    std::int64_t unixMs() const override { return m_unixMs(); }
    void readPayload(const JobId& job, std::function<void(std::optional<std::string>)> done) override;

private:
    using SessionToken = std::weak_ptr<int>;

    void retryLater(std::function<void()> step);
    void readConfiguration();
    void watchOperator(Revision after);
    void applyConfiguration(const StoreEntry& entry);
    void readWaves();
    void applyWave(const StoreEntry& entry);
    // Evacuations (OwnerSessionEvacuation.cpp)
    /** @brief Reads the list of evacuations, once more if it is being read: that list may lack later requests. */
    void readEvacuations();
    void readEvacuationPage(const std::string& after);
    void finishEvacuationRead();
    void applyEvacuation(const StoreEvent& event);
    void logUnreadableEvacuation(const std::string& key);
    void logEvacuation(const EvacuationChange& change);
    std::size_t runsIn(const std::string& dataCentre) const;
    /** @brief The watch was answered, so no change before this time is missing unless the list is still to be read. */
    void operatorsSeen(TimePoint sentAt);
    bool isViewStale() const { return m_operatorView.isStale(m_runtime.now(), m_lease.confirmedAt()); }
    /** @brief Logs the start and the end of a stale view. */
    void noteStaleView();

    using EntryHandler = std::function<void(const StoreEntry&)>;

    /** @brief Calls `handle` once for each entry, then `done`. */
    void readPages(
        const std::string& prefix, EntryHandler handle, std::function<void()> done, const std::string& after = {});
    void readSubmission(const StoreEntry& entry);
    void readProgress(const StoreEntry& entry);
    void readRecord(const std::string& key, std::string& into, std::function<void()> done);
    WorkerSetRecord decodeWorkerSet();
    void readRegistry();
    void scheduleRegistryRead();
    void finishRecovery();
    void finishRecoveryIfComplete();
    std::vector<WorkerRecord> decodeRegistry(const std::vector<StoreEntry>& entries);

    Runtime& m_runtime;
    ClusterStore& m_store;
    const PlatformRecords& m_records;
    const RecordCodec& m_codec;
    EventLog& m_log;
    OwnerLease& m_lease;
    std::function<std::int64_t()> m_unixMs;
    std::function<void()> m_onActivated;
    OwnerSessionSettings m_settings;
    JobLedger m_ledger;
    JobScheduler m_scheduler;
    JobService m_service;
    MaintenanceCoordinator m_maintenance;
    std::shared_ptr<int> m_sessionToken; ///< expires at end(); callbacks of an ended session do nothing
    std::shared_ptr<const ClusterConfiguration> m_configuration;
    Epoch m_epoch = 0;
    TimePoint m_beganAt;
    bool m_activated = false;
    // Initial reads from the store; m_missingReads counts the incomplete ones.
    int m_missingReads = 0;
    /// Records that were read, until they are all there.
    std::map<JobId, RecoveredSubmission> m_submissions;
    std::map<JobId, ProgressRecord> m_progress;
    std::size_t m_payloadBytes = 0; ///< of the submissions that were read
    std::size_t m_maxPayloadBytes; ///< payloads beyond this are left in the store; 0: no limit
    std::vector<StoreEntry> m_registry;
    std::string m_workerSet;
    std::string m_workerCapacities;
    std::vector<StoreEntry> m_waves;
    bool m_watchingOperator = false;
    Revision m_headRevision = 0; ///< of this owner's claim
    /** @brief A list of evacuations that is being read. */
    struct EvacuationRead {
        TimePoint sentAt; ///< of the call for the first page
        Revision asOf = 0; ///< lowest one of the pages
        std::vector<StoreEntry> entries;
        bool repeat = false; ///< the watch has restarted since
    };
    Evacuations m_evacuations;
    std::optional<EvacuationRead> m_evacuationRead;
    bool m_evacuationsKnown = false; ///< a list has been read
    OperatorView m_operatorView;
    bool m_startsWithheld = false; ///< logged as such
    absl::flat_hash_set<std::string> m_loggedUnreadable; ///< registry keys already logged as unreadable
};

} // namespace lycheeledge::jobs
