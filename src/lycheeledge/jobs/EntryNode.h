// One member: the owner, or a forwarder of calls to it.
#pragma once

#include "MemberMessages.h"
#include "OwnerLink.h"
#include "OwnerSession.h"
#include "OwnerYield.h"

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
    double cpuShare = 1; ///< of this VM, in cores
    Duration resignLimit = std::chrono::milliseconds(600); ///< longest wait for commits before ownership is given up
};

/**
 * @brief Coordination of one entry process.
 *
 * Every member takes clients' calls. The owner handles them; the others forward them to it. The members also call the
 * admission service on the owner's behalf.
 */
class EntryNode final : private OwnerLeaseListener, private MemberListener, private AdmissionPort {
public:
    struct Ports {
        Runtime& runtime;
        ClusterStore& store;
        const PlatformRecords& records;
        const RecordCodec& codec;
        const SubmissionCodec& submissions;
        WorkerPort& workers;
        VmPort& vms;
        AdmissionPort& admission; ///< calls from this process; its relay is always 0
        MemberPort& members;
        EventLog& log;
        std::function<std::int64_t()> unixMs;
    };

    EntryNode(Ports ports, OwnerRecord self, const EntryNodeSettings& settings = {});

    void start();
    /** @brief Receives messages of the MemberPort. */
    MemberListener& memberListener() { return *this; }
    void handle(const ClientCall& call, JobService::Reply reply);
    /** @brief Whether calls are served now. */
    bool isReady() const;
    /** @brief Gives ownership up after storing what is pending, and calls `done`. Calls are forwarded further on. */
    void resign(std::function<void()> done);

    /** @brief The process ends: answers the calls in progress, and refuses further ones. */
    void endCalls() { m_link.endCalls(); }

    const OwnerLease& lease() const { return m_lease; }
    const OwnerSession& session() const { return m_session; }
    const OwnerLink& link() const { return m_link; }
    const AdmissionDesk& desk() const { return m_desk; }

private:
    // OwnerLeaseListener
    void ownershipGained(Epoch epoch, const std::string& headValue, Revision headRevision) override;
    void ownershipLost(const char* reason) override;
    void ownerChanged(const std::optional<OwnerRecord>& owner) override;
    bool ownerIsHeard() const override { return m_link.ownerIsHeard(); }
    double largestCpuShare() const override;
    // MemberListener
    void received(MemberConnection connection, const MemberMessage& message) override;
    void closed(MemberConnection connection) override;
    // AdmissionPort of the desk: this process, or a member
    void ask(RelayId relay, const AdmissionQuestion& question, Duration timeout, Done done) override;

    void noteEarlierOwners();
    void measureLag(TimePoint due);
    void considerYield();
    void giveUp(std::function<void()> release);
    void welcome(MemberConnection connection);
    void welcomeMembers();
    /** @brief The session is active: tells the members, and handles the calls that waited for an owner. */
    void activated();
    void answered(std::uint64_t id, const absl::StatusOr<std::vector<AdmissionGrant>>& grants);

    struct Question {
        RelayId relay = 0;
        Done done;
    };

    Runtime& m_runtime;
    Duration m_resignLimit;
    double m_cpuShare;
    YieldSettings m_yield;
    Duration m_lag {}; ///< mean lateness of timers, weighted towards the last second
    TimePoint m_ownerSince;
    bool m_givingUp = false;
    MemberPort& m_members;
    AdmissionPort& m_admission;
    EventLog& m_log;
    AdmissionDesk m_desk;
    OwnerLease m_lease;
    OwnerLink m_link;
    OwnerSession m_session;
    /// Connections that said hello, with the processor share of the VM; each is a relay of the desk.
    std::map<MemberConnection, double> m_followers;
    std::set<std::string> m_helloFrom; ///< members that have said hello to this owner
    std::map<std::uint64_t, Question> m_questions; ///< with members
    std::uint64_t m_nextQuestion = 0;
};

} // namespace lycheeledge::jobs
