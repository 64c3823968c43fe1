// Many connections to one port of a server on loopback, each of which sends prepared bytes and stays open.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <fcntl.h>
#include <functional>
#include <memory>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace lycheeledge::test {

/** @brief Clients that never read, unless `reads` is set, and that the server may refuse or close at any time. */
class Crowd {
public:
    struct Shape {
        std::uint16_t port = 0;
        std::size_t size = 0; ///< number of connections
        std::size_t pieceBytes = 1 << 20; ///< longest write; the connections take turns after each
        bool reads = false; ///< whether a connection discards one KiB of what the server sends at each turn
    };

    using Text = std::shared_ptr<const std::string>;

    /** @param text what the connection with the given number sends; may be shared. */
    Crowd(const Shape& shape, const std::function<Text(std::size_t)>& text)
        : m_shape(shape)
    {
        // The default limit of open files is below the size of the larger crowds.
        rlimit limit {};
        getrlimit(RLIMIT_NOFILE, &limit);
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
        for (std::size_t n = 0; n < shape.size; ++n)
            m_members.push_back({ connectTo(shape.port), text(n) });
    }

    ~Crowd()
    {
        for (const auto& it : m_members) {
            if (it.socket >= 0)
                close(it.socket);
        }
    }
    Crowd(const Crowd&) = delete;
    Crowd& operator=(const Crowd&) = delete;

    /** @brief Sends until all has been sent or the server has taken nothing for a second. `observe` is called often. */
    void send(const std::function<void()>& observe)
    {
        using Clock = std::chrono::steady_clock;
        for (auto progressAt = Clock::now(); Clock::now() - progressAt < std::chrono::seconds(1);) {
            std::size_t sent = 0;
            std::size_t unfinished = 0;
            for (auto& it : m_members) {
                sent += sendPiece(it);
                unfinished += it.socket >= 0 && it.sent < it.text->size() ? 1 : 0;
            }
            observe();
            if (sent > 0)
                progressAt = Clock::now();
            if (unfinished == 0)
                break;
            if (sent == 0)
                poll(nullptr, 0, 10);
        }
    }

    /** @brief Bytes that all connections together have handed to the kernel. */
    std::size_t sentBytes() const
    {
        std::size_t n = 0;
        for (const auto& it : m_members)
            n += it.sent;
        return n;
    }

private:
    struct Member {
        int socket = -1;
        Text text;
        std::size_t sent = 0;
    };

    static int connectTo(std::uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        const int result = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (connect(result, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0 || errno == EINPROGRESS)
            return result;
        close(result);
        return -1;
    }

    std::size_t sendPiece(Member& it) const
    {
        if (it.socket < 0)
            return 0;
        char buf[1024];
        if (m_shape.reads)
            recv(it.socket, buf, sizeof(buf), 0);
        const std::size_t size = std::min(it.text->size() - it.sent, m_shape.pieceBytes);
        if (size == 0)
            return 0;
        const auto n = ::send(it.socket, it.text->data() + it.sent, size, MSG_NOSIGNAL);
        if (n >= 0) {
            it.sent += static_cast<std::size_t>(n);
            return static_cast<std::size_t>(n);
        }
        if (errno != EAGAIN && errno != ENOTCONN) {
            close(it.socket);
            it.socket = -1;
        }
        return 0;
    }

    Shape m_shape;
    std::vector<Member> m_members;
};

} // namespace lycheeledge::test
