// The information from which a member decides whether to own a cell.
#pragma once

#include "EpochRecord.h"
#include "Store.h"

#include <optional>
#include <vector>

namespace lycheeledge {

/** @brief A member's view of the membership and of cell owners. It may lag behind the store and the other members. */
class OwnershipView {
public:
    virtual ~OwnershipView() = default;

    /** @brief Members that are considered live, in any order. They are the candidates for owning a cell. */
    virtual std::vector<MemberId> liveMembers() const = 0;
    /** @brief The epoch record as last read, or none if the cell never had an owner. */
    virtual std::optional<EpochRecord> epochRecord(const CellId& cell) const = 0;
    /** @brief Whether the owner's lease record existed at the last read. */
    virtual bool ownerLeaseExists(const CellId& cell) const = 0;
    /** @brief Whether another member recently gossiped that it is the active owner of the cell. */
    virtual bool isClaimedByAnother(const CellId& cell) const = 0;
    /** @brief Whether most members suspect the owner of the epoch record, so that its lease need not be awaited. */
    virtual bool isOwnerSuspected(const CellId& cell) const = 0;
    /** @brief Store lease of this member; none if it may have ended. */
    virtual std::optional<StoreLeaseId> storeLease() const = 0;
    virtual MemberId self() const = 0;
    virtual std::uint64_t incarnation() const = 0;
    /** @brief Address at which other members reach this one. */
    virtual Address address() const = 0;
};

} // namespace lycheeledge
