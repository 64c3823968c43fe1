// Small HTTP/1.1 server and client on loopback, and the record of a case.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace sim {

using Clock = std::chrono::steady_clock;

inline Clock::time_point began = Clock::now();
inline std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - began).count();
}
inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}
inline void sleepMs(std::int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

inline std::mutex recordMutex;
inline std::FILE* recordFile = nullptr;

/** @brief Writes a line with the time in seconds to the record of the case. */
inline void record(const char* format, ...)
{
    const std::lock_guard lock(recordMutex);
    if (recordFile == nullptr)
        return;
    std::fprintf(recordFile, "%8.3f  ", static_cast<double>(nowMs()) / 1000);
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(recordFile, format, arguments);
    va_end(arguments);
    std::fputc('\n', recordFile);
    std::fflush(recordFile);
}

struct Request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< by lower-case name
    std::string body;
};

struct Response {
    int status = 200;
    std::string body = "{}";
    bool silent = false; ///< no answer at all: the connection stays open and unused until its peer closes it
};

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

/** @brief Reads one message; `buf` keeps bytes of the next one. @return false at the end of the connection. */
inline bool readMessage(int fd, std::string& buf, std::string& head, std::string& body, int timeoutMs)
{
    const auto deadline = Clock::now() + std::chrono::milliseconds(timeoutMs);
    const auto more = [&] {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now()).count();
        pollfd p { fd, POLLIN, 0 };
        if (left <= 0 || poll(&p, 1, static_cast<int>(left)) <= 0)
            return false;
        char chunk[65536];
        const ssize_t n = recv(fd, chunk, sizeof chunk, 0);
        if (n <= 0)
            return false;
        buf.append(chunk, static_cast<std::size_t>(n));
        return true;
    };
    std::size_t end;
    while ((end = buf.find("\r\n\r\n")) == std::string::npos) {
        if (!more())
            return false;
    }
    head = buf.substr(0, end + 2);
    std::string lower = head;
    for (auto& c : lower)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    std::size_t length = 0;
    if (const auto at = lower.find("\r\ncontent-length:"); at != std::string::npos)
        length = std::strtoul(lower.c_str() + at + 17, nullptr, 10);
    while (buf.size() < end + 4 + length) {
        if (!more())
            return false;
    }
    body = buf.substr(end + 4, length);
    buf.erase(0, end + 4 + length);
    return true;
}

inline std::map<std::string, std::string> parseHeaders(const std::string& head)
{
    std::map<std::string, std::string> result;
    std::size_t at = head.find("\r\n");
    while (at != std::string::npos && at + 2 < head.size()) {
        const std::size_t next = head.find("\r\n", at + 2);
        const std::string line = head.substr(at + 2, next - at - 2);
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            std::string name = line.substr(0, colon);
            for (auto& c : name)
                c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
            std::size_t value = colon + 1;
            while (value < line.size() && line[value] == ' ')
                ++value;
            result[name] = line.substr(value);
        }
        at = next;
    }
    return result;
}

inline sockaddr_in addressOf(const std::string& ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/** @brief Serves each connection on a thread of its own. stop() resets all connections, as the end of a process. */
class Server {
public:
    using Handler = std::function<Response(const Request&)>;

    Server(std::string ip, Handler handler)
        : m_ip(std::move(ip))
        , m_handler(std::move(handler))
    {
    }
    ~Server() { stop(); }

    void start()
    {
        const std::lock_guard lock(m_mutex);
        m_listener = socket(AF_INET, SOCK_STREAM, 0);
        const int one = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        sockaddr_in address = addressOf(m_ip, m_port);
        socklen_t n = sizeof address;
        if (bind(m_listener, reinterpret_cast<sockaddr*>(&address), n) != 0 || listen(m_listener, 512) != 0
            || getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &n) != 0)
            throw std::runtime_error("cannot listen on " + m_ip);
        m_port = ntohs(address.sin_port);
        m_running = true;
        m_thread = std::thread([this, listener = m_listener] { accept(listener); });
    }

    void stop()
    {
        {
            const std::lock_guard lock(m_mutex);
            if (!m_running.exchange(false))
                return;
            shutdown(m_listener, SHUT_RDWR);
            ++m_generation;
            for (const int fd : m_connections) {
                const linger reset { 1, 0 };
                setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
                shutdown(fd, SHUT_RDWR);
            }
        }
        m_thread.join();
        close(m_listener);
        while (m_threads > 0)
            sleepMs(1);
    }

    /** @brief All connections of now stay open and carry nothing any more, in both directions. New ones work. */
    void silence() { m_silentUpTo = m_lastConnection.load(); }

    /// Bandwidth of the link of each peer, in Mbit/s; 0: unlimited. All connections of a peer share it.
    std::atomic<double> peerMbps { 0 };

    /** @brief While set, connections are accepted and nothing is read: a machine behind a partition. */
    std::atomic<bool> cut { false };

    std::string address() const { return m_ip + ":" + std::to_string(m_port); }
    int port() const { return m_port; }

private:
    void accept(int listener)
    {
        while (m_running) {
            const int fd = ::accept(listener, nullptr, nullptr);
            if (fd < 0) {
                if (!m_running)
                    return;
                continue;
            }
            const int one = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
            const std::lock_guard lock(m_mutex);
            if (!m_running) {
                close(fd);
                return;
            }
            m_connections.insert(fd);
            ++m_threads;
            std::thread([this, fd, generation = m_generation.load(), number = ++m_lastConnection] {
                serve(fd, generation, number);
            }).detach();
        }
    }

    bool sendAll(int fd, const std::string& text)
    {
        sockaddr_in peer {};
        socklen_t n = sizeof peer;
        getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &n);
        constexpr std::size_t chunk = 4096;
        for (std::size_t at = 0; at < text.size(); at += chunk) {
            const std::size_t bytes = std::min(chunk, text.size() - at);
            if (peerMbps > 0) {
                Clock::time_point due;
                {
                    const std::lock_guard lock(m_linkMutex);
                    auto& free = m_links[peer.sin_addr.s_addr];
                    due = std::max(free, Clock::now());
                    free = due
                        + std::chrono::microseconds(
                            static_cast<std::int64_t>(static_cast<double>(bytes) * 8 / peerMbps));
                }
                std::this_thread::sleep_until(due);
            }
            if (send(fd, text.data() + at, bytes, MSG_NOSIGNAL) != static_cast<ssize_t>(bytes))
                return false;
        }
        return true;
    }

    void serve(int fd, int generation, std::int64_t number)
    {
        std::string buf, head, body;
        while (m_running && generation == m_generation) {
            pollfd p { fd, POLLIN, 0 };
            if (buf.empty() && poll(&p, 1, 20) == 0)
                continue;
            if (cut) {
                sleepMs(5);
                continue;
            }
            if (number <= m_silentUpTo) {
                char lost[4096];
                if (recv(fd, lost, sizeof lost, 0) <= 0)
                    break;
                continue;
            }
            if (!readMessage(fd, buf, head, body, 60000))
                break;
            Request request;
            const auto space = head.find(' ');
            request.method = head.substr(0, space);
            std::string target = head.substr(space + 1, head.find(' ', space + 1) - space - 1);
            request.headers = parseHeaders(head);
            request.body = body;
            if (const auto mark = target.find('?'); mark != std::string::npos) {
                std::string rest = target.substr(mark + 1);
                target.resize(mark);
                while (!rest.empty()) {
                    const auto amp = rest.find('&');
                    const std::string pair = rest.substr(0, amp);
                    const auto equal = pair.find('=');
                    if (equal != std::string::npos)
                        request.query[pair.substr(0, equal)] = percentDecode(pair.substr(equal + 1));
                    rest = amp == std::string::npos ? "" : rest.substr(amp + 1);
                }
            }
            request.path = percentDecode(target);
            const Response response = m_handler(request);
            if (generation != m_generation)
                break;
            if (number <= m_silentUpTo)
                continue;
            if (response.silent) {
                while (m_running && generation == m_generation) {
                    char c;
                    if (poll(&p, 1, 20) > 0 && recv(fd, &c, 1, 0) <= 0)
                        break;
                }
                break;
            }
            while (cut && m_running && generation == m_generation)
                sleepMs(5);
            const std::string text = "HTTP/1.1 " + std::to_string(response.status)
                + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(response.body.size())
                + "\r\n\r\n" + response.body;
            if (!sendAll(fd, text))
                break;
        }
        {
            const std::lock_guard lock(m_mutex);
            m_connections.erase(fd);
        }
        close(fd);
        --m_threads;
    }

    std::string m_ip;
    Handler m_handler;
    std::mutex m_mutex;
    std::set<int> m_connections;
    std::mutex m_linkMutex;
    std::map<std::uint32_t, Clock::time_point> m_links; ///< when the link of a peer is free
    std::atomic<int> m_threads { 0 };
    std::atomic<int> m_generation { 0 };
    std::atomic<std::int64_t> m_lastConnection { 0 };
    std::atomic<std::int64_t> m_silentUpTo { 0 };
    std::atomic<bool> m_running { false };
    int m_listener = -1;
    int m_port = 0;
    std::thread m_thread;
};

struct Answer {
    int status = 0; ///< 0: no response
    std::string body;
};

/** @brief One call on a connection of its own. */
inline Answer call(const std::string& ip, int port, const std::string& method, const std::string& path,
    const std::map<std::string, std::string>& headers, const std::string& body, int timeoutMs)
{
    Answer answer;
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = addressOf(ip, port);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
        std::string text = method + " " + path + " HTTP/1.1\r\n";
        for (const auto& [name, value] : headers)
            text += name + ": " + value + "\r\n";
        text += "Content-Type: application/json\r\nX-Deadline-Ms: " + std::to_string(timeoutMs)
            + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        std::string buf, head, received;
        if (send(fd, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size())
            && readMessage(fd, buf, head, received, timeoutMs)) {
            answer.status = std::atoi(head.c_str() + 9);
            answer.body = received;
        }
    }
    close(fd);
    return answer;
}

} // namespace sim
