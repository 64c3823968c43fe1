// Blocking HTTP/1.1 server and client for the stand-ins: one thread for each connection.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

struct Request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
};

struct Response {
    int status = 200;
    std::string body;
    bool lost = false; ///< the connection ends without a response
};

namespace detail {

    inline std::string percentDecode(const std::string& text)
    {
        std::string result;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else
                result += text[i];
        }
        return result;
    }

    inline sockaddr_in socketAddress(const std::string& host, int port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, host.c_str(), &address.sin_addr);
        return address;
    }

    inline bool sendAll(int fd, const std::string& text)
    {
        std::size_t sent = 0;
        while (sent < text.size()) {
            const auto n = send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }

    /** @brief Reads one message, of which `buf` may hold the beginning. @return false at the end of the connection. */
    inline bool readMessage(int fd, std::string& buf, std::string& head, std::string& body, Clock::time_point deadline)
    {
        const auto fill = [&] {
            pollfd entry { fd, POLLIN, 0 };
            const auto left = std::chrono::duration_cast<Milliseconds>(deadline - Clock::now()).count();
            if (left <= 0 || poll(&entry, 1, static_cast<int>(std::min<long>(left, 3600000))) <= 0)
                return false;
            char chunk[16384];
            const auto n = recv(fd, chunk, sizeof(chunk), 0);
            if (n <= 0)
                return false;
            buf.append(chunk, static_cast<std::size_t>(n));
            return true;
        };
        std::size_t end = 0;
        while ((end = buf.find("\r\n\r\n")) == std::string::npos) {
            if (!fill())
                return false;
        }
        head = buf.substr(0, end + 2);
        buf.erase(0, end + 4);
        std::size_t length = 0;
        std::string lower = head;
        std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) { return std::tolower(c); });
        if (const auto at = lower.find("\r\ncontent-length:"); at != std::string::npos)
            length = static_cast<std::size_t>(std::atoll(lower.c_str() + at + 17));
        while (buf.size() < length) {
            if (!fill())
                return false;
        }
        body = buf.substr(0, length);
        buf.erase(0, length);
        return true;
    }

    inline Request parseRequest(const std::string& head, std::string body)
    {
        Request request;
        request.body = std::move(body);
        const auto lineEnd = head.find("\r\n");
        const std::string line = head.substr(0, lineEnd);
        const auto first = line.find(' ');
        const auto second = line.find(' ', first + 1);
        request.method = line.substr(0, first);
        std::string target = line.substr(first + 1, second - first - 1);
        const auto mark = target.find('?');
        request.path = target.substr(0, mark);
        if (mark != std::string::npos) {
            std::string query = target.substr(mark + 1) + "&";
            for (std::size_t at = 0, end = 0; (end = query.find('&', at)) != std::string::npos; at = end + 1) {
                const std::string part = query.substr(at, end - at);
                const auto equals = part.find('=');
                if (equals != std::string::npos)
                    request.query[part.substr(0, equals)] = percentDecode(part.substr(equals + 1));
            }
        }
        for (std::size_t at = lineEnd + 2, end = 0; (end = head.find("\r\n", at)) != std::string::npos; at = end + 2) {
            const std::string field = head.substr(at, end - at);
            const auto colon = field.find(':');
            if (colon == std::string::npos)
                continue;
            std::string name = field.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
            const auto begin = field.find_first_not_of(' ', colon + 1);
            request.headers[name] = begin == std::string::npos ? std::string() : field.substr(begin);
        }
        return request;
    }

} // namespace detail

/** @brief Server that can go down, which resets its connections, and come up again at the same port. */
class Server {
public:
    using Handler = std::function<Response(const Request&)>;

    Server(std::string host, Handler handler)
        : m_host(std::move(host))
        , m_handler(std::move(handler))
    {
    }
    ~Server() { down(); }
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    void up()
    {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        auto address = detail::socketAddress(m_host, m_port);
        if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 || listen(fd, 128) != 0)
            throw std::runtime_error("cannot listen on " + m_host);
        socklen_t size = sizeof(address);
        getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
        m_port = ntohs(address.sin_port);
        m_listener = fd;
        m_up = true;
        m_acceptor = std::thread([this, fd] { accept(fd); });
    }

    /** @brief The process ends: its connections are reset. */
    void down()
    {
        closeListener();
        {
            const std::lock_guard lock(m_mutex);
            for (const int fd : m_connections)
                reset(fd);
        }
        while (m_threads > 0)
            std::this_thread::sleep_for(Milliseconds(1));
    }
    /** @brief The machine loses power: open connections fall silent, and are reset by data that comes after up(). */
    void losePower() { closeListener(); }

    std::string address() const { return m_host + ":" + std::to_string(m_port); }
    bool isUp() const { return m_up; }

private:
    static void reset(int fd)
    {
        const linger abort { 1, 0 };
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
        shutdown(fd, SHUT_RDWR);
    }

    void closeListener()
    {
        ++m_life;
        if (!m_up.exchange(false))
            return;
        shutdown(m_listener, SHUT_RDWR);
        m_acceptor.join();
        close(m_listener);
    }

    void accept(int listener)
    {
        while (m_up) {
            const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            {
                const std::lock_guard lock(m_mutex);
                m_connections.insert(fd);
            }
            ++m_threads;
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }

    void serve(int fd)
    {
        std::string buf;
        std::string head;
        std::string body;
        const int life = m_life;
        while (detail::readMessage(fd, buf, head, body, Clock::now() + std::chrono::hours(1))) {
            if (life != m_life) {
                reset(fd);
                break;
            }
            const Response response = m_handler(detail::parseRequest(head, body));
            if (life != m_life)
                continue; // the machine that was asked is gone
            if (response.lost
                || !detail::sendAll(fd,
                    "HTTP/1.1 " + std::to_string(response.status)
                        + " X\r\nContent-Type: application/json\r\nContent-Length: "
                        + std::to_string(response.body.size()) + "\r\n\r\n" + response.body))
                break;
        }
        {
            const std::lock_guard lock(m_mutex);
            m_connections.erase(fd);
        }
        close(fd);
        --m_threads;
    }

    std::string m_host;
    Handler m_handler;
    int m_port = 0;
    int m_listener = -1;
    std::atomic<bool> m_up { false };
    std::atomic<int> m_life { 0 }; ///< rises when the process or the machine ends
    std::atomic<int> m_threads { 0 };
    std::mutex m_mutex;
    std::set<int> m_connections;
    std::thread m_acceptor;
};

/** @brief Sends one request on a new connection. @return nothing if no complete response came in time. */
inline std::optional<Response> call(const std::string& host, int port, const std::string& method,
    const std::string& path, const std::string& fields, const std::string& body, Milliseconds timeout)
{
    const auto deadline = Clock::now() + timeout;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit { timeout.count() / 1000, (timeout.count() % 1000) * 1000 };
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    const auto address = detail::socketAddress(host, port);
    std::optional<Response> result;
    std::string buf;
    std::string head;
    Response response;
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0
        && detail::sendAll(fd,
            method + " " + path + " HTTP/1.1\r\n" + fields + "Content-Type: application/json\r\nContent-Length: "
                + std::to_string(body.size()) + "\r\n\r\n" + body)
        && detail::readMessage(fd, buf, head, response.body, deadline) && head.size() > 12) {
        response.status = std::atoi(head.c_str() + 9);
        result = response;
    }
    close(fd);
    return result;
}

} // namespace review
