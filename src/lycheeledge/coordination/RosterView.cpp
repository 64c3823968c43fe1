// The roster and the members' leases, as last read from the store.

#include "RosterView.h"

#include <glog/logging.h>

#include <set>
#include <string>
#include <utility>

namespace lycheeledge {

void RosterView::update(const std::vector<StoreEntry>& roster, const std::vector<StoreEntry>& leases, TimePoint now)
{
    std::set<std::string> leased;
    for (const auto& lease : leases)
        leased.insert(lease.key);
    std::map<MemberId, Entry> entries;
    for (const auto& entry : roster) {
        auto record = decodeMemberRecord(entry.value);
        if (!record || entry.key != "r/" + record->id.value()) {
            LOG(ERROR) << "[membership] malformed roster record " << entry.key;
            continue;
        }
        Entry next { *record, entry.modRevision, std::nullopt };
        if (!leased.contains("m/" + record->id.value())) {
            const auto* previous = find(record->id);
            const bool same = previous && previous->record.incarnation == record->incarnation;
            next.leaseMissingSince = same && previous->leaseMissingSince ? *previous->leaseMissingSince : now;
        }
        entries.emplace(record->id, std::move(next));
    }
    m_entries = std::move(entries);
}

const RosterView::Entry* RosterView::find(const MemberId& member) const
{
    const auto it = m_entries.find(member);
    return it == m_entries.end() ? nullptr : &it->second;
}

bool RosterView::leaseMissingFor(const MemberId& member, Duration duration, TimePoint now) const
{
    const auto* entry = find(member);
    return entry && entry->leaseMissingSince && now - *entry->leaseMissingSince >= duration;
}

std::vector<MemberId> RosterView::members() const
{
    std::vector<MemberId> members;
    members.reserve(m_entries.size());
    for (const auto& [id, entry] : m_entries)
        members.push_back(id);
    return members;
}

} // namespace lycheeledge
