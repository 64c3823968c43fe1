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
    std::string target; ///< path and query; in client requests, the complete URL
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

/** @brief Result of an HttpClient call. */
struct HttpResult {
    absl::Status status; ///< OK if a complete response was received, regardless of its HTTP status
    bool notSent = false; ///< true only if the request cannot have reached the server
    HttpResponse response; ///< valid if `status` is OK
};

} // namespace lycheeledge
