// Percent-encoding of URLs.
#pragma once

#include <map>
#include <string>

namespace lycheeledge {

/** @brief Encodes every byte that is not unreserved. */
std::string percentEncode(const std::string& text);

/** @brief Path and query parameters of a request target. */
struct UrlTarget {
    std::string path;
    std::map<std::string, std::string> query;

    bool operator==(const UrlTarget&) const = default;
};

/** @brief Splits and decodes a request target. Of repeated parameters the first counts. */
UrlTarget parseTarget(const std::string& target);

} // namespace lycheeledge
