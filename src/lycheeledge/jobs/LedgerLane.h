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
    Duration commitInterval = std::chrono::milliseconds(12); ///< groups changes; one commit takes about 13 ms
    Duration commitTimeout = std::chrono::milliseconds(450); ///< above 240 ms, an answer of the store at 60 x its time
    Duration retryPause = std::chrono::milliseconds(60);
    Duration probePause = std::chrono::milliseconds(300); ///< between empty commits while the store fails
    std::size_t maxEntries = 32; ///< of a transaction, conditions included (platform's limit)
    std::size_t maxBatchBytes = 400 << 10; ///< keeps a transaction well under the store's 1 MB
};

/** @brief Keys of the scheduler's records in the store. */
struct LedgerKeys {
    std::string submissionPrefix = "lycheeledge/submission/";
    std::string progressPrefix = "lycheeledge/progress/";
    std::string workers = "lycheeledge/workers";
};

/**
 * @brief Group commits of job records, one after the other, fenced by the lane's head record.
 *
 * Every transaction requires the revision of the head record that the last one wrote, and writes it anew. So a
 * transaction whose answer was lost can be sent again: it, or its late copy, is applied at most once and in order.
 */
class LedgerLane {
public:
    LedgerLane(Runtime& runtime, ClusterStore& store, const RecordCodec& codec, EventLog& log, std::string headKey,
        std::string configurationKey, LedgerKeys keys, const LedgerSettings& settings);
    ~LedgerLane();
    LedgerLane(const LedgerLane&) = delete;
    LedgerLane& operator=(const LedgerLane&) = delete;

    void setSource(LedgerSource* source) { m_source = source; }
    /** @brief Begins to write. @param headRevision of the head record that this owner wrote. */
    void open(const std::string& headValue, Revision headRevision);
    /** @brief Stops writing and drops what waits; a commit in progress may still be applied. */
    void close();

    /** @brief The job has changed. @param stored called once a snapshot taken after this call is stored. */
    void changed(const JobId& job, std::function<void()> stored = {});
    /** @brief Replaces the set of known workers. */
    void setWorkers(WorkerSetRecord workers, std::function<void()> stored);
    /** @brief Calls `done` when everything that waits now is stored. */
    void whenFlushed(std::function<void()> done);

    /** @brief Whether a commit with this job is in progress. */
    bool isCommitting(const JobId& job) const;
    /** @brief Whether the job waits here, or a commit with it is in progress. */
    bool holds(const JobId& job) const { return m_waiting.contains(job) || isCommitting(job); }
    /** @brief Whether a commit is in progress or changes wait. */
    bool isBusy() const { return m_batch || !m_dirty.empty() || m_workers; }
    std::size_t waitingJobs() const { return m_dirty.size(); }
    /** @brief How long the commit in progress has been going on; zero if there is none. */
    Duration commitAge() const { return m_batch ? Duration(m_runtime.now() - m_batch->firstSent) : Duration::zero(); }
    /** @brief How long the last applied commit took, from its first attempt. */
    Duration lastCommitTime() const { return m_lastCommitTime; }
    /** @brief Whether commits have been failing for a while. */
    bool isStalled() const;
    std::optional<TimePoint> failingSince() const { return m_failingSince; }
    std::optional<TimePoint> lastCommit() const { return m_lastCommit; } ///< sent time of the last applied one
    std::uint64_t commits() const { return m_commits; }
    const LatencyHistogram& commitTimes() const { return m_commitTimes; } ///< from the first attempt

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
        bool maybeApplied = false; ///< a copy of it may have been executed, or may be later
        TimePoint firstSent;
    };

    void schedule();
    void pump();
    Batch takeBatch();
    std::size_t append(Batch& batch, const JobId& job, const JobChange& change) const;
    void send();
    void answered(TimePoint sentAt, const absl::StatusOr<CommitResult>& result);
    void applied(TimePoint sentAt, Revision revision);
    void refused(const CommitResult& result);
    void failed(TimePoint sentAt, const absl::Status& status);
    void rejectSubmissions();
    void putBack(Batch batch);
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
    std::string m_headPrefix; ///< names this ownership; followed by the number of the commit
    std::uint64_t m_sequence = 0;
    Revision m_headRevision = 0;
    std::deque<JobId> m_dirty; ///< in order of their first change; each job once
    absl::flat_hash_map<JobId, std::vector<std::function<void()>>> m_waiting; ///< keys are those of m_dirty
    std::optional<WorkerSetRecord> m_workers; ///< to be written
    std::vector<std::function<void()>> m_workersStored;
    std::vector<std::function<void()>> m_flushed;
    std::optional<Batch> m_batch; ///< in progress; sent again until its fate is known
    std::optional<Runtime::TimerId> m_timer;
    std::optional<TimePoint> m_failingSince;
    std::optional<TimePoint> m_lastCommit;
    Duration m_lastCommitTime {};
    TimePoint m_nextCommit;
    std::uint64_t m_commits = 0;
    LatencyHistogram m_commitTimes;
    std::shared_ptr<int> m_session; ///< expires when this ownership is closed
};

} // namespace lycheeledge::jobs
