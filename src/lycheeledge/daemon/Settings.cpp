// Settings of lycheeledged.

#include "Settings.h"

#include "../protocol/JsonObject.h"
#include "../protocol/JsonSchema.h"
#include "JsonLines.h"
#include "SettingsSchemaText.h"

#include <asio/ip/address.hpp>
#include <fmt/format.h>
#include <rapidjson/document.h>
#include <rapidjson/error/en.h>

#include <algorithm>
#include <fstream>
#include <optional>
#include <sstream>

namespace lycheeledge {

namespace {

    constexpr unsigned parseFlags = rapidjson::kParseIterativeFlag | rapidjson::kParseCommentsFlag
        | rapidjson::kParseTrailingCommasFlag | rapidjson::kParseValidateEncodingFlag;

    absl::Status invalidSettings(std::string_view file, std::size_t line, std::string_view message)
    {
        return absl::InvalidArgumentError(fmt::format("{}:{}: {}", file, line, message));
    }

    // Returns the line of the object that should contain the field if the field is missing.
    std::size_t lineOfField(std::string_view text, std::string field)
    {
        const auto lines = jsonValueLines(text);
        while (true) {
            if (const auto it = lines.find(field); it != lines.end())
                return it->second;
            if (field.empty())
                return 1;
            field.erase(field.rfind('/'));
        }
    }

    const rapidjson::Value& section(const rapidjson::Value& root, const char* name)
    {
        static const rapidjson::Value empty(rapidjson::kObjectType);
        const auto* value = detail::member(root, name);
        return value != nullptr ? *value : empty;
    }

    Address readAddress(const rapidjson::Value& value)
    {
        return { detail::string(value, "address"), static_cast<std::uint16_t>(detail::integer(value, "port", 0)) };
    }

    LimitSettings readLimits(const rapidjson::Value& value)
    {
        LimitSettings limits;
        auto read = [&value](const char* name, std::size_t& limit) {
            limit = static_cast<std::size_t>(detail::integer(value, name, static_cast<std::int64_t>(limit)));
        };
        read("maxBodyBytes", limits.maxBodyBytes);
        read("maxConnections", limits.maxConnections);
        read("maxRequestMemoryBytes", limits.maxRequestMemoryBytes);
        read("maxWaitingCalls", limits.maxWaitingCalls);
        read("maxConnectionsPerHost", limits.maxConnectionsPerHost);
        read("maxResponseBytes", limits.maxResponseBytes);
        return limits;
    }

    IntervalSettings readIntervals(const rapidjson::Value& value)
    {
        IntervalSettings intervals;
        auto read = [&value](const char* name, Duration& interval) {
            if (const auto* field = detail::member(value, name))
                interval = std::chrono::milliseconds(field->GetInt64());
        };
        read("gossipMs", intervals.gossip);
        read("freshnessReadMs", intervals.freshnessRead);
        read("isolationMs", intervals.isolation);
        read("storeLeaseMs", intervals.storeLease);
        read("storeLeaseRenewMs", intervals.storeLeaseRenew);
        read("controllerLeaseMs", intervals.controllerLease);
        read("taskLeaseMs", intervals.taskLease);
        read("workerRenewMs", intervals.workerRenew);
        read("vmListMs", intervals.vmList);
        read("journalCommitMs", intervals.journalCommit);
        read("inForceWaitMs", intervals.inForceWait);
        read("rosterRemovalMs", intervals.rosterRemoval);
        read("storeRecoveryMs", intervals.storeRecovery);
        read("stopLimitMs", intervals.stopLimit);
        return intervals;
    }

    LogLevel readLogLevel(const rapidjson::Value& value)
    {
        const std::string level = detail::string(value, "level", "info");
        if (level == "error")
            return LogLevel::Error;
        return level == "warning" ? LogLevel::Warning : LogLevel::Info;
    }

    Settings toSettings(const rapidjson::Value& root)
    {
        Settings settings;
        settings.member = MemberId(detail::string(section(root, "member"), "id"));
        settings.zone = ZoneId(detail::string(section(root, "member"), "zone"));
        settings.listen = readAddress(section(root, "listen"));
        settings.certificatePath = detail::string(section(root, "listen"), "certificatePath");
        settings.keyPath = detail::string(section(root, "listen"), "keyPath");
        settings.peer = readAddress(section(root, "peer"));
        settings.cell = CellId(detail::string(section(root, "cell"), "id"));
        for (const auto& zone : section(root, "cell")["zones"].GetArray())
            settings.cellZones.emplace_back(zone.GetString());
        settings.storeUrl = detail::string(section(root, "platform"), "storeUrl");
        settings.vmListUrl = detail::string(section(root, "platform"), "vmListUrl");
        settings.caPath = detail::string(section(root, "platform"), "caPath");
        settings.clusterSecret = detail::string(root, "clusterSecret");
        const auto& key = section(root, "bootstrapKey");
        settings.bootstrapKey = { KeyId(detail::string(key, "id", "bootstrap")), TeamId(), KeyRole::Operator,
            detail::string(key, "salt"), detail::string(key, "sha256"), false };
        settings.limits = readLimits(section(root, "limits"));
        settings.intervals = readIntervals(section(root, "intervals"));
        settings.logLevel = readLogLevel(section(root, "log"));
        const auto& trace = section(root, "trace");
        settings.traceUrl = detail::string(trace, "exportUrl");
        settings.traceSampleRatio = detail::number(trace, "sampleRatio", settings.traceSampleRatio);
        settings.maxSpans = static_cast<std::size_t>(
            detail::integer(trace, "maxSpans", static_cast<std::int64_t>(settings.maxSpans)));
        return settings;
    }

    bool isIpAddress(const std::string& text)
    {
        std::error_code ec;
        asio::ip::make_address(text, ec);
        return !ec;
    }

    /** @brief Checks constraints between settings, which the schema cannot express. */
    std::optional<SchemaViolation> checkConstraints(const Settings& settings)
    {
        const auto& intervals = settings.intervals;
        if (!isIpAddress(settings.listen.host))
            return SchemaViolation { "/listen/address", "is not an IP number" };
        if (!isIpAddress(settings.peer.host))
            return SchemaViolation { "/peer/address", "is not an IP number" };
        if (settings.listen.port == settings.peer.port && settings.listen.host == settings.peer.host)
            return SchemaViolation { "/peer/port", "must differ from /listen/port on the same address" };
        if (settings.certificatePath.empty() != settings.keyPath.empty())
            return SchemaViolation { "/listen", "must have both certificatePath and keyPath, or neither" };
        // The listener reads twice maxBodyBytes, counts two bytes for each, and leaves half to requests in progress.
        if (settings.limits.maxRequestMemoryBytes < 8 * settings.limits.maxBodyBytes)
            return SchemaViolation { "/limits/maxRequestMemoryBytes", "must be at least eight times maxBodyBytes" };
        if (intervals.isolation < 2 * intervals.gossip)
            return SchemaViolation { "/intervals/isolationMs", "must be at least twice gossipMs" };
        if (intervals.isolation <= intervals.freshnessRead)
            return SchemaViolation { "/intervals/isolationMs", "must be greater than freshnessReadMs" };
        if (intervals.storeLease < 2 * intervals.storeLeaseRenew)
            return SchemaViolation { "/intervals/storeLeaseMs", "must be at least twice storeLeaseRenewMs" };
        if (intervals.storeLease % std::chrono::seconds(1) != Duration::zero())
            return SchemaViolation { "/intervals/storeLeaseMs",
                "must be a multiple of 1000: the store grants leases in whole seconds" };
        if (intervals.controllerLease < 2 * intervals.workerRenew)
            return SchemaViolation { "/intervals/controllerLeaseMs", "must be at least twice workerRenewMs" };
        if (intervals.taskLease < intervals.controllerLease)
            return SchemaViolation { "/intervals/taskLeaseMs", "must be at least controllerLeaseMs" };
        return std::nullopt;
    }

    const JsonSchema& schema()
    {
        static const JsonSchema compiled([] {
            rapidjson::Document document;
            document.Parse(settingsSchemaText.data(), settingsSchemaText.size());
            return document;
        }());
        return compiled;
    }

} // namespace

absl::StatusOr<Settings> parseSettings(std::string_view text, std::string_view file)
{
    rapidjson::Document document;
    document.Parse<parseFlags>(text.data(), text.size());
    if (document.HasParseError())
        return invalidSettings(file, lineAtOffset(text, document.GetErrorOffset()),
            fmt::format("malformed JSON: {}", rapidjson::GetParseError_En(document.GetParseError())));
    auto violation = schema().check(document);
    Settings settings;
    if (!violation) {
        settings = toSettings(document);
        violation = checkConstraints(settings);
    }
    if (violation) {
        const std::string field = violation->field.empty() ? "the file" : violation->field;
        return invalidSettings(
            file, lineOfField(text, violation->field), fmt::format("{} {}", field, violation->message));
    }
    return settings;
}

absl::StatusOr<Settings> readSettings(const std::string& file)
{
    std::ifstream in(file, std::ios::binary);
    if (!in)
        return absl::NotFoundError(fmt::format("{}: the file cannot be opened", file));
    std::ostringstream text;
    text << in.rdbuf();
    return parseSettings(text.str(), file);
}

} // namespace lycheeledge
