// One entry process: all parts of lycheeledged and their threads.
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

    // What CellOwnership needs to know of the membership.
    class MembershipView final : public OwnershipView {
    public:
        explicit MembershipView(const Membership& membership)
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

    // Owners of cells for the router: this process's own state first, then what the membership knows.
    class MembershipOwners final : public OwnerDirectory {
    public:
        MembershipOwners(const Membership& membership, const CellController& cell)
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

/** @brief Assembles an entry process from its settings. */
class EntryProcess final : private PeerListener {
public:
    /** @param seed of all random numbers. @param incarnation higher than that of earlier starts of this member. */
    EntryProcess(Settings settings, std::uint64_t seed, std::uint64_t incarnation);
    ~EntryProcess() override;
    EntryProcess(const EntryProcess&) = delete;
    EntryProcess& operator=(const EntryProcess&) = delete;

    /** @brief Binds the ports. Errors: `UNAVAILABLE` if one is in use. */
    absl::Status start();
    /** @brief Runs the coordination thread's loop until a planned stop has completed. */
    void run();
    /** @brief Begins a planned stop. May be called from any thread. */
    void requestStop();
    /** @brief Reads the listener's certificate and key again. May be called from any thread. */
    void reloadCertificate();

private:
    void gossipReceived(const Gossip& message) override { m_membership.gossipReceived(message); }
    void messageReceived(const MemberId& from, const PeerMessage& message) override
    {
        m_router.messageReceived(from, message);
    }

    void beginStop();
    bool stopLimitReached() const { return m_loop.now() >= m_stopDeadline; }
    void handOver();
    void drain();
    void leave();

    Settings m_settings;
    EventLoop m_loop;
    LoopExecutor m_executor;
    HttpClient m_platformClient; // store and VM list
    HttpClient m_workerClient;
    EtcdStore m_store;
    HttpVmDirectory m_directory;
    HttpWorkerGateway m_gateway;
    AsioPeerLink m_link;
    CerealJournalCodec m_journalCodec;
    Membership m_membership;
    detail::MembershipView m_view;
    CellController m_cell;
    detail::MembershipOwners m_owners;
    Telemetry m_telemetry;
    TracedCell m_tracedCell;
    RequestRouter m_router;
    Authenticator m_authenticator;
    OperatorCommands m_commands;
    RpcService m_service;
    HttpGateway m_http;
    HttpServer m_server;
    bool m_stopping = false;
    bool m_handedOver = false; // the cell was released, or was never owned
    TimePoint m_stopDeadline;
};

} // namespace lycheeledge
