// Port to the platform's store, with watches and bounded pages.
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

/// Sequences of commits that may run side by side; six carry 46 submissions a second, and what follows from them, at
/// 240 ms a call.
inline constexpr std::size_t ledgerLanes = 6;

/** @brief Key of the record that fences a lane's commits: the claim of an owner and each commit write it anew. */
inline std::string headRecordKey(std::size_t lane) { return "lycheeledge/head/" + std::to_string(lane); }

struct StoreValue {
    Revision asOf = 0; ///< store revision of the response
    std::optional<StoreEntry> entry; ///< nothing if the key does not exist

    bool operator==(const StoreValue&) const = default;
};

struct StorePage {
    Revision asOf = 0;
    std::vector<StoreEntry> entries;
    bool truncated = false; ///< further pages follow after the last key

    bool operator==(const StorePage&) const = default;
};

struct StoreEvent {
    std::string key;
    Revision revision = 0;
    std::optional<std::string> value; ///< nothing if the key was removed

    bool operator==(const StoreEvent&) const = default;
};

struct StoreEvents {
    Revision asOf = 0; ///< to continue from
    std::vector<StoreEvent> events;

    bool operator==(const StoreEvents&) const = default;
};

struct CommitResult {
    bool applied = false;
    Revision revision = 0; ///< of the keys written, if applied
    std::vector<StoreEntry> current; ///< keys of the conditions, if not applied; revision 0: does not exist

    bool operator==(const CommitResult&) const = default;
};

/**
 * @brief The platform's store.
 *
 * Errors: `UNAVAILABLE` if the call certainly had no effect, `DEADLINE_EXCEEDED` or `UNKNOWN` if a change may have
 * been applied or may still be, `NOT_FOUND` for an ended lease, `OUT_OF_RANGE` for a watch whose history is gone.
 */
class ClusterStore {
public:
    template <typename T> using Callback = std::function<void(absl::StatusOr<T>)>;

    virtual ~ClusterStore() = default;

    virtual void get(const std::string& key, Duration timeout, Callback<StoreValue> done) = 0;
    /** @param after last key of the page before; empty for the first page. */
    virtual void list(const std::string& prefix, const std::string& after, Duration timeout, Callback<StorePage> done)
        = 0;
    /** @brief Waits for changes after a revision. @param timeout beyond `wait`. */
    virtual void watch(
        const std::string& prefix, Revision after, Duration wait, Duration timeout, Callback<StoreEvents> done)
        = 0;
    virtual void commit(const StoreTransaction& transaction, Duration timeout, Callback<CommitResult> done) = 0;
    virtual void grantLease(Duration timeToLive, Duration timeout, Callback<StoreLeaseId> done) = 0;
    virtual void renewLease(StoreLeaseId lease, Duration timeout, Callback<Duration> done) = 0;
    virtual void endLease(StoreLeaseId lease, Duration timeout, std::function<void(absl::Status)> done) = 0;
};

/** @brief Where the platform keeps its records in the store, and how they are read. */
class PlatformRecords {
public:
    virtual ~PlatformRecords() = default;

    /** @brief Prefix of the operators' records, the configuration among them. */
    virtual std::string operatorPrefix() const = 0;
    virtual std::string configurationKey() const = 0;
    virtual std::string workerPrefix() const = 0;
    /** @brief Errors: `INVALID_ARGUMENT` for a record that cannot be used. */
    virtual absl::StatusOr<ClusterConfiguration> configuration(const StoreEntry& entry) const = 0;
    /** @brief Errors: `INVALID_ARGUMENT` for an entry that names no worker to use. */
    virtual absl::StatusOr<WorkerRecord> worker(const StoreEntry& entry) const = 0;
    /** @brief Operators' requests for maintenance waves; below operatorPrefix(). */
    virtual std::string wavePrefix() const = 0;
    /** @brief Errors: `INVALID_ARGUMENT` for a record that cannot be used. */
    virtual absl::StatusOr<MaintenanceWave> wave(const StoreEntry& entry) const = 0;
    /** @brief Where the state of a wave is reported, and its value while it goes on and when it is completed. */
    virtual std::string waveStateKey(std::uint64_t wave) const = 0;
    virtual std::string waveState(bool completed) const = 0;
};

} // namespace lycheeledge::jobs
