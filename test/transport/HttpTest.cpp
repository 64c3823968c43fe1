// Tests of the HTTP server and client over loopback.

#include "support/Awaiter.h"
#include "support/RawClient.h"
#include "support/RawServer.h"

#include <lycheeledge/transport/HttpClient.h>
#include <lycheeledge/transport/HttpServer.h>
#include <lycheeledge/transport/Url.h>

#include <catch2/catch.hpp>

#include <mutex>
#include <set>
#include <string>
#include <vector>

using namespace lycheeledge;
using namespace lycheeledge::test;
using namespace std::chrono_literals;

namespace {

HttpRequest makeRequest(std::string url, std::string body = "")
{
    HttpRequest request;
    request.method = body.empty() ? "GET" : "POST";
    request.target = std::move(url);
    request.body = std::move(body);
    return request;
}

std::string url(std::uint16_t port, const std::string& path = "/")
{
    return "http://127.0.0.1:" + std::to_string(port) + path;
}

HttpResult call(HttpClient& client, HttpRequest request, std::chrono::milliseconds timeout = 20s)
{
    Awaiter<HttpResult> results;
    client.send(std::move(request), timeout, [&results](HttpResult result) { results.put(std::move(result)); });
    return results.take();
}

HttpResult callRaw(const std::string& response)
{
    RawServer server({ response });
    HttpClient client;
    return call(client, makeRequest(server.url() + "/", "body"));
}

HttpServer::Handler echo()
{
    return [](HttpRequest request, const HttpServer::Respond& respond) {
        HttpResponse response;
        response.headers["x-method"] = request.method;
        response.headers["x-target"] = request.target;
        response.headers["x-field"] = request.headers["x-field"];
        response.body = std::move(request.body);
        respond(std::move(response));
    };
}

} // namespace

TEST_CASE("A request and its response keep method, target, fields and body", "[http]")
{
    HttpServer server({}, echo());
    const auto port = server.start();
    REQUIRE(port.ok());
    HttpClient client;
    std::string body(300000, '\0');
    for (std::size_t n = 0; n < body.size(); ++n)
        body[n] = static_cast<char>(n * 7);
    HttpRequest request = makeRequest(url(*port, "/a/b?c=d"), body);
    request.headers["x-field"] = "value";
    const HttpResult result = call(client, request);
    REQUIRE(result.status.ok());
    CHECK(result.response.status == 200);
    CHECK(result.response.headers.at("x-method") == "POST");
    CHECK(result.response.headers.at("x-target") == "/a/b?c=d");
    CHECK(result.response.headers.at("x-field") == "value");
    CHECK(result.response.body == body);
}

TEST_CASE("Responses may be sent later, from another thread and in any order", "[http]")
{
    std::mutex mutex;
    std::vector<HttpServer::Respond> waiting;
    HttpServer server({}, [&](const HttpRequest&, const HttpServer::Respond& respond) {
        const std::lock_guard lock(mutex);
        waiting.push_back(respond);
    });
    const auto port = server.start();
    REQUIRE(port.ok());
    HttpClient client;
    constexpr std::size_t count = 40;
    Awaiter<HttpResult> results;
    for (std::size_t n = 0; n < count; ++n)
        client.send(makeRequest(url(*port)), 20s, [&results](HttpResult result) { results.put(std::move(result)); });
    const auto end = std::chrono::steady_clock::now() + testTimeout;
    for (bool complete = false; !complete && std::chrono::steady_clock::now() < end; std::this_thread::sleep_for(1ms)) {
        const std::lock_guard lock(mutex);
        complete = waiting.size() == count;
    }
    REQUIRE(waiting.size() == count);
    for (std::size_t n = count; n-- > 0;)
        waiting[n]({ 200, {}, std::to_string(n) });
    std::set<std::string> bodies;
    for (std::size_t n = 0; n < count; ++n)
        bodies.insert(results.take().response.body);
    CHECK(bodies.size() == count);
}

TEST_CASE("A second response to one request is ignored", "[http]")
{
    HttpServer server({}, [](const HttpRequest&, const HttpServer::Respond& respond) {
        respond({ 200, {}, "first" });
        respond({ 200, {}, "second" });
    });
    const auto port = server.start();
    REQUIRE(port.ok());
    HttpClient client;
    CHECK(call(client, makeRequest(url(*port))).response.body == "first");
    CHECK(call(client, makeRequest(url(*port))).response.body == "first");
}

TEST_CASE("A request is answered with status 500 if its handler throws or does not respond", "[http]")
{
    HttpServer server({}, [](const HttpRequest& request, const HttpServer::Respond&) {
        if (request.target == "/throw")
            throw std::runtime_error("handler failure");
    });
    const auto port = server.start();
    REQUIRE(port.ok());
    HttpClient client;
    CHECK(call(client, makeRequest(url(*port, "/drop"))).response.status == 500);
    CHECK(call(client, makeRequest(url(*port, "/throw"))).response.status == 500);
}

TEST_CASE("A request body that exceeds the server's limit is rejected", "[http]")
{
    HttpServerSettings settings;
    settings.maxBodyBytes = 1000;
    HttpServer server(settings, echo());
    const auto port = server.start();
    REQUIRE(port.ok());
    HttpClient client;
    CHECK(call(client, makeRequest(url(*port), std::string(1000, 'x'))).response.status == 200);
    CHECK(call(client, makeRequest(url(*port), std::string(1001, 'x'))).response.status == 413);
    const HttpResult result = call(client, makeRequest(url(*port), std::string(8 << 20, 'x')));
    CHECK((!result.status.ok() || result.response.status == 413));
    CHECK_FALSE(result.notSent);
}

TEST_CASE("A response that exceeds the client's limit is rejected", "[http]")
{
    HttpServer server({}, [](const HttpRequest&, const HttpServer::Respond& respond) {
        respond({ 200, {}, std::string(1001, 'x') });
    });
    const auto port = server.start();
    REQUIRE(port.ok());
    HttpClientSettings settings;
    settings.maxResponseBytes = 1000;
    HttpClient client(settings);
    const HttpResult result = call(client, makeRequest(url(*port)));
    CHECK(absl::IsResourceExhausted(result.status));
    CHECK_FALSE(result.notSent);
}

TEST_CASE("A refused connection is reported as not sent", "[http]")
{
    std::uint16_t port = 0;
    {
        RawServer server({});
        port = server.port();
    }
    HttpClient client;
    const HttpResult result = call(client, makeRequest(url(port), "body"));
    CHECK(absl::IsUnavailable(result.status));
    CHECK(result.notSent);
}

TEST_CASE("A missing response is reported as a timeout and not as not sent", "[http]")
{
    std::vector<HttpServer::Respond> waiting;
    HttpServer server(
        {}, [&waiting](const HttpRequest&, const HttpServer::Respond& respond) { waiting.push_back(respond); });
    const auto port = server.start();
    REQUIRE(port.ok());
    HttpClient client;
    const HttpResult result = call(client, makeRequest(url(*port), "body"), 100ms);
    CHECK(absl::IsDeadlineExceeded(result.status));
    CHECK_FALSE(result.notSent);
    server.stop();
}

TEST_CASE("A timeout while the connection is being opened is reported as not sent", "[http]")
{
    // A listener whose accept queue is full does not answer further connection attempts.
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t n = sizeof(address);
    REQUIRE(bind(listener, reinterpret_cast<sockaddr*>(&address), n) == 0);
    REQUIRE(listen(listener, 0) == 0);
    REQUIRE(getsockname(listener, reinterpret_cast<sockaddr*>(&address), &n) == 0);
    const std::uint16_t port = ntohs(address.sin_port);
    const RawClient filler(port);
    HttpClientSettings settings;
    settings.connectTimeout = 300ms;
    HttpClient client(settings);
    const HttpResult result = call(client, makeRequest(url(port), "body"));
    close(listener);
    CHECK(absl::IsDeadlineExceeded(result.status));
    CHECK(result.notSent);
}

TEST_CASE("A call beyond the limit of waiting calls is rejected as not sent", "[http]")
{
    HttpClientSettings settings;
    settings.maxWaiting = 0;
    HttpClient client(settings);
    const HttpResult result = call(client, makeRequest("http://127.0.0.1:1/"));
    CHECK(absl::IsResourceExhausted(result.status));
    CHECK(result.notSent);
}

TEST_CASE("A URL with an unsupported scheme is rejected as not sent", "[http]")
{
    HttpClient client;
    const HttpResult result = call(client, makeRequest("file:///dev/null"));
    CHECK(absl::IsUnavailable(result.status));
    CHECK(result.notSent);
}

TEST_CASE("Malformed and incomplete responses are reported as errors and not delivered", "[http]")
{
    SECTION("connection closed without a response")
    {
        const HttpResult result = callRaw("");
        CHECK(absl::IsUnavailable(result.status));
        CHECK_FALSE(result.notSent);
    }
    SECTION("body shorter than declared")
    {
        CHECK(absl::IsDataLoss(callRaw("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort").status));
    }
    SECTION("chunked body without the last chunk")
    {
        CHECK_FALSE(callRaw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n").status.ok());
    }
    SECTION("body without a declared length")
    {
        CHECK(absl::IsDataLoss(callRaw("HTTP/1.1 200 OK\r\n\r\nbody").status));
    }
    SECTION("truncated header") { CHECK_FALSE(callRaw("HTTP/1.1 200 OK\r\nContent-Le").status.ok()); }
    SECTION("not HTTP") { CHECK_FALSE(callRaw("hello\r\n\r\n").status.ok()); }
    SECTION("header over the size limit")
    {
        std::string response = "HTTP/1.1 200 OK\r\n";
        for (int n = 0; n < 3000; ++n)
            response += "x-field-" + std::to_string(n) + ": " + std::string(50, 'x') + "\r\n";
        CHECK(absl::IsResourceExhausted(callRaw(response + "Content-Length: 0\r\n\r\n").status));
    }
}

TEST_CASE("A request is not resent when its keep-alive connection is lost", "[http]")
{
    // By default, curl resends a request if a reused connection is lost, which could execute a transaction twice.
    RawServer server({ "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "" });
    HttpClient client;
    CHECK(call(client, makeRequest(server.url() + "/", "first")).status.ok());
    const HttpResult result = call(client, makeRequest(server.url() + "/", "second"));
    CHECK(absl::IsUnavailable(result.status));
    CHECK_FALSE(result.notSent);
    CHECK(server.requests() == 2);
}

TEST_CASE("A request that was read on a kept connection is not reported as not sent if reconnecting fails", "[http]")
{
    RawServer server({ "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "" }, true);
    HttpClient client;
    CHECK(call(client, makeRequest(server.url() + "/", "first")).status.ok());
    const HttpResult result = call(client, makeRequest(server.url() + "/", "second"));
    CHECK_FALSE(result.status.ok());
    CHECK_FALSE(result.notSent);
    CHECK(server.requests() == 2);
}

TEST_CASE("Calls in progress end with CANCELLED when the client is destroyed", "[http]")
{
    std::vector<HttpServer::Respond> waiting;
    HttpServer server(
        {}, [&waiting](const HttpRequest&, const HttpServer::Respond& respond) { waiting.push_back(respond); });
    const auto port = server.start();
    REQUIRE(port.ok());
    Awaiter<HttpResult> results;
    {
        HttpClient client;
        client.send(makeRequest(url(*port)), 20s, [&results](HttpResult result) { results.put(std::move(result)); });
    }
    CHECK(absl::IsCancelled(results.take().status));
    server.stop();
}

TEST_CASE("A server that stops accepting connections completes the requests in progress", "[http]")
{
    Awaiter<HttpServer::Respond> waiting;
    HttpServer server({}, [&waiting](const HttpRequest&, const HttpServer::Respond& respond) { waiting.put(respond); });
    const auto port = server.start();
    REQUIRE(port.ok());
    HttpClient client;
    Awaiter<HttpResult> results;
    client.send(makeRequest(url(*port)), 20s, [&results](HttpResult result) { results.put(std::move(result)); });
    const auto respond = waiting.take();
    server.stopAccepting();
    HttpClient other;
    HttpResult refused;
    do
        refused = call(other, makeRequest(url(*port)), 50ms);
    while (!refused.notSent);
    respond({ 200, {}, "done" });
    const HttpResult result = results.take();
    CHECK(result.response.body == "done");
    CHECK(result.response.headers.at("connection") == "close");
}

TEST_CASE("Starting a server on a port in use fails", "[http]")
{
    HttpServer first({}, echo());
    const auto port = first.start();
    REQUIRE(port.ok());
    HttpServerSettings settings;
    settings.port = *port;
    HttpServer second(settings, echo());
    CHECK(absl::IsUnavailable(second.start().status()));
}

TEST_CASE("A call to an invalid address is not sent, and calls to others are answered", "[http]")
{
    HttpServer server({}, echo());
    const auto port = server.start();
    REQUIRE(port.ok());
    HttpClient client;
    const std::string ownPort = std::to_string(*port);
    for (const std::string& address :
        { std::string(), std::string("127.0.0.1:99999"), std::string("127.0.0.1:65536"), std::string("127.0.0.1:-1"),
            std::string("127.0.0.1:0"), std::string("127.0.0.1:x"), "127.0.0.1 :" + ownPort, "127.0.0.1\r\n:" + ownPort,
            "[::1:" + ownPort, std::string(":80"), std::string(1 << 20, '1'), std::string("\xff\x01") }) {
        INFO(address.substr(0, 100));
        const auto refused = call(client, makeRequest("http://" + address + "/", "body"));
        CHECK_FALSE(refused.status.ok());
        CHECK(refused.notSent);
        CHECK(call(client, makeRequest(url(*port), "body")).response.body == "body");
    }
}

TEST_CASE("Addresses and header values of other processes are checked", "[url]")
{
    for (const char* text : { "10.1.0.1:80", "127.0.0.1:65535", "10.1.0.1:1", "[::1]:80", "[fd00::1:2]:8080" })
        CHECK(isIpEndpoint(text));
    for (const char* text : { "", ":", ":80", "10.1.0.1", "10.1.0.1:", "10.1.0.1:0", "10.1.0.1:65536", "10.1.0.1:-1",
             "10.1.0.1:+1", "10.1.0.1: 1", "10.1.0.1:1 ", "10.1.0.1:1e2", "10.1.0.1:000080", "10.1.0.1:80:80",
             "10.1.0.256:80", "10.1.0:80", "host:80", "::1:80", "[::1:80", "[10.1.0.1]:80", "[]:80", "[:80" })
        CHECK_FALSE(isIpEndpoint(text));
    using namespace std::string_literals;
    CHECK_FALSE(isIpEndpoint("10.1.0.1\0:80"s));
    CHECK_FALSE(isIpEndpoint("10.1.0.1:8\0"s));
    for (const char* text : { "10.1.0.1", "::1", "fd00::1", "w-1.example_a", "localhost" })
        CHECK(isHost(text));
    for (const std::string& text :
        { ""s, "a b"s, "a/b"s, "a:80"s, "[::1]"s, "a@b"s, "a\0"s, "::1\0"s, "a\n"s, "\xff"s, std::string(254, 'a') })
        CHECK_FALSE(isHost(text));
    CHECK(isHeaderValue("w 1_\xc3\xa9"));
    for (const std::string& text : { ""s, "a\r\nb"s, "a\tb"s, "\x7f"s, "a\0b"s })
        CHECK_FALSE(isHeaderValue(text));
}
