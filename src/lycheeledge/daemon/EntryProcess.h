// One lycheeledged process: creates, connects and runs its components.
#pragma once

#include "../coordination/Authenticator.h"
#include "../coordination/CellController.h"
#include "../coordination/Membership.h"
#include "../coordination/OperatorCommands.h"
#include "../coordination/RequestRouter.h"
#include "../protocol/AsioPeerLink.h"
#include "../protocol/CompletionExecutor.h"
#include "../protocol/EtcdStore.h"
#include "../protocol/HttpVmDirectory.h"
#include "../protocol/HttpWorkerGateway.h"
#include "../protocol/JournalCodec.h"
#include "../transport/HttpClient.h"
#include "../transport/HttpServer.h"
#include "EventLoop.h"
#include "HttpGateway.h"
#include "LoopExecutor.h"
#include "RpcService.h"
#include "Settings.h"
#include "Telemetry.h"
#include "TracedCell.h"

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace lycheeledge {

namespace detail {

    // Gives CellOwnership its view of the membership.
    class MembershipOwnershipView final : public OwnershipView {
    public:
        explicit MembershipOwnershipView(const Membership& membership)
            : m_membership(membership)
        {
        }
        std::vector<MemberId> liveMembers() const override { return m_membership.liveMembers(); }
        std::optional<EpochRecord> epochRecord(const CellId& cell) const override;
        bool ownerLeaseExists(const CellId& cell) const override;
        bool isClaimedByAnother(const CellId& cell) const override { return m_membership.ownerClaimsActive(cell); }
        bool isOwnerSuspected(const CellId& cell) const override;
        std::optional<StoreLeaseId> storeLease() const override { return m_membership.storeLease(); }
        MemberId self() const override { return m_membership.self().id; }
        std::uint64_t incarnation() const override { return m_membership.self().incarnation; }
        Address address() const override { return m_membership.self().peer; }

    private:
        const Membership& m_membership;
    };

    // Looks up owners of cells for the router: in this process's own cell first, then in the membership.
    class MembershipOwnerDirectory final : public OwnerDirectory {
    public:
        MembershipOwnerDirectory(const Membership& membership, const CellController& cell)
            : m_membership(membership)
            , m_cell(cell)
        {
        }
        std::optional<OwnerLocation> ownerOf(const CellId& cell) const override;

    private:
        const Membership& m_membership;
        const CellController& m_cell;
    };

} // namespace detail

/** @brief Creates and connects the components of an entry process. */
class EntryProcess final : private PeerListener {
public:
    /** @param seed seeds all random numbers. @param incarnation higher than at any earlier start of this member. */
    EntryProcess(Settings settings, std::uint64_t seed, std::uint64_t incarnation);
    ~EntryProcess() override;
    EntryProcess(const EntryProcess&) = delete;
    EntryProcess& operator=(const EntryProcess&) = delete;

    /** @brief Binds the ports and starts the servers. Errors: `UNAVAILABLE` if a port is in use. */
    absl::Status start();
    /** @brief Runs the event loop on the calling thread until a planned stop has completed. */
    void run();
    /** @brief Begins a planned stop. May be called from any thread. */
    void requestStop();
    /** @brief Reloads the certificate and key of the HTTP listener. May be called from any thread. */
    void reloadCertificate();

private:
    void gossipReceived(const Gossip& message) override { m_membership.gossipReceived(message); }
    void messageReceived(const MemberId& from, const PeerMessage& message) override
    {
        m_router.messageReceived(from, message);
    }

    void beginStop();
    void logRefusals();
    bool stopLimitReached() const { return m_loop.now() >= m_stopDeadline; }
    void handOver();
    void drain();
    void leave();

    Settings m_settings;
    EventLoop m_loop;
    LoopExecutor m_executor;
    HttpClient m_platformClient; // for the store and the VM list
    HttpClient m_workerClient;
    EtcdStore m_store;
    HttpVmDirectory m_vmDirectory;
    HttpWorkerGateway m_workerGateway;
    AsioPeerLink m_peerLink;
    CerealJournalCodec m_journalCodec;
    Membership m_membership;
    detail::MembershipOwnershipView m_ownershipView;
    CellController m_cell;
    detail::MembershipOwnerDirectory m_ownerDirectory;
    Telemetry m_telemetry;
    TracedCell m_tracedCell;
    RequestRouter m_router;
    Authenticator m_authenticator;
    OperatorCommands m_commands;
    RpcService m_service;
    HttpGateway m_httpGateway;
    HttpServer m_httpServer;
    bool m_stopping = false;
    std::uint64_t m_loggedRefusals = 0; ///< total at the last log line
    bool m_handedOver = false; // the cell was released or was never owned
    TimePoint m_stopDeadline;
};

} // namespace lycheeledge
