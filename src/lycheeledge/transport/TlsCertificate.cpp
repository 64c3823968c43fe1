// Certificate and private key of a TLS server.

#include "TlsCertificate.h"

#include <absl/strings/str_cat.h>
#include <openssl/err.h>

#include <array>
#include <utility>

namespace lycheeledge {

namespace {

    absl::Status lastOpenSslError(const std::string& what)
    {
        std::array<char, 256> text {};
        ERR_error_string_n(ERR_get_error(), text.data(), text.size());
        ERR_clear_error();
        return absl::InvalidArgumentError(absl::StrCat(what, ": ", text.data()));
    }

} // namespace

TlsCertificate::TlsCertificate(std::string certificatePath, std::string keyPath)
    : m_certificatePath(std::move(certificatePath))
    , m_keyPath(std::move(keyPath))
{
}

absl::Status TlsCertificate::load()
{
    const std::shared_ptr<SSL_CTX> context(SSL_CTX_new(TLS_server_method()), &SSL_CTX_free);
    if (!context)
        return lastOpenSslError("TLS context");
    SSL_CTX_set_min_proto_version(context.get(), TLS1_2_VERSION);
    if (SSL_CTX_use_certificate_chain_file(context.get(), m_certificatePath.c_str()) != 1)
        return lastOpenSslError(m_certificatePath);
    if (SSL_CTX_use_PrivateKey_file(context.get(), m_keyPath.c_str(), SSL_FILETYPE_PEM) != 1)
        return lastOpenSslError(m_keyPath);
    if (SSL_CTX_check_private_key(context.get()) != 1)
        return lastOpenSslError(m_keyPath);
    const std::lock_guard lock(m_mutex);
    m_currentContext = context;
    return absl::OkStatus();
}

void TlsCertificate::install(SSL_CTX* context)
{
    SSL_CTX_set_min_proto_version(context, TLS1_2_VERSION);
    // A resumed session keeps the context in which it was created. With session tickets and the session cache disabled,
    // every handshake is a full one and uses the current certificate.
    SSL_CTX_set_session_cache_mode(context, SSL_SESS_CACHE_OFF);
    SSL_CTX_set_options(context, SSL_OP_NO_TICKET);
    SSL_CTX_set_client_hello_cb(context, &TlsCertificate::clientHelloCallback, this);
}

int TlsCertificate::clientHelloCallback(SSL* connection, int* alert, void* self)
{
    auto& certificate = *static_cast<TlsCertificate*>(self);
    const std::lock_guard lock(certificate.m_mutex);
    // SSL_set_SSL_CTX() copies the certificate and the key into the connection.
    if (certificate.m_currentContext && SSL_set_SSL_CTX(connection, certificate.m_currentContext.get()) != nullptr)
        return SSL_CLIENT_HELLO_SUCCESS;
    *alert = SSL_AD_INTERNAL_ERROR;
    return SSL_CLIENT_HELLO_ERROR;
}

} // namespace lycheeledge
