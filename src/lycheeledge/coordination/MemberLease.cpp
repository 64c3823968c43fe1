// Store lease and store records of this process.

#include "MemberLease.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace lycheeledge {

MemberLease::MemberLease(Runtime& runtime, Store& store, const MemberRecord& self, const MembershipTimes& times,
    std::function<void()> written)
    : m_runtime(runtime)
    , m_store(store)
    , m_self(self)
    , m_times(times)
    , m_written(std::move(written))
    , m_rosterKey("r/" + self.id.value())
    , m_leaseKey("m/" + self.id.value())
{
}

MemberLease::~MemberLease() { m_runtime.cancel(m_timer); }

void MemberLease::start()
{
    m_running = true;
    m_timer = m_runtime.after(m_times.renewInterval, [this] { renewTick(); });
}

std::optional<StoreLeaseId> MemberLease::current() const
{
    return m_lease && m_runtime.now() < *m_leaseEnd ? m_lease : std::nullopt;
}

void MemberLease::renewTick()
{
    m_timer = m_runtime.after(m_times.renewInterval, [this] { renewTick(); });
    if (m_lease)
        renew();
}

void MemberLease::acquire()
{
    m_acquiring = true;
    const TimePoint issued = m_runtime.now();
    const std::weak_ptr<MemberLease*> alive = m_alive;
    m_store.grantLease(m_times.leaseTimeToLive, [this, alive, issued](absl::StatusOr<StoreLeaseId> lease) {
        if (alive.expired())
            return;
        m_acquiring = false;
        if (!lease.ok()) {
            LOG(WARNING) << "[membership] cannot acquire a store lease: " << lease.status();
            return;
        }
        m_lease = *lease;
        m_leaseEnd = issued + m_times.leaseTimeToLive;
        writeRecords();
    });
}

void MemberLease::renew()
{
    const TimePoint issued = m_runtime.now();
    const std::weak_ptr<MemberLease*> alive = m_alive;
    m_store.renewLease(*m_lease, [this, alive, issued, lease = *m_lease](absl::StatusOr<Duration> remaining) {
        if (alive.expired() || m_lease != lease)
            return;
        if (remaining.ok()) {
            m_leaseEnd = std::max(*m_leaseEnd, issued + *remaining);
            return;
        }
        LOG(WARNING) << "[membership] cannot renew the store lease: " << remaining.status();
        if (absl::IsNotFound(remaining.status()))
            m_lease.reset(); // checkRecords() acquires a new one after the next read
    });
}

void MemberLease::checkRecords(const RosterView& roster, bool leaseKeyPresent, TimePoint issued)
{
    const auto* entry = roster.find(m_self.id);
    m_rosterRevision = entry ? entry->modRevision : 0;
    m_recordPresent = entry && entry->record.incarnation == m_self.incarnation;
    if (entry && entry->record.incarnation > m_self.incarnation && !m_superseded) {
        m_superseded = true;
        LOG(ERROR) << "[membership] a later process with id " << m_self.id << " has replaced this one; not serving";
    }
    if (!m_running || m_superseded || m_acquiring || m_writing)
        return;
    if (!m_lease)
        acquire();
    else if ((!m_recordPresent || !leaseKeyPresent) && issued >= m_writtenAt)
        writeRecords();
}

void MemberLease::writeRecords()
{
    if (!m_running || m_superseded || m_writing)
        return;
    m_writing = true;
    StoreTransaction transaction;
    transaction.conditions.push_back({ m_rosterKey, m_rosterRevision });
    transaction.puts.push_back({ m_leaseKey, std::to_string(m_self.incarnation), m_lease });
    if (!m_recordPresent)
        transaction.puts.push_back({ m_rosterKey, encodeMemberRecord(m_self), std::nullopt });
    const std::weak_ptr<MemberLease*> alive = m_alive;
    m_store.commit(std::move(transaction), [this, alive](absl::StatusOr<StoreCommit> result) {
        if (alive.expired())
            return;
        m_writing = false;
        if (!result.ok()) {
            LOG(WARNING) << "[membership] cannot write the member record: " << result.status();
            if (absl::IsNotFound(result.status()))
                m_lease.reset();
            return;
        }
        m_writtenAt = m_runtime.now();
        m_written();
    });
}

void MemberLease::release(std::function<void(absl::Status)> done)
{
    m_running = false;
    m_runtime.cancel(m_timer);
    if (m_acquiring || m_writing) {
        m_runtime.post([done = std::move(done)] { done(absl::UnavailableError("a write is in progress")); });
        return;
    }
    if (!m_recordPresent)
        return revoke(std::move(done));
    StoreTransaction transaction;
    transaction.conditions.push_back({ m_rosterKey, m_rosterRevision });
    transaction.deletes = { m_rosterKey, m_leaseKey };
    const std::weak_ptr<MemberLease*> alive = m_alive;
    m_store.commit(std::move(transaction), [this, alive, done = std::move(done)](absl::StatusOr<StoreCommit> result) {
        if (alive.expired())
            return;
        if (!result.ok())
            return done(result.status());
        if (!result->applied)
            return done(absl::AbortedError("the roster record changed"));
        revoke(done);
    });
}

void MemberLease::revoke(std::function<void(absl::Status)> done)
{
    if (!m_lease) {
        m_runtime.post([done = std::move(done)] { done(absl::OkStatus()); });
        return;
    }
    // The store deletes the keys bound to the lease when it ends, so a failed revocation is not repeated.
    const StoreLeaseId lease = *std::exchange(m_lease, std::nullopt);
    m_store.revokeLease(lease, [done = std::move(done)](absl::Status) { done(absl::OkStatus()); });
}

} // namespace lycheeledge
