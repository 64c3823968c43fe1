// Parses histories in JSON Lines format, one event per line.
#pragma once

#include "History.h"

#include <lycheeledge/state/Outcome.h>

#include <rapidjson/document.h>

#include <istream>
#include <optional>
#include <string>
#include <utility>

namespace lycheeledge::standin {

namespace detail {

    // A field that is absent or has another type reads as empty, 0 or false.
    inline std::string text(const rapidjson::Value& line, const char* name)
    {
        const auto it = line.FindMember(name);
        return it != line.MemberEnd() && it->value.IsString()
            ? std::string(it->value.GetString(), it->value.GetStringLength())
            : std::string();
    }

    inline std::int64_t number(const rapidjson::Value& line, const char* name)
    {
        const auto it = line.FindMember(name);
        return it != line.MemberEnd() && it->value.IsInt64() ? it->value.GetInt64() : 0;
    }

    inline bool flag(const rapidjson::Value& line, const char* name)
    {
        const auto it = line.FindMember(name);
        return it != line.MemberEnd() && it->value.IsBool() && it->value.GetBool();
    }

    inline WorkId workId(const rapidjson::Value& line)
    {
        return { TeamId(text(line, "team")), RequestId(text(line, "request")) };
    }

    inline TaskId taskId(const rapidjson::Value& line)
    {
        return { workId(line), static_cast<std::uint32_t>(number(line, "index")),
            static_cast<std::uint32_t>(number(line, "run")) };
    }

    inline Resources resources(const rapidjson::Value& line)
    {
        return { number(line, "milliCpu"), number(line, "memoryMb"), number(line, "accelerators"),
            number(line, "slots"), number(line, "connections") };
    }

    inline std::optional<EventBody> eventBody(const rapidjson::Value& line)
    {
        const std::string type = text(line, "type");
        const VmId worker(text(line, "worker"));
        if (type == "submitted")
            return Submitted { workId(line), flag(line, "repeatable"), text(line, "key"), text(line, "entry"),
                text(line, "expectedBody") };
        if (type == "answered")
            return Answered { workId(line), runStateFromString(text(line, "runState")),
                errorKindFromString(text(line, "error")), text(line, "body"), text(line, "entry"), flag(line, "cut") };
        if (type == "start")
            return TaskRunStarted { taskId(line), worker, resources(line) };
        if (type == "end")
            return TaskRunEnded { taskId(line), worker };
        if (type == "worker")
            return WorkerCapacity { worker, resources(line) };
        if (type == "worker_leaving")
            return WorkerLeaving { worker };
        if (type == "key_given")
            return KeyCreated { text(line, "key"), TeamId(text(line, "team")) };
        if (type == "key_withdrawn")
            return KeyWithdrawn { text(line, "key") };
        if (type == "queue_opened")
            return QueueOpened { TeamId(text(line, "team")) };
        if (type == "limit_set")
            return LimitSet { TeamId(text(line, "team")), static_cast<std::uint32_t>(number(line, "maxRunningTasks")) };
        if (type == "configuration_acknowledged")
            return ConfigurationAcknowledged { text(line, "entity"), number(line, "version") };
        if (type == "configuration_observed")
            return ConfigurationObserved { text(line, "process"), text(line, "entity"), number(line, "version") };
        if (type == "stop_requested")
            return StopRequested { text(line, "process") };
        return std::nullopt;
    }

} // namespace detail

/** @brief Reads all events. @return nothing if a line is malformed; `error` then names the line. */
inline std::optional<History> readHistory(std::istream& in, std::string& error)
{
    History history;
    std::string line;
    for (int lineNumber = 1; std::getline(in, line); ++lineNumber) {
        if (line.empty())
            continue;
        rapidjson::Document document;
        document.Parse(line.data(), line.size());
        auto body = document.HasParseError() || !document.IsObject() ? std::nullopt : detail::eventBody(document);
        if (!body) {
            error = "line " + std::to_string(lineNumber) + " is not a valid event: " + line.substr(0, 200);
            return std::nullopt;
        }
        history.push_back({ detail::number(document, "us"), std::move(*body) });
    }
    return history;
}

} // namespace lycheeledge::standin
