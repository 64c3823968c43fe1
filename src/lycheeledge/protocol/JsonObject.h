// Functions that read and write fields of JSON objects.
#pragma once

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace lycheeledge::detail {

/** @brief Value of a field; nullptr if it is absent or `object` is not a JSON object. */
inline const rapidjson::Value* member(const rapidjson::Value& object, const char* name)
{
    if (!object.IsObject())
        return nullptr;
    const auto it = object.FindMember(name);
    return it == object.MemberEnd() ? nullptr : &it->value;
}

// The following functions return the default if the field is absent or has another type.

inline std::string string(const rapidjson::Value& object, const char* name, std::string_view defaultValue = "")
{
    const auto* value = member(object, name);
    return value != nullptr && value->IsString() ? std::string(value->GetString(), value->GetStringLength())
                                                 : std::string(defaultValue);
}

inline std::int64_t integer(const rapidjson::Value& object, const char* name, std::int64_t defaultValue)
{
    const auto* value = member(object, name);
    return value != nullptr && value->IsInt64() ? value->GetInt64() : defaultValue;
}

inline double number(const rapidjson::Value& object, const char* name, double defaultValue)
{
    const auto* value = member(object, name);
    return value != nullptr && value->IsNumber() ? value->GetDouble() : defaultValue;
}

inline bool boolean(const rapidjson::Value& object, const char* name, bool defaultValue)
{
    const auto* value = member(object, name);
    return value != nullptr && value->IsBool() ? value->GetBool() : defaultValue;
}

/** @brief Whether a text is valid UTF-8. */
inline bool isUtf8(std::string_view text)
{
    rapidjson::MemoryStream in(text.data(), text.size());
    rapidjson::StringBuffer out;
    while (in.Tell() < text.size()) {
        if (!rapidjson::UTF8<>::Validate(in, out))
            return false;
    }
    return true;
}

/** @brief Builds JSON text field by field. */
class JsonBuilder {
public:
    JsonBuilder()
        : m_writer(m_buffer)
    {
    }
    JsonBuilder(const JsonBuilder&) = delete;
    JsonBuilder& operator=(const JsonBuilder&) = delete;

    JsonBuilder& begin()
    {
        m_writer.StartObject();
        return *this;
    }
    JsonBuilder& end()
    {
        m_writer.EndObject();
        return *this;
    }
    JsonBuilder& beginArray()
    {
        m_writer.StartArray();
        return *this;
    }
    JsonBuilder& endArray()
    {
        m_writer.EndArray();
        return *this;
    }
    JsonBuilder& key(std::string_view name)
    {
        m_writer.Key(name.data(), static_cast<rapidjson::SizeType>(name.size()));
        return *this;
    }
    JsonBuilder& value(std::string_view text)
    {
        m_writer.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
        return *this;
    }
    JsonBuilder& value(const char* text) { return value(std::string_view(text)); }
    JsonBuilder& value(const std::string& text) { return value(std::string_view(text)); }
    JsonBuilder& value(std::same_as<bool> auto flag)
    {
        m_writer.Bool(flag);
        return *this;
    }
    template <std::integral Integer>
    requires(!std::same_as<Integer, bool>) JsonBuilder& value(Integer n)
    {
        m_writer.Int64(static_cast<std::int64_t>(n));
        return *this;
    }
    JsonBuilder& value(double n)
    {
        m_writer.Double(n);
        return *this;
    }
    template <typename T> JsonBuilder& field(std::string_view name, const T& content)
    {
        return key(name).value(content);
    }
    /** @brief Adds a field whose value is given as JSON text. */
    JsonBuilder& raw(std::string_view name, std::string_view json)
    {
        key(name);
        m_writer.RawValue(json.data(), json.size(), rapidjson::kObjectType);
        return *this;
    }
    std::string text() const { return { m_buffer.GetString(), m_buffer.GetSize() }; }

private:
    rapidjson::StringBuffer m_buffer;
    rapidjson::Writer<rapidjson::StringBuffer> m_writer;
};

/** @brief Text as a quoted and escaped JSON string. */
inline std::string quoted(std::string_view text) { return JsonBuilder().value(text).text(); }

} // namespace lycheeledge::detail
