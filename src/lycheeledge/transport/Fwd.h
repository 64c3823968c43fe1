// Forward declarations of the transport layer.
#pragma once

namespace lycheeledge {

class CurlReactor;
class HttpClient;
class HttpServer;
class PeerTransport;
class TlsCertificate;
struct HttpClientSettings;
struct HttpRequest;
struct HttpResponse;
struct HttpResult;
struct HttpServerSettings;
struct PeerTransportSettings;
struct UrlTarget;

} // namespace lycheeledge
