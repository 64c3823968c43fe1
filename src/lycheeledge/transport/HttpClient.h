// HTTP client on a thread of its own.
#pragma once

#include "Http.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace lycheeledge {

struct HttpClientSettings {
    std::size_t maxWaiting = 16384; ///< calls handed over and not yet started
    /// Once a second, and for each connection that it then closes, curl looks at every idle connection. Clients of
    /// hundreds of hosts keep few connections to each, and keep them long.
    std::size_t maxConnectionsPerHost = 64;
    /// Idle connections are not reused after this time. The default is shorter than the read timeout of our own
    /// servers, which close idle connections, so that a request rarely meets a connection that is just being closed.
    std::chrono::seconds maxIdleTime { 5 };
    std::size_t maxResponseBytes = 64 << 20;
    std::chrono::milliseconds connectTimeout { 1000 };
    std::string caPath; ///< PEM file with the trusted authorities for HTTPS; empty for those of the system

    bool operator==(const HttpClientSettings&) const = default;
};

/** @brief Asynchronous HTTP/1.1 client with kept-alive connections. */
class HttpClient {
public:
    /** @brief Called once, on the client's thread. */
    using Done = std::function<void(HttpResult)>;

    explicit HttpClient(HttpClientSettings settings = {});
    ~HttpClient(); ///< calls in progress end with `CANCELLED`
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /**
     * @brief Sends a request; may be called from any thread.
     *
     * Errors: `UNAVAILABLE` (no connection, or the connection broke), `DEADLINE_EXCEEDED` (timeout),
     * `RESOURCE_EXHAUSTED` (too many waiting calls, or the response is too large), `DATA_LOSS` (short response).
     * `notSent` is set only where the request cannot have been received.
     */
    void send(HttpRequest request, std::chrono::milliseconds timeout, Done done);

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lycheeledge
