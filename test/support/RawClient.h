// TCP client that sends arbitrary bytes to a server on loopback.
#pragma once

#include <arpa/inet.h>
#include <cerrno>
#include <cstdint>
#include <netinet/in.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace lycheeledge::test {

class RawClient {
public:
    explicit RawClient(std::uint16_t port)
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        if (connect(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0)
            throw std::runtime_error("cannot connect");
        // Only bounds a hanging test.
        const timeval patience { 30, 0 };
        setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
    }

    ~RawClient() { close(m_socket); }
    RawClient(const RawClient&) = delete;
    RawClient& operator=(const RawClient&) = delete;

    void send(const std::string& text) const { ::send(m_socket, text.data(), text.size(), MSG_NOSIGNAL); }

    /** @brief Reads until the server closes the connection, or `end` was received. */
    std::string receiveUntil(const std::string& end) const
    {
        std::string input;
        char buf[4096];
        while (end.empty() || input.find(end) == std::string::npos) {
            const auto n = recv(m_socket, buf, sizeof(buf), 0);
            if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
                throw std::runtime_error("the server neither answers nor closes the connection");
            if (n <= 0)
                break;
            input.append(buf, static_cast<std::size_t>(n));
        }
        return input;
    }
    std::string receiveAll() const { return receiveUntil(""); }

    /** @brief Makes the connection end with a reset when it is closed. */
    void resetOnClose() const
    {
        const linger option { 1, 0 };
        setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    }

private:
    int m_socket;
};

} // namespace lycheeledge::test
