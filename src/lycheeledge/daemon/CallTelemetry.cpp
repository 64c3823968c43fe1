// Metrics and trace spans of the calls that a process handles.

#include "CallTelemetry.h"

#include <utility>

namespace lycheeledge {

CallTelemetry::CallTelemetry(Metrics& metrics, TraceContextGenerator& contextGenerator, SpanExporter& exporter)
    : m_metrics(metrics)
    , m_contextGenerator(contextGenerator)
    , m_exporter(exporter)
{
}

ObservedCall CallTelemetry::begin(std::string_view method, std::string_view traceparent, TimePoint now)
{
    const auto parent = parseTraceparent(traceparent);
    return { m_contextGenerator.next(parent), parent ? parent->spanId : std::string(), std::string(method), now };
}

void CallTelemetry::end(const ObservedCall& call, ErrorKind error, const TeamId& team, TimePoint now)
{
    const std::string kind(toString(error));
    m_metrics
        .counter("lycheeledge_calls_total", "Calls answered, by method and class of error.",
            { { "method", call.method }, { "error", kind } })
        .add();
    m_metrics.summary("lycheeledge_call_duration_ms", "Time from receipt to answer.", { { "method", call.method } })
        .observe(std::chrono::duration<double, std::milli>(now - call.start).count());
    if (!call.context.sampled)
        return;
    Span span { call.context, call.parentSpanId, call.method, call.start, now, {}, "" };
    if (!team.empty())
        span.attributes.emplace_back("team", team.value());
    if (error != ErrorKind::None)
        span.error = kind;
    m_exporter.record(std::move(span));
}

} // namespace lycheeledge
