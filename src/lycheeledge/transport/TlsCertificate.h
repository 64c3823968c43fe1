// Certificate and private key of a TLS server.
#pragma once

#include <absl/status/status.h>
#include <openssl/ssl.h>

#include <memory>
#include <mutex>
#include <string>

namespace lycheeledge {

/** @brief Certificate chain and private key from PEM files. They can be replaced while connections are open. */
class TlsCertificate {
public:
    TlsCertificate(std::string certificatePath, std::string keyPath);

    /**
     * @brief Loads the files for use in later handshakes. May be called from any thread.
     *
     * Errors: `INVALID_ARGUMENT` if a file cannot be read or the key does not match; the previous certificate and key
     * stay in use.
     */
    absl::Status load();

    /** @brief Makes handshakes of `context` use the last loaded certificate. This object must outlive the context. */
    void install(SSL_CTX* context);

private:
    static int clientHelloCallback(SSL* connection, int* alert, void* self);

    const std::string m_certificatePath;
    const std::string m_keyPath;
    std::mutex m_mutex;
    std::shared_ptr<SSL_CTX> m_currentContext; // guarded by m_mutex; null until load() succeeds
};

} // namespace lycheeledge
