// Port to the platform's key-value store, with watches and paged listing.
#pragma once

#include "../coordination/Store.h"
#include "ClusterConfiguration.h"
#include "VmPort.h"
#include "WorkerPort.h"

#include <absl/status/statusor.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lycheeledge::jobs {

/// Number of commit sequences that may run in parallel. Six sustain 46 submissions a second, with the changes that
/// follow from them, at 240 ms per call.
inline constexpr std::size_t ledgerCommitQueues = 6;

/** @brief Key of the record that fences a commit queue's commits; each owner's claim and each commit overwrite it. */
inline std::string headRecordKey(std::size_t queue) { return "lycheeledge/head/" + std::to_string(queue); }

struct StoreValue {
    Revision asOf = 0; ///< store revision of the response
    std::optional<StoreEntry> entry; ///< empty if the key does not exist

    bool operator==(const StoreValue&) const = default;
};

struct StorePage {
    Revision asOf = 0;
    std::vector<StoreEntry> entries;
    bool truncated = false; ///< more entries follow after the last key

    bool operator==(const StorePage&) const = default;
};

struct StoreEvent {
    std::string key;
    Revision revision = 0;
    std::optional<std::string> value; ///< empty if the key was removed

    bool operator==(const StoreEvent&) const = default;
};

struct StoreEvents {
    Revision asOf = 0; ///< revision to continue watching from
    std::vector<StoreEvent> events;

    bool operator==(const StoreEvents&) const = default;
};

struct CommitResult {
    bool applied = false;
    Revision revision = 0; ///< revision of the written keys, if applied
    /// If not applied: entries of the condition keys; revision 0 means that the key does not exist.
    std::vector<StoreEntry> current;

    bool operator==(const CommitResult&) const = default;
};

/**
 * @brief The platform's store.
 *
 * Errors: `UNAVAILABLE` if the call certainly had no effect, `INVALID_ARGUMENT` if the store refuses it and always
 * will, `DEADLINE_EXCEEDED` or `UNKNOWN` if a change may have been applied or may still be, `NOT_FOUND` for an ended
 * lease, `OUT_OF_RANGE` for a watch from a revision whose history the store no longer has.
 */
class ClusterStore {
public:
    template <typename T> using Callback = std::function<void(absl::StatusOr<T>)>;

    virtual ~ClusterStore() = default;

    virtual void get(const std::string& key, Duration timeout, Callback<StoreValue> done) = 0;
    /** @param after last key of the previous page; empty for the first page. */
    virtual void list(const std::string& prefix, const std::string& after, Duration timeout, Callback<StorePage> done)
        = 0;
    /** @brief Waits for changes after a revision. @param timeout added to `wait`. */
    virtual void watch(
        const std::string& prefix, Revision after, Duration wait, Duration timeout, Callback<StoreEvents> done)
        = 0;
    virtual void commit(const StoreTransaction& transaction, Duration timeout, Callback<CommitResult> done) = 0;
    virtual void grantLease(Duration timeToLive, Duration timeout, Callback<StoreLeaseId> done) = 0;
    virtual void renewLease(StoreLeaseId lease, Duration timeout, Callback<Duration> done) = 0;
    virtual void revokeLease(StoreLeaseId lease, Duration timeout, std::function<void(absl::Status)> done) = 0;
};

/** @brief Keys and decoders of the platform's records in the store. */
class PlatformRecords {
public:
    virtual ~PlatformRecords() = default;

    /** @brief Prefix of the operators' records, including the configuration. */
    virtual std::string operatorPrefix() const = 0;
    virtual std::string configurationKey() const = 0;
    virtual std::string workerPrefix() const = 0;
    /** @brief Errors: `INVALID_ARGUMENT` for a malformed record. */
    virtual absl::StatusOr<ClusterConfiguration> configuration(const StoreEntry& entry) const = 0;
    /** @brief Errors: `INVALID_ARGUMENT` for an entry that does not describe a usable worker. */
    virtual absl::StatusOr<WorkerRecord> worker(const StoreEntry& entry) const = 0;
    /** @brief Prefix of operators' requests for maintenance waves; starts with operatorPrefix(). */
    virtual std::string wavePrefix() const = 0;
    /** @brief Errors: `INVALID_ARGUMENT` for a malformed record. */
    virtual absl::StatusOr<MaintenanceWave> wave(const StoreEntry& entry) const = 0;
    /** @brief Prefix of operators' requests to evacuate a data centre, whose name follows; starts with
     * operatorPrefix(). */
    virtual std::string evacuationPrefix() const = 0;
    /** @brief Key under which the state of a wave is reported. */
    virtual std::string waveStateKey(std::uint64_t wave) const = 0;
    /** @brief Reported state of a wave that is in progress or completed. */
    virtual std::string waveState(bool completed) const = 0;
};

} // namespace lycheeledge::jobs
