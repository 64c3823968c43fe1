// Tracks how up to date the configuration of this process is.
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
 * Every gossip message echoes the sequence number of the last one received from its recipient. The message was sent
 * after the echoed one, whose sending time the recipient knows. This bounds the age of the message without comparing
 * clocks, so neither a delayed datagram nor a pause of this process makes old information look new.
 */
class Freshness {
public:
    Freshness(MemberId self, std::uint64_t incarnation, const MembershipTimes& times);

    /** @brief Sets the roster and quorum. Discards the state of members that left the roster or restarted. */
    void setRoster(const RosterView& roster, const std::optional<Quorum>& quorum);
    /** @brief Sets the earliest time at which the store lease of this process may end. */
    void setLeaseEnd(TimePoint end) { m_leaseEnd = end; }
    /** @brief Records a store read that was issued at `issued` and applied up to revision `applied`. */
    void storeRead(TimePoint issued, Revision applied);
    /** @brief Records that the gossip with this sequence number was sent to all members. */
    void gossipSent(std::uint64_t sequence, TimePoint now);
    /** @brief Processes a gossip. @return false if it is a duplicate, late, or not from a member of the roster. */
    bool gossipReceived(const Gossip& message);

    bool isFresh(TimePoint now) const;
    /** @brief Whether a gossip has arrived that the member sent within the last isolation time. */
    bool hasGossipedRecently(const MemberId& member, TimePoint now) const;
    /** @brief Whether the member has applied the revision. */
    bool hasConfirmed(const MemberId& member, Revision revision) const;
    /**
     * @brief Whether more than half of the quorum, and of the previous one, have applied the revision.
     *
     * Members that have left the roster count as having applied it, because they no longer serve.
     */
    bool majorityConfirmed(Revision revision) const;
    /** @brief Incarnation and sequence number to echo to a member; zeros if nothing was received from it. */
    std::pair<std::uint64_t, std::uint64_t> echoFor(const MemberId& member) const;
    bool isStopping(const MemberId& member) const;

private:
    struct Peer {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0; ///< sequence number of the last gossip accepted
        Revision applied = 0;
        bool stopping = false;
        std::optional<TimePoint> lastSentNotBefore; ///< the last gossip was sent at or after this time
    };

    std::optional<TimePoint> sentAt(std::uint64_t sequence) const;
    bool isInContactWithMajority(TimePoint now) const;
    bool majorityConfirmed(const std::vector<MemberId>& members, Revision revision) const;

    const MemberId m_self;
    const std::uint64_t m_incarnation;
    const Duration m_isolation;
    const Duration m_leaseGrace;
    bool m_inRoster = false; ///< if false, changes may be acknowledged without this process
    Revision m_applied = 0;
    Revision m_highestGossipedRevision = 0; ///< highest revision in any gossip; kept when its sender leaves
    std::optional<Quorum> m_quorum;
    std::optional<TimePoint> m_leaseEnd;
    std::optional<TimePoint> m_currentAt; ///< latest time at which the configuration is known to have been current
    std::map<MemberId, Peer> m_peers; ///< the other members of the roster
    std::deque<std::pair<std::uint64_t, TimePoint>>
        m_sent; ///< sequence and sending time of recent gossip, oldest first
};

} // namespace lycheeledge
