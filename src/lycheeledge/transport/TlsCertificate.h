// Certificate and key of a TLS server.
#pragma once

#include <absl/status/status.h>
#include <openssl/ssl.h>

#include <memory>
#include <mutex>
#include <string>

namespace lycheeledge {

/** @brief Certificate chain and key read from PEM files, which can be replaced while connections use them. */
class TlsCertificate {
public:
    TlsCertificate(std::string certificatePath, std::string keyPath);

    /**
     * @brief Reads the files; later handshakes use their content. May be called from any thread.
     *
     * Errors: `INVALID_ARGUMENT` if a file cannot be read or the key does not match; the earlier content stays.
     */
    absl::Status load();

    /** @brief Makes the handshakes of `context` use the latest content. This object must outlive the context. */
    void install(SSL_CTX* context);

private:
    static int choose(SSL* connection, int* alert, void* self);

    const std::string m_certificatePath;
    const std::string m_keyPath;
    std::mutex m_mutex;
    std::shared_ptr<SSL_CTX> m_current; // guarded by m_mutex; null until load() has succeeded
};

} // namespace lycheeledge
