// Metrics and spans of an entry process.

#include "Telemetry.h"

#include "../coordination/CellController.h"
#include "../coordination/Membership.h"
#include "../coordination/RequestRouter.h"

#include <utility>

namespace lycheeledge {

namespace {

    constexpr Duration flushInterval = std::chrono::seconds(1);
    constexpr Duration rotateInterval = std::chrono::minutes(1);

    SpanExporterSettings exporterSettings(const Settings& settings)
    {
        SpanExporterSettings result;
        result.url = settings.traceUrl;
        result.member = settings.member.value();
        result.maxSpans = settings.maxSpans;
        result.wallClockOffset = currentWallClockOffset();
        return result;
    }

    double seconds(Duration value) { return std::chrono::duration<double>(value).count(); }

} // namespace

Telemetry::Telemetry(const Settings& settings, Runtime& runtime, HttpClient& client)
    : m_runtime(runtime)
    , m_source([&runtime] { return runtime.random(); }, settings.traceSampleRatio)
    , m_exporter(exporterSettings(settings),
          [&client](HttpRequest request, std::chrono::milliseconds timeout, HttpClient::Done done) {
              client.send(std::move(request), timeout, std::move(done));
          })
    , m_calls(m_metrics, m_source, m_exporter)
    , m_exports(!settings.traceUrl.empty())
{
}

void Telemetry::start()
{
    flush();
    rotate();
}

void Telemetry::flush()
{
    m_runtime.after(flushInterval, [this] { flush(); });
    // Without an export URL the oldest spans are dropped from the bounded buffer.
    if (m_exports)
        m_exporter.flush();
}

void Telemetry::rotate()
{
    m_runtime.after(rotateInterval, [this] { rotate(); });
    m_metrics.rotate();
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
