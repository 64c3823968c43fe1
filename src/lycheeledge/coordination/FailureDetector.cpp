// Detects members that have stopped gossiping, well before their store leases end.

#include "FailureDetector.h"

#include <algorithm>
#include <utility>

namespace lycheeledge {

FailureDetector::FailureDetector(MemberId self, Duration silenceTimeout)
    : m_self(std::move(self))
    , m_silenceTimeout(silenceTimeout)
{
}

void FailureDetector::setRoster(const std::vector<MemberId>& roster, TimePoint now)
{
    std::erase_if(
        m_peers, [&](const auto& peer) { return std::find(roster.begin(), roster.end(), peer.first) == roster.end(); });
    for (const MemberId& member : roster) {
        if (member != m_self)
            m_peers.try_emplace(member, Peer { now, {} });
    }
}

void FailureDetector::gossipReceived(const MemberId& member, const std::vector<MemberId>& silent, TimePoint now)
{
    const auto it = m_peers.find(member);
    if (it != m_peers.end())
        it->second = { now, { silent.begin(), silent.end() } };
}

std::vector<MemberId> FailureDetector::silentMembers(TimePoint now) const
{
    std::vector<MemberId> silent;
    for (const auto& [member, peer] : m_peers) {
        if (isSilent(peer, now))
            silent.push_back(member);
    }
    return silent;
}

bool FailureDetector::isSuspected(const MemberId& member, TimePoint now) const
{
    const auto suspect = m_peers.find(member);
    if (suspect == m_peers.end() || !isSilent(suspect->second, now))
        return false;
    std::size_t votes = 1; // this process
    for (const auto& [id, peer] : m_peers) {
        // Reports of members that are themselves silent are outdated.
        if (id != member && !isSilent(peer, now) && peer.silent.contains(member))
            ++votes;
    }
    const std::size_t rosterSize = m_peers.size() + 1;
    return votes * 2 > rosterSize;
}

} // namespace lycheeledge
