// Metrics and trace spans of an entry process.

#include "Telemetry.h"

#include "../coordination/CellController.h"
#include "../coordination/Membership.h"
#include "../coordination/RequestRouter.h"
#include "../protocol/ApiCodec.h"

#include <algorithm>
#include <utility>

namespace lycheeledge {

namespace {

    constexpr Duration exportInterval = std::chrono::seconds(1);
    constexpr Duration summaryWindow = std::chrono::minutes(1);

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
    , m_contextGenerator([&runtime] { return runtime.random(); }, settings.traceSampleRatio)
    , m_exporter(exporterSettings(settings),
          [&client](HttpRequest request, std::chrono::milliseconds timeout, HttpClient::Done done) {
              client.send(std::move(request), timeout, std::move(done));
          })
    , m_calls(m_metrics, m_contextGenerator, m_exporter)
    , m_exportEnabled(!settings.traceUrl.empty())
{
}

void Telemetry::start()
{
    exportSpans();
    rotateSummaries();
}

void Telemetry::exportSpans()
{
    m_runtime.after(exportInterval, [this] { exportSpans(); });
    // Without an export URL, SpanExporter::record() discards all spans.
    if (m_exportEnabled)
        m_exporter.flush();
}

void Telemetry::rotateSummaries()
{
    m_runtime.after(summaryWindow, [this] { rotateSummaries(); });
    m_metrics.rotate();
}

void Telemetry::setCellMetrics(const SchedulerOverview& overview)
{
    const auto gauge = [this](std::string_view name, std::string_view help, double value, Metrics::Labels labels = {}) {
        m_metrics.gauge(name, help, labels).set(value);
    };
    const auto count = [&gauge](std::string_view name, std::string_view help, std::uint64_t n) {
        gauge(name, help, static_cast<double>(n));
    };
    count("lycheeledge_cell_starts", "Tasks started under this ownership.", overview.starts);
    count("lycheeledge_cell_retries", "Tasks tried again under this ownership.", overview.retries);
    count("lycheeledge_cell_preemptions", "Tasks preempted under this ownership.", overview.preemptions);
    count("lycheeledge_cell_pending", "Pieces of work that have not ended.", overview.pending);
    count("lycheeledge_cell_set_aside", "Jobs that can never run.", overview.setAside);
    for (const auto& [reason, n] : overview.refusals)
        gauge("lycheeledge_cell_refusals", "Work refused under this ownership.", static_cast<double>(n),
            { { "reason", reason } });
    for (const auto& [kind, waiting] : overview.waiting) {
        const std::string name(toString(kind));
        gauge("lycheeledge_cell_waiting_seconds", "Time from acceptance to the decision, over the last minutes.",
            seconds(waiting.p50), { { "kind", name }, { "quantile", "0.5" } });
        gauge(
            "lycheeledge_cell_waiting_seconds", "", seconds(waiting.p99), { { "kind", name }, { "quantile", "0.99" } });
    }
    for (const TeamOverview& team : overview.teams) {
        gauge("lycheeledge_team_used_part", "Dominant share of the fleet in use.", team.usedPart,
            { { "team", team.id.value() } });
        gauge("lycheeledge_team_entitled_part", "Part of the fleet when all teams have demand.", team.entitledPart,
            { { "team", team.id.value() } });
    }
    const auto quarantined = std::count_if(
        overview.workers.begin(), overview.workers.end(), [](const WorkerOverview& it) { return it.quarantined; });
    gauge("lycheeledge_cell_quarantined_workers", "Workers in quarantine.", static_cast<double>(quarantined));
}

void Telemetry::setRefusals(const RefusalCounts& counts, const PeerTransport::Counts& peers)
{
    const auto set = [this](std::string_view name, std::string_view help, std::uint64_t n) {
        m_metrics.gauge(name, help).set(static_cast<double>(n));
    };
    set("lycheeledge_connections_refused_total", "Connections refused at capacity.", counts.refusedConnections);
    set("lycheeledge_requests_refused_total", "Requests refused because too many were in progress.",
        counts.refusedRequests);
    set("lycheeledge_bodies_oversize_total", "Requests refused because of the length of their body.",
        counts.oversizeBodies);
    set("lycheeledge_connections_closed_incomplete_total", "Connections closed without a complete request.",
        counts.closedIncomplete);
    set("lycheeledge_connections_closed_unread_total", "Connections closed with an unread response.",
        counts.closedUnread);
    set("lycheeledge_connections_closed_idle_total", "Connections closed between two requests, at capacity.",
        counts.closedIdle);
    set("lycheeledge_peer_connections_refused_total", "Members' connections refused at capacity.", peers.refused);
    set("lycheeledge_peer_connections_closed_total", "Connections without a valid message closed at capacity.",
        peers.closed);
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
    gauge("lycheeledge_cell_active", "1 if this process schedules its cell; other cell metrics are then current.",
        cell.isActive() ? 1 : 0);
    if (const auto overview = cell.schedulerOverview())
        setCellMetrics(*overview);
    return m_metrics.toPrometheus();
}

} // namespace lycheeledge
