// Authenticated messages between entry processes over TCP and UDP.
#pragma once

#include "../coordination/PeerLink.h"
#include "../transport/PeerTransport.h"
#include "CompletionExecutor.h"
#include "SecureChannel.h"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace lycheeledge {

struct PeerLinkSettings {
    MemberId self;
    std::string secret; ///< shared by all members
    PeerTransportSettings transport;

    bool operator==(const PeerLinkSettings&) const = default;
};

/** @brief PeerLink over PeerTransport. Only start() and stop() may be called outside the coordination thread. */
class AsioPeerLink final : public PeerLink {
public:
    AsioPeerLink(PeerLinkSettings settings, CompletionExecutor& executor);
    ~AsioPeerLink() override;

    void setListener(PeerListener* listener) { m_listener = listener; }
    /** @brief Starts to listen. @return the port. Errors: `UNAVAILABLE`. */
    absl::StatusOr<std::uint16_t> start();
    void stop();
    PeerTransport::Counts counts() const { return m_transport.counts(); }

    void gossip(const Address& to, const Gossip& message) override;
    void send(const MemberId& to, const Address& address, PeerMessage message, SendFailed failed) override;
    void reply(const MemberId& to, PeerMessage message) override;

private:
    using ConnectionId = PeerTransport::ConnectionId;

    struct Connection {
        SecureChannel channel;
        bool initiator = false;
        bool confirmed = false; // the transport knows that the other end is authenticated
        Address address; // of the other end, if initiator
        std::deque<std::string> pending; // encoded messages to send once the channel is established
        absl::flat_hash_map<std::uint64_t, SendFailed> failureCallbacks; // of calls without a reply, by call id
    };

    Connection& addConnection(ConnectionId id, bool initiator);
    void handleDatagram(const std::string& datagram);
    void handleFrame(ConnectionId id, const std::string& frame);
    void sendPending(ConnectionId id, Connection& connection);
    void handleMessage(ConnectionId id, Connection& connection, const std::string& text);
    void handleClose(ConnectionId id);
    void sendOrQueue(ConnectionId id, Connection& connection, std::string text);
    std::string makeNonce();

    PeerLinkSettings m_settings;
    CompletionExecutor& m_executor;
    PeerListener* m_listener = nullptr;
    absl::flat_hash_map<ConnectionId, std::unique_ptr<Connection>> m_connections;
    absl::flat_hash_map<MemberId, ConnectionId> m_outgoing; // connections that this side opened, by remote member
    absl::flat_hash_map<MemberId, ConnectionId> m_incoming; // connection on which each member sent its last message
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); // checked by queued tasks that outlive this object
    PeerTransport m_transport; // last member: its thread must end before the others are destroyed
};

} // namespace lycheeledge
