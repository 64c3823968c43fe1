// Upper bound of the resources that runs unknown to the owner may use.
//
// After a takeover, workers that have not reported yet may run tasks that earlier owners started, and reported runs may
// belong to no task: their job ended, or their task has another run. The upper limit of a client account covers all of
// these runs, too.
#pragma once

#include "Job.h"
#include "WorkerTable.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <map>
#include <memory>

namespace lycheeledge::jobs {

/** @brief Immutable result of one evaluation. Later reports of workers only lower the bound. */
class UncountedUsage {
public:
    /** @brief Nothing is unknown. */
    UncountedUsage() = default;
    /**
     * @brief Evaluates the jobs of earlier owners and the workers that have not reported.
     * @param nowUnixMs milliseconds since 1970; jobs that ended long before have no runs.
     */
    UncountedUsage(
        const std::map<JobId, std::unique_ptr<Job>>& jobs, const WorkerTable& workers, std::int64_t nowUnixMs);

    /** @brief Most that unknown runs of the account may use. */
    Resources of(const AccountId& account) const;
    /** @brief Number of workers that may run tasks of earlier owners and have not reported. */
    std::size_t silentWorkers() const { return m_silentWorkers; }

private:
    using Jobs = std::map<JobId, std::unique_ptr<Job>>;

    void addStrayRuns(const Jobs& jobs, const Worker& worker, absl::flat_hash_set<JobId>& endedJobs);
    void addUnlocatedTasks(const Jobs& jobs, std::int64_t nowUnixMs);

    std::size_t m_silentWorkers = 0;
    Resources m_silentCapacity; ///< of all silent workers together
    absl::flat_hash_map<AccountId, RunUsage> m_unlocated; ///< of tasks that may have a run on a silent worker
    absl::flat_hash_map<AccountId, Resources> m_strayRuns; ///< reported runs that belong to no task
    Resources m_unattributed; ///< the same, of jobs that are not known any more; may be any account's
};

} // namespace lycheeledge::jobs
