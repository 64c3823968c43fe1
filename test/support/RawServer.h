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
#include <vector>

namespace lycheeledge::test {

/** @brief Sends one prepared answer for each request of a connection, then closes the connection. */
class RawServer {
public:
    /**
     * @param answers for the successive requests of a connection, the same for every connection. After the last one,
     * or after the first one that is empty, the connection is closed.
     */
    explicit RawServer(std::vector<std::string> answers)
        : m_answers(std::move(answers))
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
    /** @brief Requests that arrived whole. */
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
        for (const auto& answer : m_answers) {
            if (!readRequest(connection, input))
                return;
            ++m_requests;
            if (answer.empty())
                break;
            send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
        }
        // Closing with unread input would reset the connection and could drop the answer.
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

    /** @brief Reads a request with its body and removes it from `input`. */
    static bool readRequest(int connection, std::string& input)
    {
        const std::string field = "Content-Length: ";
        std::size_t end = std::string::npos;
        while ((end = input.find("\r\n\r\n")) == std::string::npos) {
            if (!readMore(connection, input))
                return false;
        }
        const std::size_t length = input.find(field);
        std::size_t total = end + 4;
        if (length < end)
            total += std::stoul(input.substr(length + field.size()));
        while (input.size() < total) {
            if (!readMore(connection, input))
                return false;
        }
        input.erase(0, total);
        return true;
    }

    std::vector<std::string> m_answers;
    int m_listener;
    std::uint16_t m_port = 0;
    std::atomic<int> m_requests { 0 };
    std::thread m_thread;
};

} // namespace lycheeledge::test
