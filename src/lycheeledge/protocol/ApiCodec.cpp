// Conversion between the JSON parameters and results of API calls and the value types.

#include "ApiCodec.h"

#include "../coordination/SecretDigest.h"
#include "../transport/Hmac.h"
#include "JsonObject.h"

#include <absl/strings/escaping.h>
#include <fmt/format.h>

#include <array>
#include <utility>

namespace lycheeledge {

namespace {

    using detail::JsonBuilder;

    constexpr std::array<std::pair<WorkKind, std::string_view>, 3> kindNames { {
        { WorkKind::Request, "request" },
        { WorkKind::Batch, "batch" },
        { WorkKind::Service, "service" },
    } };

    constexpr std::array<std::pair<WorkPhase, std::string_view>, 4> phaseNames { {
        { WorkPhase::Queued, "queued" },
        { WorkPhase::Running, "running" },
        { WorkPhase::Finished, "finished" },
        { WorkPhase::SetAside, "set_aside" },
    } };

    template <typename Names> std::string_view nameOf(const Names& names, decltype(names.front().first) value)
    {
        for (const auto& [it, name] : names) {
            if (it == value)
                return name;
        }
        return "";
    }

    template <typename Names> auto valueOf(const Names& names, std::string_view name)
    {
        for (const auto& [value, it] : names) {
            if (it == name)
                return value;
        }
        return names.front().first;
    }

    Resources decodeResources(const rapidjson::Value& value)
    {
        return { detail::integer(value, "cpu", 0), detail::integer(value, "memoryMb", 0),
            detail::integer(value, "accelerators", 0), detail::integer(value, "slots", 0),
            detail::integer(value, "connections", 0) };
    }

    void writeResources(JsonBuilder& builder, const Resources& amounts)
    {
        builder.begin()
            .field("cpu", amounts.milliCpu)
            .field("memoryMb", amounts.memoryMb)
            .field("accelerators", amounts.accelerators)
            .field("slots", amounts.slots)
            .field("connections", amounts.connections)
            .end();
    }

    Duration readMilliseconds(const rapidjson::Value& params, const char* name)
    {
        return std::chrono::milliseconds(detail::integer(params, name, 0));
    }

    std::int64_t toMilliseconds(Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    }

    ApiError invalidArgument(std::string field, std::string_view message)
    {
        std::string text = fmt::format("{} {}", field, message);
        return { ErrorKind::InvalidArgument, std::move(text), std::move(field), RunState::NotRun };
    }

    ApiError truncatedResult(std::string field, std::string_view message)
    {
        std::string text = fmt::format("{} {}", field, message);
        return { ErrorKind::Truncated, std::move(text), std::move(field), RunState::Unknown };
    }

} // namespace

std::optional<ApiError> decodeWorkSpec(const rapidjson::Value& params, WorkSpec& spec)
{
    WorkSpec decoded;
    decoded.id = decodeWorkId(params);
    decoded.queue = QueueId(detail::string(params, "queue"));
    decoded.kind = valueOf(kindNames, detail::string(params, "kind"));
    if (const auto* size = detail::member(params, "size"))
        decoded.perTask = decodeResources(*size);
    decoded.taskCount = static_cast<std::uint32_t>(detail::integer(params, "tasks", 1));
    decoded.gang = detail::boolean(params, "allTogether", false);
    decoded.repeatable = detail::boolean(params, "repeatable", false);
    decoded.urgent = detail::boolean(params, "urgent", false);
    decoded.deadline = readMilliseconds(params, "deadlineMs");
    decoded.declaredRunTime = readMilliseconds(params, "expectedRunMs");
    decoded.preferredZone = ZoneId(detail::string(params, "zone"));
    decoded.attempt = static_cast<std::uint32_t>(detail::integer(params, "attempt", 0));
    decoded.payload = detail::string(params, "payload");
    if (decoded.perTask.isZero())
        return invalidArgument("/size", "is empty: at least one amount must be greater than 0");
    if (decoded.kind == WorkKind::Request && decoded.taskCount != 1)
        return invalidArgument("/tasks", "is out of range: must be 1 for requests");
    spec = std::move(decoded);
    return std::nullopt;
}

WorkId decodeWorkId(const rapidjson::Value& params)
{
    return { TeamId(detail::string(params, "team")), RequestId(detail::string(params, "requestId")) };
}

Team decodeTeam(const rapidjson::Value& params)
{
    Team team;
    team.id = TeamId(detail::string(params, "id"));
    team.share = detail::number(params, "share", 1.0);
    if (const auto* limit = detail::member(params, "upperLimit"))
        team.upperLimit = decodeResources(*limit);
    team.maxRunningTasks = static_cast<std::uint32_t>(detail::integer(params, "maxRunningTasks", 0));
    return team;
}

std::optional<ApiError> decodeKey(const rapidjson::Value& params, std::string_view salt, Key& key)
{
    Key decoded;
    decoded.id = KeyId(detail::string(params, "id"));
    decoded.team = TeamId(detail::string(params, "team"));
    decoded.role = detail::string(params, "role") == "operator" ? KeyRole::Operator : KeyRole::Caller;
    decoded.salt = salt;
    decoded.sha256 = keyDigest(salt, detail::string(params, "secret"));
    if (decoded.role == KeyRole::Caller && decoded.team.empty())
        return invalidArgument("/team", "is missing: a caller's key belongs to a team");
    if (decoded.role == KeyRole::Operator && !decoded.team.empty())
        return invalidArgument("/team", "is an unknown field for an operator's key");
    key = std::move(decoded);
    return std::nullopt;
}

Queue decodeQueue(const rapidjson::Value& params)
{
    return { QueueId(detail::string(params, "id")), TeamId(detail::string(params, "team")),
        detail::boolean(params, "openToAll", false) };
}

KindPolicy decodePolicy(const rapidjson::Value& params)
{
    return { valueOf(kindNames, detail::string(params, "kind")),
        static_cast<std::uint32_t>(detail::integer(params, "maxAttempts", 3)),
        detail::boolean(params, "preemptible", false),
        static_cast<std::uint32_t>(detail::integer(params, "maxQueuedPerTeam", 10000)) };
}

ChangeHeader decodeChangeHeader(const rapidjson::Value& params)
{
    ChangeHeader header { detail::string(params, "idempotencyKey"), std::nullopt };
    if (detail::member(params, "expectedVersion") != nullptr)
        header.expectedVersion = detail::integer(params, "expectedVersion", 0);
    return header;
}

std::string encodeWorkSpec(const WorkSpec& spec)
{
    JsonBuilder builder;
    builder.begin().field("team", spec.id.team.value()).field("requestId", spec.id.request.value());
    if (!spec.queue.empty())
        builder.field("queue", spec.queue.value());
    builder.field("kind", toString(spec.kind)).key("size");
    writeResources(builder, spec.perTask);
    builder.field("tasks", spec.taskCount)
        .field("allTogether", spec.gang)
        .field("repeatable", spec.repeatable)
        .field("urgent", spec.urgent)
        .field("deadlineMs", toMilliseconds(spec.deadline))
        .field("expectedRunMs", toMilliseconds(spec.declaredRunTime));
    if (!spec.preferredZone.empty())
        builder.field("zone", spec.preferredZone.value());
    return builder.field("attempt", spec.attempt).field("payload", spec.payload).end().text();
}

std::string encodeWorkResult(const WorkResult& result)
{
    const bool isText = detail::isUtf8(result.body);
    return JsonBuilder()
        .begin()
        .field("team", result.id.team.value())
        .field("requestId", result.id.request.value())
        .field("run", toString(result.run))
        .field("body", isText ? result.body : absl::Base64Escape(result.body))
        .field("bodyEncoding", isText ? "utf8" : "base64")
        .field("length", static_cast<std::int64_t>(result.body.size()))
        .field("sha256", sha256Hex(result.body))
        .end()
        .text();
}

std::optional<ApiError> decodeWorkResult(const rapidjson::Value& value, WorkResult& result)
{
    WorkResult decoded;
    decoded.id = decodeWorkId(value);
    decoded.run = runStateFromString(detail::string(value, "run"));
    const std::string body = detail::string(value, "body");
    const bool isBase64 = detail::string(value, "bodyEncoding") == "base64";
    if (!isBase64)
        decoded.body = body;
    else if (!absl::Base64Unescape(body, &decoded.body))
        return truncatedResult("/body", "is not valid base64");
    if (detail::integer(value, "length", -1) != static_cast<std::int64_t>(decoded.body.size()))
        return truncatedResult("/length", "does not match the body");
    if (detail::string(value, "sha256") != sha256Hex(decoded.body))
        return truncatedResult("/sha256", "does not match the body");
    result = std::move(decoded);
    return std::nullopt;
}

ApiError toApiError(const WorkResult& result) { return { result.error, result.message, "", result.run }; }

std::string encodeWorkStatus(const WorkStatus& status)
{
    return JsonBuilder()
        .begin()
        .field("team", status.id.team.value())
        .field("requestId", status.id.request.value())
        .field("kind", toString(status.kind))
        .field("phase", toString(status.phase))
        .field("tasks", status.taskCount)
        .field("tasksRunning", status.tasksRunning)
        .field("tasksFinished", status.tasksFinished)
        .field("reason", status.reason)
        .end()
        .text();
}

WorkStatus decodeWorkStatus(const rapidjson::Value& value)
{
    WorkStatus status;
    status.id = decodeWorkId(value);
    status.kind = valueOf(kindNames, detail::string(value, "kind"));
    status.phase = valueOf(phaseNames, detail::string(value, "phase"));
    status.taskCount = static_cast<std::uint32_t>(detail::integer(value, "tasks", 1));
    status.tasksRunning = static_cast<std::uint32_t>(detail::integer(value, "tasksRunning", 0));
    status.tasksFinished = static_cast<std::uint32_t>(detail::integer(value, "tasksFinished", 0));
    status.reason = detail::string(value, "reason");
    return status;
}

std::string encodeChange(const ChangeResult& change)
{
    std::vector<std::string> waitingFor;
    waitingFor.reserve(change.waitingFor.size());
    for (const auto& member : change.waitingFor)
        waitingFor.push_back(detail::quoted(member.value()));
    return JsonBuilder()
        .begin()
        .field("version", change.version)
        .field("inForce", change.inForce)
        .raw("waitingFor", encodeList(waitingFor))
        .end()
        .text();
}

std::string encodeTeam(const Team& team, Revision version)
{
    JsonBuilder builder;
    builder.begin().field("id", team.id.value()).field("share", team.share);
    if (team.upperLimit) {
        builder.key("upperLimit");
        writeResources(builder, *team.upperLimit);
    }
    return builder.field("maxRunningTasks", team.maxRunningTasks).field("version", version).end().text();
}

std::string encodeKey(const Key& key, Revision version)
{
    JsonBuilder builder;
    builder.begin().field("id", key.id.value());
    if (!key.team.empty())
        builder.field("team", key.team.value());
    return builder.field("role", toString(key.role))
        .field("withdrawn", key.withdrawn)
        .field("version", version)
        .end()
        .text();
}

std::string encodeQueue(const Queue& queue, Revision version)
{
    return JsonBuilder()
        .begin()
        .field("id", queue.id.value())
        .field("team", queue.team.value())
        .field("openToAll", queue.openToAll)
        .field("version", version)
        .end()
        .text();
}

std::string encodePolicy(const KindPolicy& policy, Revision version)
{
    return JsonBuilder()
        .begin()
        .field("kind", toString(policy.kind))
        .field("maxAttempts", policy.maxAttempts)
        .field("preemptible", policy.preemptible)
        .field("maxQueuedPerTeam", policy.maxQueuedPerTeam)
        .field("version", version)
        .end()
        .text();
}

std::string encodeVm(const VmId& vm, bool drained, Revision version)
{
    return JsonBuilder()
        .begin()
        .field("id", vm.value())
        .field("drained", drained)
        .field("version", version)
        .end()
        .text();
}

std::string encodeList(const std::vector<std::string>& elements)
{
    std::string json = "[";
    for (const auto& element : elements)
        json += (json.size() > 1 ? "," : "") + element;
    return json + "]";
}

std::string_view toString(WorkKind kind) { return nameOf(kindNames, kind); }
std::string_view toString(WorkPhase phase) { return nameOf(phaseNames, phase); }
std::string_view toString(KeyRole role) { return role == KeyRole::Operator ? "operator" : "caller"; }

std::string keyDigest(std::string_view salt, std::string_view secret) { return secretDigest(salt, secret); }

bool keyMatches(const Key& key, std::string_view secret)
{
    return constantTimeEqual(key.sha256, keyDigest(key.salt, secret));
}

std::optional<PresentedKey> parseAuthorization(std::string_view header)
{
    constexpr std::size_t maxHeaderLength = 512;
    constexpr std::string_view scheme = "Bearer ";
    if (header.size() > maxHeaderLength || !header.starts_with(scheme))
        return std::nullopt;
    header.remove_prefix(scheme.size());
    const auto dot = header.find('.');
    if (dot == std::string_view::npos || dot == 0 || dot + 1 == header.size())
        return std::nullopt;
    return PresentedKey { KeyId(std::string(header.substr(0, dot))), std::string(header.substr(dot + 1)) };
}

} // namespace lycheeledge
