// One lycheeledged process: creates, connects and runs its components.

#include "EntryProcess.h"

#include <glog/logging.h>

#include <chrono>
#include <utility>

namespace lycheeledge {

namespace {

    // The load balancer probes /readyz about once a second; connections are accepted until it has seen the change.
    constexpr Duration deregistrationDelay = std::chrono::seconds(2);
    constexpr Duration refusalLogInterval = std::chrono::seconds(1);
    constexpr Duration drainPollInterval = std::chrono::milliseconds(50);
    // Above the largest deadline of a request, 10 min, so that the server does not time out before the answer.
    constexpr std::chrono::milliseconds handleTimeout = std::chrono::minutes(11);

    std::chrono::milliseconds toMilliseconds(Duration value)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(value);
    }

    HttpClientSettings clientSettings(const Settings& settings)
    {
        HttpClientSettings result;
        result.maxWaiting = settings.limits.maxWaitingCalls;
        result.maxConnectionsPerHost = settings.limits.maxConnectionsPerHost;
        result.maxResponseBytes = settings.limits.maxResponseBytes;
        result.caPath = settings.caPath;
        return result;
    }

    EtcdStoreSettings storeSettings(const Settings& settings)
    {
        EtcdStoreSettings result;
        result.baseUrl = settings.storeUrl;
        result.clientName = settings.member.value();
        return result;
    }

    VmDirectorySettings vmDirectorySettings(const Settings& settings)
    {
        VmDirectorySettings result;
        result.url = settings.vmListUrl;
        result.clientName = settings.member.value();
        return result;
    }

    PeerLinkSettings peerLinkSettings(const Settings& settings)
    {
        PeerLinkSettings result;
        result.self = settings.member;
        result.secret = settings.clusterSecret;
        result.transport.address = settings.peer.host;
        result.transport.port = settings.peer.port;
        result.transport.maxUnconfirmedBytes = settings.limits.maxRequestMemoryBytes;
        return result;
    }

    MembershipTimes membershipTimes(const IntervalSettings& intervals)
    {
        MembershipTimes result;
        result.gossipInterval = intervals.gossip;
        result.readInterval = intervals.freshnessRead;
        result.leaseTimeToLive = intervals.storeLease;
        result.renewInterval = intervals.storeLeaseRenew;
        result.isolation = intervals.isolation;
        result.rosterRemovalDelay = intervals.rosterRemoval;
        result.inForceTimeout = intervals.inForceWait;
        return result;
    }

    CellControllerSettings cellSettings(const Settings& settings)
    {
        CellControllerSettings result;
        result.ownership.claimDelay = settings.intervals.storeRecovery;
        result.journal.minWriteInterval = settings.intervals.journalCommit;
        result.workers.zones = { settings.cellZones.begin(), settings.cellZones.end() };
        result.workers.controllerLease = settings.intervals.controllerLease;
        result.workers.taskLease = settings.intervals.taskLease;
        result.workers.renewInterval = settings.intervals.workerRenew;
        result.workers.directoryInterval = settings.intervals.vmList;
        return result;
    }

    HttpServerSettings serverSettings(const Settings& settings)
    {
        HttpServerSettings result;
        result.address = settings.listen.host;
        result.port = settings.listen.port;
        // Above the limit of a call, so that the gateway can refuse an oversize call with a typed error.
        result.maxBodyBytes = 2 * settings.limits.maxBodyBytes;
        result.certificatePath = settings.certificatePath;
        result.keyPath = settings.keyPath;
        result.maxConnections = settings.limits.maxConnections;
        result.maxRequestMemoryBytes = settings.limits.maxRequestMemoryBytes;
        result.handleTimeout = handleTimeout;
        return result;
    }

    std::optional<Key> bootstrapKey(const Settings& settings)
    {
        return settings.bootstrapKey.id.empty() ? std::nullopt : std::optional(settings.bootstrapKey);
    }

} // namespace

namespace detail {

    std::optional<EpochRecord> MembershipOwnershipView::epochRecord(const CellId& cell) const
    {
        const auto record = m_membership.ownerRecord(cell);
        if (!record)
            return std::nullopt;
        return EpochRecord { .epoch = record->epoch,
            .owner = record->owner,
            .incarnation = record->incarnation,
            .address = record->peer,
            .revision = record->epochRevision };
    }

    bool MembershipOwnershipView::ownerLeaseExists(const CellId& cell) const
    {
        const auto record = m_membership.ownerRecord(cell);
        return record && record->leased;
    }

    bool MembershipOwnershipView::isOwnerSuspected(const CellId& cell) const
    {
        const auto record = m_membership.ownerRecord(cell);
        return record && m_membership.isSuspected(record->owner);
    }

    std::optional<OwnerLocation> MembershipOwnerDirectory::ownerOf(const CellId& cell) const
    {
        const auto owned = m_cell.ownedCells();
        if (!owned.empty() && owned.front().cell == cell && owned.front().active)
            return OwnerLocation { m_membership.self().id, m_membership.self().peer, owned.front().epoch };
        const auto member = m_membership.ownerOf(cell);
        if (!member)
            return std::nullopt;
        return OwnerLocation { member->id, member->peer, m_membership.ownerEpoch(cell) };
    }

} // namespace detail

EntryProcess::EntryProcess(Settings settings, std::uint64_t seed, std::uint64_t incarnation)
    : m_settings(std::move(settings))
    , m_loop(seed, m_settings.limits.maxWaitingCalls)
    , m_executor(m_loop)
    , m_platformClient(clientSettings(m_settings))
    , m_workerClient(clientSettings(m_settings))
    , m_store(m_platformClient, m_executor, storeSettings(m_settings))
    , m_vmDirectory(m_platformClient, m_executor, vmDirectorySettings(m_settings))
    , m_workerGateway(m_workerClient, m_executor)
    , m_peerLink(peerLinkSettings(m_settings), m_executor)
    , m_membership(m_loop, m_store, m_peerLink,
          MemberRecord {
              .id = m_settings.member, .peer = m_settings.peer, .zone = m_settings.zone, .incarnation = incarnation },
          membershipTimes(m_settings.intervals))
    , m_ownershipView(m_membership)
    , m_cell({ m_loop, m_store, m_workerGateway, m_vmDirectory, m_ownershipView, m_journalCodec }, m_settings.cell,
          cellSettings(m_settings))
    , m_ownerDirectory(m_membership, m_cell)
    , m_telemetry(m_settings, m_loop, m_platformClient)
    , m_tracedCell(m_cell, m_loop, m_telemetry.contextGenerator(), m_telemetry.exporter())
    , m_router(
          m_loop, m_peerLink, m_ownerDirectory, m_tracedCell, { .self = m_settings.member, .cell = m_settings.cell })
    , m_authenticator(m_membership, bootstrapKey(m_settings))
    , m_commands(m_loop, m_store, m_membership)
    , m_service(m_loop, m_telemetry, m_membership, m_authenticator, m_commands, m_router, m_cell)
    , m_httpGateway(m_loop, m_service, m_settings.limits.maxBodyBytes,
          [this] {
              m_telemetry.setRefusals(m_httpServer.refusalCounts(), m_peerLink.counts());
              return m_telemetry.metricsText(m_membership, m_cell, m_router, m_httpGateway.callsInProgress());
          })
    , m_httpServer(serverSettings(m_settings), [this](HttpRequest request, const HttpServer::Respond& respond) {
        m_httpGateway.handle(std::move(request), respond);
    })
{
    m_peerLink.setListener(this);
    m_membership.setOwnedCells([this] { return m_cell.ownedCells(); });
    m_membership.onOwnersChanged([this] { m_router.ownerChanged(); });
    m_membership.onConfigurationChanged(
        [this](const Configuration& configuration) { m_cell.applyConfiguration(configuration); });
    m_cell.onChanged([this] {
        m_membership.gossipImmediately();
        if (m_cell.isActive())
            m_router.ownerChanged();
        else
            m_router.localCellClosed();
    });
}

EntryProcess::~EntryProcess() = default;

absl::Status EntryProcess::start()
{
    if (const auto port = m_peerLink.start(); !port.ok())
        return port.status();
    if (const auto port = m_httpServer.start(); !port.ok())
        return port.status();
    m_loop.post([this] {
        m_membership.start();
        m_cell.start();
        m_telemetry.start();
        logRefusals();
        m_httpGateway.setReady(true);
    });
    return absl::OkStatus();
}

void EntryProcess::run()
{
    m_loop.run();
    m_httpServer.stop();
    m_peerLink.stop();
}

void EntryProcess::requestStop()
{
    m_loop.postCompletion([this] { beginStop(); });
}

void EntryProcess::reloadCertificate()
{
    m_loop.postCompletion([this] {
        const auto status = m_httpServer.reloadCertificate();
        LOG_IF(INFO, status.ok()) << "[daemon] Reloaded the certificate.";
        LOG_IF(ERROR, !status.ok()) << "[daemon] Kept the previous certificate: " << status.message() << ".";
    });
}

// At most one line for each interval, and only if something was refused or closed in it.
void EntryProcess::logRefusals()
{
    m_loop.after(refusalLogInterval, [this] { logRefusals(); });
    const RefusalCounts counts = m_httpServer.refusalCounts();
    const PeerTransport::Counts peers = m_peerLink.counts();
    const std::uint64_t total = counts.total() + peers.refused + peers.closed;
    if (std::exchange(m_loggedRefusals, total) == total)
        return;
    LOG(WARNING) << "[http] Clients reached a limit; totals: " << counts.refusedConnections << " connections refused, "
                 << counts.refusedRequests << " requests refused, " << counts.oversizeBodies
                 << " bodies too large; closed: " << counts.closedIncomplete << " without a complete request, "
                 << counts.closedUnread << " with an unread response, " << counts.closedIdle
                 << " idle. Peers: " << peers.refused << " refused, " << peers.closed << " closed.";
}

void EntryProcess::beginStop()
{
    if (m_stopping)
        return;
    m_stopping = true;
    m_stopDeadline = m_loop.now() + m_settings.intervals.stopLimit;
    LOG(INFO) << "[daemon] Planned stop begins, " << m_httpGateway.callsInProgress() << " calls in progress.";
    m_httpGateway.setReady(false);
    m_membership.setStopping();
    handOver();
    m_loop.after(deregistrationDelay, [this] {
        m_httpServer.stopAccepting();
        m_service.stopAccepting();
        drain();
    });
}

void EntryProcess::handOver()
{
    // No other member can take the cell over while the store is unreachable, so it is kept until the store answers.
    if (!m_membership.storeReachable() && !stopLimitReached()) {
        m_loop.after(drainPollInterval, [this] { handOver(); });
        return;
    }
    m_cell.release([this] { m_handedOver = true; });
}

void EntryProcess::drain()
{
    const bool done = m_handedOver && m_httpGateway.callsInProgress() == 0;
    if (done || stopLimitReached())
        leave();
    else
        m_loop.after(drainPollInterval, [this] { drain(); });
}

void EntryProcess::leave()
{
    LOG(INFO) << "[daemon] Planned stop ends, " << m_httpGateway.callsInProgress() << " calls in progress.";
    m_membership.leave([this] { m_loop.stop(); });
    // If the store does not answer, stop anyway; the other members remove the roster record later.
    m_loop.after(toMilliseconds(std::chrono::seconds(2)), [this] { m_loop.stop(); });
}

} // namespace lycheeledge
