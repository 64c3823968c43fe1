// Writes job changes to the store, distributed over several group commit queues.
#pragma once

#include "GroupCommitQueue.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lycheeledge::jobs {

/**
 * @brief Several group commit queues that run in parallel.
 *
 * When a store call takes hundreds of milliseconds, a single commit queue commits only four times a second, and
 * accepted jobs and task ends wait for seconds. While the store is fast, only one commit queue is used, because each
 * store call is charged.
 *
 * Invariant: a job belongs to one commit queue at a time, so its records are written in order. Claiming the ownership
 * writes the head records of all commit queues, which fences every commit of an earlier owner.
 */
class JobLedger {
public:
    JobLedger(Runtime& runtime, ClusterStore& store, const RecordCodec& codec, EventLog& log,
        const std::string& configurationKey, const LedgerSettings& settings = {});

    void setSource(LedgerSource* source);
    /** @brief Starts writing. @param headRevision revision of the head records written by this owner's claim. */
    void open(const std::string& headValue, Revision headRevision);
    /** @brief Stops writing and discards pending changes; commits in progress may still be applied. */
    void close();

    /** @brief Marks a job as changed. @param stored called once a snapshot taken after this call is stored. */
    void changed(const JobId& job, std::function<void()> stored = {}) { queueFor(job).changed(job, std::move(stored)); }
    /** @brief Replaces the set of known workers. */
    void setWorkers(WorkerSetRecord workers, std::function<void()> stored);
    /** @brief Calls `done` when all changes that are pending now are stored. */
    void whenFlushed(std::function<void()> done);

    /** @brief Whether a commit that includes this job is in progress. */
    bool isCommitting(const JobId& job) const;
    /** @brief Whether a queue's commits have been failing for a while and no queue has applied one since. */
    bool isStalled() const;
    std::optional<TimePoint> lastCommit() const; ///< when the last applied commit was sent
    std::uint64_t commits() const;
    LatencyHistogram commitTimes() const;
    const LedgerKeys& keys() const { return m_keys; }

private:
    GroupCommitQueue& queueFor(const JobId& job);
    bool isStoreSlow() const;

    LedgerSettings m_settings;
    LedgerKeys m_keys;
    std::vector<std::unique_ptr<GroupCommitQueue>> m_commitQueues; ///< never empty
};

} // namespace lycheeledge::jobs
