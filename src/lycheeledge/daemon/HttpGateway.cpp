// HTTP side of the calls: parses and validates on the server's thread, hands over to the coordination thread.

#include "HttpGateway.h"

#include <memory>
#include <utility>

namespace lycheeledge {

namespace {

    constexpr int httpOk = 200;
    constexpr int httpNotFound = 404;
    constexpr int httpMethodNotAllowed = 405;
    constexpr int httpUnavailable = 503;

    HttpResponse json(int status, std::string body)
    {
        return { .status = status, .headers = { { "content-type", "application/json" } }, .body = std::move(body) };
    }

    HttpResponse plain(int status, std::string body)
    {
        return { .status = status, .headers = { { "content-type", "text/plain" } }, .body = std::move(body) };
    }

    HttpResponse failure(const RpcFailure& value)
    {
        return json(httpStatus(value.error.kind), writeRpcError(value.id, value.code, value.error));
    }

    HttpResponse outcomeResponse(const std::string& id, const RpcOutcome& outcome)
    {
        if (const auto* error = std::get_if<ApiError>(&outcome))
            return json(httpStatus(error->kind), writeRpcError(id, *error));
        return json(httpOk, writeRpcResult(id, std::get<std::string>(outcome)));
    }

    std::string header(const HttpRequest& request, const char* name)
    {
        const auto it = request.headers.find(name);
        return it == request.headers.end() ? std::string() : it->second;
    }

    // A malformed header counts as no key.
    std::string bearerKey(const HttpRequest& request)
    {
        const auto key = parseAuthorization(header(request, "authorization"));
        return key ? key->id.value() + "." + key->secret : std::string();
    }

} // namespace

HttpGateway::HttpGateway(
    EventLoop& loop, RpcService& service, std::size_t maxBodyBytes, std::function<std::string()> metrics)
    : m_loop(loop)
    , m_service(service)
    , m_maxBodyBytes(maxBodyBytes)
    , m_metrics(std::move(metrics))
{
}

void HttpGateway::handle(HttpRequest request, const HttpServer::Respond& respond)
{
    if (request.target == "/rpc") {
        if (request.method == "POST")
            handleRpc(std::move(request), counted(respond));
        else
            respond(plain(httpMethodNotAllowed, "use POST\n"));
    } else if (request.target == "/healthz") {
        respond(plain(httpOk, "ok\n"));
    } else if (request.target == "/readyz") {
        respond(m_ready ? plain(httpOk, "ready\n") : plain(httpUnavailable, "not ready\n"));
    } else if (request.target == "/metrics") {
        handleMetrics(respond);
    } else {
        respond(plain(httpNotFound, "not found\n"));
    }
}

void HttpGateway::handleRpc(HttpRequest request, const HttpServer::Respond& respond)
{
    auto parsed = parseRpcRequest(request.body, m_maxBodyBytes);
    if (const auto* error = std::get_if<RpcFailure>(&parsed)) {
        respond(failure(*error));
        return;
    }
    auto& rpc = std::get<RpcRequest>(parsed);
    if (const auto invalid = m_schema.check(rpc)) {
        respond(failure(*invalid));
        return;
    }
    auto call = std::make_shared<RpcCall>();
    call->request = std::move(rpc);
    call->key = bearerKey(request);
    call->traceparent = header(request, "traceparent");
    const bool posted = m_loop.tryPost([this, call, respond] {
        m_service.call(
            call, [call, respond](const RpcOutcome& outcome) { respond(outcomeResponse(call->request.id, outcome)); });
    });
    if (!posted) {
        const ApiError overloaded { ErrorKind::Overloaded, "too many calls are waiting", "", RunState::NotRun };
        respond(outcomeResponse(call->request.id, overloaded));
    }
}

void HttpGateway::handleMetrics(const HttpServer::Respond& respond)
{
    if (!m_loop.tryPost([this, respond] { respond(plain(httpOk, m_metrics())); }))
        respond(plain(httpUnavailable, "overloaded\n"));
}

HttpServer::Respond HttpGateway::counted(HttpServer::Respond respond)
{
    ++m_inProgress;
    return [this, respond = std::move(respond)](HttpResponse response) {
        respond(std::move(response));
        --m_inProgress;
    };
}

} // namespace lycheeledge
