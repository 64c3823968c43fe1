// Cluster membership of this process: lease, roster, gossip, and freshness of the configuration.
#pragma once

#include "../state/Configuration.h"
#include "ConfigurationCache.h"
#include "FailureDetector.h"
#include "Freshness.h"
#include "InForceWaits.h"
#include "MemberLease.h"
#include "MemberRecord.h"
#include "MembershipTimes.h"
#include "OwnerTable.h"
#include "PeerLink.h"
#include "QuorumMaintainer.h"
#include "RetiredEntityCleanup.h"
#include "RosterView.h"
#include "Runtime.h"
#include "Store.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace lycheeledge {

/**
 * @brief Keeps this process in the roster, gossips with all other members and reads changes from the store.
 *
 * One store read per second covers the configuration, the roster, the members' leases and the owners of the cells.
 * Gossip that reports a newer configuration triggers an additional read.
 */
class Membership {
public:
    /** @param self record of this process; its incarnation must be higher than that of earlier starts with this id. */
    Membership(Runtime& runtime, Store& store, PeerLink& peers, MemberRecord self, MembershipTimes times = {});
    ~Membership();
    Membership(const Membership&) = delete;
    Membership& operator=(const Membership&) = delete;

    /** @brief Joins the cluster. */
    void start();
    /** @brief Marks this process as stopping in its gossip, so that it is no longer a candidate for owning cells. */
    void setStopping() { m_stopping = true; }
    /**
     * @brief Leaves the roster and releases the lease. The process no longer serves: isFresh() is false.
     * @param done called once the records are deleted; retried until the store is reachable.
     */
    void leave(std::function<void()> done);
    void gossipReceived(const Gossip& message);
    /** @brief Sets the source of the cells that this process owns. */
    void setOwnedCells(std::function<std::vector<OwnedCell>()> source) { m_ownedCells = std::move(source); }

    const MemberRecord& self() const { return m_self; }
    std::vector<MemberRecord> roster() const;
    /** @brief Members that hold a lease or gossiped recently, except stopping and suspected ones, sorted by id. */
    std::vector<MemberId> liveMembers() const;
    /** @brief Lease to bind keys of this process to; none if it may have ended. */
    std::optional<StoreLeaseId> storeLease() const { return m_lease.current(); }

    /** @brief Whether the last read succeeded and is no older than the isolation time. */
    bool storeReachable() const;
    /** @brief Time since the last successful read was issued. */
    Duration storeContactAge() const;
    /** @brief Whether the configuration is recent enough to serve with. */
    bool isFresh() const;

    /** @brief Owner of a cell according to the store and the members' gossip; none if the cell has no owner. */
    std::optional<MemberRecord> ownerOf(const CellId& cell) const;
    /** @brief Epoch of the owner that ownerOf() returns; 0 if the cell has no owner. */
    Epoch ownerEpoch(const CellId& cell) const;
    /** @brief Owner of a cell as last read from the store. */
    std::optional<OwnerRecord> ownerRecord(const CellId& cell) const { return m_owners.record(cell); }
    /** @brief Whether another member recently gossiped that it is the active owner of the cell. */
    bool ownerClaimsActive(const CellId& cell) const;

    /** @brief The configuration in force. The reference stays valid as long as this object exists. */
    const Configuration& configuration() const { return m_cache.configuration(); }
    /** @brief Version of an entity of the configuration, by store key; 0 if it was never read. */
    std::uint64_t versionOf(const std::string& storeKey) const { return m_cache.versionOf(storeKey); }
    /** @brief Whether more than half of the roster reports the member as silent, so that its cells are taken over. */
    bool isSuspected(const MemberId& member) const { return m_failureDetector.isSuspected(member, m_runtime.now()); }
    /** @brief Sends gossip immediately, for a change that other members should learn of before the next interval. */
    void gossipImmediately();
    /** @brief Calls `listener` after each change of the owner of a cell. */
    void onOwnersChanged(std::function<void()> listener) { m_ownerListeners.push_back(std::move(listener)); }
    /** @brief Calls `listener` after each change of the configuration. */
    void onConfigurationChanged(std::function<void(const Configuration&)> listener)
    {
        m_configurationListeners.push_back(std::move(listener));
    }
    /** @brief Calls `listener` after each successful read. */
    void onRead(std::function<void()> listener) { m_readListeners.push_back(std::move(listener)); }

    /** @brief Reads the store now, or once more after the read in progress. */
    void refresh();
    /** @brief Waits until a change is in force at all members, at most for MembershipTimes::inForceTimeout. */
    void whenInForce(Revision revision, InForceWaits::Callback done);

private:
    void gossipTick();
    void sendGossip();
    void readTick();
    void startRead();
    void readDone(TimePoint issued, bool full, absl::StatusOr<StoreSnapshot> result);
    void apply(TimePoint issued, bool full, const StoreSnapshot& snapshot);
    void scheduleRefresh();
    void maintainQuorum();
    void releaseLease();
    void leaveReadDone(TimePoint issued, const absl::StatusOr<StoreSnapshot>& result);
    void notifyOwnerListeners();

    Runtime& m_runtime;
    Store& m_store;
    PeerLink& m_peers;
    const MemberRecord m_self;
    const MembershipTimes m_times;

    ConfigurationCache m_cache;
    RosterView m_roster;
    OwnerTable m_owners;
    Freshness m_freshness;
    FailureDetector m_failureDetector;
    InForceWaits m_inForceWaits;
    MemberLease m_lease;
    QuorumMaintainer m_quorumMaintainer;
    RetiredEntityCleanup m_retiredEntityCleanup;

    std::uint64_t m_sequence = 0; ///< of the last gossip sent
    bool m_stopping = false;
    bool m_left = false;
    bool m_leaveReadPending = false; ///< the read in progress precedes another releaseLease()
    std::function<void()> m_leaveDone;

    bool m_reading = false;
    bool m_readAgain = false;
    bool m_lastReadFailed = false;
    bool m_readScheduled = false;
    TimePoint m_readIssued;
    Revision m_snapshotRevision = 0; ///< store revision of the newest read applied
    std::optional<TimePoint> m_fullReadAt; ///< when the last successful read of all entities was issued
    std::optional<TimePoint> m_lastContact; ///< when the last successful read was issued

    std::function<std::vector<OwnedCell>()> m_ownedCells;
    std::map<CellId, OwnerTable::Owner> m_notifiedOwners;
    std::vector<std::function<void()>> m_ownerListeners;
    std::vector<std::function<void(const Configuration&)>> m_configurationListeners;
    std::vector<std::function<void()>> m_readListeners;

    Runtime::TimerId m_gossipTimer = 0;
    Runtime::TimerId m_readTimer = 0;
    Runtime::TimerId m_scheduledReadTimer = 0;
    Runtime::TimerId m_leaveTimer = 0;
    std::shared_ptr<Membership*> m_alive = std::make_shared<Membership*>(this); ///< expires with this object
};

} // namespace lycheeledge
