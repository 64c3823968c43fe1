// Acquires, keeps and releases the ownership of a cell.
#pragma once

#include "OwnershipView.h"
#include "Runtime.h"
#include "Store.h"

#include <functional>
#include <memory>
#include <optional>

namespace lycheeledge {

/** @brief Settings of a CellOwnership. */
struct CellOwnershipSettings {
    Duration checkInterval = std::chrono::milliseconds(100);
    Duration rankDelay = std::chrono::milliseconds(500); ///< wait of each candidate for the one preferred to it
    Duration claimDelay = std::chrono::seconds(2); ///< wait while the owner claims by gossip to be active
    Duration retryDelay = std::chrono::milliseconds(250); ///< between calls while the store fails
    Duration viewLag = std::chrono::milliseconds(1500); ///< the view shows own changes after this time
    Duration resignDelay = std::chrono::seconds(5); ///< after a resignation the others have this long to take over
};

/** @brief Receives the changes of ownership. */
class CellOwnershipListener {
public:
    virtual ~CellOwnershipListener() = default;

    /** @param epochRevision modification revision of the owner record, on which the journal is conditioned. */
    virtual void ownershipAcquired(const CellId& cell, Epoch epoch, Revision epochRevision) = 0;
    /** @brief The epoch has ended: another member has taken over. Not called after resign() or release(). */
    virtual void ownershipLost(const CellId& cell, Epoch epoch) = 0;
};

/**
 * @brief Ownership of one cell, as seen by one member.
 *
 * The store decides: a takeover writes a higher epoch on condition that the epoch record is unchanged and that the
 * previous owner's lease record is absent, or its owner suspected by most members. Everything else here only determines
 * when to try.
 */
class CellOwnership {
public:
    CellOwnership(Runtime& runtime, Store& store, const OwnershipView& view, CellOwnershipListener& listener,
        CellId cell, CellOwnershipSettings settings = {});
    ~CellOwnership();
    CellOwnership(const CellOwnership&) = delete;
    CellOwnership& operator=(const CellOwnership&) = delete;

    /** @brief Starts to watch the cell and to try to own it when it is this member's turn. */
    void start();
    /** @brief Gives up an epoch that cannot be used (no majority of workers, fenced), and lets others go first. */
    void resign();
    /**
     * @brief Planned stop: gives up the ownership and does not try again.
     * @param done called once the lease record is certainly deleted; waits while the store is down.
     */
    void release(std::function<void()> done);

    /** @brief Epoch owned by this member, if any. */
    std::optional<Epoch> epoch() const { return m_owned ? std::optional(m_owned->epoch) : std::nullopt; }

private:
    enum class Call { None, Takeover, Reacquire, Erase };

    template <typename T> Store::Callback<T> guarded(void (CellOwnership::*handler)(const absl::StatusOr<T>&));
    void scheduleCheck();
    void check();
    void checkAsOwner();
    void checkAsCandidate();
    std::optional<Duration> candidateDelay() const;
    void takeOver();
    void takeoverAnswered(const absl::StatusOr<StoreCommit>& result);
    void resolveTakeover();
    void takeoverResolved(const absl::StatusOr<StoreSnapshot>& snapshot);
    void reacquire();
    void reacquireAnswered(const absl::StatusOr<StoreCommit>& result);
    void eraseLease();
    void leaseErased(const absl::StatusOr<StoreCommit>& result);
    void acquired(EpochRecord record);
    void lost();
    void finishRelease();
    bool isOwn(const EpochRecord& record) const;
    void pause(Duration delay);

    Runtime& m_runtime;
    Store& m_store;
    const OwnershipView& m_view;
    CellOwnershipListener& m_listener;
    const CellId m_cell;
    const CellOwnershipSettings m_settings;

    std::shared_ptr<CellOwnership*> m_self; ///< expires with this object; held weakly by callbacks
    Call m_call = Call::None; ///< the store call in progress; at most one
    std::optional<EpochRecord> m_owned;
    EpochRecord m_attempt; ///< record of the takeover in progress
    Revision m_endedRevision = 0; ///< of the epoch record of the last epoch that was given up or lost
    std::optional<TimePoint> m_absentSince; ///< when the view first showed no lease record
    TimePoint m_notBefore; ///< no store call is started before this time
    bool m_stopping = false;
    std::function<void()> m_released;
};

} // namespace lycheeledge
