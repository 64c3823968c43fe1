// Output and exit codes of lycheectl.
#pragma once

#include <lycheeledge/protocol/ApiError.h>
#include <lycheeledge/protocol/JsonRpc.h>

#include <fmt/format.h>
#include <rapidjson/document.h>
#include <rapidjson/prettywriter.h>
#include <rapidjson/stringbuffer.h>

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

namespace lycheeledge::ctl {

/** @brief Exit codes, by class of error. */
enum ExitCode {
    Success = 0,
    InternalError = 1,
    UsageError = 2,
    PermissionDenied = 3,
    EntityNotFound = 4,
    Conflict = 5,
    Rejected = 6,
    ServiceUnavailable = 7,
    WorkFailed = 8,
    OutcomeUnknown = 9,
};

inline constexpr const char* exitCodeHelp = R"(Exit codes:
  0  success
  1  internal error
  2  usage error or invalid parameter (invalid_argument, too_large)
  3  permission denied (unauthenticated, wrong_team)
  4  the entity does not exist (not_found)
  5  expected version or idempotency key does not match (conflict)
  6  rejected or dropped before it ran (never_fits, overloaded, deadline_exceeded)
  7  no server is reachable or able to serve the call (unavailable)
  8  the work ran and failed, or was cancelled (task_failed, worker_lost, cancelled)
  9  the outcome is unknown: the call may have had an effect
)";

/** @brief Exit code for an error. */
inline int exitCode(const ApiError& error)
{
    switch (error.kind) {
    case ErrorKind::None:
        return Success;
    case ErrorKind::InvalidArgument:
    case ErrorKind::TooLarge:
        return UsageError;
    case ErrorKind::Unauthenticated:
    case ErrorKind::WrongTeam:
        return PermissionDenied;
    case ErrorKind::NotFound:
        return EntityNotFound;
    case ErrorKind::Conflict:
        return Conflict;
    case ErrorKind::TaskFailed:
    case ErrorKind::Cancelled:
        return WorkFailed;
    case ErrorKind::NeverFits:
    case ErrorKind::Overloaded:
        return Rejected;
    case ErrorKind::DeadlineExceeded:
        return error.run == RunState::Unknown ? OutcomeUnknown : Rejected;
    case ErrorKind::Unavailable:
        return error.run == RunState::Unknown ? OutcomeUnknown : ServiceUnavailable;
    case ErrorKind::WorkerLost:
        return error.run == RunState::Unknown ? OutcomeUnknown : WorkFailed;
    case ErrorKind::Truncated:
        return OutcomeUnknown;
    case ErrorKind::Internal:
        break;
    }
    return error.run == RunState::Unknown ? OutcomeUnknown : InternalError;
}

namespace detail {

    /** @brief Replaces control characters with spaces, since a terminal could interpret them. */
    inline std::string printable(std::string text)
    {
        std::replace_if(
            text.begin(), text.end(), [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; }, ' ');
        return text;
    }

    inline bool isZeroOrNull(const rapidjson::Value& value)
    {
        return value.IsNull() || value.IsFalse() || (value.IsNumber() && value.GetDouble() == 0);
    }

    /** @brief Non-zero fields of an object within a table cell, such as resource amounts. */
    inline std::string nonZeroFields(const rapidjson::Value& object)
    {
        std::string text;
        for (const auto& it : object.GetObject()) {
            if (!isZeroOrNull(it.value))
                text += fmt::format("{}{}={}", text.empty() ? "" : " ", it.name.GetString(), jsonText(it.value));
        }
        return printable(text.empty() ? "0" : text);
    }

    inline std::string tableCell(const rapidjson::Value& value)
    {
        if (value.IsObject())
            return nonZeroFields(value);
        return printable(value.IsString() ? std::string(value.GetString(), value.GetStringLength()) : jsonText(value));
    }

    /** @brief Number of code points in UTF-8 text. */
    inline std::size_t codePointCount(const std::string& text)
    {
        return static_cast<std::size_t>(
            std::count_if(text.begin(), text.end(), [](char c) { return (c & 0xc0) != 0x80; }));
    }

    inline std::string alignColumns(const std::vector<std::vector<std::string>>& rows)
    {
        std::vector<std::size_t> widths;
        for (const auto& row : rows) {
            widths.resize(std::max(widths.size(), row.size()));
            for (std::size_t n = 0; n < row.size(); ++n)
                widths[n] = std::max(widths[n], codePointCount(row[n]));
        }
        std::string text;
        for (const auto& row : rows) {
            std::string line;
            for (std::size_t n = 0; n < row.size(); ++n)
                line += row[n] + std::string(widths[n] + 2 - codePointCount(row[n]), ' ');
            line.erase(line.find_last_not_of(' ') + 1);
            text += line + "\n";
        }
        return text;
    }

    inline bool isObjectArray(const rapidjson::Value& value)
    {
        return value.IsArray() && !value.Empty()
            && std::all_of(value.Begin(), value.End(), [](const auto& it) { return it.IsObject(); });
    }

    inline std::string formatObjectArray(const rapidjson::Value& array)
    {
        std::vector<std::string> columns;
        for (const auto& element : array.GetArray()) {
            for (const auto& it : element.GetObject()) {
                if (std::find(columns.begin(), columns.end(), it.name.GetString()) == columns.end())
                    columns.emplace_back(it.name.GetString());
            }
        }
        std::vector<std::vector<std::string>> rows { columns };
        for (const auto& element : array.GetArray()) {
            std::vector<std::string> row;
            for (const auto& column : columns) {
                const auto it = element.FindMember(column.c_str());
                row.push_back(it == element.MemberEnd() ? "-" : tableCell(it->value));
            }
            rows.push_back(std::move(row));
        }
        return alignColumns(rows);
    }

} // namespace detail

/** @brief Formats a result as aligned columns. Arrays of objects become tables with a header line. */
inline std::string formatTable(const rapidjson::Value& result)
{
    if (detail::isObjectArray(result))
        return detail::formatObjectArray(result);
    if (result.IsArray())
        return result.Empty() ? "none\n" : detail::tableCell(result) + "\n";
    if (!result.IsObject())
        return detail::tableCell(result) + "\n";
    std::vector<std::vector<std::string>> rows;
    std::string tables;
    for (const auto& it : result.GetObject()) {
        if (detail::isObjectArray(it.value))
            tables += fmt::format("\n{}:\n{}", it.name.GetString(), detail::formatObjectArray(it.value));
        else
            rows.push_back({ it.name.GetString(), detail::tableCell(it.value) });
    }
    return detail::alignColumns(rows) + tables;
}

/** @brief Formats a result as indented JSON. */
inline std::string formatJson(const rapidjson::Value& result)
{
    rapidjson::StringBuffer buf;
    rapidjson::PrettyWriter<rapidjson::StringBuffer> writer(buf);
    writer.SetIndent(' ', 2);
    result.Accept(writer);
    return std::string(buf.GetString(), buf.GetSize()) + "\n";
}

} // namespace lycheeledge::ctl
