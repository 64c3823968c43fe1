// Authenticated messages between entry processes over TCP and UDP.

#include "AsioPeerLink.h"

#include "PeerCodec.h"

#include <glog/logging.h>
#include <openssl/rand.h>

#include <utility>

namespace lycheeledge {

namespace {

    std::uint64_t callId(const PeerMessage& message)
    {
        return std::visit([](const auto& m) { return m.call; }, message);
    }

} // namespace

AsioPeerLink::AsioPeerLink(PeerLinkSettings settings, CompletionExecutor& executor)
    : m_settings(std::move(settings))
    , m_executor(executor)
    , m_transport(m_settings.transport,
          PeerTransport::Handlers {
              .datagram =
                  [this, alive = m_alive](std::string datagram) {
                      m_executor.execute([this, alive, datagram = std::move(datagram)] {
                          if (*alive)
                              handleDatagram(datagram);
                      });
                  },
              .accepted =
                  [this, alive = m_alive](ConnectionId id) {
                      m_executor.execute([this, alive, id] {
                          if (*alive)
                              addConnection(id, false);
                      });
                  },
              .connected = [](ConnectionId) {},
              .frame =
                  [this, alive = m_alive](ConnectionId id, std::string frame) {
                      m_executor.execute([this, alive, id, frame = std::move(frame)] {
                          if (*alive)
                              handleFrame(id, frame);
                      });
                  },
              .closed =
                  [this, alive = m_alive](ConnectionId id) {
                      m_executor.execute([this, alive, id] {
                          if (*alive)
                              handleClose(id);
                      });
                  },
          })
{
}

AsioPeerLink::~AsioPeerLink()
{
    *m_alive = false;
    m_transport.stop();
}

absl::StatusOr<std::uint16_t> AsioPeerLink::start() { return m_transport.start(); }

void AsioPeerLink::stop() { m_transport.stop(); }

void AsioPeerLink::gossip(const Address& to, const Gossip& message)
{
    m_transport.sendDatagram(to.host, to.port, sealDatagram(m_settings.secret, encodeGossip(message)));
}

void AsioPeerLink::send(const MemberId& to, const Address& address, PeerMessage message, SendFailed failed)
{
    auto it = m_outgoing.find(to);
    if (it != m_outgoing.end() && m_connections.at(it->second)->address != address) {
        // The member restarted at another address.
        m_transport.close(it->second);
        m_outgoing.erase(it);
        it = m_outgoing.end();
    }
    if (it == m_outgoing.end()) {
        const ConnectionId id = m_transport.connect(address.host, address.port);
        addConnection(id, true).address = address;
        it = m_outgoing.emplace(to, id).first;
    }
    Connection& connection = *m_connections.at(it->second);
    connection.failureCallbacks[callId(message)] = std::move(failed);
    sendOrQueue(it->second, connection, encodePeerMessage(message));
}

void AsioPeerLink::reply(const MemberId& to, PeerMessage message)
{
    const auto it = m_incoming.find(to);
    if (it == m_incoming.end())
        return;
    sendOrQueue(it->second, *m_connections.at(it->second), encodePeerMessage(message));
}

AsioPeerLink::Connection& AsioPeerLink::addConnection(ConnectionId id, bool initiator)
{
    auto connection = std::make_unique<Connection>(
        Connection { .channel = SecureChannel(m_settings.secret, m_settings.self, makeNonce(), initiator),
            .initiator = initiator,
            .confirmed = initiator,
            .address = {},
            .pending = {},
            .failureCallbacks = {} });
    m_transport.sendFrame(id, connection->channel.hello());
    return *m_connections.emplace(id, std::move(connection)).first->second;
}

void AsioPeerLink::handleDatagram(const std::string& datagram)
{
    const auto text = openDatagram(m_settings.secret, datagram);
    if (!text.ok())
        return;
    const auto message = decodeGossip(*text);
    if (message.ok() && m_listener)
        m_listener->gossipReceived(*message);
}

void AsioPeerLink::handleFrame(ConnectionId id, const std::string& frame)
{
    const auto it = m_connections.find(id);
    if (it == m_connections.end())
        return;
    Connection& connection = *it->second;
    if (!connection.channel.established()) {
        if (const auto status = connection.channel.acceptHello(frame); !status.ok()) {
            LOG_EVERY_N(WARNING, 100) << "[peer] Closed a connection: " << status.message() << ".";
            m_transport.close(id);
            return;
        }
        if (!connection.confirmed)
            m_transport.resume(id);
        sendPending(id, connection);
        return;
    }
    const auto text = connection.channel.open(frame);
    if (!text.ok()) {
        LOG_EVERY_N(WARNING, 100) << "[peer] Closed a connection: " << text.status().message() << ".";
        m_transport.close(id);
        return;
    }
    if (!std::exchange(connection.confirmed, true))
        m_transport.confirm(id);
    handleMessage(id, connection, *text);
}

void AsioPeerLink::sendPending(ConnectionId id, Connection& connection)
{
    for (auto& text : connection.pending)
        m_transport.sendFrame(id, connection.channel.seal(text));
    connection.pending.clear();
}

void AsioPeerLink::handleMessage(ConnectionId id, Connection& connection, const std::string& text)
{
    const auto message = decodePeerMessage(text);
    if (!message.ok()) {
        LOG_EVERY_N(WARNING, 100) << "[peer] Dropped a malformed message: " << message.status().message() << ".";
        return;
    }
    const MemberId from = connection.channel.remote();
    if (connection.initiator)
        connection.failureCallbacks.erase(callId(*message));
    else
        m_incoming[from] = id;
    if (m_listener)
        m_listener->messageReceived(from, *message);
}

void AsioPeerLink::handleClose(ConnectionId id)
{
    const auto it = m_connections.find(id);
    if (it == m_connections.end())
        return;
    const auto connection = std::move(it->second);
    m_connections.erase(it);
    absl::erase_if(m_outgoing, [id](const auto& entry) { return entry.second == id; });
    absl::erase_if(m_incoming, [id](const auto& entry) { return entry.second == id; });
    // Messages are sent only after both sides are authenticated, so without that nothing can have been received.
    const bool maybeReceived = connection->channel.established();
    for (auto& [call, failed] : connection->failureCallbacks)
        failed(maybeReceived);
}

void AsioPeerLink::sendOrQueue(ConnectionId id, Connection& connection, std::string text)
{
    if (connection.channel.established())
        m_transport.sendFrame(id, connection.channel.seal(text));
    else
        connection.pending.push_back(std::move(text));
}

std::string AsioPeerLink::makeNonce()
{
    std::string nonce(16, '\0');
    RAND_bytes(reinterpret_cast<unsigned char*>(nonce.data()), static_cast<int>(nonce.size()));
    return nonce;
}

} // namespace lycheeledge
