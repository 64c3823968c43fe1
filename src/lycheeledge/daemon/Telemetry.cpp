// Metrics and spans of an entry process.

#include "Telemetry.h"

#include "../coordination/CellController.h"
#include "../coordination/Membership.h"
#include "../coordination/RequestRouter.h"

#include <utility>

namespace lycheeledge {

namespace {

    constexpr double newTraceRatio = 0.01; // callers that want a trace send a sampled traceparent
    constexpr Duration flushInterval = std::chrono::seconds(1);
    constexpr Duration rotateInterval = std::chrono::minutes(1);

    double seconds(Duration value) { return std::chrono::duration<double>(value).count(); }

} // namespace

Telemetry::Telemetry(const Settings& settings, Runtime& runtime, HttpClient& client)
    : m_runtime(runtime)
    , m_source([&runtime] { return runtime.random(); }, newTraceRatio)
{
    if (settings.traceUrl.empty())
        return;
    SpanExporterSettings exporter;
    exporter.url = settings.traceUrl;
    exporter.member = settings.member.value();
    exporter.maxSpans = settings.maxSpans;
    exporter.wallClockOffset = currentWallClockOffset();
    m_exporter = std::make_unique<SpanExporter>(
        exporter, [&client](HttpRequest request, std::chrono::milliseconds timeout, HttpClient::Done done) {
            client.send(std::move(request), timeout, std::move(done));
        });
}

void Telemetry::start()
{
    flush();
    rotate();
}

void Telemetry::flush()
{
    m_runtime.after(flushInterval, [this] { flush(); });
    if (m_exporter)
        m_exporter->flush();
}

void Telemetry::rotate()
{
    m_runtime.after(rotateInterval, [this] { rotate(); });
    m_metrics.rotate();
}

OpenSpan Telemetry::startSpan(std::string name, std::string_view traceparent)
{
    const auto parent = parseTraceparent(traceparent);
    return { .context = m_source.next(parent),
        .parentSpanId = parent ? parent->spanId : std::string(),
        .name = std::move(name),
        .start = m_runtime.now() };
}

void Telemetry::endSpan(const OpenSpan& span, std::string_view error)
{
    if (!m_exporter)
        return;
    m_exporter->record({ .context = span.context,
        .parentSpanId = span.parentSpanId,
        .name = span.name,
        .start = span.start,
        .end = m_runtime.now(),
        .attributes = {},
        .error = std::string(error) });
}

void Telemetry::callFinished(std::string_view method, std::string_view error, Duration duration)
{
    m_metrics
        .counter("lycheeledge_calls_total", "Calls answered.",
            { { "method", std::string(method) }, { "error", std::string(error) } })
        .add();
    m_metrics
        .summary(
            "lycheeledge_call_seconds", "Time from receipt to answer of a call.", { { "method", std::string(method) } })
        .observe(seconds(duration));
}

std::string Telemetry::metricsText(
    const Membership& membership, const CellController& cell, const RequestRouter& router, std::size_t callsInProgress)
{
    const auto gauge = [this](std::string_view name, std::string_view help, double value) {
        m_metrics.gauge(name, help).set(value);
    };
    gauge("lycheeledge_calls_in_progress", "Calls not yet answered.", static_cast<double>(callsInProgress));
    gauge("lycheeledge_submissions_pending", "Submissions of this process's callers in progress.",
        static_cast<double>(router.pendingSubmissions()));
    gauge("lycheeledge_configuration_revision", "Revision of the configuration in force.",
        static_cast<double>(membership.configuration().revision));
    gauge("lycheeledge_configuration_fresh", "1 if the configuration is recent enough to serve with.",
        membership.isFresh() ? 1 : 0);
    gauge("lycheeledge_store_contact_age_seconds", "Time since the store was read.",
        seconds(membership.storeContactAge()));
    gauge("lycheeledge_cell_active", "1 if this process schedules its cell.", cell.isActive() ? 1 : 0);
    return m_metrics.toPrometheus();
}

} // namespace lycheeledge
