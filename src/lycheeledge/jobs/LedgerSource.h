// What the ledger stores, and whom it asks for it.
#pragma once

#include "ClusterStore.h"
#include "JobRecord.h"

#include <optional>
#include <vector>

namespace lycheeledge::jobs {

/** @brief What is to be written of one job. */
struct JobChange {
    std::optional<SubmissionRecord> submission; ///< set for a job that is not stored yet
    std::optional<ProgressRecord> progress;
    bool eraseSubmission = false; ///< the job has ended; its spec is not needed any more
    bool eraseProgress = false; ///< the job is forgotten
};

/** @brief Owner of the jobs that the ledger stores. */
class LedgerSource {
public:
    virtual ~LedgerSource() = default;

    /** @brief Snapshot to write now; nothing if the job is gone. */
    virtual std::optional<JobChange> changeOf(const JobId& job) = 0;
    virtual void changeStored(const JobId& job, const JobChange& change) = 0;
    /** @brief The epoch in the store is another's: this process is not the owner any more. */
    virtual void ledgerLost() = 0;
    /** @brief These submissions were not stored and will not be: the store did nothing. */
    virtual void submissionsRejected(const std::vector<JobId>& jobs) = 0;
    /** @brief A new configuration stopped a commit with submissions, which are offered again afterwards. */
    virtual void configurationSuperseded(const StoreEntry& configuration) = 0;
    /** @brief Store revision of the configuration against which waiting submissions were checked. */
    virtual Revision configurationRevision() const = 0;
};

} // namespace lycheeledge::jobs
