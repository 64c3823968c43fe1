// Updates the quorum after changes of the roster, and removes stale roster records.
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
 * @brief Updates the quorum after changes of the roster, and removes stale roster records.
 *
 * Only the responsible member acts. It removes a record only after a quorum without that member has been confirmed for
 * the isolation time: by then the member, if it still runs but cannot reach the store, has stopped serving.
 */
class QuorumMaintainer {
public:
    /** @param changed called after each successful write to the store. */
    QuorumMaintainer(Store& store, MemberId self, const MembershipTimes& times, const RosterView& roster,
        const Freshness& freshness, std::function<void()> changed);
    QuorumMaintainer(const QuorumMaintainer&) = delete;
    QuorumMaintainer& operator=(const QuorumMaintainer&) = delete;

    /** @brief Whether this member is the responsible one. */
    bool isResponsible(const std::optional<Quorum>& quorum) const;
    /** @brief Starts the next change that is due. Called periodically while this member is responsible. */
    void check(const std::optional<Quorum>& quorum, TimePoint now);

private:
    std::vector<MemberId> desiredMembers(TimePoint now) const;
    bool isAbandoned(const Quorum& quorum, TimePoint now) const;
    bool lacksMajority(const std::vector<MemberId>& members, Duration missingFor, TimePoint now) const;
    void writeQuorum(const Quorum& quorum, Revision replaced);
    void removeStale(const Quorum& quorum, TimePoint now);
    void commit(StoreTransaction transaction, std::string description);

    Store& m_store;
    const MemberId m_self;
    const MembershipTimes& m_times;
    const RosterView& m_roster;
    const Freshness& m_freshness;
    std::function<void()> m_changed;

    bool m_writing = false;
    Revision m_confirmedRevision = 0; ///< revision of the quorum that `m_confirmedSince` belongs to
    std::optional<TimePoint> m_confirmedSince;
    std::shared_ptr<QuorumMaintainer*> m_alive
        = std::make_shared<QuorumMaintainer*>(this); ///< expires with this object
};

} // namespace lycheeledge
