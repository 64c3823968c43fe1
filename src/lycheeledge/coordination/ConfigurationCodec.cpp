// JSON encoding of the configuration entities in the store.

#include "ConfigurationCodec.h"

#include "JsonFields.h"

#include <array>
#include <cmath>
#include <limits>
#include <utility>

namespace lycheeledge {

namespace {

    using namespace detail;

    constexpr std::string_view teamPrefix = "c/team/";
    constexpr std::string_view keyPrefix = "c/key/";
    constexpr std::string_view queuePrefix = "c/queue/";
    constexpr std::string_view policyPrefix = "c/policy/";
    constexpr std::string_view drainPrefix = "c/vm/";

    constexpr std::array<std::pair<WorkKind, std::string_view>, 3> kindNames { {
        { WorkKind::Request, "request" },
        { WorkKind::Batch, "batch" },
        { WorkKind::Service, "service" },
    } };

    std::string_view kindName(WorkKind kind)
    {
        for (const auto& [value, name] : kindNames) {
            if (value == kind)
                return name;
        }
        return {};
    }

    void writeUint(JsonWriter& out, std::string_view name, std::uint64_t value)
    {
        writeKey(out, name);
        out.Uint64(value);
    }

    void writeBool(JsonWriter& out, std::string_view name, bool value)
    {
        writeKey(out, name);
        out.Bool(value);
    }

    void writeInt(JsonWriter& out, std::string_view name, std::int64_t value)
    {
        writeKey(out, name);
        out.Int64(value);
    }

    void writeResources(JsonWriter& out, std::string_view name, const Resources& value)
    {
        writeKey(out, name);
        out.StartObject();
        writeInt(out, "milliCpu", value.milliCpu);
        writeInt(out, "memoryMb", value.memoryMb);
        writeInt(out, "accelerators", value.accelerators);
        writeInt(out, "slots", value.slots);
        writeInt(out, "connections", value.connections);
        out.EndObject();
    }

    std::optional<Resources> readResources(const rapidjson::Value& object)
    {
        if (!object.IsObject())
            return std::nullopt;
        const auto milliCpu = intField(object, "milliCpu");
        const auto memoryMb = intField(object, "memoryMb");
        const auto accelerators = intField(object, "accelerators");
        const auto slots = intField(object, "slots");
        const auto connections = intField(object, "connections");
        if (!milliCpu || !memoryMb || !accelerators || !slots || !connections)
            return std::nullopt;
        return Resources { *milliCpu, *memoryMb, *accelerators, *slots, *connections };
    }

    std::optional<std::uint32_t> uint32Field(const rapidjson::Value& object, const char* name)
    {
        const auto value = uintField(object, name);
        if (!value || *value > std::numeric_limits<std::uint32_t>::max())
            return std::nullopt;
        return static_cast<std::uint32_t>(*value);
    }

    void writeFields(JsonWriter& out, const Team& team)
    {
        writeKey(out, "share");
        out.Double(team.share);
        if (team.upperLimit)
            writeResources(out, "upperLimit", *team.upperLimit);
        writeUint(out, "maxRunningTasks", team.maxRunningTasks);
    }

    void writeFields(JsonWriter& out, const Key& key)
    {
        writeString(out, "team", key.team.value());
        writeString(out, "role", key.role == KeyRole::Operator ? "operator" : "caller");
        writeString(out, "salt", key.salt);
        writeString(out, "sha256", key.sha256);
        writeBool(out, "withdrawn", key.withdrawn);
    }

    void writeFields(JsonWriter& out, const Queue& queue)
    {
        writeString(out, "team", queue.team.value());
        writeBool(out, "openToAll", queue.openToAll);
    }

    void writeFields(JsonWriter& out, const KindPolicy& policy)
    {
        writeUint(out, "maxAttempts", policy.maxAttempts);
        writeBool(out, "preemptible", policy.preemptible);
        writeUint(out, "maxQueuedPerTeam", policy.maxQueuedPerTeam);
    }

    void writeFields(JsonWriter& out, const VmDrain&) { writeBool(out, "drained", true); }

    std::optional<ConfigurationValue> readTeam(const std::string& id, const rapidjson::Value& object)
    {
        const auto share = numberField(object, "share");
        const auto maxRunningTasks = uint32Field(object, "maxRunningTasks");
        if (!share || !std::isfinite(*share) || *share <= 0 || !maxRunningTasks)
            return std::nullopt;
        Team team { TeamId(id), *share, std::nullopt, *maxRunningTasks };
        if (const auto* limit = findField(object, "upperLimit")) {
            team.upperLimit = readResources(*limit);
            if (!team.upperLimit || team.upperLimit->hasNegative())
                return std::nullopt;
        }
        return team;
    }

    std::optional<ConfigurationValue> readKey(const std::string& id, const rapidjson::Value& object)
    {
        const auto team = stringField(object, "team");
        const auto role = stringField(object, "role");
        const auto salt = stringField(object, "salt");
        const auto sha256 = stringField(object, "sha256");
        const auto withdrawn = boolField(object, "withdrawn");
        if (!team || !role || !salt || !sha256 || !withdrawn || (*role != "operator" && *role != "caller"))
            return std::nullopt;
        const KeyRole keyRole = *role == "operator" ? KeyRole::Operator : KeyRole::Caller;
        return Key { KeyId(id), TeamId(*team), keyRole, *salt, *sha256, *withdrawn };
    }

    std::optional<ConfigurationValue> readQueue(const std::string& id, const rapidjson::Value& object)
    {
        const auto team = stringField(object, "team");
        const auto openToAll = boolField(object, "openToAll");
        if (!team || team->empty() || !openToAll)
            return std::nullopt;
        return Queue { QueueId(id), TeamId(*team), *openToAll };
    }

    std::optional<ConfigurationValue> readPolicy(const std::string& id, const rapidjson::Value& object)
    {
        const auto maxAttempts = uint32Field(object, "maxAttempts");
        const auto preemptible = boolField(object, "preemptible");
        const auto maxQueued = uint32Field(object, "maxQueuedPerTeam");
        if (!maxAttempts || !preemptible || !maxQueued)
            return std::nullopt;
        for (const auto& [kind, name] : kindNames) {
            if (name == id)
                return KindPolicy { kind, *maxAttempts, *preemptible, *maxQueued };
        }
        return std::nullopt;
    }

    std::optional<ConfigurationValue> readValue(std::string_view key, const rapidjson::Value& object)
    {
        const auto idAfter = [key](std::string_view prefix) { return std::string(key.substr(prefix.size())); };
        if (key.starts_with(teamPrefix))
            return readTeam(idAfter(teamPrefix), object);
        if (key.starts_with(keyPrefix))
            return readKey(idAfter(keyPrefix), object);
        if (key.starts_with(queuePrefix))
            return readQueue(idAfter(queuePrefix), object);
        if (key.starts_with(policyPrefix))
            return readPolicy(idAfter(policyPrefix), object);
        if (key.starts_with(drainPrefix) && boolField(object, "drained") == true)
            return VmDrain { VmId(idAfter(drainPrefix)) };
        return std::nullopt;
    }

    std::optional<CommandRecord> readCommand(const rapidjson::Value& object)
    {
        if (!object.IsObject())
            return std::nullopt;
        const auto idempotencyKey = stringField(object, "key");
        const auto digest = stringField(object, "digest");
        const auto version = uintField(object, "version");
        if (!idempotencyKey || !digest || !version)
            return std::nullopt;
        return CommandRecord { *idempotencyKey, *digest, *version };
    }

    void writeHistory(JsonWriter& out, const std::vector<CommandRecord>& history)
    {
        writeKey(out, "history");
        out.StartArray();
        for (const auto& record : history) {
            out.StartObject();
            writeString(out, "key", record.idempotencyKey);
            writeString(out, "digest", record.parameterDigest);
            writeUint(out, "version", record.version);
            out.EndObject();
        }
        out.EndArray();
    }

    bool readHistory(const rapidjson::Value& object, std::vector<CommandRecord>& history)
    {
        const auto* array = findField(object, "history");
        if (!array || !array->IsArray())
            return false;
        for (const auto& element : array->GetArray()) {
            auto record = readCommand(element);
            if (!record)
                return false;
            history.push_back(std::move(*record));
        }
        return true;
    }

} // namespace

std::string teamKey(const TeamId& id) { return std::string(teamPrefix) + id.value(); }
std::string keyKey(const KeyId& id) { return std::string(keyPrefix) + id.value(); }
std::string queueKey(const QueueId& id) { return std::string(queuePrefix) + id.value(); }
std::string policyKey(WorkKind kind) { return std::string(policyPrefix).append(kindName(kind)); }
std::string vmDrainKey(const VmId& id) { return std::string(drainPrefix) + id.value(); }

std::string configurationKey(const ConfigurationValue& value)
{
    struct KeyOf {
        std::string operator()(const Team& team) const { return teamKey(team.id); }
        std::string operator()(const Key& key) const { return keyKey(key.id); }
        std::string operator()(const Queue& queue) const { return queueKey(queue.id); }
        std::string operator()(const KindPolicy& policy) const { return policyKey(policy.kind); }
        std::string operator()(const VmDrain& drain) const { return vmDrainKey(drain.vm); }
    };
    return std::visit(KeyOf {}, value);
}

std::string encodeEntity(const ConfigurationEntity& entity)
{
    rapidjson::StringBuffer buf;
    JsonWriter out(buf);
    out.StartObject();
    writeUint(out, "version", entity.version);
    if (entity.value) {
        writeKey(out, "value");
        out.StartObject();
        std::visit([&out](const auto& value) { writeFields(out, value); }, *entity.value);
        out.EndObject();
    } else {
        writeBool(out, "deleted", true);
    }
    writeHistory(out, entity.history);
    out.EndObject();
    return { buf.GetString(), buf.GetSize() };
}

std::optional<ConfigurationEntity> decodeEntity(std::string_view key, std::string_view json)
{
    rapidjson::Document document;
    if (!parseObject(document, json))
        return std::nullopt;
    ConfigurationEntity entity;
    const auto version = uintField(document, "version");
    if (!version || !readHistory(document, entity.history))
        return std::nullopt;
    entity.version = *version;
    if (boolField(document, "deleted") == true)
        return entity;
    const auto* value = findField(document, "value");
    if (!value || !value->IsObject())
        return std::nullopt;
    entity.value = readValue(key, *value);
    if (!entity.value)
        return std::nullopt;
    return entity;
}

} // namespace lycheeledge
