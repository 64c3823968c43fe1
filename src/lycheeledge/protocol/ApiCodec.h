// Conversion between the JSON parameters and results of API calls and the value types.
#pragma once

#include "../state/Configuration.h"
#include "../state/Outcome.h"
#include "../state/Work.h"
#include "ApiError.h"

#include <rapidjson/document.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheeledge {

/** @brief Fields common to all calls that change the configuration. */
struct ChangeHeader {
    std::string idempotencyKey;
    std::optional<Revision> expectedVersion; ///< 0 requires that the entity does not exist

    bool operator==(const ChangeHeader&) const = default;
};

/** @brief Result of a call that changed the configuration. */
struct ChangeResult {
    Revision version = 0;
    bool inForce = false;
    std::vector<MemberId> waitingFor; ///< members that have not confirmed the change

    bool operator==(const ChangeResult&) const = default;
};

// The functions below require parameters that passed ApiSchema. Absent fields get the default values of the schema.

/** @brief Converts the parameters and checks the rules that the schema cannot express. @param spec set on success. */
std::optional<ApiError> decodeWorkSpec(const rapidjson::Value& params, WorkSpec& spec);
WorkId decodeWorkId(const rapidjson::Value& params);
Team decodeTeam(const rapidjson::Value& params);
/**
 * @brief Converts the parameters; replaces the secret by its salted digest.
 * @param salt hexadecimal. @param key set on success.
 */
std::optional<ApiError> decodeKey(const rapidjson::Value& params, std::string_view salt, Key& key);
Queue decodeQueue(const rapidjson::Value& params);
KindPolicy decodePolicy(const rapidjson::Value& params);
ChangeHeader decodeChangeHeader(const rapidjson::Value& params);

/** @brief Parameters of work.submit as JSON text. */
std::string encodeWorkSpec(const WorkSpec& spec);
/** @brief Result of work.submit as JSON text. @param result successful. */
std::string encodeWorkResult(const WorkResult& result);
/** @brief Inverse of encodeWorkResult(). @return `Truncated` if length or digest do not match the body. */
std::optional<ApiError> decodeWorkResult(const rapidjson::Value& value, WorkResult& result);
/** @brief Converts the error of a failed result. @param result not successful. */
ApiError toApiError(const WorkResult& result);
std::string encodeWorkStatus(const WorkStatus& status);
/** @param value accepted by the schema of work.status. */
WorkStatus decodeWorkStatus(const rapidjson::Value& value);
std::string encodeChange(const ChangeResult& change);

/** @brief JSON text of an entity with its version, as returned by the list calls. Keys omit salt and digest. */
std::string encodeTeam(const Team& team, Revision version);
std::string encodeKey(const Key& key, Revision version);
std::string encodeQueue(const Queue& queue, Revision version);
std::string encodePolicy(const KindPolicy& policy, Revision version);
std::string encodeVm(const VmId& vm, bool drained, Revision version);
/** @brief Joins JSON texts to a JSON array. */
std::string encodeList(const std::vector<std::string>& elements);

std::string_view toString(WorkKind kind);
std::string_view toString(WorkPhase phase);
std::string_view toString(KeyRole role);

/** @brief Salted digest of a key's secret. @param salt hexadecimal. @return hexadecimal. */
std::string keyDigest(std::string_view salt, std::string_view secret);
/** @brief Whether a secret matches the key. Compares in constant time. */
bool keyMatches(const Key& key, std::string_view secret);
/** @brief Parts of `Authorization: Bearer <key id>.<secret>`. */
struct PresentedKey {
    KeyId id;
    std::string secret;
};
/** @brief Parses an `Authorization` header. @return nothing if it is malformed. */
std::optional<PresentedKey> parseAuthorization(std::string_view header);

} // namespace lycheeledge
