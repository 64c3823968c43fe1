// How current this process's configuration is.
#pragma once

#include "../state/Time.h"
#include "MembershipTimes.h"
#include "PeerMessages.h"
#include "Quorum.h"
#include "RosterView.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace lycheeledge {

/**
 * @brief Decides whether the configuration of this process is recent enough to serve with.
 *
 * Every gossip echoes the last gossip of its recipient. The sending time of that one bounds the age of what the
 * message says, so neither a late datagram nor a pause of this process makes old information look new.
 */
class Freshness {
public:
    Freshness(MemberId self, std::uint64_t incarnation, const MembershipTimes& times);

    /** @brief Takes over a roster and quorum, and forgets members that left the roster or restarted. */
    void setRoster(const RosterView& roster, const std::optional<Quorum>& quorum);
    /** @brief The store lease of this process has not ended before `end`. */
    void setLeaseEnd(TimePoint end) { m_leaseEnd = end; }
    /** @brief A store read that was issued at `issued` was applied up to `applied`. */
    void storeRead(TimePoint issued, Revision applied);
    /** @brief A gossip with this sequence number was sent to all members. */
    void gossipSent(std::uint64_t sequence, TimePoint now);
    /** @brief Takes a gossip. @return false if it is a duplicate, late, or not from a member of the roster. */
    bool gossipReceived(const Gossip& message);

    bool isFresh(TimePoint now) const;
    /** @brief Whether a message that the member sent within the isolation time has arrived. */
    bool heardRecently(const MemberId& member, TimePoint now) const;
    /** @brief Whether the member has applied the revision. */
    bool hasConfirmed(const MemberId& member, Revision revision) const;
    /**
     * @brief Whether more than half of the quorum, and of the previous one, have applied the revision.
     *
     * Members that are not in the roster any more count as well: they serve nothing.
     */
    bool majorityConfirmed(Revision revision) const;
    /** @brief Incarnation and sequence number to echo to a member; zeros if nothing was received from it. */
    std::pair<std::uint64_t, std::uint64_t> echoFor(const MemberId& member) const;
    bool isStopping(const MemberId& member) const;

private:
    struct Peer {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0; ///< of the last gossip accepted
        Revision applied = 0;
        bool stopping = false;
        std::optional<TimePoint> heardAt; ///< the last message was sent at or after this time
    };

    std::optional<TimePoint> sentAt(std::uint64_t sequence) const;
    bool hearsCurrentMajority(TimePoint now) const;
    bool majorityConfirmed(const std::vector<MemberId>& members, Revision revision) const;

    const MemberId m_self;
    const std::uint64_t m_incarnation;
    const Duration m_isolation;
    const Duration m_leaseGrace;
    bool m_inRoster = false; ///< acknowledging a change waits only for members of the roster
    Revision m_applied = 0;
    Revision m_highestHeard = 0; ///< never falls, also when the member that said it leaves
    std::optional<Quorum> m_quorum;
    std::optional<TimePoint> m_leaseEnd;
    std::optional<TimePoint> m_currentAt; ///< the configuration was current at this time
    std::map<MemberId, Peer> m_peers; ///< the other members of the roster
    std::deque<std::pair<std::uint64_t, TimePoint>> m_sent; ///< recent gossips of this process, oldest first
};

} // namespace lycheeledge
