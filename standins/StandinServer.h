// Server helpers that the stand-in programs share.
#pragma once

#include <lycheeledge/daemon/EventLoop.h>
#include <lycheeledge/protocol/StateJson.h>
#include <lycheeledge/transport/HttpServer.h>

#include <csignal>
#include <functional>
#include <string>
#include <sys/resource.h>
#include <utility>

namespace lycheeledge::standin {

/** @brief Event loop that SIGTERM and SIGINT stop. */
inline EventLoop*& signalledLoop()
{
    static EventLoop* loop = nullptr;
    return loop;
}

inline void stopOnSignals(EventLoop& loop)
{
    signalledLoop() = &loop;
    const auto handler = [](int) { signalledLoop()->stop(); };
    std::signal(SIGTERM, handler);
    std::signal(SIGINT, handler);
}

/** @brief Raises the limit of open files to the allowed maximum; the default is too low for hundreds of workers. */
inline void raiseFileLimit()
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

/** @brief Handler that runs `handle` on the loop. Responds with status 503 if the queue of the loop is full. */
inline HttpServer::Handler onLoop(EventLoop& loop, std::function<void(HttpRequest, HttpServer::Respond)> handle)
{
    return [&loop, handle = std::move(handle)](HttpRequest request, HttpServer::Respond respond) {
        auto task = [handle, request = std::move(request), respond] { handle(request, respond); };
        if (!loop.tryPost(std::move(task)))
            respond({ 503, {}, "overloaded" });
    };
}

inline HttpResponse jsonResponse(std::string body, int status = 200)
{
    return { status, { { "content-type", "application/json" } }, std::move(body) };
}

inline HttpResponse errorResponse(int status, const std::string& message)
{
    rapidjson::StringBuffer buf;
    JsonWriter writer(buf);
    writer.StartObject();
    writeText(writer, "message", message);
    writer.EndObject();
    return jsonResponse({ buf.GetString(), buf.GetSize() }, status);
}

} // namespace lycheeledge::standin
