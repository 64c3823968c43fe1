// Coordination of one member, which is either the owner or forwards calls to the owner.
#pragma once

#include "MemberMessages.h"
#include "OwnerLink.h"
#include "OwnerSession.h"
#include "OwnerYield.h"
#include "relay/RelayedWorkers.h"
#include "relay/WorkerRelay.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace lycheeledge::jobs {

struct EntryNodeSettings {
    OwnerLeaseSettings lease;
    OwnerLinkSettings link;
    JobSchedulerSettings scheduler;
    JobServiceSettings service;
    LedgerSettings ledger;
    MaintenanceSettings maintenance;
    YieldSettings yield;
    OwnerSessionSettings session;
    RelaySettings relay;
    std::string dataCentre; ///< of this VM
    double cpuShare = 1; ///< of this VM, in cores
    /// Maximum wait for pending commits before the ownership is released.
    Duration resignLimit = std::chrono::milliseconds(600);
};

/**
 * @brief Coordination of one entry process.
 *
 * Every member accepts client calls. The owner handles them; the other members forward them to the owner. Members also
 * call the admission service and, on large fleets, the workers on the owner's behalf.
 */
class EntryNode final : private OwnerLeaseListener,
                        private OwnerLinkListener,
                        private MemberListener,
                        private AdmissionPort {
public:
    struct Ports {
        Runtime& runtime;
        ClusterStore& store;
        const PlatformRecords& records;
        const RecordCodec& codec;
        const SubmissionCodec& submissions;
        WorkerPort& workers;
        VmPort& vms;
        AdmissionPort& admission; ///< for calls from this process; the relay id is always 0
        MemberPort& members;
        EventLog& log;
        std::function<std::int64_t()> unixMs;
    };

    EntryNode(Ports ports, OwnerRecord self, const EntryNodeSettings& settings = {});

    void start();
    /** @brief Listener to register with the MemberPort. */
    MemberListener& memberListener() { return *this; }
    void handle(const ClientCall& call, JobService::Reply reply);
    /** @brief Whether this member can currently serve calls. */
    bool isReady() const;
    /** @brief Stores pending changes, releases the ownership and calls `done`. Calls are still forwarded afterwards. */
    void resign(std::function<void()> done);

    /** @brief Answers the calls in progress as unknown and refuses new ones, because the process is ending. */
    void endCalls() { m_link.endCalls(); }

    const OwnerLease& lease() const { return m_lease; }
    const OwnerSession& session() const { return m_session; }
    const OwnerLink& link() const { return m_link; }
    const AdmissionDispatcher& admissionDispatcher() const { return m_admissionDispatcher; }
    const RelayedWorkers& relayedWorkers() const { return m_relayedWorkers; }
    const WorkerRelay& workerRelay() const { return m_workerRelay; }

private:
    // OwnerLeaseListener
    void ownershipGained(Epoch epoch, const std::string& headValue, Revision headRevision) override;
    void ownershipLost(const char* reason) override;
    void ownershipConfirmed() override { m_session.ownershipConfirmed(); }
    void ownerChanged(const std::optional<OwnerRecord>& owner) override;
    void handoverDue(Epoch epoch) override;
    bool ownerIsReachable() const override { return m_link.ownerIsReachable(); }
    double largestCpuShare() const override;
    // OwnerLinkListener
    void handoverRequested(Epoch epoch) override { m_lease.handoverRequested(epoch); }
    void ownerProcessEnded() override;
    // MemberListener
    void received(MemberConnection connection, const MemberMessage& message) override;
    void closed(MemberConnection connection) override;
    // AdmissionPort: calls the service from this process or through a connected member
    void call(RelayId relay, const AdmissionRequest& request, Duration timeout, Done done) override;

    void checkEarlierOwners();
    void measureLag(TimePoint due);
    void yieldIfNeeded();
    void requestHandoverIfNeeded();
    void flushAndRelease(std::function<void()> release);
    void sendOwnerStatus(MemberConnection connection);
    void sendOwnerStatusToAll();
    /** @brief Called when the session becomes active: notifies the members and handles the waiting calls. */
    void activated();
    void completeAdmission(std::uint64_t id, const absl::StatusOr<std::vector<AdmissionGrant>>& grants);

    struct PendingAdmission {
        RelayId relay = 0;
        Done done;
    };

    Runtime& m_runtime;
    Duration m_resignLimit;
    double m_cpuShare;
    YieldSettings m_yield;
    Duration m_timerLag {}; ///< moving average of timer lateness over about the last second
    TimePoint m_ownerSince;
    bool m_yielding = false;
    Duration m_handoverRequestInterval;
    TimePoint m_lastHandoverRequest;
    MemberPort& m_members;
    AdmissionPort& m_admission;
    EventLog& m_log;
    AdmissionDispatcher m_admissionDispatcher;
    RelayedWorkers m_relayedWorkers; ///< used while this process is the owner
    WorkerRelay m_workerRelay; ///< used while it is not
    OwnerLease m_lease;
    OwnerLink m_link;
    OwnerSession m_session;
    /// Connections that sent a Handshake, with the processor share of the member's VM; each is a relay of
    /// m_admissionDispatcher.
    std::map<MemberConnection, double> m_followers;
    std::set<std::string> m_handshakeSenders; ///< members that have sent a Handshake to this owner
    std::map<std::uint64_t, PendingAdmission> m_admissionRequests; ///< sent to members and not yet answered
    std::uint64_t m_nextAdmissionRequest = 0;
};

} // namespace lycheeledge::jobs
