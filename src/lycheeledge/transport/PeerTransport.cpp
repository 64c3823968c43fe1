// Datagrams and framed connections between the processes of a cluster, on their own thread.

#include "PeerTransport.h"

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>
#include <asio.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <deque>
#include <set>
#include <thread>
#include <utility>
#include <vector>

namespace lycheeledge {

namespace {

    using Tcp = asio::ip::tcp;
    using Udp = asio::ip::udp;

    constexpr std::size_t headerBytes = 4; // frame length, big-endian
    constexpr std::size_t maxDatagramBytes = 65507; // largest UDP payload over IPv4
    constexpr std::size_t readChunkBytes = 4096; // of each connection; the owner has one to each member
    constexpr auto acceptRetryDelay = std::chrono::milliseconds(100);
    constexpr std::size_t maxFramesPerWrite = 32;
    constexpr std::size_t maxIdleBufferBytes = 64 << 10; // a larger receive buffer is freed once it is empty

    std::array<unsigned char, headerBytes> encodeLength(std::size_t n)
    {
        return { static_cast<unsigned char>(n >> 24), static_cast<unsigned char>(n >> 16),
            static_cast<unsigned char>(n >> 8), static_cast<unsigned char>(n) };
    }

    std::size_t decodeLength(const char* header)
    {
        std::size_t result = 0;
        for (std::size_t i = 0; i < headerBytes; ++i)
            result = (result << 8) | static_cast<unsigned char>(header[i]);
        return result;
    }

    std::string prependHeader(std::string frame)
    {
        const auto header = encodeLength(frame.size());
        frame.insert(0, reinterpret_cast<const char*>(header.data()), header.size());
        return frame;
    }

} // namespace

// Once the transport's thread runs, all members except nextConnectionId are used only on it.
struct PeerTransport::Implementation {
    struct Connection {
        explicit Connection(asio::io_context& context)
            : socket(context)
        {
        }

        Tcp::socket socket;
        bool open = false; // TCP connection is established
        bool writing = false;
        std::deque<std::string> sendQueue; // frames with header; the first ones are being written if `writing`
        std::size_t queuedBytes = 0; // total size of `sendQueue`
        std::array<char, readChunkBytes> chunk {};
        std::string received; // not yet complete frames
        bool confirmed = false;
        bool reading = false; // false after the first frame until the connection is confirmed
        std::size_t unconfirmedBytes = 0; // part of Implementation::unconfirmedBytes
    };
    using ConnectionPointer = std::shared_ptr<Connection>;

    Implementation(PeerTransportSettings transportSettings, Handlers eventHandlers)
        : settings(std::move(transportSettings))
        , handlers(std::move(eventHandlers))
        , workGuard(asio::make_work_guard(context))
        , acceptor(context)
        , acceptTimer(context)
        , datagramSocket(context)
        , datagramBuffer(maxDatagramBytes, '\0')
    {
    }

    absl::Status bind()
    {
        asio::error_code ec;
        const auto address = asio::ip::make_address(settings.address, ec);
        if (ec)
            return absl::InvalidArgumentError(absl::StrCat("invalid IP address ", settings.address));
        Tcp::endpoint endpoint(address, settings.port);
        acceptor.open(endpoint.protocol(), ec);
        acceptor.set_option(asio::socket_base::reuse_address(true), ec);
        if (acceptor.bind(endpoint, ec) || acceptor.listen(asio::socket_base::max_listen_connections, ec))
            return absl::UnavailableError(
                absl::StrCat("cannot listen on TCP port ", settings.port, ": ", ec.message()));
        port = acceptor.local_endpoint().port();
        datagramSocket.open(Udp::endpoint(address, port).protocol(), ec);
        if (datagramSocket.bind(Udp::endpoint(address, port), ec))
            return absl::UnavailableError(absl::StrCat("cannot bind UDP port ", port, ": ", ec.message()));
        return absl::OkStatus();
    }

    void receiveDatagram()
    {
        datagramSocket.async_receive_from(
            asio::buffer(datagramBuffer), datagramSender, [this](asio::error_code ec, std::size_t n) {
                if (ec == asio::error::operation_aborted)
                    return;
                // Other errors, such as an ICMP rejection of an earlier datagram, do not affect later datagrams.
                if (!ec)
                    handlers.datagram(datagramBuffer.substr(0, n));
                receiveDatagram();
            });
    }

    void accept()
    {
        auto connection = std::make_shared<Connection>(context);
        acceptor.async_accept(connection->socket, [this, connection](asio::error_code ec) {
            if (ec == asio::error::operation_aborted)
                return;
            if (!ec && (connections.size() < settings.maxConnections || closeUnconfirmed(0))) {
                const ConnectionId id = nextConnectionId++;
                connections.emplace(id, connection);
                unconfirmed.insert(id);
                handlers.accepted(id);
                startConnection(id, connection);
            } else if (!ec) {
                ++refusedConnections;
                connection->socket.close(ec);
            }
            if (ec == asio::error::no_descriptors || ec == asio::error::no_memory) {
                // An immediate attempt would fail again and occupy the thread.
                acceptTimer.expires_after(acceptRetryDelay);
                acceptTimer.async_wait([this](asio::error_code e) {
                    if (!e)
                        accept();
                });
                return;
            }
            accept();
        });
    }

    /**
     * @brief Closes the connection that has been unconfirmed for the longest time, with at least `minBytes` in memory.
     * @return false if there is none.
     */
    bool closeUnconfirmed(std::size_t minBytes)
    {
        const auto it = std::find_if(unconfirmed.begin(), unconfirmed.end(),
            [this, minBytes](ConnectionId id) { return connections.at(id)->unconfirmedBytes >= minBytes; });
        if (it == unconfirmed.end())
            return false;
        ++closedConnections;
        close(*it);
        return true;
    }

    void setUnconfirmedBytes(Connection& connection, std::size_t n)
    {
        unconfirmedBytes = unconfirmedBytes - connection.unconfirmedBytes + n;
        connection.unconfirmedBytes = n;
    }

    void confirm(ConnectionId id)
    {
        const auto it = connections.find(id);
        if (it == connections.end() || it->second->confirmed)
            return;
        const ConnectionPointer connection = it->second;
        connection->confirmed = true;
        unconfirmed.erase(id);
        setUnconfirmedBytes(*connection, 0);
        resume(id);
    }

    void resume(ConnectionId id)
    {
        const auto it = connections.find(id);
        if (it == connections.end() || !it->second->open || it->second->reading)
            return;
        const ConnectionPointer connection = it->second;
        if (handleFrames(id, connection))
            read(id, connection);
    }

    void startConnection(ConnectionId id, const ConnectionPointer& connection)
    {
        asio::error_code ec;
        connection->socket.set_option(Tcp::no_delay(true), ec);
        connection->open = true;
        read(id, connection);
        writeNext(id, connection);
    }

    void connect(ConnectionId id, const std::string& host, std::uint16_t remotePort)
    {
        auto connection = std::make_shared<Connection>(context);
        connection->confirmed = true;
        connections.emplace(id, connection);
        asio::error_code ec;
        const auto address = asio::ip::make_address(host, ec);
        if (ec) {
            asio::post(context, [this, id] { close(id); });
            return;
        }
        connection->socket.async_connect(
            Tcp::endpoint(address, remotePort), [this, id, connection](asio::error_code e) {
                if (e || !connections.contains(id)) {
                    close(id);
                    return;
                }
                handlers.connected(id);
                startConnection(id, connection);
            });
    }

    // Reads whatever has arrived: under load, one call returns many small frames.
    void read(ConnectionId id, const ConnectionPointer& connection)
    {
        connection->reading = true;
        connection->socket.async_read_some(
            asio::buffer(connection->chunk), [this, id, connection](asio::error_code ec, std::size_t n) {
                // The read may have succeeded before another handler closed the connection.
                if (ec || !connections.contains(id)) {
                    close(id);
                    return;
                }
                connection->reading = false;
                connection->received.append(connection->chunk.data(), n);
                if (!connection->confirmed) {
                    setUnconfirmedBytes(*connection, connection->received.capacity());
                    while (unconfirmedBytes > settings.maxUnconfirmedBytes && closeUnconfirmed(1)) { }
                    if (!connections.contains(id))
                        return;
                }
                if (handleFrames(id, connection))
                    read(id, connection);
            });
    }

    /** @return false if no more frames may be read: the connection is closed, or waits to be confirmed. */
    bool handleFrames(ConnectionId id, const ConnectionPointer& connection)
    {
        std::string& received = connection->received;
        std::size_t begin = 0;
        while (received.size() - begin >= headerBytes) {
            const std::size_t n = decodeLength(received.data() + begin);
            if (n > settings.maxFrameBytes) {
                close(id);
                return false;
            }
            if (received.size() - begin - headerBytes < n)
                break;
            handlers.frame(id, received.substr(begin + headerBytes, n));
            begin += headerBytes + n;
            if (!connections.contains(id))
                return false;
            // A sender of frames without a valid message would otherwise fill the queue of the frames' receiver.
            if (!connection->confirmed) {
                received.erase(0, begin);
                setUnconfirmedBytes(*connection, n + received.capacity());
                return false;
            }
        }
        received.erase(0, begin);
        if (received.empty() && received.capacity() > maxIdleBufferBytes)
            std::string().swap(received);
        return true;
    }

    void sendFrame(ConnectionId id, std::string frame)
    {
        const auto it = connections.find(id);
        if (it == connections.end())
            return;
        const ConnectionPointer connection = it->second;
        connection->queuedBytes += frame.size() + headerBytes;
        if (frame.size() > settings.maxFrameBytes || connection->queuedBytes > settings.maxQueuedBytes) {
            LOG(WARNING) << "[peer] Closing a connection: the frame or the send queue exceeds its size limit.";
            close(id);
            return;
        }
        connection->sendQueue.push_back(prependHeader(std::move(frame)));
        writeNext(id, connection);
    }

    // Writes all queued frames with one call.
    void writeNext(ConnectionId id, const ConnectionPointer& connection)
    {
        if (!connection->open || connection->writing || connection->sendQueue.empty())
            return;
        connection->writing = true;
        const std::size_t frames = std::min(connection->sendQueue.size(), maxFramesPerWrite);
        std::vector<asio::const_buffer> buffers;
        buffers.reserve(frames);
        for (std::size_t i = 0; i < frames; ++i)
            buffers.push_back(asio::buffer(connection->sendQueue[i]));
        asio::async_write(
            connection->socket, buffers, [this, id, connection, frames](asio::error_code ec, std::size_t n) {
                connection->writing = false;
                if (ec) {
                    close(id);
                    return;
                }
                connection->sendQueue.erase(
                    connection->sendQueue.begin(), connection->sendQueue.begin() + static_cast<std::ptrdiff_t>(frames));
                connection->queuedBytes -= n;
                writeNext(id, connection);
            });
    }

    void close(ConnectionId id)
    {
        const auto it = connections.find(id);
        if (it == connections.end())
            return;
        const ConnectionPointer connection = it->second;
        connections.erase(it);
        unconfirmed.erase(id);
        setUnconfirmedBytes(*connection, 0);
        asio::error_code ec;
        connection->socket.close(ec);
        handlers.closed(id);
    }

    PeerTransportSettings settings;
    Handlers handlers;
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> workGuard;
    Tcp::acceptor acceptor;
    asio::steady_timer acceptTimer;
    Udp::socket datagramSocket;
    Udp::endpoint datagramSender;
    std::string datagramBuffer;
    std::uint16_t port = 0;
    absl::flat_hash_map<ConnectionId, ConnectionPointer> connections;
    std::set<ConnectionId> unconfirmed; // accepted ones; ids increase with time
    std::size_t unconfirmedBytes = 0; // sum over `connections`
    std::atomic<std::uint64_t> refusedConnections { 0 };
    std::atomic<std::uint64_t> closedConnections { 0 };
    std::atomic<ConnectionId> nextConnectionId { 1 };
    std::thread thread;
};

PeerTransport::PeerTransport(PeerTransportSettings settings, Handlers handlers)
    : m_implementation(std::make_unique<Implementation>(std::move(settings), std::move(handlers)))
{
}

PeerTransport::~PeerTransport() { stop(); }

absl::StatusOr<std::uint16_t> PeerTransport::start()
{
    if (auto status = m_implementation->bind(); !status.ok())
        return status;
    m_implementation->receiveDatagram();
    m_implementation->accept();
    m_implementation->thread
        = std::thread([implementation = m_implementation.get()] { implementation->context.run(); });
    return m_implementation->port;
}

void PeerTransport::stop()
{
    if (!m_implementation->thread.joinable())
        return;
    m_implementation->context.stop();
    m_implementation->thread.join();
}

void PeerTransport::sendDatagram(const std::string& host, std::uint16_t port, std::string datagram)
{
    asio::post(m_implementation->context, [this, host, port, datagram = std::move(datagram)] {
        asio::error_code ec;
        const auto address = asio::ip::make_address(host, ec);
        if (!ec)
            m_implementation->datagramSocket.send_to(asio::buffer(datagram), Udp::endpoint(address, port), 0, ec);
    });
}

PeerTransport::ConnectionId PeerTransport::connect(const std::string& host, std::uint16_t port)
{
    const ConnectionId id = m_implementation->nextConnectionId++;
    asio::post(m_implementation->context, [this, id, host, port] { m_implementation->connect(id, host, port); });
    return id;
}

void PeerTransport::sendFrame(ConnectionId connection, std::string frame)
{
    asio::post(m_implementation->context, [this, connection, frame = std::move(frame)]() mutable {
        m_implementation->sendFrame(connection, std::move(frame));
    });
}

void PeerTransport::close(ConnectionId connection)
{
    asio::post(m_implementation->context, [this, connection] { m_implementation->close(connection); });
}

void PeerTransport::confirm(ConnectionId connection)
{
    asio::post(m_implementation->context, [this, connection] { m_implementation->confirm(connection); });
}

void PeerTransport::resume(ConnectionId connection)
{
    asio::post(m_implementation->context, [this, connection] { m_implementation->resume(connection); });
}

PeerTransport::Counts PeerTransport::counts() const
{
    return { .refused = m_implementation->refusedConnections, .closed = m_implementation->closedConnections };
}

} // namespace lycheeledge
