// HTTP server that runs on its own thread.
#pragma once

#include "ConnectionLedger.h"
#include "Http.h"

#include <absl/status/statusor.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace lycheeledge {

struct HttpServerSettings {
    std::string address = "127.0.0.1"; ///< IP address to listen on
    std::uint16_t port = 0; ///< 0 for any free port
    std::size_t maxBodyBytes = 1 << 20;
    std::size_t maxConnections = 4096;
    /// Memory for requests that are being received or handled, and for unsent responses. At least four times
    /// `maxBodyBytes`.
    std::size_t maxRequestMemoryBytes = 64 << 20;
    /// Time to receive a complete request. Also limits TLS handshakes and the writing of a response.
    std::chrono::milliseconds readTimeout { 10000 };
    std::chrono::milliseconds handleTimeout { 120000 }; ///< time within which the handler must respond
    std::string certificatePath; ///< PEM file with the certificate chain; empty for HTTP without TLS
    std::string keyPath; ///< PEM file with the private key of the certificate

    bool operator==(const HttpServerSettings&) const = default;
};

/** @brief HTTP/1.1 server. */
class HttpServer {
public:
    /** @brief Sends the response. Takes effect once; may be called from any thread, also after the handler returned. */
    using Respond = std::function<void(HttpResponse)>;
    /** @brief Called on the server's thread; must not block. */
    using Handler = std::function<void(HttpRequest, Respond)>;

    HttpServer(HttpServerSettings settings, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /**
     * @brief Binds the socket and starts the thread. @return the port listened on.
     *
     * Errors: `UNAVAILABLE` if the port is in use, `INVALID_ARGUMENT` if the certificate or key cannot be used.
     */
    absl::StatusOr<std::uint16_t> start();
    /**
     * @brief Reloads the certificate and the key for new connections. May be called from any thread.
     *
     * Errors: `INVALID_ARGUMENT` if they cannot be used (the previous ones stay in use), `FAILED_PRECONDITION` without
     * TLS.
     */
    absl::Status reloadCertificate();
    /** @brief Closes each connection after its next response, so that keep-alive clients reconnect to other servers. */
    void closeAfterResponses();
    /** @brief Stops accepting connections; requests in progress continue. */
    void stopAccepting();
    /** @brief Closes all connections and joins the thread. */
    void stop();
    /** @brief Refused and closed connections and requests. May be called from any thread. */
    RefusalCounts refusalCounts() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lycheeledge
