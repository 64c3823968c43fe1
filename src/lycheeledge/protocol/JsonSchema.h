// Validation against a JSON Schema with messages that name the field.
#pragma once

#include <rapidjson/document.h>

#include <memory>
#include <optional>
#include <string>

namespace lycheeledge {

/** @brief First violation of a schema. */
struct SchemaViolation {
    std::string field; ///< JSON pointer to the value, or to the missing or unknown field
    std::string message; ///< continues a sentence that starts with the field; never repeats the value

    bool operator==(const SchemaViolation&) const = default;
};

/** @brief Compiled schema (draft 4 vocabulary of rapidjson). May be used by several threads. */
class JsonSchema {
public:
    /** @param schema root of the schema; local references are resolved against it. */
    explicit JsonSchema(rapidjson::Document schema);
    ~JsonSchema();
    JsonSchema(JsonSchema&&) noexcept;
    JsonSchema& operator=(JsonSchema&&) noexcept;

    /** @brief Checks a value. @return nothing if it is valid. */
    std::optional<SchemaViolation> check(const rapidjson::Value& value) const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lycheeledge
