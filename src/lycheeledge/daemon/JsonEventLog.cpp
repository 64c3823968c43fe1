// Structured log on standard output: one JSON object per line, rate-limited per event type.

#include "JsonEventLog.h"

#include "../protocol/JsonObject.h"

#include <algorithm>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <utility>

namespace lycheeledge {

namespace {

    constexpr std::size_t writerThreads = 1;

    void appendField(detail::JsonBuilder& out, const jobs::LogField& field)
    {
        std::visit([&out, &field](const auto& value) { out.field(field.name, value); }, field.value);
    }

} // namespace

JsonEventLog::JsonEventLog(
    Runtime& runtime, std::string member, std::function<std::int64_t()> unixMs, EventLogSettings settings)
    : m_runtime(runtime)
    , m_member(std::move(member))
    , m_unixMs(std::move(unixMs))
    , m_settings(settings)
{
    spdlog::init_thread_pool(m_settings.queueLength, writerThreads);
    m_logger = std::make_shared<spdlog::async_logger>("events", std::make_shared<spdlog::sinks::stdout_sink_mt>(),
        spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
    m_logger->set_pattern("%v", spdlog::pattern_time_type::utc);
    m_logger->flush_on(spdlog::level::info);
}

JsonEventLog::~JsonEventLog()
{
    flush();
    m_logger.reset();
    spdlog::shutdown();
}

bool JsonEventLog::consumeToken(TokenBucket& bucket)
{
    const TimePoint now = m_runtime.now();
    const double seconds = std::chrono::duration<double>(now - bucket.refilledAt).count();
    bucket.tokens = bucket.refilledAt == TimePoint()
        ? m_settings.burst
        : std::min<double>(m_settings.burst, bucket.tokens + seconds * m_settings.linesPerSecond);
    bucket.refilledAt = now;
    if (bucket.tokens < 1 || m_buffer.size() > m_settings.maxBufferedBytes) {
        ++bucket.dropped;
        ++m_droppedLines;
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

void JsonEventLog::record(std::string_view event, std::initializer_list<jobs::LogField> fields)
{
    TokenBucket& bucket = m_buckets[std::string(event)];
    if (!consumeToken(bucket))
        return;
    detail::JsonBuilder out;
    out.begin().field("time_ms", m_unixMs()).field("member", m_member).field("event", event);
    for (const auto& field : fields)
        appendField(out, field);
    if (const auto dropped = std::exchange(bucket.dropped, 0))
        out.field("dropped_before", dropped);
    out.end();
    if (!m_buffer.empty())
        m_buffer += '\n';
    m_buffer += out.text();
    scheduleFlush();
}

void JsonEventLog::scheduleFlush()
{
    if (std::exchange(m_flushScheduled, true))
        return;
    m_runtime.after(m_settings.flushInterval, [this, alive = std::weak_ptr<int>(m_alive)] {
        if (alive.expired())
            return;
        m_flushScheduled = false;
        flush();
    });
}

void JsonEventLog::flush()
{
    if (!m_buffer.empty())
        m_logger->info("{}", std::exchange(m_buffer, {}));
}

} // namespace lycheeledge
