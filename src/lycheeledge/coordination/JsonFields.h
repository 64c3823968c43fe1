// Helpers to read and write fields of rapidjson objects.
#pragma once

#include "../state/JsonParser.h"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lycheeledge::detail {

using JsonWriter = rapidjson::Writer<rapidjson::StringBuffer>;

inline void writeKey(JsonWriter& out, std::string_view name)
{
    out.Key(name.data(), static_cast<rapidjson::SizeType>(name.size()));
}

inline void writeString(JsonWriter& out, std::string_view name, const std::string& value)
{
    writeKey(out, name);
    out.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}

/** @brief Parses `json`. @return false if it is malformed or not an object. */
inline bool parseObject(rapidjson::Document& document, std::string_view json)
{
    return !parseJson<rapidjson::kParseDefaultFlags>(document, json).IsError() && document.IsObject();
}

inline const rapidjson::Value* findField(const rapidjson::Value& object, const char* name)
{
    const auto it = object.FindMember(name);
    return it == object.MemberEnd() ? nullptr : &it->value;
}

inline std::optional<std::string> stringField(const rapidjson::Value& object, const char* name)
{
    const auto* value = findField(object, name);
    if (!value || !value->IsString())
        return std::nullopt;
    return std::string(value->GetString(), value->GetStringLength());
}

inline std::optional<std::uint64_t> uintField(const rapidjson::Value& object, const char* name)
{
    const auto* value = findField(object, name);
    if (!value || !value->IsUint64())
        return std::nullopt;
    return value->GetUint64();
}

inline std::optional<std::int64_t> intField(const rapidjson::Value& object, const char* name)
{
    const auto* value = findField(object, name);
    if (!value || !value->IsInt64())
        return std::nullopt;
    return value->GetInt64();
}

inline std::optional<double> numberField(const rapidjson::Value& object, const char* name)
{
    const auto* value = findField(object, name);
    if (!value || !value->IsNumber())
        return std::nullopt;
    return value->GetDouble();
}

inline std::optional<bool> boolField(const rapidjson::Value& object, const char* name)
{
    const auto* value = findField(object, name);
    if (!value || !value->IsBool())
        return std::nullopt;
    return value->GetBool();
}

} // namespace lycheeledge::detail
