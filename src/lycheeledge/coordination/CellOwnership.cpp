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
    m_notBefore = m_runtime.now();
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

void CellOwnership::pause(Duration delay) { m_notBefore = std::max(m_notBefore, m_runtime.now() + delay); }

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

// As owner

void CellOwnership::checkAsOwner()
{
    const auto record = m_view.epochRecord(m_cell);
    if (record && record->revision > m_owned->revision)
        return lost();
    // A view older than the own takeover says nothing about the lease record.
    if (!record || record->revision < m_owned->revision || m_view.ownerLeaseExists(m_cell))
        return;
    if (m_call == Call::None && m_runtime.now() >= m_notBefore && m_view.storeLease())
        reacquire();
}

void CellOwnership::reacquire()
{
    m_call = Call::Reacquire;
    StoreTransaction transaction;
    transaction.conditions = { { ownerEpochKey(m_cell), m_owned->revision }, { ownerLeaseKey(m_cell), 0 } };
    transaction.puts = { { ownerLeaseKey(m_cell), m_view.self().value(), m_view.storeLease() } };
    m_store.commit(std::move(transaction), guarded(&CellOwnership::reacquireAnswered));
}

void CellOwnership::reacquireAnswered(const absl::StatusOr<StoreCommit>& result)
{
    if (m_call != Call::Reacquire)
        return;
    m_call = Call::None;
    // Whatever happened, the view shows it after its next read: a new owner, the own lease record, or neither.
    const bool applied = result.ok() && result->applied;
    LOG_IF(INFO, applied) << "[ownership] " << m_cell << ": acquired the lease of epoch " << m_owned->epoch << " again";
    pause(result.ok() ? m_settings.viewLag : m_settings.retryDelay);
}

void CellOwnership::lost()
{
    LOG(WARNING) << "[ownership] " << m_cell << ": another member has taken over epoch " << m_owned->epoch;
    const Epoch epoch = m_owned->epoch;
    m_endedRevision = m_owned->revision;
    m_owned.reset();
    m_absentSince.reset();
    m_call = Call::None;
    m_listener.ownershipLost(m_cell, epoch);
}

// As candidate

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
        // A takeover that seemed to have failed was applied late.
        return acquired(*record);
    }
    const TimePoint now = m_runtime.now();
    // Waiting for the lease of a silent owner to end would leave the cell without one for up to its time to live.
    const bool suspected = m_view.isOwnerSuspected(m_cell);
    if (m_view.ownerLeaseExists(m_cell) && !suspected) {
        m_absentSince.reset();
        // A re-acquisition that was delayed in the network may restore the lease record of a given-up epoch.
        if (m_call == Call::None && now >= m_notBefore && record && record->revision == m_endedRevision)
            eraseLease();
        return;
    }
    if (!m_absentSince)
        m_absentSince = now;
    const auto delay = candidateDelay();
    if (m_call == Call::None && now >= m_notBefore && delay && now >= *m_absentSince + *delay && m_view.storeLease())
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
    m_store.commit(std::move(transaction), guarded(&CellOwnership::takeoverAnswered));
}

void CellOwnership::takeoverAnswered(const absl::StatusOr<StoreCommit>& result)
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
    // Refused conditions may also mean that an earlier sending, whose answer was lost, was applied.
    resolveTakeover();
}

void CellOwnership::resolveTakeover()
{
    m_store.read({ { ownerEpochKey(m_cell), 0, true } }, guarded(&CellOwnership::takeoverResolved));
}

void CellOwnership::takeoverResolved(const absl::StatusOr<StoreSnapshot>& snapshot)
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
    m_absentSince.reset();
    pause(m_settings.viewLag);
    LOG(INFO) << "[ownership] " << m_cell << ": acquired epoch " << m_owned->epoch;
    if (m_stopping)
        return resign();
    m_listener.ownershipAcquired(m_cell, m_owned->epoch, m_owned->revision);
}

// Giving up

void CellOwnership::resign()
{
    if (!m_owned)
        return;
    LOG(INFO) << "[ownership] " << m_cell << ": gives up epoch " << m_owned->epoch;
    m_endedRevision = m_owned->revision;
    m_owned.reset();
    m_absentSince.reset();
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
    transaction.erases = { ownerLeaseKey(m_cell) };
    m_store.commit(std::move(transaction), guarded(&CellOwnership::leaseErased));
}

void CellOwnership::leaseErased(const absl::StatusOr<StoreCommit>& result)
{
    if (!result.ok()) {
        // Erasing twice does no harm, so a lost answer needs no reading.
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
