// Structured log on standard output: one JSON object per line, rate-limited per event type.
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
    std::uint32_t linesPerSecond = 60; ///< average rate limit per event type
    std::uint32_t burst = 180; ///< largest number of lines of one event type in a burst
    Duration flushInterval = std::chrono::milliseconds(100); ///< lines of one interval are written together
    std::size_t maxBufferedBytes = 256 << 10; ///< between two flushes; lines beyond this are dropped
    std::size_t queueLength = 64; ///< flushed blocks queued for a slow reader; the oldest are dropped
};

/**
 * @brief Buffers lines on the coordination thread; a thread of the logging library writes them.
 *
 * A slow or stopped reader of standard output never blocks the coordination thread: blocks wait in a ring buffer that
 * drops the oldest when it is full.
 */
class JsonEventLog final : public jobs::EventLog {
public:
    /** @param member name of this process, part of every line. @param unixMs returns the wall-clock time of a line. */
    JsonEventLog(
        Runtime& runtime, std::string member, std::function<std::int64_t()> unixMs, EventLogSettings settings = {});
    ~JsonEventLog() override;

    void record(std::string_view event, std::initializer_list<jobs::LogField> fields) override;
    /** @brief Passes the buffered lines to the writer thread. */
    void flush();
    std::uint64_t droppedLines() const { return m_droppedLines; }

private:
    struct TokenBucket {
        double tokens = 0;
        TimePoint refilledAt;
        std::uint64_t dropped = 0; ///< since the last line of this event type
    };

    bool consumeToken(TokenBucket& bucket);
    void scheduleFlush();

    Runtime& m_runtime;
    std::string m_member;
    std::function<std::int64_t()> m_unixMs;
    EventLogSettings m_settings;
    std::shared_ptr<spdlog::logger> m_logger;
    absl::flat_hash_map<std::string, TokenBucket> m_buckets;
    std::string m_buffer;
    std::uint64_t m_droppedLines = 0;
    bool m_flushScheduled = false;
    std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace lycheeledge
