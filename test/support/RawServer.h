// TCP server that sends prepared bytes, for malformed and broken HTTP.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cstdint>
#include <netinet/in.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace lycheeledge::test {

/** @brief Reads a request header on each connection, sends the prepared bytes and closes the connection. */
class RawServer {
public:
    /** @param answer sent on each connection; nothing is sent if it is empty. */
    explicit RawServer(std::string answer)
        : m_answer(std::move(answer))
        , m_listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t n = sizeof(address);
        if (bind(m_listener, reinterpret_cast<sockaddr*>(&address), n) != 0 || listen(m_listener, 16) != 0
            || getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &n) != 0)
            throw std::runtime_error("cannot listen");
        m_port = ntohs(address.sin_port);
        m_thread = std::thread([this] { run(); });
    }

    ~RawServer()
    {
        shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        close(m_listener);
    }

    RawServer(const RawServer&) = delete;
    RawServer& operator=(const RawServer&) = delete;

    std::uint16_t port() const { return m_port; }
    std::string url() const { return "http://127.0.0.1:" + std::to_string(m_port); }
    /** @brief Connections on which a request arrived. */
    int requests() const { return m_requests; }

private:
    void run()
    {
        for (int connection = accept(m_listener, nullptr, nullptr); connection >= 0;
             connection = accept(m_listener, nullptr, nullptr)) {
            serve(connection);
            close(connection);
        }
    }

    void serve(int connection)
    {
        std::string request;
        char buf[4096];
        while (request.find("\r\n\r\n") == std::string::npos) {
            const auto n = recv(connection, buf, sizeof(buf), 0);
            if (n <= 0)
                return;
            request.append(buf, static_cast<std::size_t>(n));
        }
        ++m_requests;
        send(connection, m_answer.data(), m_answer.size(), MSG_NOSIGNAL);
        // Closing with unread input would reset the connection and could drop the answer.
        shutdown(connection, SHUT_WR);
        while (recv(connection, buf, sizeof(buf), 0) > 0) { }
    }

    std::string m_answer;
    int m_listener;
    std::uint16_t m_port = 0;
    std::atomic<int> m_requests { 0 };
    std::thread m_thread;
};

} // namespace lycheeledge::test
