// Port for the structured log.
#pragma once

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>

namespace lycheeledge::jobs {

/** @brief Name and value of one field of a log line. */
struct LogField {
    std::string_view name;
    std::variant<std::string_view, std::int64_t, double, bool> value;

    LogField(std::string_view fieldName, std::string_view text)
        : name(fieldName)
        , value(text)
    {
    }
    LogField(std::string_view fieldName, const char* text)
        : LogField(fieldName, std::string_view(text))
    {
    }
    /** @brief Other text types, such as the message of a status. */
    template <typename Text>
    requires requires(const Text& text)
    {
        {
            text.data()
            } -> std::convertible_to<const char*>;
        text.size();
    }
    LogField(std::string_view fieldName, const Text& text)
        : LogField(fieldName, std::string_view(text.data(), text.size()))
    {
    }
    template <typename T>
    requires std::is_arithmetic_v<T> LogField(std::string_view fieldName, T number)
        : name(fieldName)
    {
        if constexpr (std::is_same_v<T, bool>)
            value = number;
        else if constexpr (std::is_floating_point_v<T>)
            value = static_cast<double>(number);
        else
            value = static_cast<std::int64_t>(number);
    }
};

/** @brief Records decisions and observed state changes. Never blocks; counts the lines that it drops. */
class EventLog {
public:
    virtual ~EventLog() = default;

    /** @param event name of the event, in snake case; each event has its own rate limit. */
    virtual void record(std::string_view event, std::initializer_list<LogField> fields) = 0;
};

} // namespace lycheeledge::jobs
