// Trace spans with W3C trace context propagation, exported as OTLP/JSON.
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

/** @brief Identifies a span within a trace, as in the W3C trace context. */
struct TraceContext {
    std::string traceId; ///< 32 lower-case hexadecimal digits, not all 0
    std::string spanId; ///< 16 lower-case hexadecimal digits, not all 0
    bool sampled = false;

    bool operator==(const TraceContext&) const = default;
};

/** @brief Parses a `traceparent` header. @return `std::nullopt` if it is malformed. */
std::optional<TraceContext> parseTraceparent(std::string_view header);
/** @brief Formats a `traceparent` header of version 00. */
std::string formatTraceparent(const TraceContext& context);

/** @brief A timed operation within a trace. */
struct Span {
    TraceContext context;
    std::string parentSpanId; ///< empty for the root span of a trace
    std::string name;
    TimePoint start;
    TimePoint end;
    std::vector<std::pair<std::string, std::string>> attributes;
    std::string error; ///< empty on success

    bool operator==(const Span&) const = default;
};

/** @brief Generates trace and span ids and decides on sampling. Not thread-safe. */
class TraceContextGenerator {
public:
    /** @param random returns 64 uniformly distributed bits. @param sampleRatio sampled part of new traces, 0 to 1. */
    TraceContextGenerator(std::function<std::uint64_t()> random, double sampleRatio);

    /** @brief Creates the context of a child span of `parent`, or of the root span of a new trace. */
    TraceContext next(const std::optional<TraceContext>& parent);

private:
    std::uint64_t randomNonZero();

    std::function<std::uint64_t()> m_random;
    double m_sampleRatio;
};

struct SpanExporterSettings {
    std::string url; ///< for example http://127.0.0.1:4318/v1/traces
    std::string member; ///< reported as service.instance.id
    std::size_t maxSpans = 8192; ///< capacity of the buffer of spans that wait for export
    std::size_t maxBatch = 512; ///< spans in one export request
    std::chrono::milliseconds timeout { 5000 };
    Duration wallClockOffset {}; ///< from the epoch of TimePoint to 1970-01-01 UTC

    bool operator==(const SpanExporterSettings&) const = default;
};

/** @brief Current offset from the clock of TimePoint to the wall clock. */
Duration currentWallClockOffset();

/**
 * @brief Buffers spans and exports them in batches. Thread-safe; must outlive all export requests in progress.
 *
 * Spans serve diagnosis only, so they never delay work: those that do not fit in the buffer or cannot be sent are
 * counted and dropped.
 */
class SpanExporter {
public:
    using Send = std::function<void(HttpRequest, std::chrono::milliseconds, HttpClient::Done)>;

    SpanExporter(SpanExporterSettings settings, Send send);

    /** @brief Buffers a span if it is sampled. Drops the oldest span if the buffer is full. */
    void record(Span span);
    /** @brief Exports a batch unless an export is in progress. Called about every second. */
    void flush();

    std::size_t waiting() const;
    std::uint64_t exported() const;
    std::uint64_t dropped() const;

private:
    void exportDone(std::size_t count, bool ok);

    SpanExporterSettings m_settings;
    Send m_send;
    mutable std::mutex m_mutex;
    boost::circular_buffer<Span> m_spans;
    bool m_exporting = false;
    std::uint64_t m_exported = 0;
    std::uint64_t m_dropped = 0;
};

/** @brief Encodes the body of an OTLP/JSON trace export request. */
std::string encodeSpans(const std::vector<Span>& spans, const SpanExporterSettings& settings);

} // namespace lycheeledge
