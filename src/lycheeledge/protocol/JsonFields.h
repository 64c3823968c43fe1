// Access to the fields of a JSON object with type checks.
#pragma once

#include <absl/status/status.h>
#include <rapidjson/document.h>

#include <cstdint>
#include <functional>
#include <string>

namespace lycheeledge {

/** @brief Parses a JSON text; deep nesting cannot overflow the stack. Errors: `INVALID_ARGUMENT`. */
absl::Status parseJson(const std::string& text, rapidjson::Document& document);
/**
 * @brief As parseJson(), for a list whose elements come from several writers, of which each can be rejected without the
 * others: a value that is too deep and a number beyond the range of a double read as `false`, and strings may have any
 * bytes.
 */
absl::Status parseJsonList(const std::string& text, rapidjson::Document& document);

/**
 * @brief Reads the fields of one JSON object and records the first error of the whole document.
 *
 * Unknown fields are ignored. A reader of an optional field returns a default if the field is absent or null, and
 * reports an error if it has the wrong type. Integers may be numbers or decimal strings, as in the JSON mapping of
 * protocol buffers.
 */
class JsonFields {
public:
    /** @param error receives the first error; must be OK initially and outlive this object. */
    JsonFields(const rapidjson::Value& value, std::string path, absl::Status& error);

    bool has(const char* name) const { return find(name) != nullptr; }
    std::string text(const char* name) const; ///< required
    std::string optionalText(const char* name) const; ///< empty by default
    std::string base64(const char* name) const; ///< optional base64 text, decoded; empty by default
    std::int64_t int64(const char* name) const; ///< 0 by default
    std::uint64_t uint64(const char* name) const; ///< 0 by default
    std::int64_t amount(const char* name) const; ///< 0 by default; negative values are an error
    std::uint32_t uint32(const char* name) const; ///< 0 by default
    std::uint16_t port(const char* name) const; ///< required; 1 to 65535
    bool boolean(const char* name) const; ///< false by default
    JsonFields object(const char* name) const; ///< required
    /** @brief Calls `visit` for each object of an array until an error is recorded; an absent array counts as empty. */
    void each(const char* name, const std::function<void(const JsonFields&)>& visit) const;

    /** @brief Records an error about a field, unless there is one already. */
    void fail(const char* name, const char* problem) const;
    bool ok() const { return m_error.ok(); }

private:
    const rapidjson::Value* find(const char* name) const; ///< nullptr if absent or null

    const rapidjson::Value* m_object; ///< nullptr if the value is not an object
    std::string m_path;
    absl::Status& m_error;
};

} // namespace lycheeledge
