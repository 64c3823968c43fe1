// Salted digests of secrets.
#pragma once

#include <string>
#include <string_view>

namespace lycheeledge {

/** @brief SHA-256 of a text, in lower-case hexadecimal. */
std::string sha256OfText(std::string_view text);
/** @brief SHA-256 of salt and secret, in lower-case hexadecimal. */
std::string secretDigest(std::string_view salt, std::string_view secret);
/** @brief Compares two digests in constant time. */
bool digestsEqual(std::string_view a, std::string_view b);

} // namespace lycheeledge
