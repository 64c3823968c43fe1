// Writes changes of jobs to the store: spreads them over lanes of group commits.
#pragma once

#include "LedgerLane.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lycheeledge::jobs {

/**
 * @brief Lanes of group commits that run side by side.
 *
 * Answers a store that takes hundreds of milliseconds for a call: one lane would then commit four times a second, and
 * accepted jobs and ends would queue for seconds. While the store is fast, one lane is used, since each call is paid
 * for.
 *
 * Invariant: a job is held by one lane at a time, so its records are written in order. A claim of the ownership writes
 * the head records of all lanes, which fences every commit of an earlier owner.
 */
class JobLedger {
public:
    JobLedger(Runtime& runtime, ClusterStore& store, const RecordCodec& codec, EventLog& log,
        const std::string& configurationKey, const LedgerSettings& settings = {});

    void setSource(LedgerSource* source);
    /** @brief Begins to write. @param headRevision of the head records that this owner's claim wrote. */
    void open(const std::string& headValue, Revision headRevision);
    /** @brief Stops writing and drops what waits; commits in progress may still be applied. */
    void close();

    /** @brief The job has changed. @param stored called once a snapshot taken after this call is stored. */
    void changed(const JobId& job, std::function<void()> stored = {}) { laneOf(job).changed(job, std::move(stored)); }
    /** @brief Replaces the set of known workers. */
    void setWorkers(WorkerSetRecord workers, std::function<void()> stored);
    /** @brief Calls `done` when everything that waits now is stored. */
    void whenFlushed(std::function<void()> done);

    /** @brief Whether a commit with this job is in progress. */
    bool isCommitting(const JobId& job) const;
    /** @brief Whether commits have been failing for a while, and none was applied meanwhile. */
    bool isStalled() const;
    std::optional<TimePoint> lastCommit() const; ///< sent time of the last applied one
    std::uint64_t commits() const;
    LatencyHistogram commitTimes() const;
    const LedgerKeys& keys() const { return m_keys; }

private:
    LedgerLane& laneOf(const JobId& job);
    bool isStoreSlow() const;

    LedgerSettings m_settings;
    LedgerKeys m_keys;
    std::vector<std::unique_ptr<LedgerLane>> m_lanes; ///< never empty
};

} // namespace lycheeledge::jobs
