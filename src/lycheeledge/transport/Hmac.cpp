// HMAC and SHA-256 based on OpenSSL.

#include "Hmac.h"

#include <absl/strings/escaping.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

#include <array>

namespace lycheeledge {

namespace {

    const unsigned char* bytes(std::string_view text) { return reinterpret_cast<const unsigned char*>(text.data()); }

} // namespace

std::string hmacSha256(std::string_view secret, std::string_view message)
{
    std::array<unsigned char, hmacLength> tag {};
    unsigned int tagLength = hmacLength;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), bytes(message), message.size(), tag.data(),
        &tagLength);
    return { reinterpret_cast<const char*>(tag.data()), tagLength };
}

bool constantTimeEqual(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string sha256Hex(std::string_view message)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(bytes(message), message.size(), digest.data());
    return absl::BytesToHexString({ reinterpret_cast<const char*>(digest.data()), digest.size() });
}

} // namespace lycheeledge
