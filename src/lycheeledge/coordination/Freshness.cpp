// Tracks how up to date the configuration of this process is.

#include "Freshness.h"

#include <algorithm>

namespace lycheeledge {

namespace {

    // Covers 12 s of gossip. Echoes of older messages are useless because they exceed the isolation time.
    constexpr std::size_t maxSentGossips = 64;

} // namespace

Freshness::Freshness(MemberId self, std::uint64_t incarnation, const MembershipTimes& times)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_isolation(times.isolation)
    , m_leaseGrace(times.rosterRemovalDelay / 2)
{
}

void Freshness::setRoster(const RosterView& roster, const std::optional<Quorum>& quorum)
{
    m_quorum = quorum;
    std::map<MemberId, Peer> peers;
    m_inRoster = false;
    for (const auto& [id, entry] : roster.entries()) {
        if (id == m_self) {
            m_inRoster = entry.record.incarnation == m_incarnation;
            continue;
        }
        Peer peer;
        peer.incarnation = entry.record.incarnation;
        const auto it = m_peers.find(id);
        if (it != m_peers.end() && it->second.incarnation == peer.incarnation)
            peer = it->second;
        peers.emplace(id, peer);
    }
    m_peers = std::move(peers);
}

void Freshness::storeRead(TimePoint issued, Revision applied)
{
    m_applied = std::max(m_applied, applied);
    m_currentAt = m_currentAt ? std::max(*m_currentAt, issued) : issued;
}

void Freshness::gossipSent(std::uint64_t sequence, TimePoint now)
{
    m_sent.emplace_back(sequence, now);
    if (m_sent.size() > maxSentGossips)
        m_sent.pop_front();
}

bool Freshness::gossipReceived(const Gossip& message)
{
    const auto it = m_peers.find(message.member);
    if (it == m_peers.end() || it->second.incarnation != message.incarnation)
        return false;
    Peer& peer = it->second;
    if (message.sequence <= peer.sequence)
        return false;
    peer.sequence = message.sequence;
    peer.applied = std::max(peer.applied, message.appliedRevision);
    peer.stopping = message.stopping;
    m_highestGossipedRevision = std::max(m_highestGossipedRevision, message.appliedRevision);
    const auto echoed = message.echoIncarnation == m_incarnation ? sentAt(message.echoSequence) : std::nullopt;
    if (!echoed)
        return true;
    peer.lastSentNotBefore = peer.lastSentNotBefore ? std::max(*peer.lastSentNotBefore, *echoed) : *echoed;
    if (message.appliedRevision <= m_applied && m_currentAt)
        m_currentAt = std::max(*m_currentAt, *echoed - message.storeContactAge);
    return true;
}

bool Freshness::isFresh(TimePoint now) const
{
    if (!m_inRoster || !m_currentAt)
        return false;
    // A member without a lease is removed from the roster after `rosterRemovalDelay`; changes are then acknowledged
    // without it.
    const bool keepsRecord = m_leaseEnd && now < *m_leaseEnd + m_leaseGrace;
    return (keepsRecord && now - *m_currentAt <= m_isolation) || isInContactWithMajority(now);
}

bool Freshness::isInContactWithMajority(TimePoint now) const
{
    if (m_highestGossipedRevision > m_applied || !m_quorum || !m_quorum->contains(m_self))
        return false;
    const auto& members = m_quorum->members;
    const auto n = std::count_if(members.begin(), members.end(),
        [&](const MemberId& id) { return id == m_self || hasGossipedRecently(id, now); });
    return 2 * static_cast<std::size_t>(n) > members.size();
}

bool Freshness::hasGossipedRecently(const MemberId& member, TimePoint now) const
{
    const auto it = m_peers.find(member);
    return it != m_peers.end() && it->second.lastSentNotBefore && now - *it->second.lastSentNotBefore <= m_isolation;
}

bool Freshness::hasConfirmed(const MemberId& member, Revision revision) const
{
    if (member == m_self)
        return m_inRoster && m_applied >= revision;
    const auto it = m_peers.find(member);
    return it != m_peers.end() && it->second.applied >= revision;
}

bool Freshness::majorityConfirmed(Revision revision) const
{
    return m_quorum && majorityConfirmed(m_quorum->members, revision)
        && (m_quorum->previous.empty() || majorityConfirmed(m_quorum->previous, revision));
}

bool Freshness::majorityConfirmed(const std::vector<MemberId>& members, Revision revision) const
{
    const auto n = std::count_if(members.begin(), members.end(),
        [&](const MemberId& id) { return hasConfirmed(id, revision) || (id != m_self && !m_peers.contains(id)); });
    return 2 * static_cast<std::size_t>(n) > members.size();
}

std::pair<std::uint64_t, std::uint64_t> Freshness::echoFor(const MemberId& member) const
{
    const auto it = m_peers.find(member);
    if (it == m_peers.end() || it->second.sequence == 0)
        return { 0, 0 };
    return { it->second.incarnation, it->second.sequence };
}

bool Freshness::isStopping(const MemberId& member) const
{
    const auto it = m_peers.find(member);
    return it != m_peers.end() && it->second.stopping;
}

std::optional<TimePoint> Freshness::sentAt(std::uint64_t sequence) const
{
    const auto it
        = std::find_if(m_sent.begin(), m_sent.end(), [sequence](const auto& sent) { return sent.first == sequence; });
    return it == m_sent.end() ? std::nullopt : std::optional(it->second);
}

} // namespace lycheeledge
