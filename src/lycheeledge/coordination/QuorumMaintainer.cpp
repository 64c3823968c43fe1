// Updates the quorum after changes of the roster, and removes stale roster records.

#include "QuorumMaintainer.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace lycheeledge {

QuorumMaintainer::QuorumMaintainer(Store& store, MemberId self, const MembershipTimes& times, const RosterView& roster,
    const Freshness& freshness, std::function<void()> changed)
    : m_store(store)
    , m_self(std::move(self))
    , m_times(times)
    , m_roster(roster)
    , m_freshness(freshness)
    , m_changed(std::move(changed))
{
}

void QuorumMaintainer::check(const std::optional<Quorum>& quorum, TimePoint now)
{
    if (m_writing)
        return;
    auto members = desiredMembers(now);
    if (!quorum)
        return writeQuorum({ std::move(members), {}, 0 }, 0);
    if (m_confirmedRevision != quorum->revision) {
        m_confirmedRevision = quorum->revision;
        m_confirmedSince.reset();
    }
    if (!m_confirmedSince && m_freshness.majorityConfirmed(quorum->revision))
        m_confirmedSince = now;
    if (members != quorum->members) {
        if (m_confirmedSince)
            writeQuorum({ std::move(members), quorum->members, 0 }, quorum->revision);
        else if (isAbandoned(*quorum, now))
            writeQuorum({ std::move(members), {}, 0 }, quorum->revision);
    } else if (m_confirmedSince && now - *m_confirmedSince > m_times.isolationWithDrift()) {
        removeStale(*quorum, now);
    }
}

bool QuorumMaintainer::isResponsible(const std::optional<Quorum>& quorum) const
{
    // A single member acts, so that the others cause no conflicting store calls: the first by id that holds a lease,
    // preferring members of the quorum.
    std::optional<MemberId> first;
    for (const auto& [id, entry] : m_roster.entries()) {
        if (entry.leaseMissingSince)
            continue;
        if (quorum && quorum->contains(id))
            return id == m_self;
        if (!first)
            first = id;
    }
    return first == m_self;
}

std::vector<MemberId> QuorumMaintainer::desiredMembers(TimePoint now) const
{
    std::vector<MemberId> members;
    for (const auto& [id, entry] : m_roster.entries()) {
        if (!m_roster.leaseMissingFor(id, m_times.rosterRemovalDelay, now))
            members.push_back(id);
    }
    return members;
}

// A quorum without a majority has to be replaced, or a deployment whose processes all died at once could never
// acknowledge a change again. The delay is longer while a member of the quorum holds a lease, because the others may
// then be alive and serving without being able to reach the store.
bool QuorumMaintainer::isAbandoned(const Quorum& quorum, TimePoint now) const
{
    const bool anyLeased = std::any_of(quorum.members.begin(), quorum.members.end(), [this](const MemberId& id) {
        const auto* entry = m_roster.find(id);
        return entry && !entry->leaseMissingSince;
    });
    const Duration missingFor = anyLeased ? m_times.abandonQuorumAfter : m_times.rosterRemovalDelay;
    return lacksMajority(quorum.members, missingFor, now) || lacksMajority(quorum.previous, missingFor, now);
}

bool QuorumMaintainer::lacksMajority(const std::vector<MemberId>& members, Duration missingFor, TimePoint now) const
{
    const auto n = std::count_if(members.begin(), members.end(),
        [&](const MemberId& id) { return m_roster.leaseMissingFor(id, missingFor, now); });
    return n > 0 && 2 * static_cast<std::size_t>(n) >= members.size();
}

void QuorumMaintainer::writeQuorum(const Quorum& quorum, Revision replaced)
{
    const std::string key(quorumKey);
    StoreTransaction transaction;
    transaction.conditions = { { key, replaced } };
    transaction.puts = { { key, encodeQuorum(quorum), std::nullopt } };
    commit(std::move(transaction), "set the quorum to " + std::to_string(quorum.members.size()) + " members");
}

void QuorumMaintainer::removeStale(const Quorum& quorum, TimePoint now)
{
    for (const auto& [id, entry] : m_roster.entries()) {
        if (quorum.contains(id) || !m_roster.leaseMissingFor(id, m_times.rosterRemovalDelay, now))
            continue;
        const std::string record = "r/" + id.value();
        StoreTransaction transaction;
        transaction.conditions = { { record, entry.modRevision }, { "m/" + id.value(), 0 } };
        transaction.deletes = { record };
        return commit(std::move(transaction), "removed the roster record of " + id.value() + ": its lease has ended");
    }
}

void QuorumMaintainer::commit(StoreTransaction transaction, std::string description)
{
    m_writing = true;
    const std::weak_ptr<QuorumMaintainer*> alive = m_alive;
    m_store.commit(std::move(transaction),
        [this, alive, description = std::move(description)](absl::StatusOr<StoreCommit> result) {
            if (alive.expired())
                return;
            m_writing = false;
            if (!result.ok() || !result->applied)
                return; // the next read shows whether the change is still due
            LOG(INFO) << "[membership] " << description;
            m_changed();
        });
}

} // namespace lycheeledge
