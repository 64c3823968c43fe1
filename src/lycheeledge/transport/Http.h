// HTTP requests and responses.
#pragma once

#include <absl/status/status.h>

#include <functional>
#include <map>
#include <string>

namespace lycheeledge {

/** @brief Header fields by lower-case name. */
using HttpHeaders = std::map<std::string, std::string>;

struct HttpRequest {
    std::string method = "GET";
    std::string target; ///< path and query; for the client a whole URL
    HttpHeaders headers;
    std::string body;

    bool operator==(const HttpRequest&) const = default;
};

struct HttpResponse {
    int status = 200;
    HttpHeaders headers;
    std::string body;

    bool operator==(const HttpResponse&) const = default;
};

/** @brief Result of a call by the client. */
struct HttpResult {
    absl::Status status; ///< OK if a whole response arrived, whatever its HTTP status
    bool notSent = false; ///< the request certainly did not reach the server
    HttpResponse response; ///< valid if `status` is OK
};

} // namespace lycheeledge
