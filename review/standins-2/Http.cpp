// Small blocking HTTP/1.1 server and client on loopback addresses, one thread for each connection.

#include "Http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace standins {

namespace {

    using Clock = std::chrono::steady_clock;

    sockaddr_in addressOf(const std::string& ip, std::uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        return address;
    }

    bool sendAll(int channel, const std::string& text)
    {
        std::size_t sent = 0;
        while (sent < text.size()) {
            const ssize_t n = send(channel, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }

    /** @brief Reads more bytes; false at the end of the channel or of the time. */
    bool readMore(int channel, std::string& buf, Clock::time_point end)
    {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - Clock::now()).count();
        pollfd it { channel, POLLIN, 0 };
        if (left < 0 || ::poll(&it, 1, static_cast<int>(std::min<long>(left, 1000000))) <= 0)
            return false;
        char bytes[16384];
        const ssize_t n = recv(channel, bytes, sizeof bytes, 0);
        if (n <= 0)
            return false;
        buf.append(bytes, static_cast<std::size_t>(n));
        return true;
    }

    /** @brief Reads a message into its first line, header fields and body, and leaves what follows in `buf`. */
    bool readMessage(int channel, std::string& buf, Clock::time_point end, std::string& first,
        std::map<std::string, std::string>& headers, std::string& body)
    {
        std::size_t head = 0;
        while ((head = buf.find("\r\n\r\n")) == std::string::npos) {
            if (!readMore(channel, buf, end))
                return false;
        }
        std::size_t at = buf.find("\r\n");
        first = buf.substr(0, at);
        while (at < head) {
            const std::size_t begin = at + 2;
            at = buf.find("\r\n", begin);
            const std::string line = buf.substr(begin, at - begin);
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            std::string name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
            headers[name] = line.substr(std::min(line.size(), line.find_first_not_of(' ', colon + 1)));
        }
        const std::size_t length = headers.contains("content-length") ? std::stoul(headers["content-length"]) : 0;
        while (buf.size() < head + 4 + length) {
            if (!readMore(channel, buf, end))
                return false;
        }
        body = buf.substr(head + 4, length);
        buf.erase(0, head + 4 + length);
        return true;
    }

} // namespace

std::string queryField(const std::string& target, const std::string& name)
{
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
        const std::size_t end = target.find('&', at + 1);
        const std::string field = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        if (field.starts_with(name + "=")) {
            std::string value;
            for (std::size_t i = name.size() + 1; i < field.size(); ++i) {
                if (field[i] == '%' && i + 2 < field.size()) {
                    value += static_cast<char>(std::stoi(field.substr(i + 1, 2), nullptr, 16));
                    i += 2;
                } else
                    value += field[i];
            }
            return value;
        }
        at = end;
    }
    return {};
}

bool Server::listenOn(const std::string& ip, std::uint16_t port)
{
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    sockaddr_in address = addressOf(ip, m_port != 0 ? m_port : port);
    if (bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || listen(listener, 256) != 0) {
        ::close(listener);
        return false;
    }
    socklen_t size = sizeof address;
    getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    {
        const std::lock_guard lock(m_mutex);
        m_listener = listener;
    }
    std::thread([this, listener, ip] { accept(listener, ip); }).detach();
    return true;
}

void Server::close()
{
    const std::lock_guard lock(m_mutex);
    if (m_listener >= 0)
        shutdown(m_listener, SHUT_RDWR);
    m_listener = -1;
    for (const int channel : m_channels) {
        const linger reset { 1, 0 };
        setsockopt(channel, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        shutdown(channel, SHUT_RDWR);
    }
}

void Server::accept(int listener, const std::string& /*ip*/)
{
    while (true) {
        const int channel = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        const std::lock_guard lock(m_mutex);
        if (m_listener != listener) {
            if (channel >= 0)
                ::close(channel);
            ::close(listener);
            return;
        }
        if (channel < 0)
            continue;
        const int yes = 1;
        setsockopt(channel, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
        m_channels.insert(channel);
        std::thread([this, channel] { serve(channel); }).detach();
    }
}

void Server::serve(int channel)
{
    std::string buf;
    bool silent = false;
    while (true) {
        Request request;
        std::string first;
        if (!readMessage(channel, buf, Clock::now() + std::chrono::hours(1), first, request.headers, request.body))
            break;
        if (silent)
            continue;
        const std::size_t a = first.find(' ');
        const std::size_t b = first.find(' ', a + 1);
        request.method = first.substr(0, a);
        request.target = first.substr(a + 1, b - a - 1);
        const auto response = m_handler(request);
        if (!response) {
            silent = true; // a channel on which a response is lost returns nothing further
            continue;
        }
        std::string text = "HTTP/1.1 " + std::to_string(response->status)
            + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(response->body.size())
            + "\r\n\r\n" + response->body;
        if (!sendAll(channel, text))
            break;
    }
    const std::lock_guard lock(m_mutex);
    m_channels.erase(channel);
    ::close(channel);
}

Channel::Channel(const std::string& ip, std::uint16_t port)
    : m_channel(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const sockaddr_in address = addressOf(ip, port);
    if (connect(m_channel, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        ::close(m_channel);
        m_channel = -1;
    }
}

Channel::~Channel()
{
    if (m_channel >= 0)
        ::close(m_channel);
}

Response Channel::call(const Request& request, int limitMs)
{
    const auto end = Clock::now() + std::chrono::milliseconds(limitMs);
    Response result;
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : request.headers)
        text.append(name).append(": ").append(value).append("\r\n");
    if (request.method != "GET")
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    text += "\r\n" + request.body;
    std::string first;
    if (m_channel >= 0 && sendAll(m_channel, text)
        && readMessage(m_channel, m_received, end, first, result.headers, result.body))
        result.status = std::atoi(first.substr(first.find(' ') + 1).c_str());
    return result;
}

Response call(const std::string& ip, std::uint16_t port, const Request& request, int limitMs)
{
    return Channel(ip, port).call(request, limitMs);
}

bool isFree(const std::string& ip, std::uint16_t port)
{
    const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    setsockopt(probe, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    const sockaddr_in address = addressOf(ip, port);
    const bool free = bind(probe, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    ::close(probe);
    return free;
}

} // namespace standins
