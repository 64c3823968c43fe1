// Election of the owner by a lease in the store.

#include "OwnerLease.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace lycheeledge::jobs {

namespace {

    /// Number of earlier owners that may still send orders at the time of a claim. An ownership lasts at least as long
    /// as a takeover, and five takeovers take 8 s.
    constexpr std::size_t maxEarlierOwners = 5;

    /** @brief Last fencing token of the last claim, and the members that made the last few claims, latest first. */
    struct EpochRecord {
        Epoch lastToken = 0;
        std::vector<std::string> owners;
    };

    EpochRecord decodeEpoch(const std::optional<StoreEntry>& entry)
    {
        EpochRecord record;
        if (!entry)
            return record;
        std::vector<std::string> parts = absl::StrSplit(entry->value, ' ', absl::SkipEmpty());
        if (parts.empty() || !absl::SimpleAtoi(parts.front(), &record.lastToken))
            return {};
        record.owners.assign(parts.begin() + 1, parts.end());
        return record;
    }

    std::string headValueOf(Epoch epoch, const OwnerRecord& self)
    {
        return absl::StrCat(epoch, "/", self.member, "/", self.incarnation);
    }

} // namespace

std::string encodeOwner(const OwnerRecord& record)
{
    return absl::StrCat(record.member, " ", record.incarnation, " ", record.epoch, " ", record.host, " ", record.port,
        " ", record.lease);
}

absl::StatusOr<OwnerRecord> decodeOwner(const std::string& text)
{
    const std::vector<std::string> parts = absl::StrSplit(text, ' ');
    OwnerRecord record;
    std::uint32_t port = 0;
    if (parts.size() != 6 || !absl::SimpleAtoi(parts[1], &record.incarnation)
        || !absl::SimpleAtoi(parts[2], &record.epoch) || !absl::SimpleAtoi(parts[4], &port) || port > 65535
        || !absl::SimpleAtoi(parts[5], &record.lease))
        return absl::InvalidArgumentError("owner record is malformed");
    record.member = parts[0];
    record.host = parts[3];
    record.port = static_cast<std::uint16_t>(port);
    return record;
}

OwnerLease::OwnerLease(
    Runtime& runtime, ClusterStore& store, EventLog& log, OwnerRecord self, OwnerLeaseSettings settings)
    : m_runtime(runtime)
    , m_store(store)
    , m_log(log)
    , m_self(std::move(self))
    , m_settings(std::move(settings))
{
}

void OwnerLease::start() { readOwner(); }

TimePoint OwnerLease::ordersEnd() const { return m_epoch ? m_confirmedAt + m_settings.confirmationLimit : TimePoint(); }

bool OwnerLease::maySendOrders() const { return m_runtime.now() < ordersEnd(); }

bool OwnerLease::mayStartTasks() const
{
    // After a freeze, this may be asked before noteRunning() is called.
    return maySendOrders() && m_confirmedAt >= m_wokeAt && m_runtime.now() - m_runningAt < m_settings.freezeLimit;
}

void OwnerLease::noteRunning()
{
    const TimePoint now = m_runtime.now();
    if (now - std::exchange(m_runningAt, now) >= m_settings.freezeLimit)
        m_wokeAt = now;
}

void OwnerLease::confirmed(TimePoint sentAt)
{
    if (sentAt <= m_confirmedAt)
        return;
    m_confirmedAt = sentAt;
    m_listener->ownershipConfirmed();
}

bool OwnerLease::needsHandover() const
{
    const TimePoint now = m_runtime.now();
    const StoreContact contact { .unconfirmed = now - std::max(m_confirmedAt, m_answeredAt),
        .failedRenewals = m_failedRenewals,
        .pendingRenewal = m_renewalSentAt ? now - *m_renewalSentAt : Duration::zero() };
    return m_epoch && shouldRequestHandover(contact, m_settings.handover);
}

void OwnerLease::handoverRequested(Epoch epoch)
{
    if (m_epoch || m_resigned || !m_owner || m_owner->epoch != epoch)
        return;
    m_handoverRequestedAt = m_runtime.now();
    if (std::exchange(m_handoverEpoch, epoch) == epoch)
        return; // the check is in progress
    checkForHandover(*m_owner, [this, owner = *m_owner] {
        m_runtime.after(m_settings.handover.memberCheckTime, [this, owner] {
            checkForHandover(owner, [this, owner] {
                m_handoverEpoch = 0;
                if (m_runtime.now() - m_handoverRequestedAt >= m_settings.handover.requestValidity)
                    return;
                endLeaseOf(owner, "the owner asked for a handover");
                m_listener->handoverDue(owner.epoch);
            });
        });
    });
}

void OwnerLease::handoverConfirmed(Epoch epoch)
{
    if (m_epoch == epoch && needsHandover())
        dropOwnership("the store answers other members");
}

// Calls `done` if the store answers this process and the owner has not restored its record since, which shows that the
// store answers it, too.
void OwnerLease::checkForHandover(const OwnerRecord& owner, const std::function<void()>& done)
{
    m_store.get(m_settings.ownerKey, m_settings.handover.memberCheckTime,
        [this, owner, done](const absl::StatusOr<StoreValue>& value) {
            if (value.ok() && !m_epoch && m_owner == owner)
                done();
            else
                m_handoverEpoch = 0;
        });
}

void OwnerLease::ownerProcessEnded()
{
    if (!m_epoch && !m_resigned && m_owner)
        endLeaseOf(*m_owner, "its process has ended");
}

// The owner record goes with the lease, so that members claim at once. An owner that still acts is fenced by the claim.
// Each member tries once for an epoch: if its call fails, another member's or the end of the lease serves as well.
void OwnerLease::endLeaseOf(const OwnerRecord& owner, const char* reason)
{
    if (std::exchange(m_releasedEpoch, owner.epoch) == owner.epoch)
        return;
    m_releasedLease = owner.lease;
    m_log.record("owner_lease_ending", { { "owner", owner.member }, { "epoch", owner.epoch }, { "reason", reason } });
    m_store.revokeLease(owner.lease, m_settings.callTimeout, [](const absl::Status&) {});
}

void OwnerLease::retry(void (OwnerLease::*step)())
{
    m_runtime.after(m_settings.retryPause, [this, step] { (this->*step)(); });
}

void OwnerLease::readOwner()
{
    m_store.get(m_settings.ownerKey, m_settings.callTimeout, [this](const absl::StatusOr<StoreValue>& value) {
        if (!value.ok()) {
            m_log.record("store_unreachable", { { "call", "read_owner" }, { "error", value.status().message() } });
            retry(&OwnerLease::readOwner);
            return;
        }
        m_ownerRecordRead = true;
        updateOwner(value->entry);
        watch(value->asOf);
    });
}

void OwnerLease::watch(Revision after)
{
    m_store.watch(m_settings.ownerKey, after, m_settings.watchWait, m_settings.callTimeout,
        [this, after](const absl::StatusOr<StoreEvents>& events) { handleOwnerEvents(events, after); });
}

void OwnerLease::handleOwnerEvents(const absl::StatusOr<StoreEvents>& events, Revision after)
{
    if (!events.ok()) {
        retry(&OwnerLease::readOwner);
        return;
    }
    for (const auto& event : events->events) {
        if (event.key != m_settings.ownerKey)
            continue;
        if (event.value)
            updateOwner(StoreEntry { event.key, *event.value, event.revision });
        else
            updateOwner(std::nullopt);
    }
    watch(std::max(after, events->asOf));
}

void OwnerLease::updateOwner(const std::optional<StoreEntry>& entry)
{
    std::optional<OwnerRecord> owner;
    if (entry) {
        const auto decoded = decodeOwner(entry->value);
        if (decoded.ok())
            owner = *decoded;
        else
            m_log.record("owner_record_unreadable", { { "error", decoded.status().message() } });
    }
    const bool self = owner && owner->member == m_self.member && owner->incarnation == m_self.incarnation;
    if (m_epoch && owner && !self)
        dropOwnership("the owner record names another member");
    if (!owner && (m_owner || m_withoutOwnerSince == TimePoint()))
        m_withoutOwnerSince = m_runtime.now();
    if (m_owner != owner) {
        m_owner = owner;
        if (owner)
            m_lastOwnerLease = owner->lease;
        m_log.record("owner_learned",
            { { "owner", owner ? owner->member : std::string("none") }, { "epoch", owner ? owner->epoch : 0 } });
        if (!self)
            m_listener->ownerChanged(owner);
    }
    if (!entry)
        scheduleClaim();
    else if (owner && !self && owner->member == m_self.member)
        endLeaseOfEarlierProcess();
}

// A VM runs only one process of this program at a time, so the process that wrote the record has ended.
void OwnerLease::endLeaseOfEarlierProcess()
{
    m_log.record("earlier_lease_ending", { { "epoch", m_owner->epoch }, { "lease", m_owner->lease } });
    m_store.revokeLease(m_owner->lease, m_settings.callTimeout, [](const absl::Status&) {});
}

void OwnerLease::scheduleClaim()
{
    if (m_epoch || m_claiming || m_resigned)
        return;
    m_claiming = true;
    const auto jitter = m_runtime.random() % static_cast<std::uint64_t>(m_settings.claimDelay.count());
    m_runtime.after(m_settings.claimDelay + Duration(static_cast<Duration::rep>(jitter)), [this] { claimOrWait(); });
}

void OwnerLease::claimOrWait()
{
    if (m_owner || m_epoch || m_resigned) {
        m_claiming = false;
        return;
    }
    const ClaimSituation situation { .timeWithoutOwner = m_runtime.now() - m_withoutOwnerSince,
        .ownerIsReachable = m_releasedLease != m_lastOwnerLease && m_listener->ownerIsReachable(),
        .cpuShare = m_settings.cpuShare,
        .largestCpuShare = m_listener->largestCpuShare() };
    if (m_runtime.now() >= m_earliestClaim && shouldClaim(situation, m_settings.claim))
        claim();
    else
        m_runtime.after(m_settings.claimCheckInterval, [this] { claimOrWait(); });
}

void OwnerLease::claim()
{
    m_claiming = true;
    m_store.grantLease(
        m_settings.timeToLive, m_settings.callTimeout, [this](const absl::StatusOr<StoreLeaseId>& lease) {
            if (lease.ok()) {
                claimWithLease(*lease);
                return;
            }
            m_claiming = false;
            retry(&OwnerLease::scheduleClaim);
        });
}

void OwnerLease::claimWithLease(StoreLeaseId lease)
{
    m_store.get(m_settings.epochKey, m_settings.callTimeout, [this, lease](const absl::StatusOr<StoreValue>& last) {
        if (last.ok() && !m_resigned) {
            commitClaim(lease, *last);
            return;
        }
        m_claiming = false;
        retry(&OwnerLease::scheduleClaim);
    });
}

// Writes the head records of all commit queues regardless of their revision, because an earlier owner that is still
// alive keeps committing.
void OwnerLease::commitClaim(StoreLeaseId lease, const StoreValue& lastEpoch)
{
    OwnerRecord record = m_self;
    const EpochRecord last = decodeEpoch(lastEpoch.entry);
    record.epoch = last.lastToken + 1;
    std::vector<std::string> owners { m_self.member };
    owners.insert(owners.end(), last.owners.begin(), last.owners.end());
    owners.resize(std::min(owners.size(), maxEarlierOwners));
    record.lease = lease;
    const std::string headValue = headValueOf(record.epoch, m_self);
    StoreTransaction transaction;
    transaction.conditions = { { m_settings.ownerKey, 0 },
        { m_settings.epochKey, lastEpoch.entry ? lastEpoch.entry->modRevision : Revision { 0 } } };
    transaction.puts = { { m_settings.ownerKey, encodeOwner(record), lease },
        { m_settings.epochKey, absl::StrCat(record.epoch + fencingTokensPerClaim - 1, " ", absl::StrJoin(owners, " ")),
            std::nullopt } };
    for (std::size_t i = 0; i < ledgerCommitQueues; ++i)
        transaction.puts.push_back({ headRecordKey(i), headValue, std::nullopt });
    const TimePoint sentAt = m_runtime.now();
    m_store.commit(transaction, m_settings.callTimeout,
        [this, lease, sentAt, headValue, epoch = record.epoch, earlier = last.owners](
            const absl::StatusOr<CommitResult>& result) {
            m_claiming = false;
            if (result.ok() && result->applied) {
                m_confirmedAt = sentAt;
                m_earlierOwners = { earlier.begin(), earlier.end() };
                m_earlierOwners.erase(m_self.member);
                becomeOwner(lease, epoch, headValue, result->revision);
                return;
            }
            m_log.record("claim_refused",
                { { "epoch", epoch }, { "error", result.ok() ? "conditions" : result.status().message() } });
            // If the response was lost, the record may name this process. It is not used: its lease is not renewed and
            // ends soon.
            if (!result.ok())
                m_store.revokeLease(lease, m_settings.callTimeout, [](const absl::Status&) {});
            if (!m_owner)
                scheduleClaim();
        });
}

void OwnerLease::becomeOwner(StoreLeaseId lease, Epoch epoch, const std::string& headValue, Revision headRevision)
{
    m_lease = lease;
    m_epoch = epoch;
    m_claimRevision = headRevision;
    m_failedRenewals = 0;
    m_renewalSentAt.reset();
    m_owner = m_self;
    m_owner->epoch = epoch;
    m_log.record("ownership_gained", { { "epoch", epoch }, { "head_revision", headRevision } });
    m_runtime.after(m_settings.renewInterval, [this, epoch] {
        if (m_epoch == epoch)
            renew();
    });
    m_listener->ownershipGained(epoch, headValue, headRevision);
}

void OwnerLease::renew()
{
    const TimePoint sentAt = m_runtime.now();
    m_renewalSentAt = sentAt;
    m_store.renewLease(
        m_lease, m_settings.callTimeout, [this, sentAt, epoch = m_epoch](const absl::StatusOr<Duration>& left) {
            if (!m_epoch || m_epoch != epoch)
                return;
            m_renewalSentAt.reset();
            m_failedRenewals = left.ok() ? 0 : m_failedRenewals + 1;
            if (left.ok())
                confirmed(sentAt);
            if (absl::IsNotFound(left.status())) {
                m_log.record("owner_lease_ended", { { "epoch", *m_epoch } });
                reclaim();
                return;
            }
            m_runtime.after(m_settings.renewInterval, [this, epoch] {
                if (m_epoch && m_epoch == epoch)
                    renew();
            });
        });
}

// Unless another member has claimed since, the owner record may be written again in the same epoch.
void OwnerLease::reclaim()
{
    const auto epoch = m_epoch;
    if (!epoch)
        return;
    m_store.grantLease(
        m_settings.timeToLive, m_settings.callTimeout, [this, epoch](const absl::StatusOr<StoreLeaseId>& lease) {
            if (m_epoch != epoch)
                return;
            if (!lease.ok()) {
                retry(&OwnerLease::reclaim);
                return;
            }
            OwnerRecord record = m_self;
            record.epoch = *epoch;
            record.lease = *lease;
            StoreTransaction transaction;
            transaction.conditions = { { m_settings.ownerKey, 0 }, { m_settings.epochKey, m_claimRevision } };
            transaction.puts = { { m_settings.ownerKey, encodeOwner(record), *lease } };
            m_store.commit(transaction, m_settings.callTimeout,
                [this, epoch, lease = *lease](const absl::StatusOr<CommitResult>& result) {
                    if (m_epoch != epoch)
                        return;
                    if (!result.ok()) {
                        m_store.revokeLease(lease, m_settings.callTimeout, [](const absl::Status&) {});
                        retry(&OwnerLease::reclaim);
                        return;
                    }
                    if (!result->applied) {
                        const auto& current = result->current;
                        const auto entry = std::find_if(current.begin(), current.end(),
                            [this](const StoreEntry& it) { return it.key == m_settings.ownerKey; });
                        const auto holder = decodeOwner(entry == current.end() ? std::string() : entry->value);
                        if (!holder.ok() || holder->incarnation != m_self.incarnation
                            || holder->member != m_self.member) {
                            dropOwnership("the lease expired and another member claimed the ownership");
                            return;
                        }
                        // An earlier attempt of this process wrote the record; the lease of that attempt ends soon.
                        retry(&OwnerLease::reclaim);
                        return;
                    }
                    m_lease = lease;
                    m_log.record("ownership_reclaimed", { { "epoch", *epoch } });
                    renew();
                });
        });
}

void OwnerLease::dropOwnership(const char* reason)
{
    if (!m_epoch)
        return;
    m_log.record("ownership_lost", { { "epoch", *m_epoch }, { "reason", reason } });
    m_epoch.reset();
    // While the record still names this process, no other member claims before the lease ends, so it is ended now.
    m_store.revokeLease(m_lease, m_settings.callTimeout, [](const absl::Status&) {});
    if (m_owner && m_owner->incarnation == m_self.incarnation && m_owner->member == m_self.member)
        m_owner.reset();
    m_listener->ownershipLost(reason);
}

void OwnerLease::yield(const char* reason, Duration pause)
{
    m_earliestClaim = m_runtime.now() + pause;
    dropOwnership(reason);
}

void OwnerLease::resign()
{
    m_resigned = true;
    dropOwnership("planned stop");
}

} // namespace lycheeledge::jobs
