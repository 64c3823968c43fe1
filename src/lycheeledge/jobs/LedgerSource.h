// Changes that the ledger stores, and the interface from which it gets them.
#pragma once

#include "ClusterStore.h"
#include "JobRecord.h"

#include <functional>
#include <optional>
#include <vector>

namespace lycheeledge::jobs {

/** @brief Pending writes of one job. */
struct JobChange {
    std::optional<SubmissionRecord> submission; ///< set for a job that is not stored yet
    std::optional<ProgressRecord> progress;
    bool eraseSubmission = false; ///< the job has ended and its spec is no longer needed
    bool eraseProgress = false; ///< the job is being removed
};

/** @brief Provides the job changes to store, and is notified of the results. */
class LedgerSource {
public:
    virtual ~LedgerSource() = default;

    /** @brief Snapshot to write now; empty if the job no longer exists. */
    virtual std::optional<JobChange> pendingChange(const JobId& job) = 0;
    virtual void changeStored(const JobId& job, const JobChange& change) = 0;
    /** @brief Another owner has written the head record: this process is no longer the owner. */
    virtual void ledgerLost() = 0;
    /** @brief These submissions were not stored and will not be, because the store rejected the commit. */
    virtual void submissionsRejected(const std::vector<JobId>& jobs) = 0;
    /** @brief The store refuses the job's progress for good. `stored` waits for a snapshot that it accepts. */
    virtual void progressRefused(const JobId& job, std::vector<std::function<void()>> stored) = 0;
    /** @brief A commit with submissions failed because the configuration has changed; it is retried afterwards. */
    virtual void configurationSuperseded(const StoreEntry& configuration) = 0;
    /** @brief Store revision of the configuration against which pending submissions were checked. */
    virtual Revision configurationRevision() const = 0;
};

} // namespace lycheeledge::jobs
