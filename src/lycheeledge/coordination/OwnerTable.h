// Owners of the cells, from the store and from gossip.
#pragma once

#include "../state/Time.h"
#include "MemberRecord.h"
#include "PeerMessages.h"
#include "Store.h"

#include <map>
#include <optional>
#include <vector>

namespace lycheeledge {

/** @brief Owners of the cells. Combines the records in the store with the owners' own claims. */
class OwnerTable {
public:
    /** @brief Takes over the entries below `o/`. */
    void setRecords(const std::vector<StoreEntry>& entries);
    /** @brief Takes over the claims of a member, made at `now`, replacing its earlier ones. */
    void setClaims(
        const MemberId& member, std::uint64_t incarnation, const std::vector<OwnedCell>& owned, TimePoint now);
    /** @brief Drops claims made before `oldest`. */
    void expireClaims(TimePoint oldest);

    std::optional<OwnerRecord> record(const CellId& cell) const;

    struct Owner {
        MemberId member;
        std::uint64_t incarnation = 0;
        Epoch epoch = 0;

        bool operator==(const Owner&) const = default;
    };
    /** @brief The owner with the highest epoch: that of the record if it is leased or claimed, or an active claim. */
    std::optional<Owner> owner(const CellId& cell) const;
    /** @brief Members that claim to be active in the cell at the epoch of the record or a higher one. */
    std::vector<MemberId> activeClaimants(const CellId& cell) const;
    /** @brief Owners of all known cells. */
    std::map<CellId, Owner> owners() const;

private:
    struct Claims {
        std::uint64_t incarnation = 0;
        std::map<CellId, OwnedCell> cells;
        TimePoint madeAt;
    };

    std::map<CellId, OwnerRecord> m_records;
    std::map<MemberId, Claims> m_claims;
};

} // namespace lycheeledge
