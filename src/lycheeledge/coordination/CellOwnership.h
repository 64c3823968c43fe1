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
    Duration rankDelay = std::chrono::milliseconds(500); ///< delay per rank in the order of preference
    Duration claimDelay = std::chrono::seconds(2); ///< added while gossip shows another active owner
    Duration retryDelay = std::chrono::milliseconds(250); ///< delay before a failed store call is retried
    Duration viewLag = std::chrono::milliseconds(1500); ///< pause until the view shows the effect of a store call
    Duration resignDelay = std::chrono::seconds(5); ///< pause after resigning, for others to take over
};

/** @brief Notified when this member gains or loses a cell. */
class CellOwnershipListener {
public:
    virtual ~CellOwnershipListener() = default;

    /** @param epochRevision modification revision of the epoch record; the condition of every journal write. */
    virtual void ownershipAcquired(const CellId& cell, Epoch epoch, Revision epochRevision) = 0;
    /** @brief Called after another member has taken over. Not called after resign() or release(). */
    virtual void ownershipLost(const CellId& cell, Epoch epoch) = 0;
};

/**
 * @brief Elects this member as owner of one cell.
 *
 * A takeover is a store transaction that writes a higher epoch, on condition that the epoch record is unchanged and
 * that the previous owner's lease record is absent. The second condition is dropped while most members suspect that
 * owner. Safety depends on this transaction alone; the delays only determine when a member attempts it.
 */
class CellOwnership {
public:
    CellOwnership(Runtime& runtime, Store& store, const OwnershipView& view, CellOwnershipListener& listener,
        CellId cell, CellOwnershipSettings settings = {});
    ~CellOwnership();
    CellOwnership(const CellOwnership&) = delete;
    CellOwnership& operator=(const CellOwnership&) = delete;

    /** @brief Starts the periodic check, which takes the cell over when it is this member's turn. */
    void start();
    /** @brief Gives up an unusable epoch (no majority of workers, or fenced) and lets other members try first. */
    void resign();
    /**
     * @brief Gives up the ownership for a planned stop and does not acquire it again.
     * @param done called once the lease record is known to be deleted, which takes until the store is reachable.
     */
    void release(std::function<void()> done);

    /** @brief Epoch owned by this member, if any. */
    std::optional<Epoch> epoch() const { return m_owned ? std::optional(m_owned->epoch) : std::nullopt; }

private:
    enum class Call { None, Takeover, Reacquire, Erase };

    /** @brief Wraps a handler as a store callback that does nothing once this object is destroyed. */
    template <typename T> Store::Callback<T> guarded(void (CellOwnership::*handler)(const absl::StatusOr<T>&));
    void scheduleCheck();
    void check();
    void checkAsOwner();
    void checkAsCandidate();
    std::optional<Duration> candidateDelay() const;
    void takeOver();
    void takeoverDone(const absl::StatusOr<StoreCommit>& result);
    void resolveTakeover();
    void resolveTakeoverDone(const absl::StatusOr<StoreSnapshot>& snapshot);
    void reacquire();
    void reacquireDone(const absl::StatusOr<StoreCommit>& result);
    void eraseLease();
    void eraseLeaseDone(const absl::StatusOr<StoreCommit>& result);
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

    std::shared_ptr<CellOwnership*> m_self; ///< callbacks hold it weakly to detect that this object was destroyed
    Call m_call = Call::None; ///< the store call in progress, at most one at a time
    std::optional<EpochRecord> m_owned;
    EpochRecord m_attempt; ///< record that the takeover in progress writes
    Revision m_endedRevision = 0; ///< revision of the epoch record of the last epoch given up or lost
    std::optional<TimePoint> m_leaseMissingSince; ///< when the view first showed no lease record, or a suspected owner
    TimePoint m_earliestNextCall; ///< no store call is started before this time
    bool m_stopping = false;
    std::function<void()> m_released;
};

} // namespace lycheeledge
