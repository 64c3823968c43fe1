// Detects members that have stopped gossiping, well before their store leases end.
#pragma once

#include "../state/Ids.h"
#include "../state/Time.h"

#include <map>
#include <set>
#include <vector>

namespace lycheeledge {

/**
 * @brief Suspects a member once more than half of the roster reports it as silent.
 *
 * A member is silent to another one that has received no gossip from it for the silence timeout. The majority keeps a
 * single failed link from causing a suspicion. A false suspicion costs a change of owner but breaks no guarantee,
 * because the workers fence the previous owner.
 */
class FailureDetector {
public:
    /** @param silenceTimeout time without gossip after which this process reports a member as silent. */
    FailureDetector(MemberId self, Duration silenceTimeout);

    /** @brief Sets the members of the roster. The silence timeout of a new member starts at `now`. */
    void setRoster(const std::vector<MemberId>& roster, TimePoint now);
    /** @brief Records a gossip of `member` that reports the members `silent` as silent. */
    void gossipReceived(const MemberId& member, const std::vector<MemberId>& silent, TimePoint now);

    /** @brief Members that are silent to this process, to be reported in its gossip. */
    std::vector<MemberId> silentMembers(TimePoint now) const;
    /** @brief Whether the member is silent to more than half of the roster, including this process. */
    bool isSuspected(const MemberId& member, TimePoint now) const;

private:
    struct Peer {
        TimePoint lastGossipAt;
        std::set<MemberId> silent; ///< members that its last gossip reported as silent
    };

    bool isSilent(const Peer& peer, TimePoint now) const { return now - peer.lastGossipAt >= m_silenceTimeout; }

    const MemberId m_self;
    const Duration m_silenceTimeout;
    std::map<MemberId, Peer> m_peers; ///< the other members of the roster
};

} // namespace lycheeledge
