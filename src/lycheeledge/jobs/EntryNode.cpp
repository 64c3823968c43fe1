// Coordination of one member, which is either the owner or forwards calls to the owner.

#include "EntryNode.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace lycheeledge::jobs {

namespace {

    constexpr RelayId localRelay = 0;
    constexpr Duration lagSampleInterval = std::chrono::milliseconds(100);
    // Members that find the owner's process ended together act within this time, so that one call serves all of them.
    constexpr Duration endedOwnerJitter = std::chrono::milliseconds(60);
    constexpr int lagSamples = 10; // number of samples that the moving average covers

    // A new owner waits as long as an earlier owner may keep sending orders.
    JobSchedulerSettings schedulerSettings(const EntryNodeSettings& settings)
    {
        JobSchedulerSettings result = settings.scheduler;
        result.previousOwnerTimeout = settings.lease.confirmationLimit;
        return result;
    }

    OwnerLeaseSettings leaseSettings(const EntryNodeSettings& settings)
    {
        OwnerLeaseSettings result = settings.lease;
        result.cpuShare = settings.cpuShare;
        return result;
    }

} // namespace

EntryNode::EntryNode(Ports ports, OwnerRecord self, const EntryNodeSettings& settings)
    : m_runtime(ports.runtime)
    , m_resignLimit(settings.resignLimit)
    , m_cpuShare(settings.cpuShare)
    , m_yield(settings.yield)
    , m_handoverRequestInterval(settings.lease.handover.requestInterval)
    , m_members(ports.members)
    , m_admission(ports.admission)
    , m_log(ports.log)
    , m_admissionDispatcher(m_runtime, *this)
    , m_relayedWorkers(m_runtime, ports.workers, m_members, m_log, settings.relay)
    , m_workerRelay(m_runtime, ports.workers, m_members, settings.dataCentre)
    , m_lease(m_runtime, ports.store, m_log, self, leaseSettings(settings))
    , m_link(m_runtime, m_members, m_admission, m_workerRelay, m_log, Handshake { self.member, settings.cpuShare },
          settings.link)
    , m_session({ m_runtime, ports.store, ports.records, ports.codec, ports.submissions, m_relayedWorkers, ports.vms,
                    m_admissionDispatcher, m_log, m_lease, self.member, ports.unixMs, [this] { activated(); } },
          schedulerSettings(settings), settings.service, settings.ledger, settings.maintenance, settings.session)
{
    m_lease.setListener(this);
    m_link.setListener(this);
    m_admissionDispatcher.addRelay(localRelay);
    m_relayedWorkers.setWorkerCount([this] { return m_session.scheduler().workers().all().size(); });
}

void EntryNode::start()
{
    m_lease.start();
    measureLag(m_runtime.now());
}

bool EntryNode::isReady() const { return m_lease.isOwner() ? m_session.isActive() : m_link.isReady(); }

void EntryNode::handle(const ClientCall& call, JobService::Reply reply)
{
    if (m_lease.isOwner())
        m_session.handle(call, std::move(reply));
    else
        m_link.forward(call, std::move(reply));
}

void EntryNode::resign(std::function<void()> done)
{
    if (!m_lease.isOwner()) {
        m_lease.resign();
        m_runtime.post(std::move(done));
        return;
    }
    flushAndRelease([this, done = std::move(done)] {
        m_lease.resign();
        done();
    });
}

// Calls `release` when all changes are stored or the limit has passed. For changes not stored by then, the calls are
// forwarded to the next owner, and task ends are read from the workers again.
void EntryNode::flushAndRelease(std::function<void()> release)
{
    const auto once = [release = std::move(release), finished = std::make_shared<bool>(false)] {
        if (!std::exchange(*finished, true))
            release();
    };
    m_session.flush(once);
    m_runtime.after(m_resignLimit, once);
}

// A member that sends a Handshake follows this owner: its process no longer sends orders, or it is a new process on the
// same VM.
void EntryNode::checkEarlierOwners()
{
    const auto& earlier = m_lease.earlierOwners();
    if (std::includes(m_handshakeSenders.begin(), m_handshakeSenders.end(), earlier.begin(), earlier.end()))
        m_session.earlierOwnersStopped();
}

// --- Yielding to another member ---

void EntryNode::measureLag(TimePoint due)
{
    m_lease.noteRunning();
    const Duration late = m_runtime.now() - due;
    m_timerLag += (late - m_timerLag) / lagSamples;
    if (m_lease.isOwner()) {
        yieldIfNeeded();
        requestHandoverIfNeeded();
    }
    const TimePoint next = m_runtime.now() + lagSampleInterval;
    m_runtime.after(lagSampleInterval, [this, next] { measureLag(next); });
}

void EntryNode::yieldIfNeeded()
{
    double largestMemberCpuShare = 0;
    for (const auto& [connection, share] : m_followers)
        largestMemberCpuShare = std::max(largestMemberCpuShare, share);
    const YieldSituation situation { .ownershipAge = m_runtime.now() - m_ownerSince,
        .cpuShare = m_cpuShare,
        .largestMemberCpuShare = largestMemberCpuShare,
        .lag = m_timerLag };
    const YieldReason reason = shouldYield(situation, m_yield);
    if (reason == YieldReason::None || !m_session.isActive() || std::exchange(m_yielding, true))
        return;
    const bool slow = reason == YieldReason::SlowVm;
    m_log.record("ownership_yielding",
        { { "epoch", m_lease.epoch() }, { "reason", slow ? "slow VM" : "small VM" },
            { "lag_ms", std::chrono::duration<double, std::milli>(m_timerLag).count() }, { "cpu_share", m_cpuShare },
            { "largest_member", largestMemberCpuShare } });
    flushAndRelease([this, slow, epoch = m_lease.epoch()] {
        if (m_lease.isOwner() && m_lease.epoch() == epoch)
            m_lease.yield(slow ? "this VM is too slow" : "this VM is smaller than others",
                slow ? m_yield.slowVmClaimPause : m_yield.smallVmClaimPause);
    });
}

// --- Handover ---

// The owner goes on until a member confirms that the store answers it: in an outage of the whole store, known tasks
// still start. From the confirmation on, changes of the configuration may be in force that this owner does not know of.
void EntryNode::requestHandoverIfNeeded()
{
    const TimePoint now = m_runtime.now();
    if (!m_lease.needsHandover() || now - m_lastHandoverRequest < m_handoverRequestInterval)
        return;
    m_lastHandoverRequest = now;
    m_log.record("handover_requested", { { "epoch", m_lease.epoch() }, { "members", m_followers.size() } });
    for (const auto& [connection, share] : m_followers)
        m_members.send(connection, HandoverRequest { m_lease.epoch() });
}

void EntryNode::ownerProcessEnded()
{
    const auto jitter = m_runtime.random() % static_cast<std::uint64_t>(endedOwnerJitter.count());
    m_runtime.after(Duration(static_cast<Duration::rep>(jitter)), [this, owner = m_lease.owner()] {
        if (owner && m_lease.owner() == owner)
            m_lease.ownerProcessEnded();
    });
}

void EntryNode::ownershipGained(Epoch epoch, const std::string& headValue, Revision headRevision)
{
    m_ownerSince = m_runtime.now();
    m_yielding = false;
    m_handshakeSenders.clear();
    m_link.setOwner(std::nullopt);
    m_session.begin(epoch, headValue, headRevision);
    checkEarlierOwners();
}

void EntryNode::ownershipLost(const char*)
{
    auto unfinished = m_session.end();
    m_relayedWorkers.clear();
    for (const auto& [connection, share] : std::exchange(m_followers, {})) {
        m_admissionDispatcher.removeRelay(connection);
        m_members.close(connection);
    }
    m_admissionRequests.clear();
    m_link.setOwner(m_lease.owner());
    for (auto& call : unfinished)
        m_link.addCall(std::move(call));
}

void EntryNode::ownerChanged(const std::optional<OwnerRecord>& owner)
{
    // While the record is absent, its last holder may still be the owner and restore the record.
    if (!m_lease.isOwner() && owner)
        m_link.setOwner(owner);
}

void EntryNode::handoverDue(Epoch epoch) { m_link.confirmHandover(epoch); }

double EntryNode::largestCpuShare() const
{
    double result = std::max(m_cpuShare, m_link.largestCpuShare());
    for (const auto& [connection, share] : m_followers)
        result = std::max(result, share);
    return result;
}

void EntryNode::sendOwnerStatus(MemberConnection connection)
{
    m_members.send(connection, OwnerStatus { m_lease.epoch(), m_session.isActive(), largestCpuShare() });
}

void EntryNode::sendOwnerStatusToAll()
{
    for (const auto& [connection, share] : m_followers)
        sendOwnerStatus(connection);
}

void EntryNode::activated()
{
    sendOwnerStatusToAll();
    for (auto& call : m_link.takeCalls()) {
        const ClientCall waiting = withRemainingTimeout(std::move(call.call), call.deadline, m_runtime.now());
        if (call.mayHaveRun)
            call.reply = withoutRejections(waiting.verb, std::move(call.reply));
        m_session.handle(waiting, std::move(call.reply));
    }
}

void EntryNode::received(MemberConnection connection, const MemberMessage& message)
{
    if (m_link.isOwnerConnection(connection)) {
        m_link.received(connection, message);
        return;
    }
    if (!m_lease.isOwner()) {
        m_members.close(connection); // the member has outdated owner information; it reconnects to the current owner
        return;
    }
    if (const auto* handshake = std::get_if<Handshake>(&message)) {
        m_handshakeSenders.insert(handshake->member);
        checkEarlierOwners();
        const double largest = largestCpuShare();
        if (m_followers.emplace(connection, handshake->cpuShare).second) {
            m_admissionDispatcher.addRelay(connection);
            m_relayedWorkers.addMember(connection, handshake->member, handshake->cpuShare);
        }
        m_log.record("member_connected", { { "member", handshake->member }, { "members", m_followers.size() } });
        sendOwnerStatus(connection);
        if (handshake->cpuShare > largest)
            sendOwnerStatusToAll();
    } else if (const auto* call = std::get_if<CallMessage>(&message)) {
        m_session.handle(call->call, [this, connection, id = call->id](ClientReply reply) {
            m_members.send(connection, CallReply { id, std::move(reply) });
        });
    } else if (const auto* reply = std::get_if<AdmissionReply>(&message)) {
        if (reply->answered)
            completeAdmission(reply->id, reply->grants);
        else
            completeAdmission(reply->id, absl::UnavailableError(reply->error));
    } else if (const auto* handover = std::get_if<HandoverRequest>(&message)) {
        m_lease.handoverConfirmed(handover->epoch);
    } else if (const auto* offer = std::get_if<RelayOffer>(&message)) {
        m_relayedWorkers.received(connection, *offer);
    } else if (const auto* batch = std::get_if<WorkerReplyBatch>(&message)) {
        m_relayedWorkers.received(connection, *batch);
    } else if (const auto* ping = std::get_if<Ping>(&message)) {
        if (!ping->reply)
            m_members.send(connection, Ping { ping->number, true });
    }
}

void EntryNode::closed(MemberConnection connection)
{
    if (m_link.isOwnerConnection(connection)) {
        m_link.closed(connection);
        return;
    }
    if (m_followers.erase(connection) == 0)
        return;
    m_admissionDispatcher.removeRelay(connection);
    m_relayedWorkers.removeMember(connection);
    std::vector<std::uint64_t> lost;
    for (const auto& [id, pending] : m_admissionRequests) {
        if (pending.relay == connection)
            lost.push_back(id);
    }
    for (const auto id : lost)
        completeAdmission(id, absl::UnavailableError("the connection to the member closed"));
}

void EntryNode::call(RelayId relay, const AdmissionRequest& request, Duration timeout, Done done)
{
    if (relay == localRelay) {
        m_admission.call(localRelay, request, timeout, std::move(done));
        return;
    }
    const std::uint64_t id = ++m_nextAdmissionRequest;
    m_admissionRequests[id] = { relay, std::move(done) };
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
    m_members.send(relay, AdmissionMessage { id, request, ms });
    m_runtime.after(
        timeout, [this, id] { completeAdmission(id, absl::DeadlineExceededError("no answer from the member")); });
}

void EntryNode::completeAdmission(std::uint64_t id, const absl::StatusOr<std::vector<AdmissionGrant>>& grants)
{
    auto node = m_admissionRequests.extract(id);
    if (!node.empty())
        node.mapped().done(grants);
}

} // namespace lycheeledge::jobs
