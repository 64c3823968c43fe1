// Detects members that have stopped gossiping, long before their store leases end.
#pragma once

#include "../state/Ids.h"
#include "../state/Time.h"

#include <map>
#include <set>
#include <vector>

namespace lycheeledge {

/**
 * @brief A member is suspected once more than half of the roster report that they do not hear it.
 *
 * One silent link therefore suspects nobody. A wrong suspicion costs a change of owner but breaks no guarantee, since
 * the workers fence the previous owner.
 */
class FailureDetector {
public:
    /** @param silence time without a gossip after which this process reports a member as not heard. */
    FailureDetector(MemberId self, Duration silence);

    /** @brief Takes over the members of the roster. A new member counts as heard at `now`. */
    void setRoster(const std::vector<MemberId>& roster, TimePoint now);
    /** @brief A gossip of `member` arrived, which reports `silent` as not heard. */
    void heard(const MemberId& member, const std::vector<MemberId>& silent, TimePoint now);

    /** @brief Members that this process does not hear, for its own gossip. */
    std::vector<MemberId> silentMembers(TimePoint now) const;
    /** @brief Whether more than half of the roster, this process included, do not hear the member. */
    bool isSuspected(const MemberId& member, TimePoint now) const;

private:
    struct Peer {
        TimePoint heardAt;
        std::set<MemberId> silent; ///< reported in its last gossip
    };

    bool isSilent(const Peer& peer, TimePoint now) const { return now - peer.heardAt >= m_silence; }

    const MemberId m_self;
    const Duration m_silence;
    std::map<MemberId, Peer> m_peers; ///< the other members of the roster
};

} // namespace lycheeledge
