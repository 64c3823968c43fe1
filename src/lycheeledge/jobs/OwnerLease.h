// Election of the owner by a lease in the store.
#pragma once

#include "../coordination/Runtime.h"
#include "ClaimPolicy.h"
#include "ClusterStore.h"
#include "EventLog.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace lycheeledge::jobs {

/** @brief Stored record that names the current owner of the jobs. */
struct OwnerRecord {
    std::string member;
    std::uint64_t incarnation = 0; ///< of the member's process
    Epoch epoch = 0;
    std::string host;
    std::uint16_t port = 0; ///< that other members connect to
    StoreLeaseId lease = 0; ///< the store removes the record when this lease ends

    bool operator==(const OwnerRecord&) const = default;
};

std::string encodeOwner(const OwnerRecord& record);
/** @brief Errors: `INVALID_ARGUMENT`. */
absl::StatusOr<OwnerRecord> decodeOwner(const std::string& text);

struct OwnerLeaseSettings {
    std::string ownerKey = "lycheeledge/owner";
    std::string epochKey = "lycheeledge/epoch"; ///< written only by claims
    Duration timeToLive = std::chrono::milliseconds(1500); ///< limits how long a dead owner delays a takeover
    Duration renewInterval = std::chrono::milliseconds(350);
    /// Above 240 ms, the response time of a store at 60 times its usual latency.
    Duration callTimeout = std::chrono::milliseconds(900);
    Duration watchWait = std::chrono::milliseconds(5000);
    Duration retryPause = std::chrono::milliseconds(200);
    /// A claim is delayed by one to two times this, at random, so that members don't claim together. Small VMs wait
    /// longer.
    Duration claimDelay = std::chrono::milliseconds(40);
    Duration claimCheckInterval = std::chrono::milliseconds(50); ///< between checks while a claim is delayed
    ClaimSettings claim;
    HandoverSettings handover;
    double cpuShare = 1; ///< of this VM, in cores
    /// An owner whose ownership has not been confirmed for this long stops sending orders, and the leases that it has
    /// granted end. Must exceed the store outages that an owner should survive, by 2.5 s for renewals and polls. A new
    /// owner waits this long where it cannot fence workers.
    Duration confirmationLimit = std::chrono::milliseconds(8000);
    /// A process that did not run for this long may have been replaced meanwhile. Less than `timeToLive` without
    /// `renewInterval`, after which the lease may have ended.
    Duration freezeLimit = std::chrono::milliseconds(1000);
};

class OwnerLeaseListener {
public:
    virtual ~OwnerLeaseListener() = default;

    /** @param headValue written to the head records by the claim. @param headRevision of those records. */
    virtual void ownershipGained(Epoch epoch, const std::string& headValue, Revision headRevision) = 0;
    virtual void ownershipLost(const char* reason) = 0;
    /** @brief OwnerLease::confirmedAt() has advanced. */
    virtual void ownershipConfirmed() = 0;
    /** @brief The known owner changed. @param owner another member, or empty if none is known. */
    virtual void ownerChanged(const std::optional<OwnerRecord>& owner) = 0;
    /** @brief The store answers this process, and the owner of this epoch asked for a handover. */
    virtual void handoverDue(Epoch epoch) = 0;
    /** @brief Whether messages from the last owner's process still arrive. */
    virtual bool ownerIsReachable() const = 0;
    /** @brief Largest processor share among the members, in cores; 0 if unknown. */
    virtual double largestCpuShare() const = 0;
};

/** @brief Watches the owner record, claims it when it is absent, and renews it while this process is the owner. */
class OwnerLease {
public:
    /** @param self record of this process; its epoch is ignored. */
    OwnerLease(
        Runtime& runtime, ClusterStore& store, EventLog& log, OwnerRecord self, OwnerLeaseSettings settings = {});
    OwnerLease(const OwnerLease&) = delete;
    OwnerLease& operator=(const OwnerLease&) = delete;

    void setListener(OwnerLeaseListener* listener) { m_listener = listener; }
    void start();
    /** @brief Ends the ownership, for example when the store or a worker reports that another process has it. */
    void dropOwnership(const char* reason);
    /** @brief Ends the ownership, if held, and never claims it again. */
    void resign();
    /** @brief Ends the ownership and does not claim it again during `pause`. */
    void yield(const char* reason, Duration pause);
    /** @brief Whether this owner should ask the members to take over, because the store does not answer it. */
    bool needsHandover() const;
    /** @brief The owner of this epoch asks for a handover. Ends its lease once the store has answered this process for
     * a while. */
    void handoverRequested(Epoch epoch);
    /** @brief A member found that the store answers it, so the store turns away this owner alone. Ends the ownership of
     * this epoch unless the store has answered meanwhile. */
    void handoverConfirmed(Epoch epoch);
    /** @brief The owner's process has ended: nothing listens at its address. Ends its lease. */
    void ownerProcessEnded();
    /** @brief Confirms the ownership: a call sent at this time succeeded that only the owner of this epoch can make. */
    void confirmed(TimePoint sentAt);
    TimePoint confirmedAt() const { return m_confirmedAt; }
    /** @brief The store answered any call that this process sent at this time. */
    void storeAnswered(TimePoint sentAt) { m_answeredAt = std::max(m_answeredAt, sentAt); }

    bool isOwner() const { return m_epoch.has_value(); }
    Epoch epoch() const { return m_epoch.value_or(0); }
    /** @brief Until when this process may send orders unless it is confirmed again. No lease that it grants lasts
     * longer. */
    TimePoint ordersEnd() const;
    /** @brief Whether this process is the owner and was confirmed recently enough to send orders. */
    bool maySendOrders() const;
    /**
     * @brief Whether it may also start tasks: not between a freeze of this process and the next confirmation, since a
     * worker that restarted meanwhile does not know the fencing token of the next owner.
     */
    bool mayStartTasks() const;
    /** @brief This process runs. Called at intervals far below the freeze limit. */
    void noteRunning();
    std::optional<OwnerRecord> owner() const { return m_owner; }
    /** @brief Other members that owned the jobs shortly before this owner's claim. */
    const std::set<std::string>& earlierOwners() const { return m_earlierOwners; }

private:
    void readOwner();
    void watch(Revision after);
    void handleOwnerEvents(const absl::StatusOr<StoreEvents>& events, Revision after);
    void updateOwner(const std::optional<StoreEntry>& entry);
    void endLeaseOfEarlierProcess();
    void endLeaseOf(const OwnerRecord& owner, const char* reason);
    void checkForHandover(const OwnerRecord& owner, const std::function<void()>& done);
    void scheduleClaim();
    void claimOrWait();
    void claim();
    void claimWithLease(StoreLeaseId lease);
    void commitClaim(StoreLeaseId lease, const StoreValue& lastEpoch);
    void becomeOwner(StoreLeaseId lease, Epoch epoch, const std::string& headValue, Revision headRevision);
    void renew();
    void reclaim();
    void retry(void (OwnerLease::*step)());

    Runtime& m_runtime;
    ClusterStore& m_store;
    EventLog& m_log;
    OwnerRecord m_self;
    OwnerLeaseSettings m_settings;
    OwnerLeaseListener* m_listener = nullptr;
    std::optional<OwnerRecord> m_owner; ///< as last read
    std::optional<Epoch> m_epoch; ///< set while this process is the owner
    StoreLeaseId m_lease = 0;
    Revision m_claimRevision = 0; ///< of the epoch record, as written by this owner's claim
    TimePoint m_confirmedAt;
    TimePoint m_answeredAt;
    TimePoint m_runningAt; ///< last call of noteRunning()
    TimePoint m_wokeAt; ///< end of the last freeze
    bool m_claiming = false;
    int m_failedRenewals = 0; ///< in a row, as the owner
    std::optional<TimePoint> m_renewalSentAt; ///< of the renewal in progress
    Epoch m_handoverEpoch = 0; ///< epoch whose owner asked for a handover, while that is being checked
    TimePoint m_handoverRequestedAt; ///< time of the last request
    Epoch m_releasedEpoch = 0; ///< whose lease this member has ended
    /// The lease that it ended. Its owner is not expected to restore the record, so a claim does not wait for that.
    StoreLeaseId m_releasedLease = 0;
    StoreLeaseId m_lastOwnerLease = 0; ///< of the last owner that was read
    std::set<std::string> m_earlierOwners;
    TimePoint m_earliestClaim; ///< no claim before this time, after a yield
    TimePoint m_withoutOwnerSince; ///< when the owner record was found to be absent
    bool m_resigned = false;
    bool m_ownerRecordRead = false; ///< whether the owner record has been read
};

} // namespace lycheeledge::jobs
