// Connection of a member to the owner: forwards client calls, and calls the admission service on the owner's behalf.

#include "OwnerLink.h"

#include <algorithm>
#include <utility>

namespace lycheeledge::jobs {

namespace {

    // A connection that is closed before a message arrives means that nothing listens at the address. Two of them, a
    // reconnect pause apart, rule out a connection that was only reset.
    constexpr int refusalsUntilEnded = 2;

} // namespace

OwnerLink::OwnerLink(Runtime& runtime, MemberPort& port, AdmissionPort& admission, WorkerRelay& relay, EventLog& log,
    Handshake handshake, OwnerLinkSettings settings)
    : m_runtime(runtime)
    , m_port(port)
    , m_admission(admission)
    , m_relay(relay)
    , m_log(log)
    , m_handshake(std::move(handshake))
    , m_settings(settings)
{
}

void OwnerLink::setOwner(const std::optional<OwnerRecord>& owner)
{
    const auto sameProcess = [](const OwnerRecord& a, const OwnerRecord& b) {
        return a.member == b.member && a.incarnation == b.incarnation && a.epoch == b.epoch;
    };
    // An owner that restored its record after its lease expired is already connected.
    if (m_owner && owner && sameProcess(*m_owner, *owner))
        return;
    m_owner = owner;
    m_refusedConnections = 0;
    disconnect("the owner changed");
    connect();
}

void OwnerLink::connect()
{
    if (!m_owner || m_connection)
        return;
    m_connection = m_port.connect(m_owner->host, m_owner->port);
    m_receivedOnConnection = false;
    m_lastReceivedAt = m_runtime.now();
    m_port.send(*m_connection, m_handshake);
    ping(*m_connection);
}

void OwnerLink::disconnect(const char* reason)
{
    if (!m_connection)
        return;
    const MemberConnection connection = *std::exchange(m_connection, std::nullopt);
    if (m_active)
        m_log.record("owner_connection_lost", { { "reason", reason }, { "calls", m_calls.size() } });
    m_active = false;
    m_relay.disconnected();
    m_port.close(connection);
}

void OwnerLink::ping(MemberConnection connection)
{
    if (m_connection != connection)
        return;
    if (m_runtime.now() - m_lastReceivedAt > m_settings.silenceTimeout) {
        disconnect("no data received from the owner within the silence timeout");
        m_runtime.after(m_settings.reconnectPause, [this] { connect(); });
        return;
    }
    m_port.send(connection, Ping { ++m_pings, false });
    m_relay.sendOffer(connection);
    m_runtime.after(m_settings.pingInterval, [this, connection] { ping(connection); });
}

void OwnerLink::forward(const ClientCall& call, Reply reply)
{
    if (!isReady() || m_calls.size() >= m_settings.maxCalls) {
        m_log.record("call_refused", { { "reason", isReady() ? "too many calls" : "no owner is connected" } });
        reply({ .kind = ReplyKind::Refused, .retryAfterS = m_settings.retryAfterS, .reason = "no owner is known" });
        return;
    }
    addCall({ call, replyDeadline(call, m_runtime.now()), std::move(reply) });
}

void OwnerLink::addCall(JobService::UnfinishedCall call)
{
    const std::uint64_t id = ++m_nextCall;
    m_runtime.after(call.deadline - m_runtime.now(), [this, id] {
        auto node = m_calls.extract(id);
        if (!node.empty())
            node.mapped().reply({ .kind = ReplyKind::Unknown, .reason = "no owner answered in time" });
    });
    m_calls[id] = std::move(call);
    if (isReady())
        sendCall(id);
}

std::vector<JobService::UnfinishedCall> OwnerLink::takeCalls()
{
    std::vector<JobService::UnfinishedCall> result;
    for (auto& [id, call] : std::exchange(m_calls, {}))
        result.push_back(std::move(call));
    return result;
}

void OwnerLink::confirmHandover(Epoch epoch)
{
    if (m_connection)
        m_port.send(*m_connection, HandoverRequest { epoch });
}

void OwnerLink::endCalls()
{
    m_ended = true;
    for (auto& call : takeCalls())
        call.reply({ .kind = ReplyKind::Unknown, .reason = "this VM stops" });
}

void OwnerLink::sendCall(std::uint64_t id)
{
    auto& waiting = m_calls[id];
    if (std::exchange(waiting.mayHaveRun, true))
        waiting.reply = withoutRejections(waiting.call.verb, std::move(waiting.reply));
    m_port.send(
        *m_connection, CallMessage { id, withRemainingTimeout(waiting.call, waiting.deadline, m_runtime.now()) });
}

void OwnerLink::received(MemberConnection connection, const MemberMessage& message)
{
    m_lastReceivedAt = m_runtime.now();
    m_receivedOnConnection = true;
    m_refusedConnections = 0;
    if (const auto* status = std::get_if<OwnerStatus>(&message)) {
        if (status->active && !m_active) {
            m_log.record("owner_connected", { { "epoch", status->epoch }, { "calls", m_calls.size() } });
            for (const auto& [id, call] : m_calls)
                sendCall(id);
        }
        m_active = status->active;
        m_largestCpuShare = status->largestCpuShare;
    } else if (const auto* answer = std::get_if<CallReply>(&message)) {
        auto node = m_calls.extract(answer->id);
        if (!node.empty())
            node.mapped().reply(answer->reply);
    } else if (const auto* request = std::get_if<AdmissionMessage>(&message)) {
        handleAdmissionRequest(connection, *request);
    } else if (const auto* batch = std::get_if<WorkerCallBatch>(&message)) {
        m_relay.received(connection, *batch);
    } else if (const auto* handover = std::get_if<HandoverRequest>(&message)) {
        if (m_listener != nullptr)
            m_listener->handoverRequested(handover->epoch);
    }
}

void OwnerLink::handleAdmissionRequest(MemberConnection connection, const AdmissionMessage& message)
{
    constexpr RelayId localRelay = 0;
    m_admission.call(localRelay, message.request, std::chrono::milliseconds(message.timeoutMs),
        [this, connection, id = message.id](const absl::StatusOr<std::vector<AdmissionGrant>>& grants) {
            if (m_connection != connection)
                return;
            AdmissionReply answer { .id = id, .answered = grants.ok(), .grants = {}, .error = {} };
            if (grants.ok())
                answer.grants = *grants;
            else
                answer.error = std::string(grants.status().message());
            m_port.send(connection, answer);
        });
}

void OwnerLink::closed(MemberConnection connection)
{
    if (m_connection != connection)
        return;
    disconnect("the connection closed");
    m_refusedConnections += m_receivedOnConnection ? 0 : 1;
    if (m_refusedConnections >= refusalsUntilEnded && m_listener != nullptr)
        m_listener->ownerProcessEnded();
    m_runtime.after(m_settings.reconnectPause, [this] { connect(); });
}

} // namespace lycheeledge::jobs
