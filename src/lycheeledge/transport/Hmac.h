// HMAC and SHA-256.
#pragma once

#include <string>
#include <string_view>

namespace lycheeledge {

/** @brief Length of an HMAC-SHA-256 tag, in bytes. */
constexpr std::size_t hmacLength = 32;

/** @brief HMAC-SHA-256 of `message`. @return the tag, `hmacLength` bytes. */
std::string hmacSha256(std::string_view secret, std::string_view message);

/** @brief Compares two byte strings in time that depends only on their lengths. */
bool constantTimeEqual(std::string_view a, std::string_view b);

/** @brief SHA-256 digest in lower-case hexadecimal. */
std::string sha256Hex(std::string_view message);

} // namespace lycheeledge
