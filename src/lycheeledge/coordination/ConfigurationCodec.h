// JSON form of the configuration entities kept in the store.
#pragma once

#include "../state/Configuration.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lycheeledge {

/** @brief Mark that a VM gets no new work. */
struct DrainMark {
    VmId vm;

    bool operator==(const DrainMark&) const = default;
};

using ConfigurationValue = std::variant<Team, Key, Queue, KindPolicy, DrainMark>;

/** @brief A mutating call that an entity has taken. */
struct CommandRecord {
    std::string idempotencyKey;
    std::string parameterDigest; ///< digest of the kind of the call and its parameters
    std::uint64_t version = 0; ///< version of the entity that resulted

    bool operator==(const CommandRecord&) const = default;
};

/** @brief Value of a store key below `c/`. */
struct ConfigurationEntity {
    std::uint64_t version = 0; ///< counts the changes of the entity, from 1
    std::optional<ConfigurationValue> value; ///< none for a tombstone
    std::vector<CommandRecord> history; ///< latest last

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
std::string drainKey(const VmId& id);

/** @brief JSON form of an entity. */
std::string encodeEntity(const ConfigurationEntity& entity);
/** @brief Inverse of encodeEntity(). @param key store key, which names the kind and id. @return nullopt if malformed.
 */
std::optional<ConfigurationEntity> decodeEntity(std::string_view key, std::string_view json);

} // namespace lycheeledge
