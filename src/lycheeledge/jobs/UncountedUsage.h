// Upper bound of the resources that runs unknown to the owner may use.
//
// After a takeover, workers that have not reported yet may run tasks that earlier owners started. The upper limit of a
// client account covers these runs, too.
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
    /** @brief Declared sizes of an account's tasks that may have an unknown run. */
    struct Tasks {
        Resources withReservation;
        Resources onIdleCpu; ///< of these tasks, only the memory is reserved on a worker
    };

    std::size_t m_silentWorkers = 0;
    Resources m_silentCapacity; ///< of all silent workers together
    absl::flat_hash_map<AccountId, Tasks> m_tasks;
    /// Accounts of jobs that failed or were cancelled recently. The sizes of their tasks are not stored any more.
    absl::flat_hash_set<AccountId> m_accountsWithUnknownTasks;
};

} // namespace lycheeledge::jobs
