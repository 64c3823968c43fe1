// Metrics and trace spans of an entry process.
#pragma once

#include "../coordination/Runtime.h"
#include "../transport/ConnectionLedger.h"
#include "../transport/HttpClient.h"
#include "../transport/PeerTransport.h"
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

/** @brief Holds the metrics and the span exporter of a process. Must be used on the coordination thread only. */
class Telemetry {
public:
    Telemetry(const Settings& settings, Runtime& runtime, HttpClient& client);

    /** @brief Starts the timers that export spans and rotate summaries. */
    void start();

    /** @brief Records the calls of callers and operators. */
    CallTelemetry& calls() { return m_calls; }
    TraceContextGenerator& contextGenerator() { return m_contextGenerator; }
    SpanExporter& exporter() { return m_exporter; }
    /** @brief Sets the counters of refused and closed connections. */
    void setRefusals(const RefusalCounts& counts, const PeerTransport::Counts& peers);
    /** @brief Updates the gauges from the given components and renders all metrics in the Prometheus text format. */
    std::string metricsText(const Membership& membership, const CellController& cell, const RequestRouter& router,
        std::size_t callsInProgress);

private:
    void setCellMetrics(const SchedulerOverview& overview);
    void exportSpans();
    void rotateSummaries();

    Runtime& m_runtime;
    Metrics m_metrics;
    TraceContextGenerator m_contextGenerator;
    SpanExporter m_exporter;
    CallTelemetry m_calls;
    bool m_exportEnabled; // an export URL is set
};

} // namespace lycheeledge
