// Owners of the cells according to the store and to gossip.

#include "OwnerTable.h"

#include "EpochRecord.h"

#include <glog/logging.h>

#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace lycheeledge {

namespace {

    constexpr std::string_view ownerPrefix = "o/";
    constexpr std::string_view epochSuffix = "/epoch";
    constexpr std::string_view leaseSuffix = "/lease";

    std::optional<CellId> cellOf(std::string_view key, std::string_view suffix)
    {
        const std::size_t affixSize = ownerPrefix.size() + suffix.size();
        if (!key.starts_with(ownerPrefix) || !key.ends_with(suffix) || key.size() <= affixSize)
            return std::nullopt;
        return CellId(std::string(key.substr(ownerPrefix.size(), key.size() - affixSize)));
    }

} // namespace

void OwnerTable::setRecords(const std::vector<StoreEntry>& entries)
{
    std::map<CellId, OwnerRecord> records;
    std::set<CellId> leased;
    for (const auto& entry : entries) {
        if (const auto leasedCell = cellOf(entry.key, leaseSuffix)) {
            leased.insert(*leasedCell);
            continue;
        }
        const auto cell = cellOf(entry.key, epochSuffix);
        const auto record = parseEpochRecord(entry.value);
        if (!cell || !record.ok()) {
            LOG(ERROR) << "[membership] malformed owner record " << entry.key;
            continue;
        }
        records.emplace(*cell,
            OwnerRecord {
                *cell, record->epoch, record->owner, record->incarnation, record->address, entry.modRevision, false });
    }
    for (auto& [cell, record] : records)
        record.leased = leased.contains(cell);
    m_records = std::move(records);
}

void OwnerTable::setClaims(
    const MemberId& member, std::uint64_t incarnation, const std::vector<OwnedCell>& owned, TimePoint now)
{
    Claims claims;
    claims.incarnation = incarnation;
    claims.receivedAt = now;
    for (const auto& cell : owned)
        claims.cells.insert_or_assign(cell.cell, cell);
    m_claims.insert_or_assign(member, std::move(claims));
}

void OwnerTable::expireClaims(TimePoint oldest)
{
    std::erase_if(m_claims, [oldest](const auto& claims) { return claims.second.receivedAt < oldest; });
}

std::optional<OwnerRecord> OwnerTable::record(const CellId& cell) const
{
    const auto it = m_records.find(cell);
    return it == m_records.end() ? std::nullopt : std::optional(it->second);
}

std::optional<OwnerTable::Owner> OwnerTable::owner(const CellId& cell) const
{
    std::optional<Owner> best;
    const auto stored = m_records.find(cell);
    if (stored != m_records.end() && stored->second.leased)
        best = Owner { stored->second.owner, stored->second.incarnation, stored->second.epoch };
    const Epoch minEpoch = stored == m_records.end() ? 0 : stored->second.epoch;
    for (const auto& [member, claims] : m_claims) {
        const auto it = claims.cells.find(cell);
        if (it == claims.cells.end() || !it->second.active || it->second.epoch < minEpoch)
            continue;
        if (!best || it->second.epoch > best->epoch)
            best = Owner { member, claims.incarnation, it->second.epoch };
    }
    return best;
}

std::vector<MemberId> OwnerTable::membersClaimingActive(const CellId& cell) const
{
    const auto stored = m_records.find(cell);
    const Epoch minEpoch = stored == m_records.end() ? 0 : stored->second.epoch;
    std::vector<MemberId> members;
    for (const auto& [member, claims] : m_claims) {
        const auto it = claims.cells.find(cell);
        if (it != claims.cells.end() && it->second.active && it->second.epoch >= minEpoch)
            members.push_back(member);
    }
    return members;
}

std::map<CellId, OwnerTable::Owner> OwnerTable::owners() const
{
    std::set<CellId> cells;
    for (const auto& [cell, record] : m_records)
        cells.insert(cell);
    for (const auto& [member, claims] : m_claims) {
        for (const auto& [cell, owned] : claims.cells)
            cells.insert(cell);
    }
    std::map<CellId, Owner> owners;
    for (const auto& cell : cells) {
        if (auto found = owner(cell))
            owners.emplace(cell, std::move(*found));
    }
    return owners;
}

} // namespace lycheeledge
