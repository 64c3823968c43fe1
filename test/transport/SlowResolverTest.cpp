// Test of the HTTP client with a name server that does not answer. Replaces getaddrinfo(), which curl calls.

#include "support/Awaiter.h"

#include <lycheeledge/transport/HttpClient.h>
#include <lycheeledge/transport/HttpServer.h>

#include <catch2/catch.hpp>

#include <condition_variable>
#include <dlfcn.h>
#include <mutex>
#include <netdb.h>
#include <string_view>

using namespace lycheeledge;
using namespace lycheeledge::test;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view slowName = "slow.invalid";

/** @brief Holds back look-ups of `slowName` until it is released. */
struct SlowResolver {
    std::mutex mutex;
    std::condition_variable changed;
    bool released = false;
    int waiting = 0;

    int wait()
    {
        std::unique_lock lock(mutex);
        ++waiting;
        changed.notify_all();
        changed.wait_for(lock, 20s, [this] { return released; });
        --waiting;
        changed.notify_all();
        return EAI_AGAIN;
    }
    void release()
    {
        std::unique_lock lock(mutex);
        released = true;
        changed.notify_all();
        changed.wait(lock, [this] { return waiting == 0; });
    }
};

SlowResolver resolver;

} // namespace

extern "C" int getaddrinfo(const char* name, const char* service, const addrinfo* hints, addrinfo** result)
{
    if (name != nullptr && name == slowName)
        return resolver.wait();
    using Function = int(const char*, const char*, const addrinfo*, addrinfo**);
    static const auto next = reinterpret_cast<Function*>(dlsym(RTLD_NEXT, "getaddrinfo"));
    return next(name, service, hints, result);
}

TEST_CASE("A host name that is not resolved does not delay calls to other hosts", "[http]")
{
    HttpServer server({}, [](const HttpRequest&, const HttpServer::Respond& respond) {
        respond({ 200, {}, "answer" });
    });
    const auto port = server.start();
    REQUIRE(port.ok());
    HttpClient client;
    Awaiter<HttpResult> slow;
    HttpRequest request;
    request.target = "http://" + std::string(slowName) + ":80/";
    client.send(request, 200ms, [&slow](HttpResult result) { slow.put(std::move(result)); });
    {
        std::unique_lock lock(resolver.mutex);
        REQUIRE(resolver.changed.wait_for(lock, 20s, [] { return resolver.waiting == 1; }));
    }
    const HttpResult unresolved = slow.take();
    CHECK(absl::IsDeadlineExceeded(unresolved.status));
    CHECK(unresolved.notSent);
    {
        const std::lock_guard lock(resolver.mutex);
        CHECK(resolver.waiting == 1);
    }
    Awaiter<HttpResult> answered;
    request.target = "http://127.0.0.1:" + std::to_string(*port) + "/";
    client.send(request, 20s, [&answered](HttpResult result) { answered.put(std::move(result)); });
    CHECK(answered.take().response.body == "answer");
    resolver.release();
}
