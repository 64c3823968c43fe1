// Structured log on standard output: one JSON object a line, with a budget for each kind of line.
#pragma once

#include "../coordination/Runtime.h"
#include "../jobs/EventLog.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace spdlog {
class logger;
} // namespace spdlog

namespace lycheeledge {

struct EventLogSettings {
    std::uint32_t linesPerSecond = 60; ///< of each kind, on average
    std::uint32_t burst = 180; ///< lines of one kind that may come at once
    Duration flushInterval = std::chrono::milliseconds(100); ///< one write for the lines of this time
    std::size_t maxBufferedBytes = 256 << 10; ///< between two flushes; further lines are dropped
    std::size_t queueLength = 64; ///< flushed blocks that wait for a slow reader; the oldest are dropped
};

/**
 * @brief Collects lines on the coordination thread; a thread of the logging library writes them.
 *
 * A reader that does not read costs lines, never time: blocks wait in a ring that drops the oldest.
 */
class JsonEventLog final : public jobs::EventLog {
public:
    /** @param member name of this process, in every line. @param unixMs time of day of the lines. */
    JsonEventLog(
        Runtime& runtime, std::string member, std::function<std::int64_t()> unixMs, EventLogSettings settings = {});
    ~JsonEventLog() override;

    void record(std::string_view event, std::initializer_list<jobs::LogField> fields) override;
    /** @brief Hands over what is buffered. */
    void flush();
    std::uint64_t droppedLines() const { return m_dropped; }

private:
    struct Budget {
        double tokens = 0;
        TimePoint filledAt;
        std::uint64_t dropped = 0; ///< since the last line of this kind
    };

    bool spend(Budget& budget);
    void scheduleFlush();

    Runtime& m_runtime;
    std::string m_member;
    std::function<std::int64_t()> m_unixMs;
    EventLogSettings m_settings;
    std::shared_ptr<spdlog::logger> m_logger;
    absl::flat_hash_map<std::string, Budget> m_budgets;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
    bool m_flushing = false; ///< a flush is scheduled
    std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace lycheeledge
