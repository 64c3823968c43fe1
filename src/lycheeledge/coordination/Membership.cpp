// Cluster membership of this process.

#include "Membership.h"

#include <glog/logging.h>

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>

namespace lycheeledge {

namespace {

    // A read without a response after this time no longer blocks the next one.
    constexpr Duration readTimeout = std::chrono::seconds(2);
    // Minimum interval between reads triggered by gossip; limits the store calls caused by a burst of changes.
    constexpr Duration minTriggeredReadInterval = std::chrono::milliseconds(50);
    constexpr Duration leaveRetryInterval = std::chrono::milliseconds(500);
    constexpr std::size_t rangeCount = 4; // configuration, roster, leases, owners

} // namespace

Membership::Membership(Runtime& runtime, Store& store, PeerLink& peers, MemberRecord self, MembershipTimes times)
    : m_runtime(runtime)
    , m_store(store)
    , m_peers(peers)
    , m_self(std::move(self))
    , m_times(times)
    , m_freshness(m_self.id, m_self.incarnation, m_times)
    , m_failureDetector(m_self.id, m_times.silenceTimeout)
    , m_inForceWaits(m_roster, m_freshness, m_times)
    , m_lease(runtime, store, m_self, m_times, [this] { refresh(); })
    , m_quorumMaintainer(store, m_self.id, m_times, m_roster, m_freshness, [this] { refresh(); })
    , m_retiredEntityCleanup(store, m_cache)
{
}

Membership::~Membership()
{
    for (const auto timer : { m_gossipTimer, m_readTimer, m_scheduledReadTimer, m_leaveTimer })
        m_runtime.cancel(timer);
}

void Membership::start()
{
    m_lease.start();
    readTick();
    gossipTick();
}

void Membership::gossipTick()
{
    m_gossipTimer = m_runtime.after(m_times.gossipInterval, [this] { gossipTick(); });
    const TimePoint now = m_runtime.now();
    m_owners.expireClaims(now - m_times.isolation);
    if (const auto end = m_lease.end())
        m_freshness.setLeaseEnd(*end);
    if (!m_left)
        sendGossip();
    m_inForceWaits.check(now);
    maintainQuorum();
    notifyOwnerListeners();
}

void Membership::gossipImmediately()
{
    if (!m_left)
        sendGossip();
}

void Membership::sendGossip()
{
    Gossip message;
    message.member = m_self.id;
    message.incarnation = m_self.incarnation;
    message.sequence = ++m_sequence;
    message.appliedRevision = m_cache.revision();
    message.storeContactAge = storeContactAge();
    message.stopping = m_stopping;
    message.silentMembers = m_failureDetector.silentMembers(m_runtime.now());
    if (m_ownedCells)
        message.owned = m_ownedCells();
    m_owners.setClaims(m_self.id, m_self.incarnation, message.owned, m_runtime.now());
    m_freshness.gossipSent(message.sequence, m_runtime.now());
    for (const auto& [id, entry] : m_roster.entries()) {
        if (id == m_self.id)
            continue;
        std::tie(message.echoIncarnation, message.echoSequence) = m_freshness.echoFor(id);
        m_peers.gossip(entry.record.peer, message);
    }
}

void Membership::gossipReceived(const Gossip& message)
{
    if (m_left || message.member == m_self.id)
        return;
    if (message.appliedRevision > m_cache.revision())
        scheduleRefresh();
    if (!m_freshness.gossipReceived(message)) {
        const auto* entry = m_roster.find(message.member);
        if (!entry || entry->record.incarnation < message.incarnation)
            scheduleRefresh(); // the sender has joined or restarted since the last read
        return;
    }
    m_failureDetector.gossipReceived(message.member, message.silentMembers, m_runtime.now());
    m_owners.setClaims(message.member, message.incarnation, message.owned, m_runtime.now());
    m_inForceWaits.check(m_runtime.now());
    notifyOwnerListeners();
}

void Membership::readTick()
{
    m_readTimer = m_runtime.after(m_times.readInterval, [this] { readTick(); });
    refresh();
}

void Membership::scheduleRefresh()
{
    // After a failed read, only the periodic read tries again.
    if (m_readScheduled || m_lastReadFailed || m_left)
        return;
    const TimePoint now = m_runtime.now();
    const Duration wait = std::max(Duration {}, m_readIssued + minTriggeredReadInterval - now);
    m_readScheduled = true;
    m_scheduledReadTimer = m_runtime.after(wait, [this] {
        m_readScheduled = false;
        refresh();
    });
}

void Membership::refresh()
{
    if (m_left)
        return;
    if (m_reading && m_runtime.now() - m_readIssued < readTimeout)
        m_readAgain = true;
    else
        startRead();
}

void Membership::startRead()
{
    m_reading = true;
    m_readAgain = false;
    m_readIssued = m_runtime.now();
    const bool full = !m_fullReadAt || m_readIssued - *m_fullReadAt >= RetiredEntityCleanup::fullReadInterval;
    const Revision since = full ? 0 : m_cache.revision() + 1;
    std::vector<StoreRange> ranges { { std::string(configurationPrefix), since }, { "r/" }, { "m/" }, { "o/" } };
    const std::weak_ptr<Membership*> alive = m_alive;
    m_store.read(std::move(ranges), [this, alive, full, issued = m_readIssued](absl::StatusOr<StoreSnapshot> result) {
        if (!alive.expired())
            readDone(issued, full, std::move(result));
    });
}

void Membership::readDone(TimePoint issued, bool full, absl::StatusOr<StoreSnapshot> result)
{
    const bool latest = issued == m_readIssued;
    if (latest)
        m_reading = false;
    if (m_left) {
        leaveReadDone(issued, result);
        return;
    }
    if (!result.ok() || result->ranges.size() != rangeCount) {
        LOG_IF(WARNING, !m_lastReadFailed) << "[membership] cannot read the store: " << result.status();
        m_lastReadFailed = m_lastReadFailed || latest;
        return;
    }
    m_lastReadFailed = false;
    m_lastContact = m_lastContact ? std::max(*m_lastContact, issued) : issued;
    apply(issued, full, *result);
    if (latest && m_readAgain)
        startRead();
}

void Membership::apply(TimePoint issued, bool full, const StoreSnapshot& snapshot)
{
    const TimePoint now = m_runtime.now();
    const auto& entities = snapshot.ranges[0];
    const bool changed = full ? m_cache.applyAll(entities, snapshot.revision, now) : m_cache.apply(entities, now);
    if (full)
        m_fullReadAt = issued;
    m_freshness.storeRead(issued, m_cache.revision());
    if (const auto end = m_lease.end())
        m_freshness.setLeaseEnd(*end);
    if (snapshot.revision >= m_snapshotRevision) {
        m_snapshotRevision = snapshot.revision;
        m_roster.update(snapshot.ranges[1], snapshot.ranges[2], now);
        m_freshness.setRoster(m_roster, m_cache.quorum());
        m_failureDetector.setRoster(m_roster.members(), now);
        m_owners.setRecords(snapshot.ranges[3]);
        const std::string leaseKey = "m/" + m_self.id.value();
        const bool present = std::any_of(snapshot.ranges[2].begin(), snapshot.ranges[2].end(),
            [&](const StoreEntry& entry) { return entry.key == leaseKey; });
        m_lease.checkRecords(m_roster, present, issued);
    }
    if (changed) {
        for (const auto& listener : m_configurationListeners)
            listener(m_cache.configuration());
    }
    // A process with pending operator calls gossips the change immediately, so that other members read it at once.
    if (changed && !m_inForceWaits.empty())
        sendGossip();
    m_inForceWaits.check(now);
    maintainQuorum();
    notifyOwnerListeners();
    for (const auto& listener : m_readListeners)
        listener();
}

void Membership::maintainQuorum()
{
    if (m_left || m_lease.superseded() || !m_lease.current() || !storeReachable()
        || !m_quorumMaintainer.isResponsible(m_cache.quorum()))
        return;
    m_quorumMaintainer.check(m_cache.quorum(), m_runtime.now());
    m_retiredEntityCleanup.check(m_runtime.now());
}

void Membership::leave(std::function<void()> done)
{
    m_stopping = true;
    sendGossip();
    m_left = true;
    m_leaveDone = std::move(done);
    releaseLease();
}

void Membership::releaseLease()
{
    const std::weak_ptr<Membership*> alive = m_alive;
    m_lease.release([this, alive](absl::Status status) {
        if (alive.expired())
            return;
        if (status.ok()) {
            m_leaveDone();
            return;
        }
        LOG(WARNING) << "[membership] cannot delete the member record: " << status;
        m_leaveTimer = m_runtime.after(leaveRetryInterval, [this] {
            m_leaveReadPending = true;
            startRead();
        });
    });
}

void Membership::leaveReadDone(TimePoint issued, const absl::StatusOr<StoreSnapshot>& result)
{
    if (!std::exchange(m_leaveReadPending, false))
        return;
    if (result.ok() && result->ranges.size() == rangeCount) {
        m_roster.update(result->ranges[1], result->ranges[2], m_runtime.now());
        m_lease.checkRecords(m_roster, false, issued);
    }
    releaseLease();
}

void Membership::notifyOwnerListeners()
{
    auto owners = m_owners.owners();
    if (owners == m_notifiedOwners)
        return;
    m_notifiedOwners = std::move(owners);
    for (const auto& listener : m_ownerListeners)
        listener();
}

std::vector<MemberRecord> Membership::roster() const
{
    std::vector<MemberRecord> members;
    members.reserve(m_roster.size());
    for (const auto& [id, entry] : m_roster.entries())
        members.push_back(entry.record);
    return members;
}

std::vector<MemberId> Membership::liveMembers() const
{
    const TimePoint now = m_runtime.now();
    const bool leasesKnown = storeReachable();
    std::vector<MemberId> members;
    for (const auto& [id, entry] : m_roster.entries()) {
        const bool stopping = id == m_self.id ? m_stopping : m_freshness.isStopping(id);
        const bool live
            = id == m_self.id || (leasesKnown && !entry.leaseMissingSince) || m_freshness.hasGossipedRecently(id, now);
        if (live && !stopping && !m_failureDetector.isSuspected(id, now))
            members.push_back(id);
    }
    return members;
}

bool Membership::storeReachable() const { return !m_lastReadFailed && storeContactAge() <= m_times.isolation; }

Duration Membership::storeContactAge() const
{
    // Exceeds every limit on the age, but is small enough for arithmetic on time points not to overflow.
    constexpr Duration noContactAge = std::chrono::hours(24 * 365);
    return m_lastContact ? m_runtime.now() - *m_lastContact : noContactAge;
}

bool Membership::isFresh() const { return !m_left && m_freshness.isFresh(m_runtime.now()); }

Epoch Membership::ownerEpoch(const CellId& cell) const
{
    const auto owner = m_owners.owner(cell);
    return owner ? owner->epoch : 0;
}

std::optional<MemberRecord> Membership::ownerOf(const CellId& cell) const
{
    const auto owner = m_owners.owner(cell);
    if (!owner)
        return std::nullopt;
    if (owner->member == m_self.id && owner->incarnation == m_self.incarnation)
        return m_self;
    const auto* entry = m_roster.find(owner->member);
    if (entry && entry->record.incarnation == owner->incarnation)
        return entry->record;
    const auto record = m_owners.record(cell);
    if (!record || record->owner != owner->member)
        return std::nullopt;
    return MemberRecord { record->owner, record->peer, ZoneId(), record->incarnation };
}

bool Membership::ownerClaimsActive(const CellId& cell) const
{
    const auto members = m_owners.membersClaimingActive(cell);
    return std::any_of(members.begin(), members.end(), [this](const MemberId& id) { return id != m_self.id; });
}

void Membership::whenInForce(Revision revision, InForceWaits::Callback done)
{
    m_inForceWaits.add(revision, m_runtime.now() + m_times.inForceTimeout, std::move(done));
    refresh();
}

} // namespace lycheeledge
