// Spans in the W3C trace context, exported as OTLP/JSON.
#pragma once

#include "../state/Time.h"
#include "../transport/HttpClient.h"

#include <boost/circular_buffer.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lycheeledge {

/** @brief Position in a trace. */
struct TraceContext {
    std::string traceId; ///< 32 lower-case hexadecimal digits, not all 0
    std::string spanId; ///< 16 lower-case hexadecimal digits, not all 0
    bool sampled = false;

    bool operator==(const TraceContext&) const = default;
};

/** @brief Parses a `traceparent` header. @return nothing if it is malformed. */
std::optional<TraceContext> parseTraceparent(std::string_view header);
/** @brief Header of version 00. */
std::string formatTraceparent(const TraceContext& context);

/** @brief A finished operation. */
struct Span {
    TraceContext context;
    std::string parentSpanId; ///< empty for the first span of a trace
    std::string name;
    TimePoint start;
    TimePoint end;
    std::vector<std::pair<std::string, std::string>> attributes;
    std::string error; ///< empty on success

    bool operator==(const Span&) const = default;
};

/** @brief Makes trace and span ids. Not thread-safe. */
class TraceSource {
public:
    /** @param random uniformly distributed 64 bits. @param sampleRatio part of the new traces that is recorded. */
    TraceSource(std::function<std::uint64_t()> random, double sampleRatio);

    /** @brief Context of a new span: a child of `parent`, or the start of a trace. */
    TraceContext next(const std::optional<TraceContext>& parent);

private:
    std::uint64_t nonZero();

    std::function<std::uint64_t()> m_random;
    double m_sampleRatio;
};

struct SpanExporterSettings {
    std::string url; ///< for example http://127.0.0.1:4318/v1/traces
    std::string member; ///< reported as service.instance.id
    std::size_t maxSpans = 8192; ///< waiting for export
    std::size_t maxBatch = 512; ///< in one call
    std::chrono::milliseconds timeout { 5000 };
    Duration wallClockOffset {}; ///< from the epoch of TimePoint to 1970-01-01 UTC

    bool operator==(const SpanExporterSettings&) const = default;
};

/** @brief Offset between the clock of TimePoint and the wall clock, now. */
Duration currentWallClockOffset();

/**
 * @brief Collects spans and sends them. May be used by several threads; must outlive all calls in progress.
 *
 * Spans are for people, so they never delay the work: those that do not fit or cannot be sent are counted and dropped.
 */
class SpanExporter {
public:
    using Send = std::function<void(HttpRequest, std::chrono::milliseconds, HttpClient::Done)>;

    SpanExporter(SpanExporterSettings settings, Send send);

    /** @brief Keeps a sampled span until the next flush. The oldest span is dropped if the buffer is full. */
    void record(Span span);
    /** @brief Sends a batch unless one is under way. Called about every second. */
    void flush();

    std::size_t waiting() const;
    std::uint64_t exported() const;
    std::uint64_t dropped() const;

private:
    void sent(std::size_t count, bool ok);

    SpanExporterSettings m_settings;
    Send m_send;
    mutable std::mutex m_mutex;
    boost::circular_buffer<Span> m_spans;
    bool m_sending = false;
    std::uint64_t m_exported = 0;
    std::uint64_t m_dropped = 0;
};

/** @brief Body of an OTLP/JSON trace export request. */
std::string encodeSpans(const std::vector<Span>& spans, const SpanExporterSettings& settings);

} // namespace lycheeledge
