// Percent-encoding, parsing and checks of URLs and their parts.
#pragma once

#include <map>
#include <string>
#include <string_view>

namespace lycheeledge {

/** @brief Percent-encodes every byte except the unreserved characters of RFC 3986. */
std::string percentEncode(const std::string& text);

/** @brief Path and query parameters of a request target. */
struct UrlTarget {
    std::string path;
    std::map<std::string, std::string> query;

    bool operator==(const UrlTarget&) const = default;
};

/** @brief Splits and decodes a request target. If a parameter is repeated, the first value is used. */
UrlTarget parseTarget(const std::string& target);

/** @brief Whether a text is an IP address or may be a host name: letters, digits, `-`, `_` and `.`. */
bool isHost(std::string_view text);
/** @brief Whether a text is an IPv4 address or an IPv6 address in brackets, a colon, and a port from 1 to 65535. */
bool isIpEndpoint(std::string_view text);
/** @brief Whether a header field can have this value: not empty, and without control characters. */
bool isHeaderValue(std::string_view text);

} // namespace lycheeledge
