// Events of a load run in JSON Lines format, the input of history_check.
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

/** @brief Collects the events that callers and workers observed. Does nothing unless enabled. */
class LoadEvents {
public:
    explicit LoadEvents(bool enabled)
        : m_enabled(enabled)
    {
    }

    void keyCreated(std::string_view key, const TeamId& team)
    {
        if (m_enabled)
            add(beginEvent("key_given", 0).field("key", keyId(key)).field("team", team.value()));
    }

    /** @param expectedBody expected response body; none for work without one. */
    void submitted(TimePoint at, const WorkSpec& spec, std::string_view key, std::string_view entry,
        const std::optional<std::string>& expectedBody)
    {
        if (!m_enabled)
            return;
        add(withWorkId(beginEvent("submitted", toMicroseconds(at)), spec.id)
                .field("repeatable", spec.repeatable)
                .field("key", keyId(key))
                .field("entry", entry)
                .field("expectedBody", digest(expectedBody)));
    }

    /**
     * @param body response body; none for work without one and for errors.
     * @param incomplete no complete response arrived.
     */
    void answered(TimePoint at, const WorkId& id, std::string_view entry, RunState run, ErrorKind error,
        const std::optional<std::string>& body, bool incomplete)
    {
        if (!m_enabled)
            return;
        add(withWorkId(beginEvent("answered", toMicroseconds(at)), id)
                .field("runState", toString(run))
                .field("error", toString(error))
                .field("body", digest(body))
                .field("entry", entry)
                .field("cut", incomplete));
    }

    /**
     * @brief Adds the starts and ends of all task runs of one work item.
     * @param workers receives the ids of the workers that ran them.
     */
    void taskRuns(const LoadHistory& history, const WorkSpec& spec, std::set<std::string>& workers)
    {
        const auto* tasks = history.find(spec.id);
        if (!m_enabled || tasks == nullptr)
            return;
        for (const auto& [index, runs] : *tasks) {
            for (const auto& run : runs) {
                workers.insert(run.worker);
                taskEvent("start", run.startUs, spec, index, run);
                if (run.endUs != std::numeric_limits<std::int64_t>::max())
                    taskEvent("end", run.endUs, spec, index, run);
            }
        }
    }

    void workerCapacity(const std::string& worker, const Resources& capacity)
    {
        if (m_enabled)
            add(withResources(beginEvent("worker", 0).field("worker", worker), capacity));
    }

    const std::vector<std::string>& lines() const { return m_lines; }

private:
    using Builder = lycheeledge::detail::JsonBuilder;

    // A key is `<key id>.<secret>`; the secret is not recorded.
    static std::string_view keyId(std::string_view key) { return key.substr(0, key.find('.')); }

    static std::string digest(const std::optional<std::string>& body) { return body ? sha256Hex(*body) : ""; }

    Builder& beginEvent(std::string_view type, std::int64_t us)
    {
        m_builder.emplace();
        return m_builder->begin().field("us", us).field("type", type);
    }

    static Builder& withWorkId(Builder& builder, const WorkId& id)
    {
        return builder.field("team", id.team.value()).field("request", id.request.value());
    }

    static Builder& withResources(Builder& builder, const Resources& resources)
    {
        return builder.field("milliCpu", resources.milliCpu)
            .field("memoryMb", resources.memoryMb)
            .field("accelerators", resources.accelerators)
            .field("slots", resources.slots)
            .field("connections", resources.connections);
    }

    void taskEvent(
        std::string_view type, std::int64_t us, const WorkSpec& spec, std::uint32_t index, const TaskRun& run)
    {
        add(withResources(withWorkId(beginEvent(type, us), spec.id)
                              .field("index", index)
                              .field("run", run.run)
                              .field("worker", run.worker),
            spec.perTask));
    }

    void add(Builder& builder) { m_lines.push_back(builder.end().text()); }

    bool m_enabled;
    std::optional<Builder> m_builder; // of the event under construction
    std::vector<std::string> m_lines;
};

} // namespace lycheeledge::standin
