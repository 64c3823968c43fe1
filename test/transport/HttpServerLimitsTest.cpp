// Tests of the HTTP server's limits on sizes, times and connections.

#include "support/RawClient.h"

#include <lycheeledge/transport/HttpServer.h>

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace lycheeledge;
using namespace lycheeledge::test;
using namespace std::chrono_literals;

namespace {

const std::string getRequest = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

class Fixture {
public:
    explicit Fixture(const HttpServerSettings& settings = {})
        : m_server(settings, [this](const HttpRequest& request, const HttpServer::Respond& respond) {
            if (request.target == "/wait")
                m_pendingResponses.push_back(respond);
            else
                respond({ 200, {}, "served" });
        })
    {
        const auto started = m_server.start();
        REQUIRE(started.ok());
        port = *started;
    }

    ~Fixture() { m_server.stop(); }

    /** @brief Whether the server responds to a request on a new connection. */
    bool serves() const
    {
        const RawClient client(port);
        client.send(getRequest);
        return client.receiveUntil("served").find("served") != std::string::npos;
    }

    std::uint16_t port = 0;

private:
    std::vector<HttpServer::Respond> m_pendingResponses;
    HttpServer m_server;
};

/** @brief Whether the server closes a connection that sends `bytes` without serving them, and keeps serving others. */
bool isRejected(const std::string& bytes)
{
    const Fixture fixture;
    const RawClient client(fixture.port);
    client.send(bytes);
    return client.receiveAll().find("served") == std::string::npos && fixture.serves();
}

} // namespace

TEST_CASE("A connection is closed if its request is not received within the read timeout", "[http-limits]")
{
    HttpServerSettings settings;
    settings.readTimeout = 200ms;
    const Fixture fixture(settings);
    const RawClient silent(fixture.port);
    const RawClient slow(fixture.port);
    slow.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc");
    CHECK(silent.receiveAll().empty());
    CHECK(slow.receiveAll().empty());
    CHECK(fixture.serves());
}

TEST_CASE("A slow sender cannot extend the read timeout of its request", "[http-limits]")
{
    HttpServerSettings settings;
    settings.readTimeout = 300ms;
    const Fixture fixture(settings);
    const RawClient client(fixture.port);
    std::thread sender([&client] {
        // At one byte per 50 ms, this header would take over a minute.
        client.send("GET / HTTP/1.1\r\nx-field: ");
        for (int n = 0; n < 40; ++n, std::this_thread::sleep_for(50ms))
            client.send("x");
    });
    CHECK(client.receiveAll().empty());
    sender.join();
}

TEST_CASE("A connection is closed if its request is not answered within the handle timeout", "[http-limits]")
{
    HttpServerSettings settings;
    settings.handleTimeout = 200ms;
    const Fixture fixture(settings);
    const RawClient client(fixture.port);
    client.send("GET /wait HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(client.receiveAll().empty());
    CHECK(fixture.serves());
}

TEST_CASE("Oversized and malformed requests are rejected", "[http-limits]")
{
    CHECK(isRejected("GET /" + std::string(10000, 'x') + " HTTP/1.1\r\nHost: x\r\n\r\n"));
    CHECK(isRejected("GET / HTTP/1.1\r\n" + std::string(300, 'x') + ": y\r\n\r\n"));
    CHECK(isRejected("GET / HTTP/1.1\r\nx: " + std::string(10000, 'y') + "\r\n\r\n"));
    std::string manyFields = "GET / HTTP/1.1\r\n";
    for (int n = 0; n < 100; ++n)
        manyFields += "x" + std::to_string(n) + ": y\r\n";
    CHECK(isRejected(manyFields + "\r\n"));
    CHECK(isRejected("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n"));
    CHECK(isRejected("POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n"));
    CHECK(isRejected("POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"));
    CHECK(isRejected("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"));
    CHECK(isRejected("no HTTP\r\n\r\n"));
    CHECK(isRejected(std::string("\0\1\2\3\r\n\r\n", 8)));
    CHECK(isRejected("GET / HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n"));
}

TEST_CASE("A chunked body counts against the size limit", "[http-limits]")
{
    HttpServerSettings settings;
    settings.maxBodyBytes = 1000;
    const Fixture fixture(settings);
    const RawClient client(fixture.port);
    client.send(
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n400\r\n" + std::string(1024, 'x') + "\r\n0\r\n\r\n");
    CHECK(client.receiveUntil("\r\n").find("413") != std::string::npos);
}

TEST_CASE("Connections over the limit are closed, and new ones are served after others end", "[http-limits]")
{
    HttpServerSettings settings;
    settings.maxConnections = 3;
    const Fixture fixture(settings);
    std::vector<std::unique_ptr<RawClient>> clients;
    for (int n = 0; n < 3; ++n) {
        clients.push_back(std::make_unique<RawClient>(fixture.port));
        clients.back()->send(getRequest);
        REQUIRE(clients.back()->receiveUntil("served").find("served") != std::string::npos);
    }
    CHECK_FALSE(fixture.serves());
    clients.pop_back();
    bool served = false;
    for (int n = 0; n < 1000 && !served; ++n, std::this_thread::sleep_for(10ms))
        served = fixture.serves();
    CHECK(served);
}

TEST_CASE("Peers that reset their connections immediately do not use up the connection limit", "[http-limits]")
{
    HttpServerSettings settings;
    settings.maxConnections = 8;
    const Fixture fixture(settings);
    for (int n = 0; n < 200; ++n) {
        const RawClient client(fixture.port);
        client.resetOnClose();
    }
    bool served = false;
    for (int n = 0; n < 1000 && !served; ++n, std::this_thread::sleep_for(10ms))
        served = fixture.serves();
    CHECK(served);
}

// Guards against a response from within the library's request callback, after which the library reads on before the
// response is written, and then drops what it has parsed of the next request.
TEST_CASE("A refused request does not disturb the next one on its connection", "[http-limits]")
{
    HttpServerSettings settings;
    settings.maxBodyBytes = 40000;
    settings.maxRequestMemoryBytes = 64 << 10;
    const Fixture fixture(settings);
    // Takes nearly half of the memory, so that requests with a long target are refused.
    const RawClient waiting(fixture.port);
    waiting.send("POST /wait HTTP/1.1\r\nContent-Length: 32000\r\n\r\n" + std::string(32000, 'x'));
    const std::string request = "GET /" + std::string(1000, 'x') + " HTTP/1.1\r\nHost: x\r\n\r\n";
    const std::string refusal = "the request was not executed";
    bool refused = false;
    for (int n = 0; n < 100 && !refused; ++n) {
        const RawClient probe(fixture.port);
        probe.send(request);
        refused = probe.receiveUntil("e").find(" 503 ") != std::string::npos;
        std::this_thread::sleep_for(10ms);
    }
    REQUIRE(refused);
    const RawClient client(fixture.port);
    client.send(request + request.substr(0, 500));
    CHECK(client.receiveUntil(refusal).find(refusal) != std::string::npos);
    client.send(request.substr(500));
    CHECK(client.receiveUntil(refusal).find(refusal) != std::string::npos);
}
