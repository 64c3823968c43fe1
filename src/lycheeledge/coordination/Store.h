// Interface to the platform's key-value store.
#pragma once

#include "../state/Ids.h"
#include "../state/Time.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lycheeledge {

using StoreLeaseId = std::int64_t;

/** @brief A key and its value. */
struct StoreEntry {
    std::string key;
    std::string value;
    Revision modRevision = 0; ///< store revision of the last change of this key

    bool operator==(const StoreEntry&) const = default;
};

/** @brief Selects all keys that start with `prefix` and were modified at or after `minModRevision`. */
struct StoreRange {
    std::string prefix;
    Revision minModRevision = 0;
    bool exact = false; ///< selects only the key that equals `prefix`

    bool operator==(const StoreRange&) const = default;
};

/** @brief Result of a read. All ranges are of the same revision. */
struct StoreSnapshot {
    Revision revision = 0;
    std::vector<std::vector<StoreEntry>> ranges; ///< in the order of the request

    bool operator==(const StoreSnapshot&) const = default;
};

/** @brief Requires that `key` was last modified at `modRevision`; 0 requires that it does not exist. */
struct StoreCondition {
    std::string key;
    Revision modRevision = 0;

    bool operator==(const StoreCondition&) const = default;
};

/** @brief Sets `key` to `value`. If a lease is given, the store deletes the key when the lease ends. */
struct StorePut {
    std::string key;
    std::string value;
    std::optional<StoreLeaseId> lease;

    bool operator==(const StorePut&) const = default;
};

/** @brief Atomic compare-and-swap: all changes are applied if all conditions hold, and none otherwise. */
struct StoreTransaction {
    std::vector<StoreCondition> conditions;
    std::vector<StorePut> puts;
    std::vector<std::string> deletes;

    bool operator==(const StoreTransaction&) const = default;
};

struct StoreCommit {
    bool applied = false; ///< whether the conditions held
    Revision revision = 0; ///< modification revision of the keys written, if applied

    bool operator==(const StoreCommit&) const = default;
};

/**
 * @brief The platform's transactional key-value store.
 *
 * Errors: `UNAVAILABLE` if the call is known to have had no effect, `DEADLINE_EXCEEDED` or `UNKNOWN` if a change may
 * have been applied, `NOT_FOUND` for an ended lease, `RESOURCE_EXHAUSTED` for a value over 1 MB.
 */
class Store {
public:
    template <typename T> using Callback = std::function<void(absl::StatusOr<T>)>;

    virtual ~Store() = default;

    /** @brief Reads several ranges at one revision, in one call. */
    virtual void read(std::vector<StoreRange> ranges, Callback<StoreSnapshot> done) = 0;
    /** @brief Executes a transaction. */
    virtual void commit(StoreTransaction transaction, Callback<StoreCommit> done) = 0;
    /** @brief Grants a lease. @param timeToLive whole seconds. */
    virtual void grantLease(Duration timeToLive, Callback<StoreLeaseId> done) = 0;
    /** @brief Renews a lease. @return the remaining time to live. */
    virtual void renewLease(StoreLeaseId lease, Callback<Duration> done) = 0;
    /** @brief Ends a lease and deletes its keys. */
    virtual void revokeLease(StoreLeaseId lease, std::function<void(absl::Status)> done) = 0;
};

} // namespace lycheeledge
