// Percent-encoding, parsing and checks of URLs and their parts.

#include "Url.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>
#include <absl/strings/string_view.h>
#include <curl/curl.h>

#include <algorithm>
#include <arpa/inet.h>
#include <memory>
#include <utility>

namespace lycheeledge {

namespace {

    struct CurlDeleter {
        void operator()(char* text) const { curl_free(text); }
    };

    constexpr std::size_t maxHostLength = 253; // of a host name in DNS, in bytes

    bool isIp(std::string_view text, int family)
    {
        in6_addr address {}; // large enough for both families
        return text.find('\0') == std::string_view::npos && inet_pton(family, std::string(text).c_str(), &address) == 1;
    }

    bool isPort(std::string_view text)
    {
        constexpr std::size_t maxDigits = 5;
        constexpr int maxPort = 65535;
        if (text.empty() || text.size() > maxDigits)
            return false;
        int port = 0;
        for (const char c : text) {
            if (!absl::ascii_isdigit(static_cast<unsigned char>(c)))
                return false;
            port = 10 * port + (c - '0');
        }
        return port > 0 && port <= maxPort;
    }

    std::string percentDecode(absl::string_view text)
    {
        // curl treats a length of 0 as "null-terminated" and would read past the end of the view.
        if (text.empty())
            return {};
        int decodedLength = 0;
        const std::unique_ptr<char, CurlDeleter> decoded(
            curl_easy_unescape(nullptr, text.data(), static_cast<int>(text.size()), &decodedLength));
        return decoded ? std::string(decoded.get(), static_cast<std::size_t>(decodedLength)) : std::string();
    }

} // namespace

std::string percentEncode(const std::string& text)
{
    if (text.empty())
        return {};
    const std::unique_ptr<char, CurlDeleter> encoded(
        curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size())));
    return encoded ? std::string(encoded.get()) : std::string();
}

UrlTarget parseTarget(const std::string& target)
{
    const std::pair<absl::string_view, absl::string_view> parts = absl::StrSplit(target, absl::MaxSplits('?', 1));
    UrlTarget result;
    result.path = percentDecode(parts.first);
    for (const absl::string_view parameter : absl::StrSplit(parts.second, '&', absl::SkipEmpty())) {
        const std::pair<absl::string_view, absl::string_view> pair = absl::StrSplit(parameter, absl::MaxSplits('=', 1));
        result.query.emplace(percentDecode(pair.first), percentDecode(pair.second));
    }
    return result;
}

bool isHost(std::string_view text)
{
    const auto isNameCharacter
        = [](char c) { return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.'; };
    if (text.empty() || text.size() > maxHostLength)
        return false;
    return std::all_of(text.begin(), text.end(), isNameCharacter) || isIp(text, AF_INET6);
}

bool isIpEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || !isPort(text.substr(colon + 1)))
        return false;
    const std::string_view host = text.substr(0, colon);
    if (host.starts_with('[') && host.ends_with(']'))
        return isIp(host.substr(1, host.size() - 2), AF_INET6);
    return isIp(host, AF_INET);
}

bool isHeaderValue(std::string_view text)
{
    return !text.empty() && std::none_of(text.begin(), text.end(), [](char c) {
        return absl::ascii_iscntrl(static_cast<unsigned char>(c));
    });
}

} // namespace lycheeledge
