// Sends a call to one of several servers and repeats it until it is answered.
#pragma once

#include <lycheeledge/protocol/ApiSchema.h>
#include <lycheeledge/protocol/JsonRpc.h>
#include <lycheeledge/transport/HttpClient.h>

#include <fmt/format.h>
#include <rapidjson/document.h>

#include <algorithm>
#include <chrono>
#include <future>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace lycheeledge::ctl {

struct CallSettings {
    std::vector<std::string> servers; ///< for example http://127.0.0.1:8080
    std::string key;
    std::chrono::milliseconds timeout { 30000 }; ///< for all attempts
    std::chrono::milliseconds callTimeout { 15000 }; ///< for one attempt
};

/**
 * @brief Repeats a call at the next server while it is unanswered or the server cannot serve.
 *
 * Repeating is safe: changes carry an idempotency key, work carries its identity, and all other calls only read.
 */
class Caller {
public:
    Caller(HttpClient& client, CallSettings settings)
        : m_client(client)
        , m_settings(std::move(settings))
    {
    }

    /** @brief Blocks until the call is answered or the time is over. */
    RpcResponse call(const std::string& method, rapidjson::Document params)
    {
        const auto end = Clock::now() + m_settings.timeout;
        auto pause = std::chrono::milliseconds(50);
        bool mayHaveHadEffect = false;
        for (std::size_t n = 0;; ++n) {
            auto response = sendOnce(m_settings.servers[n % m_settings.servers.size()], method, params, end);
            if (response.ok() || !isWorthRepeating(response.error()))
                return response;
            mayHaveHadEffect = mayHaveHadEffect || response.error().run == RunState::Unknown;
            const bool triedAll = (n + 1) % m_settings.servers.size() == 0;
            if (Clock::now() + pause >= end)
                return gaveUp(response.error(), mayHaveHadEffect);
            if (triedAll) {
                std::this_thread::sleep_for(pause);
                pause = std::min(pause * 2, std::chrono::milliseconds(1000));
            }
            countAttempt(params);
        }
    }

private:
    using Clock = std::chrono::steady_clock;

    static bool isWorthRepeating(const ApiError& error)
    {
        return error.kind == ErrorKind::Unavailable || error.kind == ErrorKind::Truncated;
    }

    static RpcResponse gaveUp(ApiError error, bool mayHaveHadEffect)
    {
        if (mayHaveHadEffect)
            error.run = RunState::Unknown;
        return { "null", std::move(error) };
    }

    // A declared attempt says how often this identity was sent; 1 would claim that no owner has seen it.
    static void countAttempt(rapidjson::Document& params)
    {
        const auto it = params.FindMember("attempt");
        if (it != params.MemberEnd() && it->value.IsInt64() && it->value.GetInt64() > 0)
            it->value.SetInt64(it->value.GetInt64() + 1);
    }

    RpcResponse sendOnce(
        const std::string& server, const std::string& method, const rapidjson::Document& params, Clock::time_point end)
    {
        const std::string id = std::to_string(++m_lastId);
        HttpRequest request { "POST", server + "/rpc",
            { { "content-type", "application/json" }, { "authorization", "Bearer " + m_settings.key } },
            writeRpcRequest(id, method, jsonText(params)) };
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - Clock::now());
        const auto timeout = std::clamp(left, std::chrono::milliseconds(1), m_settings.callTimeout);
        std::promise<HttpResult> answered;
        m_client.send(std::move(request), timeout, [&answered](HttpResult it) { answered.set_value(std::move(it)); });
        const HttpResult result = answered.get_future().get();
        if (!result.status.ok())
            return { id,
                ApiError { ErrorKind::Unavailable,
                    fmt::format("{} did not answer: {}", server, std::string(result.status.message())), "",
                    result.notSent ? RunState::NotRun : RunState::Unknown } };
        auto response = parseRpcResponse(result.response.body);
        if (response.ok() && response.id != id)
            return { id,
                ApiError { ErrorKind::Truncated, "the answer belongs to another call", "", RunState::Unknown } };
        return response;
    }

    HttpClient& m_client;
    CallSettings m_settings;
    std::uint64_t m_lastId = 0;
};

} // namespace lycheeledge::ctl
