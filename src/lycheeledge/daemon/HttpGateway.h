// HTTP side of the calls: parses and validates on the server's thread, hands over to the coordination thread.
#pragma once

#include "../protocol/ApiSchema.h"
#include "../transport/HttpServer.h"
#include "EventLoop.h"
#include "RpcService.h"

#include <atomic>
#include <cstddef>
#include <functional>
#include <string>

namespace lycheeledge {

/** @brief Handles POST /rpc, GET /healthz, /readyz and /metrics. */
class HttpGateway {
public:
    /**
     * @param maxBodyBytes largest body of a call.
     * @param metrics returns Prometheus text; called on the coordination thread.
     */
    HttpGateway(EventLoop& loop, RpcService& service, std::size_t maxBodyBytes, std::function<std::string()> metrics);

    /** @brief HttpServer::Handler. */
    void handle(HttpRequest request, const HttpServer::Respond& respond);

    /** @brief Sets the answer of /readyz, which the balancer asks. */
    void setReady(bool ready) { m_ready = ready; }
    /** @brief Calls that were accepted and not yet answered. */
    std::size_t callsInProgress() const { return m_inProgress; }

private:
    void handleRpc(HttpRequest request, const HttpServer::Respond& respond);
    void handleMetrics(const HttpServer::Respond& respond);
    HttpServer::Respond counted(HttpServer::Respond respond);

    EventLoop& m_loop;
    RpcService& m_service;
    ApiSchema m_schema;
    std::size_t m_maxBodyBytes;
    std::function<std::string()> m_metrics;
    std::atomic<bool> m_ready { false };
    std::atomic<std::size_t> m_inProgress { 0 };
};

} // namespace lycheeledge
