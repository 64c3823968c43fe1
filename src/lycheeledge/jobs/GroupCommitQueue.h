// One sequence of group commits to the store.
#pragma once

#include "../coordination/Runtime.h"
#include "../state/LatencyHistogram.h"
#include "EventLog.h"
#include "LedgerSource.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lycheeledge::jobs {

struct LedgerSettings {
    /// Changes are collected for this long into one commit, which takes about 13 ms.
    Duration commitInterval = std::chrono::milliseconds(12);
    /// Above 240 ms, the response time of a store at 60 times its usual latency.
    Duration commitTimeout = std::chrono::milliseconds(450);
    Duration retryPause = std::chrono::milliseconds(60);
    Duration probeInterval = std::chrono::milliseconds(300); ///< between empty commits while the store is failing
    std::size_t maxEntries = 32; ///< per transaction, including conditions (limit of the platform)
    std::size_t maxBatchBytes = 400 << 10; ///< keeps a transaction well under the store's 1 MB
};

/** @brief Keys of the scheduler's records in the store. */
struct LedgerKeys {
    std::string submissionPrefix = "lycheeledge/submission/";
    std::string progressPrefix = "lycheeledge/progress/";
    std::string workers = "lycheeledge/workers";
    std::string workerCapacities = "lycheeledge/worker-capacities";
};

/**
 * @brief Group commits of job records, one after the other, fenced by the queue's head record.
 *
 * Every transaction requires the revision of the head record that the previous one wrote, and overwrites the record.
 * So a transaction whose response was lost can be sent again: of all its copies, at most one is applied, and in order.
 */
class GroupCommitQueue {
public:
    GroupCommitQueue(Runtime& runtime, ClusterStore& store, const RecordCodec& codec, EventLog& log,
        std::string headKey, std::string configurationKey, LedgerKeys keys, const LedgerSettings& settings);
    ~GroupCommitQueue();
    GroupCommitQueue(const GroupCommitQueue&) = delete;
    GroupCommitQueue& operator=(const GroupCommitQueue&) = delete;

    void setSource(LedgerSource* source) { m_source = source; }
    /** @brief Starts writing. @param headRevision revision of the head record written by this owner. */
    void open(const std::string& headValue, Revision headRevision);
    /** @brief Stops writing and discards pending changes; a commit in progress may still be applied. */
    void close();

    /** @brief Marks a job as changed. @param stored called once a snapshot taken after this call is stored. */
    void changed(const JobId& job, std::function<void()> stored = {});
    /** @brief Replaces the set of known workers. */
    void setWorkers(WorkerSetRecord workers, std::function<void()> stored);
    /** @brief Calls `done` when all changes that are pending now are stored. */
    void whenFlushed(std::function<void()> done);

    /** @brief Whether a commit that includes this job is in progress. */
    bool isCommitting(const JobId& job) const;
    /** @brief Whether the job has a pending change here or is part of the commit in progress. */
    bool holds(const JobId& job) const { return m_storedCallbacks.contains(job) || isCommitting(job); }
    /** @brief Whether a commit is in progress or changes are pending. */
    bool isBusy() const { return m_batch || !m_dirty.empty() || m_workers; }
    std::size_t waitingJobs() const { return m_dirty.size(); }
    /** @brief Time since the first attempt of the commit in progress; zero if there is none. */
    Duration commitAge() const { return m_batch ? Duration(m_runtime.now() - m_batch->firstSent) : Duration::zero(); }
    /** @brief Duration of the last applied commit, from its first attempt. */
    Duration lastCommitTime() const { return m_lastCommitTime; }
    /** @brief Whether commits have been failing for a while. */
    bool isStalled() const;
    std::optional<TimePoint> failingSince() const { return m_failingSince; }
    std::optional<TimePoint> lastCommit() const { return m_lastCommit; } ///< when the last applied commit was sent
    std::uint64_t commits() const { return m_commits; }
    const LatencyHistogram& commitTimes() const { return m_commitTimes; } ///< each from its first attempt

private:
    struct Entry {
        JobId job;
        JobChange change;
        std::vector<std::function<void()>> stored;
    };
    struct Batch {
        std::vector<Entry> entries;
        bool writesWorkers = false;
        std::vector<std::function<void()>> workersStored;
        StoreTransaction transaction;
        bool checksConfiguration = false;
        std::string headValue;
        bool maybeApplied = false; ///< a copy of the transaction may have been executed, or may be executed later
        TimePoint firstSent;
    };

    void schedule();
    void startCommit();
    Batch buildBatch();
    std::size_t append(Batch& batch, const JobId& job, const JobChange& change) const;
    void send();
    void handleResponse(TimePoint sentAt, const absl::StatusOr<CommitResult>& result);
    void handleApplied(TimePoint sentAt, Revision revision);
    void handleConditionFailure(TimePoint sentAt, const CommitResult& result);
    void handleError(TimePoint sentAt, const absl::Status& status);
    void rejectSubmissions();
    void handleRefusal(const absl::Status& status);
    void requeue(Batch batch);
    std::string nextHeadValue();

    Runtime& m_runtime;
    ClusterStore& m_store;
    const RecordCodec& m_codec;
    EventLog& m_log;
    std::string m_headKey;
    std::string m_configurationKey;
    LedgerSettings m_settings;
    LedgerKeys m_keys;
    LedgerSource* m_source = nullptr;
    bool m_open = false;
    std::string m_headPrefix; ///< identifies this ownership; the commit number is appended
    std::uint64_t m_sequence = 0;
    Revision m_headRevision = 0;
    std::deque<JobId> m_dirty; ///< jobs with pending changes, in order of their first change; each job once
    absl::flat_hash_map<JobId, std::vector<std::function<void()>>> m_storedCallbacks; ///< same keys as m_dirty
    std::optional<WorkerSetRecord> m_workers; ///< to be written
    std::vector<std::function<void()>> m_workersStored;
    std::vector<std::function<void()>> m_flushCallbacks;
    /// The next so many commits have one entry each, since the store has refused one of them.
    std::size_t m_separateCommits = 0;
    std::optional<Batch> m_batch; ///< commit in progress; sent again until its outcome is known
    std::optional<Runtime::TimerId> m_timer;
    std::optional<TimePoint> m_failingSince;
    std::optional<TimePoint> m_lastCommit;
    Duration m_lastCommitTime {};
    TimePoint m_nextCommit;
    std::uint64_t m_commits = 0;
    LatencyHistogram m_commitTimes;
    std::shared_ptr<int> m_sessionToken; ///< expires when this ownership is closed
};

} // namespace lycheeledge::jobs
