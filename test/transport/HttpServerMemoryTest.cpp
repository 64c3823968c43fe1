// Tests of the HTTP server's memory with many clients that do not finish their requests or read their responses.

#include "support/RawClient.h"

#include <lycheeledge/transport/HttpServer.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <malloc.h>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace lycheeledge;
using namespace lycheeledge::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t bodyBytes = 250000;

std::size_t allocatedBytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

std::string receivedResponse(std::uint16_t port, const std::string& request)
{
    const RawClient client(port);
    client.send(request);
    return client.receiveUntil("served");
}

std::string plainRequest() { return "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"; }

/** @brief Largest memory while `count` clients send `request` and stay open; an ordinary request is served after it. */
std::size_t peakWithClients(const std::string& request, int count)
{
    HttpServer server({}, [](const HttpRequest&, const HttpServer::Respond& respond) {
        std::string body(100000, 'x');
        body.replace(body.size() - 6, 6, "served");
        respond({ 200, {}, std::move(body) });
    });
    const auto port = server.start();
    REQUIRE(port.ok());
    const std::size_t before = allocatedBytes();
    std::size_t peak = before;
    std::vector<std::unique_ptr<RawClient>> clients;
    for (int n = 0; n < count; ++n) {
        clients.push_back(std::make_unique<RawClient>(*port));
        clients.back()->send(request);
        peak = std::max(peak, allocatedBytes());
    }
    CHECK(receivedResponse(*port, plainRequest()).find("served") != std::string::npos);
    peak = std::max(peak, allocatedBytes());
    server.stop();
    return peak - before;
}

} // namespace

// Guards against memory that grows with the number of unfinished bodies.
TEST_CASE("Unfinished bodies share a memory limit", "[http-memory]")
{
    std::string request = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
    request += std::string(bodyBytes - 1, 'x');
    CHECK(peakWithClients(request, 500) < std::size_t { 80 } << 20);
}

// Guards against the list of chunks, which occupies more memory than chunks of one byte.
TEST_CASE("Unfinished bodies in small chunks share a memory limit", "[http-memory]")
{
    std::string request = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t n = 0; n < 100000; ++n)
        request += "1\r\nx\r\n";
    CHECK(peakWithClients(request, 40) < std::size_t { 80 } << 20);
}

// Guards against requests without a limit behind a response that is not read.
TEST_CASE("Pipelined requests whose responses are not read occupy little memory", "[http-memory]")
{
    std::string request;
    for (int n = 0; n < 200; ++n)
        request += plainRequest();
    CHECK(peakWithClients(request, 100) < std::size_t { 20 } << 20);
}

// Guards against a limit of the socket's buffers that delays bodies of legal size.
TEST_CASE("A body of legal size is received without delay", "[http-memory]")
{
    HttpServer server({}, [](const HttpRequest& request, const HttpServer::Respond& respond) {
        respond({ 200, {}, std::to_string(request.body.size()) + " served" });
    });
    const auto port = server.start();
    REQUIRE(port.ok());
    const auto begin = std::chrono::steady_clock::now();
    const std::string request
        = "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'x');
    for (int n = 0; n < 10; ++n)
        CHECK(receivedResponse(*port, request).find("250000 served") != std::string::npos);
    CHECK(std::chrono::steady_clock::now() - begin < 5s);
    server.stop();
}
