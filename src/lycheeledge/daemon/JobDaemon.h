// Member process of the job scheduler: listeners, readiness checks, metrics and planned stop.
#pragma once

#include "../jobs/EntryNode.h"
#include "../protocol/CerealRecordCodec.h"
#include "../protocol/CompletionExecutor.h"
#include "../protocol/FramedMemberPort.h"
#include "../transport/HttpServer.h"
#include "EventLoop.h"
#include "JsonEventLog.h"
#include "Metrics.h"
#include "ResourceShares.h"

#include <absl/status/status.h>

#include <memory>
#include <string>
#include <variant>

namespace lycheeledge {

/** @brief Translates between the HTTP protocol of a deployment and client calls. */
class IngressCodec {
public:
    virtual ~IngressCodec() = default;

    /** @brief Decodes a request. @return the call, or the response to send if the request is not a call. */
    virtual std::variant<jobs::ClientCall, HttpResponse> decodeCall(HttpRequest request) const = 0;
    virtual HttpResponse encodeReply(const jobs::ClientReply& reply) const = 0;
    virtual bool isReadinessCheck(const HttpRequest& request) const = 0;
};

struct ListenAddress {
    std::string host;
    std::uint16_t port = 0;

    bool operator==(const ListenAddress&) const = default;
};

struct JobDaemonSettings {
    std::string member;
    std::uint64_t incarnation = 0;
    std::string host; ///< IP address at which other members reach this one
    ListenAddress ingress;
    ListenAddress readiness;
    std::uint16_t peerPort = 0;
    std::uint16_t metricsPort = 0; ///< 0 disables the metrics endpoint
    jobs::EntryNodeSettings node;
    /// Time for which connections are still accepted after the readiness check fails. The load balancer probes once a
    /// second and removes a member on its second failed probe.
    Duration deregistrationDelay = std::chrono::milliseconds(2300);
    Duration stopLimit = std::chrono::milliseconds(5000); ///< from SIGTERM; must end before SIGKILL is sent
    Duration loadLogInterval = std::chrono::seconds(1); ///< of the `load` event
    /// Above the limit of the stored configuration, so that a call over that limit is refused with a reason.
    std::size_t maxBodyBytes = 512 << 10;
    ResourceShares shares = divideResources(0, 0);
};

/** @brief Wall-clock time in milliseconds since 1970-01-01 UTC. Not monotonic. */
std::int64_t unixMilliseconds();

/** @brief Connects the components of one member and runs its event loop. */
class JobDaemon {
public:
    struct Ports {
        EventLoop& loop;
        CompletionExecutor& executor;
        JsonEventLog& log;
        jobs::ClusterStore& store;
        const jobs::PlatformRecords& records;
        const jobs::SubmissionCodec& submissions;
        const IngressCodec& ingress;
        jobs::WorkerPort& workers;
        jobs::VmPort& vms;
        jobs::AdmissionPort& admission;
    };

    JobDaemon(Ports ports, JobDaemonSettings settings);
    ~JobDaemon();
    JobDaemon(const JobDaemon&) = delete;
    JobDaemon& operator=(const JobDaemon&) = delete;

    /** @brief Binds the ports and starts the servers. Errors: `UNAVAILABLE` if a port is in use. */
    absl::Status start();
    /** @brief Runs the event loop until a planned stop has completed. */
    void run();
    /** @brief Begins a planned stop. May be called from any thread. */
    void requestStop();
    /** @brief Logs that the settings file was reloaded. May be called from any thread. */
    void logReload();

private:
    void handleCall(HttpRequest request, const HttpServer::Respond& respond);
    void handleReadiness(const HttpRequest& request, const HttpServer::Respond& respond);
    void handleMetrics(const HttpServer::Respond& respond);
    void beginStop();
    void drain();
    void logLoad();
    RefusalCounts refusalCounts() const;
    void logRefusals();
    void updateMetrics();

    EventLoop& m_loop;
    CompletionExecutor& m_executor;
    JsonEventLog& m_log;
    const IngressCodec& m_ingress;
    JobDaemonSettings m_settings;
    CerealRecordCodec m_codec;
    FramedMemberPort m_memberPort;
    jobs::EntryNode m_node;
    Metrics m_metrics;
    HttpServer m_ingressServer;
    HttpServer m_readinessServer;
    std::unique_ptr<HttpServer> m_metricsServer;
    std::size_t m_callsInProgress = 0;
    std::uint64_t m_callsTotal = 0;
    std::uint64_t m_loggedRefusals = 0; ///< total when `clients_limited` was last logged
    LatencyHistogram m_callLatencies;
    bool m_stopping = false;
    bool m_resigned = false;
    TimePoint m_stopDeadline;
};

} // namespace lycheeledge
