// TCP server on loopback that sends prepared bytes, to test malformed and truncated HTTP responses.
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
#include <vector>

namespace lycheeledge::test {

/** @brief Sends one prepared response to each request of a connection, then closes the connection. */
class RawServer {
public:
    /**
     * @param responses to the successive requests of each connection. The connection is closed after the last response;
     * a request whose response is empty is not answered, and the connection is closed.
     * @param endsWithUnanswered whether the server ends as a killed process does when it has read a request whose
     * response is empty: it resets the connection, and refuses new ones.
     */
    explicit RawServer(std::vector<std::string> responses, bool endsWithUnanswered = false)
        : m_responses(std::move(responses))
        , m_endsWithUnanswered(endsWithUnanswered)
        , m_listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t n = sizeof(address);
        if (bind(m_listener, reinterpret_cast<sockaddr*>(&address), n) != 0 || listen(m_listener, 16) != 0
            || getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &n) != 0)
            throw std::runtime_error("cannot listen on loopback");
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
    /** @brief Number of requests that were received completely, with their bodies. */
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
        std::string input;
        for (const auto& response : m_responses) {
            if (!readRequest(connection, input))
                return;
            ++m_requests;
            if (response.empty() && m_endsWithUnanswered) {
                shutdown(m_listener, SHUT_RDWR);
                const linger reset { 1, 0 };
                setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
                return;
            }
            if (response.empty())
                break;
            send(connection, response.data(), response.size(), MSG_NOSIGNAL);
        }
        // Closing with unread input would reset the connection and could discard the response.
        shutdown(connection, SHUT_WR);
        while (readMore(connection, input)) { }
    }

    static bool readMore(int connection, std::string& input)
    {
        char buf[4096];
        const auto n = recv(connection, buf, sizeof(buf), 0);
        if (n > 0)
            input.append(buf, static_cast<std::size_t>(n));
        return n > 0;
    }

    /** @brief Reads one request with its body and removes it from `input`. @return false if the connection ended. */
    static bool readRequest(int connection, std::string& input)
    {
        const std::string fieldName = "Content-Length: ";
        std::size_t headerEnd = std::string::npos;
        while ((headerEnd = input.find("\r\n\r\n")) == std::string::npos) {
            if (!readMore(connection, input))
                return false;
        }
        const std::size_t fieldPosition = input.find(fieldName);
        std::size_t requestSize = headerEnd + 4;
        if (fieldPosition < headerEnd)
            requestSize += std::stoul(input.substr(fieldPosition + fieldName.size()));
        while (input.size() < requestSize) {
            if (!readMore(connection, input))
                return false;
        }
        input.erase(0, requestSize);
        return true;
    }

    std::vector<std::string> m_responses;
    bool m_endsWithUnanswered;
    int m_listener;
    std::uint16_t m_port = 0;
    std::atomic<int> m_requests { 0 };
    std::thread m_thread;
};

} // namespace lycheeledge::test
