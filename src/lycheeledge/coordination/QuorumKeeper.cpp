// Adapts the quorum to the roster and removes stale roster records.

#include "QuorumKeeper.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace lycheeledge {

QuorumKeeper::QuorumKeeper(Store& store, MemberId self, const MembershipTimes& times, const RosterView& roster,
    const Freshness& freshness, std::function<void()> changed)
    : m_store(store)
    , m_self(std::move(self))
    , m_times(times)
    , m_roster(roster)
    , m_freshness(freshness)
    , m_changed(std::move(changed))
{
}

void QuorumKeeper::check(const std::optional<Quorum>& quorum, TimePoint now)
{
    if (m_writing)
        return;
    auto members = wanted(now);
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

bool QuorumKeeper::isTurn(const std::optional<Quorum>& quorum) const
{
    // One member acts, to spare the store the attempts of the others: the first one that holds a lease, members of
    // the quorum before others.
    std::optional<MemberId> first;
    for (const auto& [id, entry] : m_roster.entries()) {
        if (entry.leaseGoneSince)
            continue;
        if (quorum && quorum->contains(id))
            return id == m_self;
        if (!first)
            first = id;
    }
    return first == m_self;
}

std::vector<MemberId> QuorumKeeper::wanted(TimePoint now) const
{
    std::vector<MemberId> members;
    for (const auto& [id, entry] : m_roster.entries()) {
        if (!m_roster.leaseGoneFor(id, m_times.staleAfter, now))
            members.push_back(id);
    }
    return members;
}

// Without this way out, a deployment whose processes all died at once could never acknowledge a change again. The wait
// is longer while a member of the quorum is alive: then the others may be alive as well and serve, cut off with the
// store out of their reach.
bool QuorumKeeper::isAbandoned(const Quorum& quorum, TimePoint now) const
{
    const bool anyLeased = std::any_of(quorum.members.begin(), quorum.members.end(), [this](const MemberId& id) {
        const auto* entry = m_roster.find(id);
        return entry && !entry->leaseGoneSince;
    });
    const Duration goneFor = anyLeased ? m_times.abandonAfter : m_times.staleAfter;
    return lacksMajority(quorum.members, goneFor, now) || lacksMajority(quorum.previous, goneFor, now);
}

bool QuorumKeeper::lacksMajority(const std::vector<MemberId>& members, Duration goneFor, TimePoint now) const
{
    const auto n = std::count_if(
        members.begin(), members.end(), [&](const MemberId& id) { return m_roster.leaseGoneFor(id, goneFor, now); });
    return n > 0 && 2 * static_cast<std::size_t>(n) >= members.size();
}

void QuorumKeeper::writeQuorum(const Quorum& quorum, Revision replaced)
{
    const std::string key(quorumKey);
    StoreTransaction transaction;
    transaction.conditions = { { key, replaced } };
    transaction.puts = { { key, encodeQuorum(quorum), std::nullopt } };
    commit(std::move(transaction), "set a quorum of " + std::to_string(quorum.members.size()));
}

void QuorumKeeper::removeStale(const Quorum& quorum, TimePoint now)
{
    for (const auto& [id, entry] : m_roster.entries()) {
        if (quorum.contains(id) || !m_roster.leaseGoneFor(id, m_times.staleAfter, now))
            continue;
        const std::string record = "r/" + id.value();
        StoreTransaction transaction;
        transaction.conditions = { { record, entry.modRevision }, { "m/" + id.value(), 0 } };
        transaction.erases = { record };
        return commit(std::move(transaction), "removed " + id.value() + ", whose lease has ended");
    }
}

void QuorumKeeper::commit(StoreTransaction transaction, std::string what)
{
    m_writing = true;
    const std::weak_ptr<QuorumKeeper*> alive = m_alive;
    m_store.commit(std::move(transaction), [this, alive, what = std::move(what)](absl::StatusOr<StoreCommit> result) {
        if (alive.expired())
            return;
        m_writing = false;
        if (!result.ok() || !result->applied)
            return; // the next read shows whether the change is still due
        LOG(INFO) << "[membership] " << what;
        m_changed();
    });
}

} // namespace lycheeledge
