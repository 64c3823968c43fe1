// Access to the fields of a JSON object with type checks.

#include "JsonFields.h"

#include "../state/JsonParser.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <rapidjson/error/en.h>

#include <limits>
#include <utility>

namespace lycheeledge {

namespace {

    absl::Status toStatus(const rapidjson::ParseResult& result)
    {
        if (!result.IsError())
            return absl::OkStatus();
        return absl::InvalidArgumentError(absl::StrCat(
            "malformed JSON at offset ", result.Offset(), ": ", rapidjson::GetParseError_En(result.Code())));
    }

} // namespace

absl::Status parseJson(const std::string& text, rapidjson::Document& document)
{
    return toStatus(detail::parseJson(document, text));
}

absl::Status parseJsonList(const std::string& text, rapidjson::Document& document)
{
    constexpr unsigned anyBytes = rapidjson::kParseDefaultFlags;
    auto result = detail::parseJson<anyBytes>(document, text, detail::DeepValues::Replace);
    if (result.Code() == rapidjson::kParseErrorNumberTooBig)
        result = detail::parseJson<anyBytes>(document, detail::replaceHugeNumbers(text), detail::DeepValues::Replace);
    return toStatus(result);
}

JsonFields::JsonFields(const rapidjson::Value& value, std::string path, absl::Status& error)
    : m_object(value.IsObject() ? &value : nullptr)
    , m_path(std::move(path))
    , m_error(error)
{
    if (m_object == nullptr && m_error.ok())
        m_error = absl::InvalidArgumentError(absl::StrCat(m_path, " is not an object"));
}

const rapidjson::Value* JsonFields::find(const char* name) const
{
    if (m_object == nullptr)
        return nullptr;
    const auto it = m_object->FindMember(name);
    return it == m_object->MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
}

void JsonFields::fail(const char* name, const char* problem) const
{
    if (m_error.ok())
        m_error = absl::InvalidArgumentError(absl::StrCat(m_path, ".", name, " ", problem));
}

std::string JsonFields::text(const char* name) const
{
    if (!has(name))
        fail(name, "is missing");
    return optionalText(name);
}

std::string JsonFields::optionalText(const char* name) const
{
    const auto* value = find(name);
    if (value == nullptr)
        return {};
    if (!value->IsString()) {
        fail(name, "is not a string");
        return {};
    }
    return { value->GetString(), value->GetStringLength() };
}

std::string JsonFields::base64(const char* name) const
{
    const std::string encoded = optionalText(name);
    std::string result;
    if (!absl::Base64Unescape(encoded, &result)) {
        fail(name, "is not base64");
        return {};
    }
    return result;
}

std::int64_t JsonFields::int64(const char* name) const
{
    const auto* value = find(name);
    std::int64_t result = 0;
    if (value == nullptr)
        return result;
    if (value->IsInt64())
        return value->GetInt64();
    if (value->IsString() && absl::SimpleAtoi(value->GetString(), &result))
        return result;
    fail(name, "is not a 64-bit integer");
    return 0;
}

std::uint64_t JsonFields::uint64(const char* name) const
{
    const auto* value = find(name);
    std::uint64_t result = 0;
    if (value == nullptr)
        return result;
    if (value->IsUint64())
        return value->GetUint64();
    if (value->IsString() && absl::SimpleAtoi(value->GetString(), &result))
        return result;
    fail(name, "is not an unsigned 64-bit integer");
    return 0;
}

std::int64_t JsonFields::amount(const char* name) const
{
    const std::int64_t result = int64(name);
    if (result >= 0)
        return result;
    fail(name, "is negative");
    return 0;
}

std::uint32_t JsonFields::uint32(const char* name) const
{
    const std::uint64_t result = uint64(name);
    if (result <= std::numeric_limits<std::uint32_t>::max())
        return static_cast<std::uint32_t>(result);
    fail(name, "is out of range");
    return 0;
}

std::uint16_t JsonFields::port(const char* name) const
{
    const std::uint64_t result = uint64(name);
    if (result > 0 && result <= std::numeric_limits<std::uint16_t>::max())
        return static_cast<std::uint16_t>(result);
    fail(name, "is not a port");
    return 0;
}

bool JsonFields::boolean(const char* name) const
{
    const auto* value = find(name);
    if (value == nullptr)
        return false;
    if (!value->IsBool()) {
        fail(name, "is not a boolean");
        return false;
    }
    return value->GetBool();
}

JsonFields JsonFields::object(const char* name) const
{
    static const rapidjson::Value missing;
    const auto* value = find(name);
    return { value == nullptr ? missing : *value, absl::StrCat(m_path, ".", name), m_error };
}

void JsonFields::each(const char* name, const std::function<void(const JsonFields&)>& visit) const
{
    const auto* value = find(name);
    if (value == nullptr)
        return;
    if (!value->IsArray()) {
        fail(name, "is not an array");
        return;
    }
    for (rapidjson::SizeType n = 0; n < value->Size() && ok(); ++n)
        visit({ (*value)[n], absl::StrCat(m_path, ".", name, "[", n, "]"), m_error });
}

} // namespace lycheeledge
