// Metrics and trace spans of the calls that a process handles.
#pragma once

#include "../state/Outcome.h"
#include "Metrics.h"
#include "Tracing.h"

#include <optional>
#include <string>
#include <string_view>

namespace lycheeledge {

/** @brief State of a call in progress between CallTelemetry::begin() and end(). */
struct ObservedCall {
    TraceContext context; ///< of this call's span
    std::string parentSpanId; ///< empty if the caller sent no trace context
    std::string method;
    TimePoint start;

    bool operator==(const ObservedCall&) const = default;
};

/** @brief Counts calls by method and error kind, measures their duration, and records a span for each sampled call. */
class CallTelemetry {
public:
    CallTelemetry(Metrics& metrics, TraceContextGenerator& contextGenerator, SpanExporter& exporter);

    /**
     * @brief Records the start of a call.
     * @param method must be in the API schema, so that callers cannot create series for arbitrary names.
     * @param traceparent header sent by the caller; a malformed one is treated as absent.
     */
    ObservedCall begin(std::string_view method, std::string_view traceparent, TimePoint now);
    /** @brief Records the end of a call. @param error None on success. @param team empty if the call has none. */
    void end(const ObservedCall& call, ErrorKind error, const TeamId& team, TimePoint now);

private:
    Metrics& m_metrics;
    TraceContextGenerator& m_contextGenerator;
    SpanExporter& m_exporter;
};

} // namespace lycheeledge
