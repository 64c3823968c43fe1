// Short names for reading and writing JSON with rapidjson.
#pragma once

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cstdint>
#include <string>

namespace review {

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

inline rapidjson::Document parse(const std::string& text)
{
    rapidjson::Document document;
    document.Parse(text.c_str(), text.size());
    if (document.HasParseError() || !document.IsObject())
        document.SetObject();
    return document;
}

inline std::string text(const rapidjson::Value& object, const char* name)
{
    const auto it = object.FindMember(name);
    return it != object.MemberEnd() && it->value.IsString()
        ? std::string(it->value.GetString(), it->value.GetStringLength())
        : std::string();
}

inline std::int64_t number(const rapidjson::Value& object, const char* name, std::int64_t otherwise = 0)
{
    const auto it = object.FindMember(name);
    return it != object.MemberEnd() && it->value.IsInt64() ? it->value.GetInt64() : otherwise;
}

inline std::string quoted(const std::string& value)
{
    rapidjson::StringBuffer buf;
    Writer writer(buf);
    writer.String(value.c_str(), static_cast<rapidjson::SizeType>(value.size()));
    return buf.GetString();
}

} // namespace review
