// Salted digests of secrets.

#include "SecretDigest.h"

#include <absl/strings/escaping.h>
#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

namespace lycheeledge {

std::string sha256OfText(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    return absl::BytesToHexString({ reinterpret_cast<const char*>(digest.data()), digest.size() });
}

std::string secretDigest(std::string_view salt, std::string_view secret)
{
    // The separator distinguishes pairs of salt and secret that have the same concatenation.
    return sha256OfText(std::string(salt).append(".").append(secret));
}

bool digestsEqual(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace lycheeledge
