// JSON Schema validation with error messages that name the invalid field.
#pragma once

#include <rapidjson/document.h>

#include <memory>
#include <optional>
#include <string>

namespace lycheeledge {

/** @brief First violation found in a value. */
struct SchemaViolation {
    std::string field; ///< JSON pointer to the value, or to the missing or unknown field
    std::string message; ///< predicate of a sentence whose subject is the field; omits the value, which may be a secret

    bool operator==(const SchemaViolation&) const = default;
};

/** @brief Compiled schema with the draft 4 keywords that rapidjson supports. Thread-safe. */
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
