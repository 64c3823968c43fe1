// JSON encoding of the value types used in the platform's and the workers' protocols.

#include "StateJson.h"

#include <absl/strings/escaping.h>

namespace lycheeledge {

void writeText(JsonWriter& writer, const char* name, const std::string& value)
{
    writer.Key(name);
    writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}

void writeInteger(JsonWriter& writer, const char* name, std::int64_t value)
{
    writer.Key(name);
    writer.Int64(value);
}

void writeUnsigned(JsonWriter& writer, const char* name, std::uint64_t value)
{
    writer.Key(name);
    writer.Uint64(value);
}

void writeBoolean(JsonWriter& writer, const char* name, bool value)
{
    writer.Key(name);
    writer.Bool(value);
}

void writeBase64(JsonWriter& writer, const char* name, const std::string& value)
{
    writeText(writer, name, absl::Base64Escape(value));
}

void writeResources(JsonWriter& writer, const char* name, const Resources& value)
{
    writer.Key(name);
    writer.StartObject();
    writeInteger(writer, "milliCpu", value.milliCpu);
    writeInteger(writer, "memoryMb", value.memoryMb);
    writeInteger(writer, "accelerators", value.accelerators);
    writeInteger(writer, "slots", value.slots);
    writeInteger(writer, "connections", value.connections);
    writer.EndObject();
}

void writeTaskId(JsonWriter& writer, const char* name, const TaskId& value)
{
    writer.Key(name);
    writer.StartObject();
    writeText(writer, "team", value.work.team.value());
    writeText(writer, "request", value.work.request.value());
    writeUnsigned(writer, "index", value.index);
    writeUnsigned(writer, "run", value.run);
    writer.EndObject();
}

Resources readResources(const JsonFields& fields)
{
    const auto amount = [&fields](const char* name) {
        const std::int64_t result = fields.amount(name);
        if (result > maxResourceAmount)
            fields.fail(name, "is out of range");
        return result;
    };
    return { amount("milliCpu"), amount("memoryMb"), amount("accelerators"), amount("slots"), amount("connections") };
}

TaskId readTaskId(const JsonFields& fields)
{
    TaskId result { { TeamId(fields.text("team")), RequestId(fields.text("request")) }, fields.uint32("index"),
        fields.uint32("run") };
    if (result.run == 0)
        fields.fail("run", "is missing or zero");
    return result;
}

} // namespace lycheeledge
