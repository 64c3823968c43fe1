// JSON encoding of the configuration entities in the store.
#pragma once

#include "../state/Configuration.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lycheeledge {

/** @brief Marks a VM as drained: no new tasks are placed on it. */
struct VmDrain {
    VmId vm;

    bool operator==(const VmDrain&) const = default;
};

using ConfigurationValue = std::variant<Team, Key, Queue, KindPolicy, VmDrain>;

/** @brief A mutating call that was applied to an entity. */
struct CommandRecord {
    std::string idempotencyKey;
    std::string parameterDigest; ///< digest of the kind of call and its parameters
    std::uint64_t version = 0; ///< version of the entity after the call

    bool operator==(const CommandRecord&) const = default;
};

/** @brief Value of a store key below `c/`. */
struct ConfigurationEntity {
    std::uint64_t version = 0; ///< number of changes of the entity; starts at 1
    std::optional<ConfigurationValue> value; ///< nullopt for a tombstone
    std::vector<CommandRecord> history; ///< oldest first

    bool operator==(const ConfigurationEntity&) const = default;
};

/** @brief Prefix of all configuration entities. */
inline constexpr std::string_view configurationPrefix = "c/";

/** @brief Store key of an entity, for example `c/team/feed`. */
std::string configurationKey(const ConfigurationValue& value);
std::string teamKey(const TeamId& id);
std::string keyKey(const KeyId& id);
std::string queueKey(const QueueId& id);
std::string policyKey(WorkKind kind);
std::string vmDrainKey(const VmId& id);

/** @brief Encodes an entity as JSON. */
std::string encodeEntity(const ConfigurationEntity& entity);
/**
 * @brief Inverse of encodeEntity().
 * @param key store key, from which the kind and id of the entity are taken.
 * @return nullopt if the key or the JSON is malformed.
 */
std::optional<ConfigurationEntity> decodeEntity(std::string_view key, std::string_view json);

} // namespace lycheeledge
