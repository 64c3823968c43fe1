// JSON Schema validation with error messages that name the invalid field.

#include "JsonSchema.h"

#include <fmt/format.h>
#include <rapidjson/pointer.h>
#include <rapidjson/schema.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace lycheeledge {

namespace {

    std::string toText(const rapidjson::Pointer& pointer)
    {
        rapidjson::StringBuffer buf;
        pointer.Stringify(buf);
        return { buf.GetString(), buf.GetSize() };
    }

    std::string toText(const rapidjson::Value& value)
    {
        if (value.IsString())
            return value.GetString();
        rapidjson::StringBuffer buf;
        rapidjson::Writer<rapidjson::StringBuffer> writer(buf);
        value.Accept(writer);
        return { buf.GetString(), buf.GetSize() };
    }

    std::string joinValues(const rapidjson::Value& value)
    {
        if (!value.IsArray())
            return toText(value);
        std::string names;
        for (const auto& it : value.GetArray())
            names += (names.empty() ? "" : ", ") + toText(it);
        return names;
    }

    std::string_view typeName(const rapidjson::Value* value)
    {
        if (value == nullptr)
            return "nothing";
        if (value->IsNumber())
            return value->IsDouble() ? "number with a fraction" : "integer";
        if (value->IsString())
            return "string";
        if (value->IsBool())
            return "boolean";
        if (value->IsNull())
            return "null";
        return value->IsObject() ? "object" : "array";
    }

    const rapidjson::Value* member(const rapidjson::Value* schema, const char* name)
    {
        if (schema == nullptr || !schema->IsObject())
            return nullptr;
        const auto it = schema->FindMember(name);
        return it == schema->MemberEnd() ? nullptr : &it->value;
    }

    bool isTrue(const rapidjson::Value* value) { return value != nullptr && value->IsBool() && value->GetBool(); }

    std::string describeViolation(
        std::string_view keyword, const rapidjson::Value* schema, const rapidjson::Value* value)
    {
        const auto* argument = member(schema, std::string(keyword).c_str());
        const std::string limit = argument != nullptr ? joinValues(*argument) : std::string();
        if (keyword == "additionalProperties")
            return "is an unknown field";
        if (keyword == "type")
            return fmt::format("has the wrong type: expected {}, got {}", limit, typeName(value));
        if (keyword == "enum")
            return fmt::format("is not one of {}", limit);
        if (keyword == "minimum" && isTrue(member(schema, "exclusiveMinimum")))
            return fmt::format("is out of range: must be greater than {}", limit);
        if (keyword == "minimum")
            return fmt::format("is out of range: must be at least {}", limit);
        if (keyword == "maximum")
            return fmt::format("is out of range: must be at most {}", limit);
        if (keyword == "minLength")
            return fmt::format("is out of range: must have at least {} characters", limit);
        if (keyword == "maxLength")
            return fmt::format("is out of range: must have at most {} characters", limit);
        if (keyword == "minItems")
            return fmt::format("is out of range: must have at least {} elements", limit);
        if (keyword == "maxItems")
            return fmt::format("is out of range: must have at most {} elements", limit);
        if (keyword == "pattern")
            return fmt::format("has characters that are not allowed: must match {}", limit);
        return fmt::format("violates '{}'", keyword);
    }

    /**
     * @brief Finds an object with two fields of the same name. JSON parsers differ in which of the two they use, so a
     * proxy could check one field while this process uses the other.
     * @param depth number of levels to search; values that pass the schema are not deeper, except inside an object that
     * the schema does not constrain.
     */
    std::optional<SchemaViolation> findDuplicateField(const rapidjson::Value& value, const std::string& path, int depth)
    {
        if (depth == 0 || !(value.IsObject() || value.IsArray()))
            return std::nullopt;
        if (value.IsArray()) {
            for (rapidjson::SizeType n = 0; n < value.Size(); ++n) {
                if (auto violation = findDuplicateField(value[n], fmt::format("{}/{}", path, n), depth - 1))
                    return violation;
            }
            return std::nullopt;
        }
        std::set<std::string_view> names;
        for (const auto& it : value.GetObject()) {
            const std::string_view name(it.name.GetString(), it.name.GetStringLength());
            const std::string field = fmt::format("{}/{}", path, name);
            if (!names.insert(name).second)
                return SchemaViolation { field, "appears twice" };
            if (auto violation = findDuplicateField(it.value, field, depth - 1))
                return violation;
        }
        return std::nullopt;
    }

    constexpr int maxDepth = 16;

} // namespace

struct JsonSchema::Implementation {
    explicit Implementation(rapidjson::Document schema)
        : source(std::move(schema))
        , compiled(source)
    {
    }

    rapidjson::Document source;
    rapidjson::SchemaDocument compiled;
    std::mutex mutex; ///< rapidjson stores the state of a pattern match in the compiled schema
};

JsonSchema::JsonSchema(rapidjson::Document schema)
    : m_implementation(std::make_unique<Implementation>(std::move(schema)))
{
}

JsonSchema::~JsonSchema() = default;
JsonSchema::JsonSchema(JsonSchema&&) noexcept = default;
JsonSchema& JsonSchema::operator=(JsonSchema&&) noexcept = default;

std::optional<SchemaViolation> JsonSchema::check(const rapidjson::Value& value) const
{
    const std::lock_guard lock(m_implementation->mutex);
    rapidjson::SchemaValidator validator(m_implementation->compiled);
    if (value.Accept(validator) && validator.IsValid())
        return findDuplicateField(value, "", maxDepth);

    const auto pointer = validator.GetInvalidDocumentPointer();
    const auto* invalidValue = pointer.Get(value);
    const auto* schema = validator.GetInvalidSchemaPointer().Get(m_implementation->source);
    const auto* keyword = validator.GetInvalidSchemaKeyword();
    const std::string_view name = keyword != nullptr ? keyword : "";
    const auto* required = name == "required" ? member(schema, "required") : nullptr;
    if (required != nullptr && invalidValue != nullptr && invalidValue->IsObject()) {
        for (const auto& it : required->GetArray()) {
            if (!invalidValue->HasMember(it))
                return SchemaViolation { fmt::format("{}/{}", toText(pointer), it.GetString()), "is missing" };
        }
    }
    return SchemaViolation { toText(pointer), describeViolation(name, schema, invalidValue) };
}

} // namespace lycheeledge
