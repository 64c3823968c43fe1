// JSON encoding of the etcd v3 gateway calls that the platform's store supports.
#pragma once

#include "../coordination/Store.h"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace lycheeledge {

/** @brief Body of `/v3/kv/range` for one range. */
std::string encodeRange(const StoreRange& range);
/** @brief Body of `/v3/kv/txn` that reads several ranges at one revision. */
std::string encodeReadTransaction(const std::vector<StoreRange>& ranges);
/** @brief Body of `/v3/kv/txn` for a compare-and-swap. */
std::string encodeTransaction(const StoreTransaction& transaction);
/** @brief Body of `/v3/lease/grant`. @param seconds time to live. */
std::string encodeLeaseGrant(std::int64_t seconds);
/** @brief Body of `/v3/lease/keepalive` and `/v3/lease/revoke`. */
std::string encodeLeaseId(StoreLeaseId lease);

// The decoders below report malformed input as INVALID_ARGUMENT.

absl::StatusOr<StoreSnapshot> decodeRange(const std::string& body);
/** @param count number of ranges requested. */
absl::StatusOr<StoreSnapshot> decodeReadTransaction(const std::string& body, std::size_t count);
absl::StatusOr<StoreCommit> decodeTransaction(const std::string& body);
absl::StatusOr<StoreLeaseId> decodeLeaseGrant(const std::string& body);
/** @return the remaining time to live; zero if the lease has expired or was revoked. */
absl::StatusOr<Duration> decodeKeepAlive(const std::string& body);

/** @brief Error returned by the gateway. */
struct EtcdError {
    int code = 0; ///< gRPC status code; 0 if the body does not carry one
    std::string message;

    bool operator==(const EtcdError&) const = default;
};

/**
 * @brief Decodes the body of a response with an HTTP error status.
 *
 * Never fails: the first 200 bytes of a body that cannot be decoded become the message.
 */
EtcdError decodeEtcdError(const std::string& body);

} // namespace lycheeledge
