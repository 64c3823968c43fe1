// Acquires, keeps and releases the ownership of a cell.

#include "CellOwnership.h"

#include "Rendezvous.h"

#include <glog/logging.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace lycheeledge {

CellOwnership::CellOwnership(Runtime& runtime, Store& store, const OwnershipView& view, CellOwnershipListener& listener,
    CellId cell, CellOwnershipSettings settings)
    : m_runtime(runtime)
    , m_store(store)
    , m_view(view)
    , m_listener(listener)
    , m_cell(std::move(cell))
    , m_settings(settings)
    , m_self(std::make_shared<CellOwnership*>(this))
{
}

CellOwnership::~CellOwnership() = default;

template <typename T>
Store::Callback<T> CellOwnership::guarded(void (CellOwnership::*handler)(const absl::StatusOr<T>&))
{
    return [self = std::weak_ptr<CellOwnership*>(m_self), handler](absl::StatusOr<T> result) {
        if (const auto alive = self.lock())
            ((*alive)->*handler)(result);
    };
}

void CellOwnership::start()
{
    m_earliestNextCall = m_runtime.now();
    scheduleCheck();
}

void CellOwnership::scheduleCheck()
{
    m_runtime.after(m_settings.checkInterval, [self = std::weak_ptr<CellOwnership*>(m_self)] {
        if (const auto alive = self.lock()) {
            (*alive)->scheduleCheck();
            (*alive)->check();
        }
    });
}

void CellOwnership::pause(Duration delay)
{
    m_earliestNextCall = std::max(m_earliestNextCall, m_runtime.now() + delay);
}

bool CellOwnership::isOwn(const EpochRecord& record) const
{
    return record.owner == m_view.self() && record.incarnation == m_view.incarnation();
}

void CellOwnership::check()
{
    if (m_owned)
        checkAsOwner();
    else if (!m_stopping)
        checkAsCandidate();
}

// While this member is the owner

void CellOwnership::checkAsOwner()
{
    const auto record = m_view.epochRecord(m_cell);
    if (record && record->revision > m_owned->revision)
        return lost();
    // A view read before this member's takeover does not show the current lease record.
    if (!record || record->revision < m_owned->revision || m_view.ownerLeaseExists(m_cell))
        return;
    if (m_call == Call::None && m_runtime.now() >= m_earliestNextCall && m_view.storeLease())
        reacquire();
}

void CellOwnership::reacquire()
{
    m_call = Call::Reacquire;
    StoreTransaction transaction;
    transaction.conditions = { { ownerEpochKey(m_cell), m_owned->revision }, { ownerLeaseKey(m_cell), 0 } };
    transaction.puts = { { ownerLeaseKey(m_cell), m_view.self().value(), m_view.storeLease() } };
    m_store.commit(std::move(transaction), guarded(&CellOwnership::reacquireDone));
}

void CellOwnership::reacquireDone(const absl::StatusOr<StoreCommit>& result)
{
    if (m_call != Call::Reacquire)
        return;
    m_call = Call::None;
    // Whatever the outcome, the next read shows it: a new owner, the own lease record, or neither.
    const bool applied = result.ok() && result->applied;
    LOG_IF(INFO, applied) << "[ownership] " << m_cell << ": re-acquired the owner lease of epoch " << m_owned->epoch;
    pause(result.ok() ? m_settings.viewLag : m_settings.retryDelay);
}

void CellOwnership::lost()
{
    LOG(WARNING) << "[ownership] " << m_cell << ": lost epoch " << m_owned->epoch << " to another member";
    const Epoch epoch = m_owned->epoch;
    m_endedRevision = m_owned->revision;
    m_owned.reset();
    m_leaseMissingSince.reset();
    m_call = Call::None;
    m_listener.ownershipLost(m_cell, epoch);
}

// While this member is a candidate

std::optional<Duration> CellOwnership::candidateDelay() const
{
    const auto order = rendezvousOrder(m_cell, m_view.liveMembers());
    const auto it = std::find(order.begin(), order.end(), m_view.self());
    if (it == order.end())
        return std::nullopt;
    return m_settings.rankDelay * std::distance(order.begin(), it)
        + (m_view.isClaimedByAnother(m_cell) && !m_view.isOwnerSuspected(m_cell) ? m_settings.claimDelay
                                                                                 : Duration::zero());
}

void CellOwnership::checkAsCandidate()
{
    const auto record = m_view.epochRecord(m_cell);
    if (m_call == Call::None && record && isOwn(*record) && record->revision > m_endedRevision) {
        // A takeover that was considered failed has been applied late.
        return acquired(*record);
    }
    const TimePoint now = m_runtime.now();
    // A suspected owner is replaced without waiting for its lease to end, since the cell would have no working owner
    // for up to the lease's time to live.
    const bool suspected = m_view.isOwnerSuspected(m_cell);
    if (m_view.ownerLeaseExists(m_cell) && !suspected) {
        m_leaseMissingSince.reset();
        // A delayed re-acquisition may have restored the lease record of an epoch that was given up.
        if (m_call == Call::None && now >= m_earliestNextCall && record && record->revision == m_endedRevision)
            eraseLease();
        return;
    }
    if (!m_leaseMissingSince)
        m_leaseMissingSince = now;
    const auto delay = candidateDelay();
    if (m_call == Call::None && now >= m_earliestNextCall && delay && now >= *m_leaseMissingSince + *delay
        && m_view.storeLease())
        takeOver();
}

void CellOwnership::takeOver()
{
    m_call = Call::Takeover;
    const auto previous = m_view.epochRecord(m_cell);
    m_attempt = { (previous ? previous->epoch : 0) + 1, m_view.self(), m_view.incarnation(), m_view.address(), 0 };
    StoreTransaction transaction;
    transaction.conditions = { { ownerEpochKey(m_cell), previous ? previous->revision : 0 } };
    if (!m_view.isOwnerSuspected(m_cell))
        transaction.conditions.push_back({ ownerLeaseKey(m_cell), 0 });
    transaction.puts = { { ownerEpochKey(m_cell), formatEpochRecord(m_attempt), std::nullopt },
        { ownerLeaseKey(m_cell), m_view.self().value(), m_view.storeLease() } };
    m_store.commit(std::move(transaction), guarded(&CellOwnership::takeoverDone));
}

void CellOwnership::takeoverDone(const absl::StatusOr<StoreCommit>& result)
{
    if (result.ok() && result->applied) {
        m_attempt.revision = result->revision;
        return acquired(m_attempt);
    }
    if (absl::IsUnavailable(result.status())) {
        m_call = Call::None;
        pause(m_settings.retryDelay);
        return m_stopping ? finishRelease() : void();
    }
    // If the conditions failed, an earlier attempt whose response was lost may have been applied.
    resolveTakeover();
}

void CellOwnership::resolveTakeover()
{
    m_store.read({ { ownerEpochKey(m_cell), 0, true } }, guarded(&CellOwnership::resolveTakeoverDone));
}

void CellOwnership::resolveTakeoverDone(const absl::StatusOr<StoreSnapshot>& snapshot)
{
    if (!snapshot.ok()) {
        m_runtime.after(m_settings.retryDelay, [self = std::weak_ptr<CellOwnership*>(m_self)] {
            if (const auto alive = self.lock())
                (*alive)->resolveTakeover();
        });
        return;
    }
    const auto& range = snapshot->ranges.at(0);
    const auto record = range.empty() ? absl::StatusOr<EpochRecord>(EpochRecord {}) : parseEpochRecord(range[0].value);
    if (record.ok() && isOwn(*record) && range[0].modRevision > m_endedRevision) {
        EpochRecord own = *record;
        own.revision = range[0].modRevision;
        return acquired(std::move(own));
    }
    m_call = Call::None;
    pause(m_settings.viewLag);
    if (m_stopping)
        finishRelease();
}

void CellOwnership::acquired(EpochRecord record)
{
    m_call = Call::None;
    m_owned = std::move(record);
    m_leaseMissingSince.reset();
    pause(m_settings.viewLag);
    LOG(INFO) << "[ownership] " << m_cell << ": acquired epoch " << m_owned->epoch;
    if (m_stopping)
        return resign();
    m_listener.ownershipAcquired(m_cell, m_owned->epoch, m_owned->revision);
}

// Resignation and planned stop

void CellOwnership::resign()
{
    if (!m_owned)
        return;
    LOG(INFO) << "[ownership] " << m_cell << ": resigning epoch " << m_owned->epoch;
    m_endedRevision = m_owned->revision;
    m_owned.reset();
    m_leaseMissingSince.reset();
    eraseLease();
}

void CellOwnership::release(std::function<void()> done)
{
    m_stopping = true;
    m_released = std::move(done);
    if (m_owned)
        resign();
    else if (m_call == Call::None)
        finishRelease();
}

void CellOwnership::eraseLease()
{
    m_call = Call::Erase;
    StoreTransaction transaction;
    transaction.conditions = { { ownerEpochKey(m_cell), m_endedRevision } };
    transaction.deletes = { ownerLeaseKey(m_cell) };
    m_store.commit(std::move(transaction), guarded(&CellOwnership::eraseLeaseDone));
}

void CellOwnership::eraseLeaseDone(const absl::StatusOr<StoreCommit>& result)
{
    if (!result.ok()) {
        // The deletion is idempotent, so it is repeated even if only the response was lost.
        m_runtime.after(m_settings.retryDelay, [self = std::weak_ptr<CellOwnership*>(m_self)] {
            if (const auto alive = self.lock())
                (*alive)->eraseLease();
        });
        return;
    }
    m_call = Call::None;
    pause(m_settings.resignDelay);
    if (m_stopping)
        finishRelease();
}

void CellOwnership::finishRelease()
{
    if (const auto done = std::exchange(m_released, nullptr))
        m_runtime.post(done);
}

} // namespace lycheeledge
