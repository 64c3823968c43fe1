// HTTP client that runs on its own thread.
#pragma once

#include "Http.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace lycheeledge {

struct HttpClientSettings {
    std::size_t maxWaiting = 16384; ///< limit of queued calls that have not started yet
    /// curl scans all idle connections once a second, and again for each connection that it closes during the scan.
    /// Clients of hundreds of hosts should therefore keep few connections per host, with a long `maxIdleTime`.
    std::size_t maxConnectionsPerHost = 64;
    /// Idle connections are not reused after this time. The default is shorter than the read timeout of HttpServer,
    /// which closes idle connections, so that a request is rarely sent on a connection that the server is closing.
    std::chrono::seconds maxIdleTime { 5 };
    std::size_t maxResponseBytes = 64 << 20;
    std::chrono::milliseconds connectTimeout { 1000 };
    std::string caPath; ///< PEM file with the trusted CA certificates for HTTPS; empty for the system's

    bool operator==(const HttpClientSettings&) const = default;
};

/** @brief Asynchronous HTTP/1.1 client with keep-alive connections. */
class HttpClient {
public:
    /** @brief Called once: on the client's thread, in send() if the call is rejected, or in the client's destructor. */
    using Done = std::function<void(HttpResult)>;

    explicit HttpClient(HttpClientSettings settings = {});
    ~HttpClient(); ///< calls in progress end with `CANCELLED`
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /**
     * @brief Sends a request; may be called from any thread.
     *
     * Errors: `UNAVAILABLE` (no connection, or the connection was lost), `DEADLINE_EXCEEDED` (timeout),
     * `RESOURCE_EXHAUSTED` (too many waiting calls, or the response is too large), `DATA_LOSS` (incomplete response),
     * `CANCELLED` (the client is being destroyed).
     * `notSent` is set only if the server cannot have received the request.
     */
    void send(HttpRequest request, std::chrono::milliseconds timeout, Done done);

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lycheeledge
