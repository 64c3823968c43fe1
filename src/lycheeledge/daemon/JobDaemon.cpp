// Member process of the job scheduler: listeners, readiness checks, metrics and planned stop.

#include "JobDaemon.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace lycheeledge {

namespace {

    constexpr Duration drainPollInterval = std::chrono::milliseconds(50);
    // Long enough to write some hundred responses at a tenth of a core.
    constexpr Duration responseFlushDelay = std::chrono::milliseconds(150);
    constexpr int httpUnavailable = 503;

    // Readiness checks and requests of metrics have no body.
    constexpr std::size_t maxCheckBodyBytes = 4096;

    HttpServerSettings serverSettings(
        const ListenAddress& address, std::size_t maxBodyBytes, const ListenerShare& share)
    {
        HttpServerSettings result;
        result.address = address.host;
        result.port = address.port;
        result.maxBodyBytes = maxBodyBytes;
        result.maxConnections = share.connections;
        result.maxRequestMemoryBytes = share.bytes;
        // Clients keep connections open between calls that are many seconds apart.
        result.readTimeout = std::chrono::seconds(60);
        return result;
    }

    PeerTransportSettings peerSettings(const JobDaemonSettings& settings)
    {
        PeerTransportSettings result;
        result.address = settings.host;
        result.port = settings.peerPort;
        result.maxFrameBytes = 4 << 20; // holds the body of a call, or an admission request, with headroom
        result.maxQueuedBytes = 16 << 20;
        // One from each member. A member whose connections are closed at once takes the owner's process for ended.
        result.maxConnections = settings.shares.members.connections;
        // Holds at least one frame, with the spare capacity of its buffer.
        result.maxUnconfirmedBytes = std::max(settings.shares.members.bytes, 2 * result.maxFrameBytes);
        return result;
    }

    jobs::OwnerRecord localOwnerRecord(const JobDaemonSettings& settings)
    {
        return { .member = settings.member,
            .incarnation = settings.incarnation,
            .epoch = 0,
            .host = settings.host,
            .port = settings.peerPort };
    }

} // namespace

std::int64_t unixMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

JobDaemon::JobDaemon(Ports ports, JobDaemonSettings settings)
    : m_loop(ports.loop)
    , m_executor(ports.executor)
    , m_log(ports.log)
    , m_ingress(ports.ingress)
    , m_settings(std::move(settings))
    , m_memberPort(peerSettings(m_settings), m_executor, m_log)
    , m_node({ m_loop, ports.store, ports.records, m_codec, ports.submissions, ports.workers, ports.vms,
                 ports.admission, m_memberPort, m_log, unixMilliseconds },
          localOwnerRecord(m_settings), m_settings.node)
    , m_ingressServer(serverSettings(m_settings.ingress, m_settings.maxBodyBytes, m_settings.shares.ingress),
          [this](HttpRequest request, const HttpServer::Respond& respond) {
              m_executor.execute(
                  [this, request = std::move(request), respond]() mutable { handleCall(std::move(request), respond); });
          })
    , m_readinessServer(serverSettings(m_settings.readiness, maxCheckBodyBytes, m_settings.shares.readiness),
          [this](const HttpRequest& request, const HttpServer::Respond& respond) {
              m_executor.execute([this, request, respond] { handleReadiness(request, respond); });
          })
{
    m_memberPort.setListener(&m_node.memberListener());
    if (m_settings.metricsPort != 0) {
        const ListenAddress address { m_settings.host, m_settings.metricsPort };
        m_metricsServer
            = std::make_unique<HttpServer>(serverSettings(address, maxCheckBodyBytes, m_settings.shares.metrics),
                [this](const HttpRequest&, const HttpServer::Respond& respond) {
                    m_executor.execute([this, respond] { handleMetrics(respond); });
                });
    }
}

JobDaemon::~JobDaemon() = default;

absl::Status JobDaemon::start()
{
    if (const auto port = m_memberPort.start(); !port.ok())
        return port.status();
    if (const auto port = m_ingressServer.start(); !port.ok())
        return port.status();
    if (const auto port = m_readinessServer.start(); !port.ok())
        return port.status();
    if (m_metricsServer) {
        if (const auto port = m_metricsServer->start(); !port.ok())
            return port.status();
    }
    m_log.record(
        "process_started", { { "incarnation", m_settings.incarnation }, { "peer_port", m_settings.peerPort } });
    m_loop.post([this] {
        m_node.start();
        logLoad();
    });
    return absl::OkStatus();
}

void JobDaemon::run()
{
    m_loop.run();
    m_ingressServer.stop();
    m_readinessServer.stop();
    if (m_metricsServer)
        m_metricsServer->stop();
    m_memberPort.stop();
}

void JobDaemon::requestStop()
{
    m_executor.execute([this] { beginStop(); });
}

void JobDaemon::logReload()
{
    m_executor.execute([this] { m_log.record("settings_reloaded", { { "applied", "at the next start" } }); });
}

void JobDaemon::handleCall(HttpRequest request, const HttpServer::Respond& respond)
{
    auto decoded = m_ingress.decodeCall(std::move(request));
    if (auto* response = std::get_if<HttpResponse>(&decoded)) {
        respond(std::move(*response));
        return;
    }
    ++m_callsInProgress;
    ++m_callsTotal;
    const TimePoint begin = m_loop.now();
    m_node.handle(std::get<jobs::ClientCall>(decoded), [this, respond, begin](const jobs::ClientReply& reply) {
        --m_callsInProgress;
        m_callLatencies.observe(m_loop.now() - begin);
        respond(m_ingress.encodeReply(reply));
    });
}

void JobDaemon::handleReadiness(const HttpRequest& request, const HttpServer::Respond& respond)
{
    const bool isCheck = m_ingress.isReadinessCheck(request);
    const bool ready = isCheck && !m_stopping && m_node.isReady();
    respond({ ready ? 200 : httpUnavailable, {}, ready ? "ready" : "not ready" });
}

void JobDaemon::handleMetrics(const HttpServer::Respond& respond)
{
    updateMetrics();
    respond({ 200, { { "Content-Type", "text/plain; version=0.0.4" } }, m_metrics.toPrometheus() });
}

// --- Planned stop ---

void JobDaemon::beginStop()
{
    if (std::exchange(m_stopping, true))
        return;
    m_stopDeadline = m_loop.now() + m_settings.stopLimit;
    m_log.record("process_stopping", { { "calls", m_callsInProgress }, { "owner", m_node.lease().isOwner() } });
    m_ingressServer.closeAfterResponses();
    m_node.resign([this] { m_resigned = true; });
    m_loop.after(m_settings.deregistrationDelay, [this] {
        m_ingressServer.stopAccepting();
        drain();
    });
}

void JobDaemon::drain()
{
    const bool done = m_resigned && m_callsInProgress == 0;
    if (!done && m_loop.now() < m_stopDeadline) {
        m_loop.after(drainPollInterval, [this] { drain(); });
        return;
    }
    m_log.record("process_stopped", { { "calls", m_callsInProgress }, { "resigned", m_resigned } });
    m_node.endCalls();
    m_log.flush();
    // Leaves the server threads time to write the last responses.
    m_loop.after(responseFlushDelay, [this] { m_loop.stop(); });
}

// --- Load events and metrics ---

void JobDaemon::logLoad()
{
    m_loop.after(m_settings.loadLogInterval, [this] { logLoad(); });
    logRefusals();
    const auto& session = m_node.session();
    if (!m_node.lease().isOwner())
        return;
    const auto& counters = session.scheduler().counters();
    m_log.record("load",
        { { "epoch", m_node.lease().epoch() }, { "jobs", session.scheduler().jobCount() },
            { "ready_steps", session.scheduler().readySteps() },
            { "reserved_cpu_percent", session.scheduler().reservedCpuPercent() }, { "starts", counters.starts },
            { "done", counters.endsDone }, { "failed", counters.endsFailed }, { "other_ends", counters.otherEnds },
            { "lost", counters.runsLost }, { "no_room", counters.startsRefusedNoCapacity },
            { "ticket_rejected", counters.startsRefusedTicket }, { "unanswered", counters.startsWithoutResponse },
            { "questions_open", m_node.admissionDispatcher().inProgress() },
            { "relays", m_node.admissionDispatcher().relays() }, { "questions", counters.admissionCalls },
            { "commits", session.ledger().commits() }, { "calls", m_callsTotal },
            { "relayed_calls", m_node.relayedWorkers().counters().relayedCalls },
            { "relayed_open", m_node.relayedWorkers().callsInProgress() } });
}

RefusalCounts JobDaemon::refusalCounts() const
{
    RefusalCounts result = m_ingressServer.refusalCounts();
    result += m_readinessServer.refusalCounts();
    if (m_metricsServer)
        result += m_metricsServer->refusalCounts();
    return result;
}

// At most one line for each load interval, and only if something was refused or closed in it.
void JobDaemon::logRefusals()
{
    const RefusalCounts counts = refusalCounts();
    const PeerTransport::Counts peers = m_memberPort.counts();
    const std::uint64_t total = counts.total() + peers.refused + peers.closed;
    if (std::exchange(m_loggedRefusals, total) == total)
        return;
    m_log.record("clients_limited",
        { { "refused_connections", counts.refusedConnections }, { "refused_requests", counts.refusedRequests },
            { "oversize_bodies", counts.oversizeBodies }, { "closed_incomplete", counts.closedIncomplete },
            { "closed_unread", counts.closedUnread }, { "closed_idle", counts.closedIdle },
            { "refused_peers", peers.refused }, { "closed_peers", peers.closed } });
}

void JobDaemon::updateMetrics()
{
    const auto setGauge
        = [this](const char* name, const char* help, double value) { m_metrics.gauge(name, help).set(value); };
    const auto& session = m_node.session();
    const auto& counters = session.scheduler().counters();
    const auto& calls = session.service().counters();
    setGauge("lycheeledge_owner", "1 while this member owns the jobs.", m_node.lease().isOwner() ? 1 : 0);
    setGauge("lycheeledge_epoch", "Epoch of the ownership, 0 for none.", static_cast<double>(m_node.lease().epoch()));
    setGauge("lycheeledge_jobs", "Jobs in memory.", static_cast<double>(session.scheduler().jobCount()));
    setGauge(
        "lycheeledge_ready_steps", "Steps with waiting tasks.", static_cast<double>(session.scheduler().readySteps()));
    setGauge("lycheeledge_work_bytes", "Estimated memory of the accepted jobs.",
        static_cast<double>(session.scheduler().workMemory().used()));
    setGauge("lycheeledge_work_limit_bytes", "Memory of accepted jobs beyond which submissions are refused.",
        static_cast<double>(session.scheduler().workMemory().limit()));
    setGauge("lycheeledge_jobs_refused_for_memory_total", "Submissions refused for the memory of accepted jobs.",
        static_cast<double>(calls.refusedForMemory));
    setGauge("lycheeledge_calls_in_progress", "Clients' calls in progress.", static_cast<double>(m_callsInProgress));
    setGauge("lycheeledge_calls_total", "Clients' calls.", static_cast<double>(m_callsTotal));
    setGauge("lycheeledge_starts_total", "Starts of tasks.", static_cast<double>(counters.starts));
    setGauge("lycheeledge_ends_done_total", "Ends as done.", static_cast<double>(counters.endsDone));
    setGauge("lycheeledge_ends_failed_total", "Ends as failed.", static_cast<double>(counters.endsFailed));
    setGauge("lycheeledge_runs_lost_total", "Runs lost with their worker.", static_cast<double>(counters.runsLost));
    setGauge("lycheeledge_jobs_completed_total", "Completed jobs.", static_cast<double>(counters.jobsCompleted));
    setGauge("lycheeledge_jobs_failed_total", "Failed jobs.", static_cast<double>(counters.jobsFailed));
    setGauge("lycheeledge_jobs_refused_total", "Refused submissions.", static_cast<double>(calls.refused));
    setGauge("lycheeledge_submissions_beyond_rate_total", "Accepted submissions beyond the rate of their account.",
        static_cast<double>(counters.submissionsBeyondRate));
    setGauge("lycheeledge_jobs_refused_by_prediction_total", "Submissions refused because they would end too late.",
        static_cast<double>(calls.refusedByPrediction));
    for (const auto& [queue, wait] : session.scheduler().predictedWaits())
        m_metrics
            .gauge("lycheeledge_predicted_wait_seconds", "Wait predicted for the last submission to a queue.",
                { { "queue", queue } })
            .set(std::chrono::duration<double>(wait).count());
    setGauge("lycheeledge_commits_total", "Commits to the store.", static_cast<double>(session.ledger().commits()));
    setGauge("lycheeledge_admission_questions_total", "Questions to the admission service.",
        static_cast<double>(counters.admissionCalls));
    setGauge("lycheeledge_evacuated_data_centres", "Data centres under evacuation, as this owner knows.",
        static_cast<double>(session.evacuations().size()));
    setGauge("lycheeledge_evacuated_runs", "Runs that remain in data centres under evacuation.",
        static_cast<double>(session.evacuatedRuns()));
    setGauge("lycheeledge_starts_withheld", "1 while no task starts because the operators' requests are not known.",
        session.startsWithheld() ? 1 : 0);
    const auto& relayed = m_node.relayedWorkers().counters();
    const auto& relay = m_node.workerRelay();
    setGauge("lycheeledge_worker_calls_relayed_total", "Calls to workers that this owner made through members.",
        static_cast<double>(relayed.relayedCalls));
    setGauge("lycheeledge_worker_calls_direct_total", "Calls to workers that this owner made itself.",
        static_cast<double>(relayed.directCalls));
    setGauge(
        "lycheeledge_worker_call_batches_total", "Messages with relayed calls.", static_cast<double>(relayed.batches));
    setGauge("lycheeledge_worker_polls_repeated_total", "Polls repeated because the member that relayed them was lost.",
        static_cast<double>(relayed.repeatedPolls));
    setGauge("lycheeledge_relays_silent_total", "Times that a relaying member was found silent.",
        static_cast<double>(relayed.silences));
    setGauge("lycheeledge_relays", "Members that can relay calls.",
        static_cast<double>(m_node.relayedWorkers().usableMembers()));
    setGauge("lycheeledge_worker_calls_in_progress", "Relayed calls in progress.",
        static_cast<double>(m_node.relayedWorkers().callsInProgress()));
    setGauge("lycheeledge_relay_calls_total", "Calls to workers that this member made for an owner.",
        static_cast<double>(relay.calls()));
    setGauge("lycheeledge_relay_calls_expired_total", "Calls that this member received too late to make them.",
        static_cast<double>(relay.expiredCalls()));
    const RefusalCounts refusals = refusalCounts();
    const PeerTransport::Counts peers = m_memberPort.counts();
    setGauge("lycheeledge_connections_refused_total", "Clients' connections refused at capacity.",
        static_cast<double>(refusals.refusedConnections));
    setGauge("lycheeledge_requests_refused_total", "Requests refused because too many were in progress.",
        static_cast<double>(refusals.refusedRequests));
    setGauge("lycheeledge_bodies_oversize_total", "Requests refused because of the length of their body.",
        static_cast<double>(refusals.oversizeBodies));
    setGauge("lycheeledge_connections_closed_incomplete_total", "Connections closed without a complete request.",
        static_cast<double>(refusals.closedIncomplete));
    setGauge("lycheeledge_connections_closed_unread_total", "Connections closed with an unread response.",
        static_cast<double>(refusals.closedUnread));
    setGauge("lycheeledge_connections_closed_idle_total", "Connections closed between two requests, at capacity.",
        static_cast<double>(refusals.closedIdle));
    setGauge("lycheeledge_peer_connections_refused_total", "Members' connections refused at capacity.",
        static_cast<double>(peers.refused));
    setGauge("lycheeledge_peer_connections_closed_total", "Connections without a valid message closed at capacity.",
        static_cast<double>(peers.closed));
    const auto setHistogram = [this](const char* name, const char* help, const LatencyHistogram& latencies) {
        m_metrics.histogram(name, help).set(latencies);
    };
    setHistogram("lycheeledge_call_seconds", "Time from a client's call to its response.", m_callLatencies);
    setHistogram("lycheeledge_job_seconds", "Time from acceptance to completion of a job.", counters.completionTimes);
    setHistogram("lycheeledge_admission_seconds", "Time from the release of a step to its first admitted worker.",
        counters.admissionTimes);
    setHistogram("lycheeledge_placement_seconds", "Time from then until all tasks of the step have a worker.",
        counters.placementTimes);
    setHistogram("lycheeledge_commit_seconds", "Time of commits to the store, retries included.",
        session.ledger().commitTimes());
    setGauge("lycheeledge_log_lines_dropped_total", "Log lines over their budget.",
        static_cast<double>(m_log.droppedLines()));
}

} // namespace lycheeledge
