// Metrics and spans of an entry process.
#pragma once

#include "../coordination/Runtime.h"
#include "../transport/HttpClient.h"
#include "Metrics.h"
#include "Settings.h"
#include "Tracing.h"

#include <memory>
#include <string>
#include <string_view>

namespace lycheeledge {

class CellController;
class Membership;
class RequestRouter;

/** @brief A span in progress. */
struct OpenSpan {
    TraceContext context;
    std::string parentSpanId;
    std::string name;
    TimePoint start;

    /** @brief `traceparent` for the next hop. */
    std::string traceparent() const { return formatTraceparent(context); }
};

/** @brief Used on the coordination thread. */
class Telemetry {
public:
    Telemetry(const Settings& settings, Runtime& runtime, HttpClient& client);

    /** @brief Exports spans and rotates summaries from now on. */
    void start();

    /** @param traceparent of the previous hop; a malformed or empty one starts a trace. */
    OpenSpan startSpan(std::string name, std::string_view traceparent);
    /** @param error empty on success. */
    void endSpan(const OpenSpan& span, std::string_view error);

    /** @brief Counts a finished call. @param error `none` on success. */
    void callFinished(std::string_view method, std::string_view error, Duration duration);
    /** @brief Prometheus text, with the current state of the parts. */
    std::string metricsText(const Membership& membership, const CellController& cell, const RequestRouter& router,
        std::size_t callsInProgress);

private:
    void flush();
    void rotate();

    Runtime& m_runtime;
    Metrics m_metrics;
    TraceSource m_source;
    std::unique_ptr<SpanExporter> m_exporter; // none without an export URL
};

} // namespace lycheeledge
