// HTTP endpoints of a process: parses and validates calls on the server's thread, runs them on the coordination thread.

#include "HttpGateway.h"

#include <memory>
#include <utility>

namespace lycheeledge {

namespace {

    constexpr int httpOk = 200;
    constexpr int httpNotFound = 404;
    constexpr int httpMethodNotAllowed = 405;
    constexpr int httpUnavailable = 503;

    HttpResponse jsonResponse(int status, std::string body)
    {
        return { .status = status, .headers = { { "content-type", "application/json" } }, .body = std::move(body) };
    }

    HttpResponse textResponse(int status, std::string body)
    {
        return { .status = status, .headers = { { "content-type", "text/plain" } }, .body = std::move(body) };
    }

    HttpResponse failureResponse(const RpcErrorResponse& value)
    {
        return jsonResponse(httpStatus(value.error.kind), writeRpcError(value.id, value.code, value.error));
    }

    HttpResponse outcomeResponse(const std::string& id, const RpcOutcome& outcome)
    {
        if (const auto* error = std::get_if<ApiError>(&outcome))
            return jsonResponse(httpStatus(error->kind), writeRpcError(id, *error));
        return jsonResponse(httpOk, writeRpcResult(id, std::get<std::string>(outcome)));
    }

    std::string header(const HttpRequest& request, const char* name)
    {
        const auto it = request.headers.find(name);
        return it == request.headers.end() ? std::string() : it->second;
    }

    // A malformed header is treated as absent.
    std::string callerKey(const HttpRequest& request)
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
            handleRpc(std::move(request), trackInProgress(respond));
        else
            respond(textResponse(httpMethodNotAllowed, "use POST\n"));
    } else if (request.target == "/healthz") {
        respond(textResponse(httpOk, "ok\n"));
    } else if (request.target == "/readyz") {
        respond(m_ready ? textResponse(httpOk, "ready\n") : textResponse(httpUnavailable, "not ready\n"));
    } else if (request.target == "/metrics") {
        handleMetrics(respond);
    } else {
        respond(textResponse(httpNotFound, "not found\n"));
    }
}

void HttpGateway::handleRpc(HttpRequest request, const HttpServer::Respond& respond)
{
    auto parsed = parseRpcRequest(request.body, m_maxBodyBytes);
    if (const auto* error = std::get_if<RpcErrorResponse>(&parsed)) {
        respond(failureResponse(*error));
        return;
    }
    auto& rpc = std::get<RpcRequest>(parsed);
    if (const auto invalid = m_schema.check(rpc)) {
        respond(failureResponse(*invalid));
        return;
    }
    auto call = std::make_shared<RpcCall>();
    call->request = std::move(rpc);
    call->key = callerKey(request);
    call->traceparent = header(request, "traceparent");
    const bool accepted = m_loop.tryPost([this, call, respond] {
        m_service.call(
            call, [call, respond](const RpcOutcome& outcome) { respond(outcomeResponse(call->request.id, outcome)); });
    });
    if (!accepted) {
        const ApiError overloaded { ErrorKind::Overloaded, "too many calls are waiting", "", RunState::NotRun };
        respond(outcomeResponse(call->request.id, overloaded));
    }
}

void HttpGateway::handleMetrics(const HttpServer::Respond& respond)
{
    if (!m_loop.tryPost([this, respond] { respond(textResponse(httpOk, m_metrics())); }))
        respond(textResponse(httpUnavailable, "overloaded\n"));
}

HttpServer::Respond HttpGateway::trackInProgress(HttpServer::Respond respond)
{
    ++m_inProgress;
    return [this, respond = std::move(respond)](HttpResponse response) {
        respond(std::move(response));
        --m_inProgress;
    };
}

} // namespace lycheeledge
