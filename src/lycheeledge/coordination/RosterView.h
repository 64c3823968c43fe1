// The roster and the members' leases, as last read from the store.
#pragma once

#include "../state/Time.h"
#include "MemberRecord.h"
#include "Store.h"

#include <map>
#include <optional>
#include <vector>

namespace lycheeledge {

/** @brief The roster (`r/`) and the members' leases (`m/`), as last read from the store. */
class RosterView {
public:
    struct Entry {
        MemberRecord record;
        Revision modRevision = 0;
        std::optional<TimePoint> leaseMissingSince; ///< when a read first showed no lease; none while the lease exists
    };

    /** @brief Replaces the view by the result of a read that completed at `now`. */
    void update(const std::vector<StoreEntry>& roster, const std::vector<StoreEntry>& leases, TimePoint now);

    const std::map<MemberId, Entry>& entries() const { return m_entries; }
    const Entry* find(const MemberId& member) const;
    std::vector<MemberId> members() const;
    std::size_t size() const { return m_entries.size(); }
    /** @brief Whether the member's lease has been missing for at least `duration`. */
    bool leaseMissingFor(const MemberId& member, Duration duration, TimePoint now) const;

private:
    std::map<MemberId, Entry> m_entries;
};

} // namespace lycheeledge
