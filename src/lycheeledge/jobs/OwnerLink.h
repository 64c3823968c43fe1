// Connection of a member to the owner: forwards calls, and calls the admission service for it.
#pragma once

#include "../coordination/Runtime.h"
#include "EventLog.h"
#include "JobService.h"
#include "MemberMessages.h"
#include "OwnerLease.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lycheeledge::jobs {

struct OwnerLinkSettings {
    Duration pingInterval = std::chrono::milliseconds(400);
    Duration silenceLimit = std::chrono::milliseconds(1300); ///< a connection without bytes for so long is given up
    Duration reconnectPause = std::chrono::milliseconds(150);
    Duration heardLimit = std::chrono::milliseconds(900); ///< two pings, and time for a busy owner to answer
    std::size_t maxCalls = 2000; ///< in progress; further ones are refused
    std::uint32_t retryAfterS = 1; ///< Retry-After while no owner is known; a takeover takes about 2.5 s
};

class OwnerLink {
public:
    using Reply = std::function<void(ClientReply)>;

    /** @param hello introduces this process. */
    OwnerLink(Runtime& runtime, MemberPort& port, AdmissionPort& admission, EventLog& log, Hello hello,
        OwnerLinkSettings settings = {});

    /** @brief The owner to connect to; nothing if there is none, or if it is this process. */
    void setOwner(const std::optional<OwnerRecord>& owner);
    /**
     * @brief Forwards a call. Refuses it at once if no owner is connected.
     *
     * Calls whose owner is lost are forwarded to the next one: whether they were carried out is not known, and
     * repeating them changes nothing.
     */
    void forward(const ClientCall& call, Reply reply);
    bool isReady() const { return m_connection && m_active && !m_ended; }
    /** @brief Whether the owner's process has sent something just now. */
    bool ownerIsHeard() const { return isReady() && m_runtime.now() - m_heardAt <= m_settings.heardLimit; }
    double largestCpuShare() const { return m_largestCpuShare; }
    /** @brief Takes over a call that this process could not finish as the owner. */
    void adopt(ClientCall call, TimePoint deadline, Reply reply);
    /** @brief Gives the calls in progress away, to be handled by this process as the owner. */
    std::vector<JobService::Unfinished> takeCalls();
    /** @brief The process ends: answers the calls in progress, and refuses further ones. */
    void endCalls();
    std::size_t callsInProgress() const { return m_calls.size(); }

    bool owns(MemberConnection connection) const { return m_connection == connection; }
    void received(MemberConnection connection, const MemberMessage& message);
    void closed(MemberConnection connection);

private:
    void sendCall(std::uint64_t id);
    void connect();
    void drop(const char* reason);
    void ping(MemberConnection connection);
    void ask(MemberConnection connection, const AdmissionMessage& message);

    Runtime& m_runtime;
    MemberPort& m_port;
    AdmissionPort& m_admission;
    EventLog& m_log;
    Hello m_hello;
    OwnerLinkSettings m_settings;
    std::optional<OwnerRecord> m_owner;
    std::optional<MemberConnection> m_connection;
    bool m_active = false; ///< the owner takes calls
    bool m_ended = false; ///< no call is taken any more
    TimePoint m_heardAt;
    double m_largestCpuShare = 0; ///< as the last owner told
    std::uint64_t m_pings = 0;
    std::uint64_t m_nextCall = 0;
    std::map<std::uint64_t, JobService::Unfinished> m_calls;
};

} // namespace lycheeledge::jobs
