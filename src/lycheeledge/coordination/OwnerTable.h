// Owners of the cells according to the store and to gossip.
#pragma once

#include "../state/Time.h"
#include "MemberRecord.h"
#include "PeerMessages.h"
#include "Store.h"

#include <map>
#include <optional>
#include <vector>

namespace lycheeledge {

/** @brief Owners of the cells, combined from the records in the store and the owners' claims in gossip. */
class OwnerTable {
public:
    /** @brief Replaces the records by the store entries below `o/`. */
    void setRecords(const std::vector<StoreEntry>& entries);
    /** @brief Replaces the claims of a member by those received at `now`. */
    void setClaims(
        const MemberId& member, std::uint64_t incarnation, const std::vector<OwnedCell>& owned, TimePoint now);
    /** @brief Drops claims received before `oldest`. */
    void expireClaims(TimePoint oldest);

    std::optional<OwnerRecord> record(const CellId& cell) const;

    struct Owner {
        MemberId member;
        std::uint64_t incarnation = 0;
        Epoch epoch = 0;

        bool operator==(const Owner&) const = default;
    };
    /** @brief Owner with the highest epoch among the record, if leased, and active claims not older than the record. */
    std::optional<Owner> owner(const CellId& cell) const;
    /** @brief Members that claim to be the active owner of the cell, at the epoch of the record or a higher one. */
    std::vector<MemberId> membersClaimingActive(const CellId& cell) const;
    /** @brief Owners of all known cells. */
    std::map<CellId, Owner> owners() const;

private:
    struct Claims {
        std::uint64_t incarnation = 0;
        std::map<CellId, OwnedCell> cells;
        TimePoint receivedAt;
    };

    std::map<CellId, OwnerRecord> m_records;
    std::map<MemberId, Claims> m_claims;
};

} // namespace lycheeledge
