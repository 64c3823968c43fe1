// Metrics and spans of an entry process.
#pragma once

#include "../coordination/Runtime.h"
#include "../transport/HttpClient.h"
#include "CallTelemetry.h"
#include "Metrics.h"
#include "Settings.h"
#include "Tracing.h"

#include <string>

namespace lycheeledge {

class CellController;
class Membership;
class RequestRouter;
struct SchedulerOverview;

/** @brief Used on the coordination thread. */
class Telemetry {
public:
    Telemetry(const Settings& settings, Runtime& runtime, HttpClient& client);

    /** @brief Exports spans and rotates summaries from now on. */
    void start();

    /** @brief Observes the calls of callers and operators. */
    CallTelemetry& calls() { return m_calls; }
    TraceSource& traceSource() { return m_source; }
    SpanExporter& exporter() { return m_exporter; }
    /** @brief Prometheus text, with the current state of the parts. */
    std::string metricsText(const Membership& membership, const CellController& cell, const RequestRouter& router,
        std::size_t callsInProgress);

private:
    void setCellMetrics(const SchedulerOverview& overview);
    void flush();
    void rotate();

    Runtime& m_runtime;
    Metrics m_metrics;
    TraceSource m_source;
    SpanExporter m_exporter;
    CallTelemetry m_calls;
    bool m_exports; // an export URL is set
};

} // namespace lycheeledge
