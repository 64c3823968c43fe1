// Process of a member that schedules jobs: listeners, threads, readiness and planned stop.
#pragma once

#include "../jobs/EntryNode.h"
#include "../protocol/CerealRecordCodec.h"
#include "../protocol/CompletionExecutor.h"
#include "../protocol/FramedMemberPort.h"
#include "../transport/HttpServer.h"
#include "EventLoop.h"
#include "JsonEventLog.h"
#include "Metrics.h"

#include <absl/status/status.h>

#include <memory>
#include <string>
#include <variant>

namespace lycheeledge {

/** @brief Clients' calls as a deployment speaks them. */
class IngressCodec {
public:
    virtual ~IngressCodec() = default;

    /** @brief The call, or the response to a request that is none. */
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
    std::string host; ///< IP number under which other members reach this one
    ListenAddress ingress;
    ListenAddress readiness;
    std::uint16_t peerPort = 0;
    std::uint16_t metricsPort = 0; ///< 0: no metrics address
    jobs::EntryNodeSettings node;
    /// The balancer asks once a second and acts on the second miss.
    Duration readinessNotice = std::chrono::milliseconds(2300);
    Duration stopLimit = std::chrono::milliseconds(5000); ///< from the signal; shorter than the time until SIGKILL
    Duration reportInterval = std::chrono::seconds(1); ///< of the line that sums up the load
    std::size_t maxBodyBytes = 512 << 10; ///< above the configuration's limit, which is answered with a reason
    std::size_t maxConnections = 3000; ///< of clients; below the VM's limit of descriptors
};

/** @brief Time of day in milliseconds since 1970; it may jump. */
std::int64_t unixMilliseconds();

/** @brief Assembles and runs one member. */
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

    /** @brief Binds the ports. Errors: `UNAVAILABLE` if one is in use. */
    absl::Status start();
    /** @brief Runs until a planned stop has completed. */
    void run();
    /** @brief Begins a planned stop. May be called from any thread. */
    void requestStop();
    /** @brief Logs that the settings file was read again. May be called from any thread. */
    void noteReload();

private:
    void handleCall(HttpRequest request, const HttpServer::Respond& respond);
    void handleReadiness(const HttpRequest& request, const HttpServer::Respond& respond);
    void handleMetrics(const HttpServer::Respond& respond);
    void beginStop();
    void drain();
    void report();
    void updateMetrics();

    EventLoop& m_loop;
    CompletionExecutor& m_executor;
    JsonEventLog& m_log;
    const IngressCodec& m_ingress;
    JobDaemonSettings m_settings;
    CerealRecordCodec m_codec;
    FramedMemberPort m_members;
    jobs::EntryNode m_node;
    Metrics m_metrics;
    HttpServer m_ingressServer;
    HttpServer m_readinessServer;
    std::unique_ptr<HttpServer> m_metricsServer;
    std::size_t m_calls = 0; ///< in progress
    std::uint64_t m_callsTotal = 0;
    LatencyHistogram m_callTimes;
    bool m_stopping = false;
    bool m_resigned = false;
    TimePoint m_stopDeadline;
};

} // namespace lycheeledge
