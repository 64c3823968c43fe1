// What the tests of misbehaving clients have in common: requests of the crowds, and the checks after each crowd.
#pragma once

#include "support/ChildProcess.h"
#include "support/Crowd.h"

#include <lycheeledge/daemon/EventLoop.h>
#include <lycheeledge/transport/HttpClient.h>
#include <lycheeledge/transport/HttpServer.h>

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <future>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace lycheeledge::test {

/// Largest legal body in bytes. The documented limit of the platform's clients.
inline constexpr std::size_t legalBodyBytes = 262144;

/** @brief Sends one request on a new connection. @return status and body; status 0 if there is no response. */
inline HttpResponse callOnce(HttpRequest request)
{
    HttpClient client;
    std::promise<HttpResponse> promise;
    client.send(std::move(request), std::chrono::seconds(3), [&promise](const HttpResult& result) {
        promise.set_value(result.status.ok() ? result.response : HttpResponse { 0, {}, "" });
    });
    return promise.get_future().get();
}

/** @brief Repeats `condition` until it holds. @return false after 15 s, which only bounds how long a test waits. */
inline bool eventually(const std::function<bool()>& condition)
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(15);
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return true;
}

/** @brief Different ports of 127.0.0.1 that are free now. */
inline std::vector<std::uint16_t> freePorts(std::size_t count)
{
    std::vector<std::uint16_t> result;
    std::vector<int> sockets;
    while (result.size() < count) {
        sockets.push_back(socket(AF_INET, SOCK_STREAM, 0));
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t n = sizeof(address);
        REQUIRE(bind(sockets.back(), reinterpret_cast<sockaddr*>(&address), n) == 0);
        getsockname(sockets.back(), reinterpret_cast<sockaddr*>(&address), &n);
        result.push_back(ntohs(address.sin_port));
    }
    std::for_each(sockets.begin(), sockets.end(), close);
    return result;
}

// --- Stand-ins ---

inline HttpServerSettings standinServer()
{
    HttpServerSettings result;
    result.maxBodyBytes = 4 << 20; // the store receives several jobs in one call
    return result;
}

/** @brief Runs the event loop of the stand-ins until it is destroyed. */
class LoopThread {
public:
    explicit LoopThread(EventLoop& loop)
        : m_loop(loop)
        , m_thread([&loop] { loop.run(); })
    {
    }
    ~LoopThread()
    {
        m_loop.stop();
        m_thread.join();
    }
    LoopThread(const LoopThread&) = delete;
    LoopThread& operator=(const LoopThread&) = delete;

private:
    EventLoop& m_loop;
    std::thread m_thread;
};

// --- Requests of the crowds ---

/** @brief A JSON object of `bytes` bytes in which `item` is repeated, between `begin` and `end`, and padded. */
inline std::string jsonOf(std::string begin, const std::string& item, const std::string& end, std::size_t bytes)
{
    while (begin.size() + item.size() + end.size() < bytes)
        begin += item;
    begin.resize(bytes - end.size(), ' ');
    return begin + end;
}

/** @brief A JSON object of `bytes` bytes with one long string. */
inline std::string plainBody(std::size_t bytes) { return jsonOf("{\"note\":\"", "x", "\"}", bytes); }

inline std::string postOf(const std::string& path, const std::string& body, const std::string& fields = "")
{
    return absl::StrCat(
        "POST ", path, " HTTP/1.1\r\nHost: 127.0.0.1\r\n", fields, "Content-Length: ", body.size(), "\r\n\r\n", body);
}

/** @brief The same in chunks of 1,000 bytes. */
inline std::string chunkedPostOf(const std::string& path, const std::string& body)
{
    constexpr std::size_t chunkBytes = 1000;
    std::string result
        = absl::StrCat("POST ", path, " HTTP/1.1\r\nHost: 127.0.0.1\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (std::size_t n = 0; n < body.size(); n += chunkBytes) {
        const std::string chunk = body.substr(n, chunkBytes);
        absl::StrAppend(&result, absl::Hex(chunk.size()), "\r\n", chunk, "\r\n");
    }
    return result + "0\r\n\r\n";
}

inline std::string repeated(const std::string& text, std::size_t count)
{
    std::string result;
    result.reserve(text.size() * count);
    for (std::size_t n = 0; n < count; ++n)
        result += text;
    return result;
}

using Texts = std::function<Crowd::Text(std::size_t)>;

/** @brief All connections send the same. */
inline Texts same(std::string text)
{
    return [shared = std::make_shared<const std::string>(std::move(text))](std::size_t) { return shared; };
}

/** @brief One in sixteen connections sends all of a request, the others stop `missing` bytes before its end. */
inline Texts mostlyUnfinished(const std::string& request, std::size_t missing)
{
    const auto whole = std::make_shared<const std::string>(request);
    const auto part = std::make_shared<const std::string>(request.substr(0, request.size() - missing));
    return [whole, part](std::size_t n) { return n % 16 == 0 ? whole : part; };
}

// --- Checks ---

/** @brief Bounds of a process, from the machine that its settings state. */
struct Bounds {
    std::size_t memoryKb = 0;
    std::size_t descriptors = 0;
};

/**
 * @brief Waits until the process has taken in what the kernel holds for it: until neither its peak memory nor its
 * descriptors have changed for 0.4 s, or for 5 s.
 */
inline void settle(const ChildProcess& process, const std::function<void()>& observe)
{
    constexpr int steadyRounds = 8;
    constexpr int maxRounds = 100;
    std::pair<std::size_t, std::size_t> last;
    for (int round = 0, steady = 0; round < maxRounds && steady < steadyRounds; ++round) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        observe();
        const std::pair now { process.peakMemoryKb(), process.descriptors() };
        steady = now == last ? steady + 1 : 0;
        last = now;
    }
}

/**
 * @brief Lets a crowd loose on the process of a cluster and checks the process during and after it.
 *
 * `Cluster` has process(), answers() for an ordinary request, and runsJob(), which hands in a new job and waits for it.
 */
template <typename Cluster>
void checkCrowd(Cluster& cluster, const Crowd::Shape& shape, const Texts& texts, const Bounds& bounds)
{
    ChildProcess& process = cluster.process();
    std::size_t descriptors = 0;
    const auto observe = [&] { descriptors = std::max(descriptors, process.descriptors()); };
    bool jobDuring = false;
    std::size_t sentBytes = 0;
    {
        Crowd crowd(shape, texts);
        crowd.send(observe);
        settle(process, observe);
        jobDuring = cluster.runsJob();
        observe();
        sentBytes = crowd.sentBytes();
    }
    const bool alive = process.isAlive();
    const bool answered = alive && eventually([&] { return cluster.answers(); });
    const bool jobAfter = answered && cluster.runsJob();
    const std::size_t memoryKb = process.peakMemoryKb();
    const std::string measured = absl::StrCat("connections: ", shape.size, ", bytes sent: ", sentBytes,
        ", VmHWM: ", memoryKb, " KiB of ", bounds.memoryKb, ", descriptors: ", descriptors, " of ", bounds.descriptors);
    // Printed also when the test passes, so that the distance to the bounds can be followed.
    std::cout << Catch::getResultCapture().getCurrentTestName() << ": " << measured << std::endl;
    INFO(measured << "\nend of the log:\n" << process.logEnd());
    CHECK(alive);
    CHECK(memoryKb < bounds.memoryKb);
    CHECK(descriptors <= bounds.descriptors);
    CHECK(jobDuring);
    CHECK(answered);
    CHECK(jobAfter);
}

} // namespace lycheeledge::test
