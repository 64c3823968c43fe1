// Trace spans with W3C trace context propagation, exported as OTLP/JSON.

#include "Tracing.h"

#include "../protocol/JsonObject.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace lycheeledge {

namespace {

    constexpr std::size_t traceIdLength = 32;
    constexpr std::size_t spanIdLength = 16;
    constexpr std::size_t headerLength = 55; // "00-" trace id "-" span id "-" flags

    bool isHex(std::string_view text)
    {
        return std::all_of(
            text.begin(), text.end(), [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
    }

    bool isNonZeroHex(std::string_view text)
    {
        return isHex(text) && text.find_first_not_of('0') != std::string_view::npos;
    }

    std::string toUnixNanos(TimePoint time, Duration offset)
    {
        return std::to_string((time.time_since_epoch() + offset).count());
    }

    void writeAttribute(detail::JsonBuilder& builder, std::string_view key, std::string_view value)
    {
        builder.begin().field("key", key).key("value").begin().field("stringValue", value).end().end();
    }

    void writeSpan(detail::JsonBuilder& builder, const Span& span, Duration offset)
    {
        constexpr int spanKindServer = 2;
        constexpr int statusCodeOk = 1;
        constexpr int statusCodeError = 2;
        builder.begin().field("traceId", span.context.traceId).field("spanId", span.context.spanId);
        if (!span.parentSpanId.empty())
            builder.field("parentSpanId", span.parentSpanId);
        builder.field("name", span.name)
            .field("kind", spanKindServer)
            .field("startTimeUnixNano", toUnixNanos(span.start, offset))
            .field("endTimeUnixNano", toUnixNanos(span.end, offset))
            .key("attributes")
            .beginArray();
        for (const auto& [key, value] : span.attributes)
            writeAttribute(builder, key, value);
        builder.endArray().key("status").begin().field("code", span.error.empty() ? statusCodeOk : statusCodeError);
        if (!span.error.empty())
            builder.field("message", span.error);
        builder.end().end();
    }

} // namespace

std::optional<TraceContext> parseTraceparent(std::string_view header)
{
    if (header.size() < headerLength || header[2] != '-' || header[35] != '-' || header[52] != '-')
        return std::nullopt;
    const auto version = header.substr(0, 2);
    // Later versions may append fields, each after a dash; version ff is invalid.
    if (!isHex(version) || version == "ff" || (version == "00" && header.size() != headerLength)
        || (header.size() > headerLength && header[headerLength] != '-'))
        return std::nullopt;
    const auto traceId = header.substr(3, traceIdLength);
    const auto spanId = header.substr(36, spanIdLength);
    const auto flags = header.substr(53, 2);
    if (!isNonZeroHex(traceId) || !isNonZeroHex(spanId) || !isHex(flags))
        return std::nullopt;
    unsigned bits = 0;
    std::from_chars(flags.data(), flags.data() + flags.size(), bits, 16);
    return TraceContext { std::string(traceId), std::string(spanId), (bits & 1U) != 0 };
}

std::string formatTraceparent(const TraceContext& context)
{
    return fmt::format("00-{}-{}-{}", context.traceId, context.spanId, context.sampled ? "01" : "00");
}

TraceContextGenerator::TraceContextGenerator(std::function<std::uint64_t()> random, double sampleRatio)
    : m_random(std::move(random))
    , m_sampleRatio(sampleRatio)
{
}

TraceContext TraceContextGenerator::next(const std::optional<TraceContext>& parent)
{
    if (parent)
        return { parent->traceId, fmt::format("{:016x}", randomNonZero()), parent->sampled };
    const double draw = static_cast<double>(m_random() >> 11) * 0x1p-53; // in [0, 1)
    const auto high = randomNonZero();
    const auto low = m_random();
    return { fmt::format("{:016x}{:016x}", high, low), fmt::format("{:016x}", randomNonZero()), draw < m_sampleRatio };
}

std::uint64_t TraceContextGenerator::randomNonZero()
{
    const auto value = m_random();
    return value != 0 ? value : 1;
}

Duration currentWallClockOffset()
{
    return std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch())
        - std::chrono::steady_clock::now().time_since_epoch();
}

SpanExporter::SpanExporter(SpanExporterSettings settings, Send send)
    : m_settings(std::move(settings))
    , m_send(std::move(send))
    , m_spans(m_settings.maxSpans)
{
}

void SpanExporter::record(Span span)
{
    if (!span.context.sampled || m_settings.url.empty())
        return;
    const std::lock_guard lock(m_mutex);
    if (m_spans.full())
        ++m_dropped;
    m_spans.push_back(std::move(span));
}

void SpanExporter::flush()
{
    std::vector<Span> batch;
    {
        const std::lock_guard lock(m_mutex);
        if (m_exporting || m_spans.empty())
            return;
        m_exporting = true;
        while (!m_spans.empty() && batch.size() < m_settings.maxBatch) {
            batch.push_back(std::move(m_spans.front()));
            m_spans.pop_front();
        }
    }
    HttpRequest request { "POST", m_settings.url, { { "content-type", "application/json" } },
        encodeSpans(batch, m_settings) };
    m_send(std::move(request), m_settings.timeout, [this, count = batch.size()](const HttpResult& result) {
        exportDone(count, result.status.ok() && result.response.status / 100 == 2);
    });
}

void SpanExporter::exportDone(std::size_t count, bool ok)
{
    const std::lock_guard lock(m_mutex);
    m_exporting = false;
    (ok ? m_exported : m_dropped) += count;
}

std::size_t SpanExporter::waiting() const
{
    const std::lock_guard lock(m_mutex);
    return m_spans.size();
}

std::uint64_t SpanExporter::exported() const
{
    const std::lock_guard lock(m_mutex);
    return m_exported;
}

std::uint64_t SpanExporter::dropped() const
{
    const std::lock_guard lock(m_mutex);
    return m_dropped;
}

std::string encodeSpans(const std::vector<Span>& spans, const SpanExporterSettings& settings)
{
    detail::JsonBuilder builder;
    builder.begin().key("resourceSpans").beginArray().begin().key("resource").begin().key("attributes").beginArray();
    writeAttribute(builder, "service.name", "lycheeledge");
    writeAttribute(builder, "service.instance.id", settings.member);
    builder.endArray().end().key("scopeSpans").beginArray().begin();
    builder.key("scope").begin().field("name", "lycheeledge").end().key("spans").beginArray();
    for (const auto& span : spans)
        writeSpan(builder, span, settings.wallClockOffset);
    return builder.endArray().end().endArray().end().endArray().end().text();
}

} // namespace lycheeledge
