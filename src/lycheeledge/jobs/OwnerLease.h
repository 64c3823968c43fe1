// Election of the owner through a lease in the store.
#pragma once

#include "../coordination/Runtime.h"
#include "ClaimPatience.h"
#include "ClusterStore.h"
#include "EventLog.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace lycheeledge::jobs {

/** @brief Who owns the jobs. */
struct OwnerRecord {
    std::string member;
    std::uint64_t incarnation = 0; ///< of the member's process
    Epoch epoch = 0;
    std::string host;
    std::uint16_t port = 0; ///< for other members
    StoreLeaseId lease = 0; ///< that the record is bound to

    bool operator==(const OwnerRecord&) const = default;
};

std::string encodeOwner(const OwnerRecord& record);
/** @brief Errors: `INVALID_ARGUMENT`. */
absl::StatusOr<OwnerRecord> decodeOwner(const std::string& text);

struct OwnerLeaseSettings {
    std::string ownerKey = "lycheeledge/owner";
    std::string epochKey = "lycheeledge/epoch"; ///< written by claims only
    Duration timeToLive = std::chrono::milliseconds(1500); ///< bounds the takeover from an owner that died
    Duration renewInterval = std::chrono::milliseconds(350);
    Duration callTimeout = std::chrono::milliseconds(900); ///< above 240 ms, an answer at 60 x the usual time
    Duration watchWait = std::chrono::milliseconds(5000);
    Duration retryPause = std::chrono::milliseconds(200);
    Duration claimDelay = std::chrono::milliseconds(40); ///< spreads claims; small VMs wait longer
    Duration claimCheckInterval = std::chrono::milliseconds(50); ///< while patience with a claim lasts
    ClaimSettings claim;
    double cpuShare = 1; ///< of this VM, in cores
    /// An owner that has not been confirmed for so long stops ordering. Longer than the outages of the store that it
    /// is to survive; a new owner waits for it where it cannot fence workers.
    Duration confirmationLimit = std::chrono::milliseconds(8000);
};

class OwnerLeaseListener {
public:
    virtual ~OwnerLeaseListener() = default;

    /** @param headValue written with the claim. @param headRevision of the head record. */
    virtual void ownershipGained(Epoch epoch, const std::string& headValue, Revision headRevision) = 0;
    virtual void ownershipLost(const char* reason) = 0;
    /** @brief Another member owns the jobs, or nobody is known to. */
    virtual void ownerChanged(const std::optional<OwnerRecord>& owner) = 0;
    /** @brief Whether the last owner's process sends messages. */
    virtual bool ownerIsHeard() const = 0;
    /** @brief Largest processor share among the members, in cores; 0 if unknown. */
    virtual double largestCpuShare() const = 0;
};

/** @brief Watches the owner record, claims it when it is absent, and renews it while this process is the owner. */
class OwnerLease {
public:
    /** @param self epoch is ignored. */
    OwnerLease(
        Runtime& runtime, ClusterStore& store, EventLog& log, OwnerRecord self, OwnerLeaseSettings settings = {});
    OwnerLease(const OwnerLease&) = delete;
    OwnerLease& operator=(const OwnerLease&) = delete;

    void setListener(OwnerLeaseListener* listener) { m_listener = listener; }
    void start();
    /** @brief Another process owns the jobs, as the store or a worker told. */
    void depose(const char* reason);
    /** @brief Gives the ownership up, and does not claim it again. */
    void resign();
    /** @brief Gives the ownership up, and does not claim it for a while. */
    void yield(const char* reason, Duration pause);
    /** @brief The store answered a call that this owner sent at this time, under its epoch. */
    void confirmed(TimePoint sentAt);

    bool isOwner() const { return m_epoch.has_value(); }
    Epoch epoch() const { return m_epoch.value_or(0); }
    /** @brief Whether this process is the owner and was confirmed recently enough to give orders. */
    bool mayOrder() const;
    std::optional<OwnerRecord> owner() const { return m_owner; }
    /** @brief Members that owned the jobs shortly before this owner's claim, other than itself. */
    const std::set<std::string>& earlierOwners() const { return m_earlierOwners; }

private:
    void readOwner();
    void watch(Revision after);
    void watched(const absl::StatusOr<StoreEvents>& events, Revision after);
    void learn(const std::optional<StoreEntry>& entry);
    void endOwnEarlierLease();
    void considerClaim();
    void claimOrWait();
    void claim();
    void claimWithLease(StoreLeaseId lease);
    void commitClaim(StoreLeaseId lease, const StoreValue& lastEpoch);
    void gained(StoreLeaseId lease, Epoch epoch, const std::string& headValue, Revision headRevision);
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
    TimePoint m_confirmedAt;
    bool m_claiming = false;
    std::set<std::string> m_earlierOwners;
    TimePoint m_mayClaimFrom; ///< after it was given up
    TimePoint m_unownedSince; ///< when the owner record was found absent
    bool m_resigned = false;
    bool m_known = false; ///< whether the owner record has been read
};

} // namespace lycheeledge::jobs
