// Datagrams and framed connections between the processes of a cluster, on their own thread.
#pragma once

#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace lycheeledge {

struct PeerTransportSettings {
    std::string address = "127.0.0.1"; ///< IP address to listen on
    std::uint16_t port = 0; ///< for UDP and TCP; 0 for any free port
    std::size_t maxFrameBytes = 80 << 20;
    std::size_t maxQueuedBytes = 256 << 20; ///< a connection with more unsent bytes is closed
    std::size_t maxConnections = 1024;
    /// Memory for frames of unconfirmed connections, see PeerTransport::confirm().
    std::size_t maxUnconfirmedBytes = 256 << 20;

    bool operator==(const PeerTransportSettings&) const = default;
};

/** @brief Sends and receives datagrams and length-prefixed frames without interpreting their content. */
class PeerTransport {
public:
    using ConnectionId = std::uint64_t;

    /** @brief Connections of unknown senders that were refused or closed at capacity, since the start. */
    struct Counts {
        std::uint64_t refused = 0; ///< new connections, while all others are confirmed
        std::uint64_t closed = 0; ///< unconfirmed connections, longest unconfirmed first

        bool operator==(const Counts&) const = default;
    };

    /** @brief Called on the transport's thread. */
    struct Handlers {
        std::function<void(std::string datagram)> datagram;
        std::function<void(ConnectionId)> accepted;
        std::function<void(ConnectionId)> connected;
        std::function<void(ConnectionId, std::string frame)> frame;
        std::function<void(ConnectionId)> closed; ///< called once per connection, also if connecting failed
    };

    PeerTransport(PeerTransportSettings settings, Handlers handlers);
    ~PeerTransport();
    PeerTransport(const PeerTransport&) = delete;
    PeerTransport& operator=(const PeerTransport&) = delete;

    /** @brief Binds both sockets and starts the thread. @return the port. Errors: `UNAVAILABLE` if it is in use. */
    absl::StatusOr<std::uint16_t> start();
    /** @brief Stops all communication and joins the thread. No handler is called afterwards. */
    void stop();

    // The functions below may be called from any thread.

    void sendDatagram(const std::string& host, std::uint16_t port, std::string datagram);
    /** @brief Opens a connection. Frames may be sent immediately; they are queued until it is established. */
    ConnectionId connect(const std::string& host, std::uint16_t port);
    void sendFrame(ConnectionId connection, std::string frame);
    void close(ConnectionId connection);
    /**
     * @brief The peer has sent a valid message. Until then, an accepted connection delivers one frame, and it is closed
     * before confirmed ones at capacity. Connections from connect() are confirmed from the start.
     */
    void confirm(ConnectionId connection);
    /** @brief Lets an unconfirmed connection deliver one more frame. */
    void resume(ConnectionId connection);
    Counts counts() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lycheeledge
