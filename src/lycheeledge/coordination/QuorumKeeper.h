// Adapts the quorum to the roster and removes stale roster records.
#pragma once

#include "../state/Time.h"
#include "Freshness.h"
#include "MembershipTimes.h"
#include "Quorum.h"
#include "RosterView.h"
#include "Store.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lycheeledge {

/**
 * @brief Adapts the quorum to the roster and removes stale roster records, at the one member whose turn it is.
 *
 * A record is removed only when a quorum without that member has been confirmed for the isolation time, so that the
 * member, if it still runs without the store, has noticed that it may not serve.
 */
class QuorumKeeper {
public:
    /** @param changed called after each change in the store. */
    QuorumKeeper(Store& store, MemberId self, const MembershipTimes& times, const RosterView& roster,
        const Freshness& freshness, std::function<void()> changed);
    QuorumKeeper(const QuorumKeeper&) = delete;
    QuorumKeeper& operator=(const QuorumKeeper&) = delete;

    /** @brief Whether this member is the one that acts. */
    bool isTurn(const std::optional<Quorum>& quorum) const;
    /** @brief Starts the next change that is due. Called periodically while it is this member's turn. */
    void check(const std::optional<Quorum>& quorum, TimePoint now);

private:
    std::vector<MemberId> wanted(TimePoint now) const;
    bool isAbandoned(const Quorum& quorum, TimePoint now) const;
    bool lacksMajority(const std::vector<MemberId>& members, Duration goneFor, TimePoint now) const;
    void writeQuorum(const Quorum& quorum, Revision replaced);
    void removeStale(const Quorum& quorum, TimePoint now);
    void commit(StoreTransaction transaction, std::string what);

    Store& m_store;
    const MemberId m_self;
    const MembershipTimes& m_times;
    const RosterView& m_roster;
    const Freshness& m_freshness;
    std::function<void()> m_changed;

    bool m_writing = false;
    Revision m_confirmedRevision = 0; ///< revision of the quorum that `m_confirmedSince` belongs to
    std::optional<TimePoint> m_confirmedSince;
    std::shared_ptr<QuorumKeeper*> m_alive = std::make_shared<QuorumKeeper*>(this); ///< expires with this object
};

} // namespace lycheeledge
