// Connection of a member to the owner: forwards client calls, and calls the admission service on the owner's behalf.
#pragma once

#include "../coordination/Runtime.h"
#include "EventLog.h"
#include "JobService.h"
#include "MemberMessages.h"
#include "OwnerLease.h"
#include "relay/WorkerRelay.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lycheeledge::jobs {

/** @brief Called on the coordination thread. */
class OwnerLinkListener {
public:
    virtual ~OwnerLinkListener() = default;

    virtual void handoverRequested(Epoch epoch) = 0;
    /** @brief Connections to the owner's address are refused. */
    virtual void ownerProcessEnded() = 0;
};

struct OwnerLinkSettings {
    Duration pingInterval = std::chrono::milliseconds(400);
    /// A connection on which no message has arrived for this long is closed.
    Duration silenceTimeout = std::chrono::milliseconds(1300);
    Duration reconnectPause = std::chrono::milliseconds(150);
    Duration ownerResponseLimit = std::chrono::milliseconds(900); ///< two pings plus the response time of a busy owner
    std::size_t maxCalls = 2000; ///< maximum in progress; further calls are refused
    std::uint32_t retryAfterS = 1; ///< Retry-After while no owner is known; a takeover takes about 2.5 s
};

class OwnerLink {
public:
    using Reply = ReplyHandler;

    /** @param handshake first message on each connection; identifies this process. */
    OwnerLink(Runtime& runtime, MemberPort& port, AdmissionPort& admission, WorkerRelay& relay, EventLog& log,
        Handshake handshake, OwnerLinkSettings settings = {});

    void setListener(OwnerLinkListener* listener) { m_listener = listener; }
    /** @brief Sets the owner to connect to; empty if there is none or it is this process. */
    void setOwner(const std::optional<OwnerRecord>& owner);
    /**
     * @brief Forwards a call, or refuses it immediately if no owner is connected.
     *
     * If the owner is lost, its calls are forwarded to the next owner. The lost owner may have carried them out: all
     * calls are idempotent, and a rejection by the next owner is answered as unknown.
     */
    void forward(const ClientCall& call, Reply reply);
    bool isReady() const { return m_connection && m_active && !m_ended; }
    /** @brief Whether the owner's process sent a message within the last ownerResponseLimit. */
    bool ownerIsReachable() const
    {
        return isReady() && m_runtime.now() - m_lastReceivedAt <= m_settings.ownerResponseLimit;
    }
    double largestCpuShare() const { return m_largestCpuShare; }
    /**
     * @brief Adds a call, which is forwarded as soon as an owner is connected.
     *
     * Used for new calls and for calls that this process could not finish as the owner.
     */
    void addCall(JobService::UnfinishedCall call);
    /** @brief Removes and returns the calls in progress, for this process to handle as the new owner. */
    std::vector<JobService::UnfinishedCall> takeCalls();
    /** @brief Tells the owner that the store answers this process. Does nothing if no owner is connected. */
    void confirmHandover(Epoch epoch);
    /** @brief Answers the calls in progress as unknown and refuses new ones, because the process is ending. */
    void endCalls();
    std::size_t callsInProgress() const { return m_calls.size(); }

    bool isOwnerConnection(MemberConnection connection) const { return m_connection == connection; }
    void received(MemberConnection connection, const MemberMessage& message);
    void closed(MemberConnection connection);

private:
    void sendCall(std::uint64_t id);
    void connect();
    void disconnect(const char* reason);
    void ping(MemberConnection connection);
    void handleAdmissionRequest(MemberConnection connection, const AdmissionMessage& message);

    Runtime& m_runtime;
    MemberPort& m_port;
    AdmissionPort& m_admission;
    WorkerRelay& m_relay;
    EventLog& m_log;
    Handshake m_handshake;
    OwnerLinkSettings m_settings;
    OwnerLinkListener* m_listener = nullptr;
    std::optional<OwnerRecord> m_owner;
    int m_refusedConnections = 0; ///< in a row, closed before a message arrived
    bool m_receivedOnConnection = false;
    std::optional<MemberConnection> m_connection;
    bool m_active = false; ///< whether the owner accepts calls
    bool m_ended = false; ///< whether endCalls() was called
    TimePoint m_lastReceivedAt;
    double m_largestCpuShare = 0; ///< as last reported by an owner
    std::uint64_t m_pings = 0;
    std::uint64_t m_nextCall = 0;
    std::map<std::uint64_t, JobService::UnfinishedCall> m_calls;
};

} // namespace lycheeledge::jobs
