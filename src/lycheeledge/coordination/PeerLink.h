// Interface for messages to the other entry processes.
#pragma once

#include "PeerMessages.h"

#include <functional>

namespace lycheeledge {

/** @brief Sends messages to other members. Messages may be lost, but never arrive truncated or unauthenticated. */
class PeerLink {
public:
    /** @param maybeReceived whether the message may have been received. */
    using SendFailed = std::function<void(bool maybeReceived)>;

    virtual ~PeerLink() = default;

    /** @brief Sends a gossip datagram to an address. It may be lost. */
    virtual void gossip(const Address& to, const Gossip& message) = 0;
    /**
     * @brief Sends a message over the connection to a member, opening it if needed.
     * @param failed called once if the connection closes before the reply to this message's `call` has arrived.
     */
    virtual void send(const MemberId& to, const Address& address, PeerMessage message, SendFailed failed) = 0;
    /** @brief Replies on the connection on which a message of `to` arrived. Dropped if that connection has closed. */
    virtual void reply(const MemberId& to, PeerMessage message) = 0;
};

/** @brief Receives messages, on the coordination thread. */
class PeerListener {
public:
    virtual ~PeerListener() = default;

    virtual void gossipReceived(const Gossip& message) = 0;
    virtual void messageReceived(const MemberId& from, const PeerMessage& message) = 0;
};

} // namespace lycheeledge
