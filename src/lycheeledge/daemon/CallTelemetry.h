// Metrics and spans of the calls of a process.
#pragma once

#include "../state/Outcome.h"
#include "Metrics.h"
#include "Tracing.h"

#include <optional>
#include <string>
#include <string_view>

namespace lycheeledge {

/** @brief A call in progress, as seen by CallTelemetry. */
struct ObservedCall {
    TraceContext context; ///< of the span of this call
    std::string parentSpanId; ///< empty if the caller sent no trace context
    std::string method;
    TimePoint start;

    bool operator==(const ObservedCall&) const = default;
};

/** @brief Counts and times calls by method and class of error, and records a span for each sampled call. */
class CallTelemetry {
public:
    CallTelemetry(Metrics& metrics, TraceSource& source, SpanExporter& exporter);

    /**
     * @brief Notes the start of a call.
     * @param method of the schema, so that callers cannot create metrics of any name.
     * @param traceparent header of the caller; a malformed one counts as absent.
     */
    ObservedCall begin(std::string_view method, std::string_view traceparent, TimePoint now);
    /** @brief Notes the end of a call. @param error None on success. @param team empty if the call names none. */
    void end(const ObservedCall& call, ErrorKind error, const TeamId& team, TimePoint now);

private:
    Metrics& m_metrics;
    TraceSource& m_source;
    SpanExporter& m_exporter;
};

} // namespace lycheeledge
