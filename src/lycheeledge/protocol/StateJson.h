// JSON encoding of the value types used in the platform's and the workers' protocols.
#pragma once

#include "../state/Worker.h"
#include "JsonFields.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <string>

namespace lycheeledge {

using JsonWriter = rapidjson::Writer<rapidjson::StringBuffer>;

void writeText(JsonWriter& writer, const char* name, const std::string& value);
void writeInteger(JsonWriter& writer, const char* name, std::int64_t value);
void writeUnsigned(JsonWriter& writer, const char* name, std::uint64_t value);
void writeBoolean(JsonWriter& writer, const char* name, bool value);
void writeBase64(JsonWriter& writer, const char* name, const std::string& value);
/** @brief Writes `{"milliCpu", "memoryMb", "accelerators", "slots", "connections"}`. */
void writeResources(JsonWriter& writer, const char* name, const Resources& value);
/** @brief Writes `{"team", "request", "index", "run"}`. */
void writeTaskId(JsonWriter& writer, const char* name, const TaskId& value);

Resources readResources(const JsonFields& fields);
/** @brief Reads a task id. Requires `team`, `request` and a `run` of at least 1. */
TaskId readTaskId(const JsonFields& fields);

} // namespace lycheeledge
