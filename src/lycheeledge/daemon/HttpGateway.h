// HTTP endpoints of a process: parses and validates calls on the server's thread, runs them on the coordination thread.
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

/** @brief Serves POST /rpc and GET /healthz, /readyz and /metrics. */
class HttpGateway {
public:
    /**
     * @param maxBodyBytes largest accepted body of a call.
     * @param metrics returns metrics in the Prometheus text format; called on the coordination thread.
     */
    HttpGateway(EventLoop& loop, RpcService& service, std::size_t maxBodyBytes, std::function<std::string()> metrics);

    /** @brief Handles a request; suitable as HttpServer::Handler. */
    void handle(HttpRequest request, const HttpServer::Respond& respond);

    /** @brief Sets the answer of /readyz, which the load balancer probes. */
    void setReady(bool ready) { m_ready = ready; }
    /** @brief Number of POST /rpc requests that are not yet answered. */
    std::size_t callsInProgress() const { return m_inProgress; }

private:
    void handleRpc(HttpRequest request, const HttpServer::Respond& respond);
    void handleMetrics(const HttpServer::Respond& respond);
    HttpServer::Respond trackInProgress(HttpServer::Respond respond);

    EventLoop& m_loop;
    RpcService& m_service;
    ApiSchema m_schema;
    std::size_t m_maxBodyBytes;
    std::function<std::string()> m_metrics;
    std::atomic<bool> m_ready { false };
    std::atomic<std::size_t> m_inProgress { 0 };
};

} // namespace lycheeledge
