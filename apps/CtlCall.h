// JSON-RPC client with retries over several servers.
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

struct RpcClientSettings {
    std::vector<std::string> servers; ///< for example http://127.0.0.1:8080
    std::string key;
    std::chrono::milliseconds timeout { 30000 }; ///< for all attempts together
    std::chrono::milliseconds callTimeout { 15000 }; ///< for one attempt
};

/**
 * @brief Sends calls, retrying at the next server if there is no response or the server is unavailable.
 *
 * Retries are safe: changes carry an idempotency key, submissions carry a request id, and all other calls only read.
 */
class RetryingRpcClient {
public:
    RetryingRpcClient(HttpClient& client, RpcClientSettings settings)
        : m_client(client)
        , m_settings(std::move(settings))
    {
    }

    /** @brief Blocks until there is a final response or the timeout has expired. */
    RpcResponse call(const std::string& method, rapidjson::Document params)
    {
        const auto deadline = Clock::now() + m_settings.timeout;
        auto backoff = std::chrono::milliseconds(50);
        bool mayHaveExecuted = false;
        for (std::size_t attempt = 0;; ++attempt) {
            auto response
                = sendAttempt(m_settings.servers[attempt % m_settings.servers.size()], method, params, deadline);
            if (response.ok() || !isRetryable(response.error()))
                return response;
            mayHaveExecuted = mayHaveExecuted || response.error().run == RunState::Unknown;
            const bool triedAllServers = (attempt + 1) % m_settings.servers.size() == 0;
            if (Clock::now() + backoff >= deadline)
                return finalFailure(response.error(), mayHaveExecuted);
            if (triedAllServers) {
                std::this_thread::sleep_for(backoff);
                backoff = std::min(backoff * 2, std::chrono::milliseconds(1000));
            }
            incrementAttempt(params);
        }
    }

private:
    using Clock = std::chrono::steady_clock;

    static bool isRetryable(const ApiError& error)
    {
        return error.kind == ErrorKind::Unavailable || error.kind == ErrorKind::Truncated;
    }

    static RpcResponse finalFailure(ApiError error, bool mayHaveExecuted)
    {
        if (mayHaveExecuted)
            error.run = RunState::Unknown;
        return { "null", std::move(error) };
    }

    // A declared attempt number counts the sendings of this request id; 1 states that no owner has seen the id before.
    static void incrementAttempt(rapidjson::Document& params)
    {
        const auto it = params.FindMember("attempt");
        if (it != params.MemberEnd() && it->value.IsInt64() && it->value.GetInt64() > 0)
            it->value.SetInt64(it->value.GetInt64() + 1);
    }

    RpcResponse sendAttempt(const std::string& server, const std::string& method, const rapidjson::Document& params,
        Clock::time_point deadline)
    {
        const std::string id = std::to_string(++m_lastId);
        HttpRequest request { "POST", server + "/rpc",
            { { "content-type", "application/json" }, { "authorization", "Bearer " + m_settings.key } },
            writeRpcRequest(id, method, jsonText(params)) };
        const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now());
        const auto timeout = std::clamp(remaining, std::chrono::milliseconds(1), m_settings.callTimeout);
        std::promise<HttpResult> promise;
        m_client.send(
            std::move(request), timeout, [&promise](HttpResult value) { promise.set_value(std::move(value)); });
        const HttpResult result = promise.get_future().get();
        if (!result.status.ok())
            return { id,
                ApiError { ErrorKind::Unavailable,
                    fmt::format("no response from {}: {}", server, std::string(result.status.message())), "",
                    result.notSent ? RunState::NotRun : RunState::Unknown } };
        auto response = parseRpcResponse(result.response.body);
        if (response.ok() && response.id != id)
            return { id,
                ApiError { ErrorKind::Truncated, "the id of the response does not match the request", "",
                    RunState::Unknown } };
        return response;
    }

    HttpClient& m_client;
    RpcClientSettings m_settings;
    std::uint64_t m_lastId = 0;
};

} // namespace lycheeledge::ctl
