// Record of a load run as JSON lines, as history_check reads them.
#pragma once

#include "LoadHistory.h"

#include <lycheeledge/protocol/JsonObject.h>
#include <lycheeledge/state/Outcome.h>
#include <lycheeledge/state/Time.h>
#include <lycheeledge/state/Work.h>
#include <lycheeledge/transport/Hmac.h>

#include <fmt/format.h>

#include <chrono>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lycheeledge::standin {

inline std::int64_t toMicroseconds(TimePoint time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
}

/** @brief Collects the events that callers see. Does nothing unless enabled. */
class LoadEvents {
public:
    explicit LoadEvents(bool enabled)
        : m_enabled(enabled)
    {
    }

    void keyGiven(std::string_view key, const TeamId& team)
    {
        if (m_enabled)
            add(begin("key_given", 0).field("key", keyId(key)).field("team", team.value()));
    }

    /** @param expectedBody only right answer; none for work without an answer. */
    void submitted(TimePoint at, const WorkSpec& spec, std::string_view key, std::string_view entry,
        const std::optional<std::string>& expectedBody)
    {
        if (!m_enabled)
            return;
        add(withId(begin("submitted", toMicroseconds(at)), spec.id)
                .field("repeatable", spec.repeatable)
                .field("key", keyId(key))
                .field("entry", entry)
                .field("expectedBody", digest(expectedBody)));
    }

    /** @param body answer; none for work without an answer and for errors. @param cut no whole response arrived. */
    void answered(TimePoint at, const WorkId& id, std::string_view entry, RunState run, ErrorKind error,
        const std::optional<std::string>& body, bool cut)
    {
        if (!m_enabled)
            return;
        add(withId(begin("answered", toMicroseconds(at)), id)
                .field("runState", toString(run))
                .field("error", toString(error))
                .field("body", digest(body))
                .field("entry", entry)
                .field("cut", cut));
    }

    /** @brief Adds the starts and ends of one piece of work. @param seen receives the workers. */
    void history(const LoadHistory& history, const WorkSpec& spec, std::set<std::string>& seen)
    {
        const auto* tasks = history.find(spec.id);
        if (!m_enabled || tasks == nullptr)
            return;
        for (const auto& [index, runs] : *tasks) {
            for (const auto& run : runs) {
                seen.insert(run.worker);
                task("start", run.startUs, spec, index, run);
                if (run.endUs != std::numeric_limits<std::int64_t>::max())
                    task("end", run.endUs, spec, index, run);
            }
        }
    }

    void workerSeen(const std::string& worker, const Resources& capacity)
    {
        if (m_enabled)
            add(withAmounts(begin("worker", 0).field("worker", worker), capacity));
    }

    const std::vector<std::string>& lines() const { return m_lines; }

private:
    using Builder = lycheeledge::detail::JsonBuilder;

    static std::string_view keyId(std::string_view key) { return key.substr(0, key.find('.')); }

    static std::string digest(const std::optional<std::string>& body) { return body ? sha256Hex(*body) : ""; }

    Builder& begin(std::string_view type, std::int64_t us)
    {
        m_builder.emplace();
        return m_builder->begin().field("us", us).field("type", type);
    }

    static Builder& withId(Builder& builder, const WorkId& id)
    {
        return builder.field("team", id.team.value()).field("request", id.request.value());
    }

    static Builder& withAmounts(Builder& builder, const Resources& amounts)
    {
        return builder.field("milliCpu", amounts.milliCpu)
            .field("memoryMb", amounts.memoryMb)
            .field("accelerators", amounts.accelerators)
            .field("slots", amounts.slots)
            .field("connections", amounts.connections);
    }

    void task(std::string_view type, std::int64_t us, const WorkSpec& spec, std::uint32_t index, const TaskRun& run)
    {
        add(withAmounts(
            withId(begin(type, us), spec.id).field("index", index).field("run", run.run).field("worker", run.worker),
            spec.perTask));
    }

    void add(Builder& builder) { m_lines.push_back(builder.end().text()); }

    bool m_enabled;
    std::optional<Builder> m_builder; // of the event that is being written
    std::vector<std::string> m_lines;
};

} // namespace lycheeledge::standin
