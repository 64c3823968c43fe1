// Store records of members and cell owners.
#pragma once

#include "../state/Ids.h"
#include "../state/Worker.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lycheeledge {

/** @brief Roster record of an entry process, stored as JSON under `r/<id>`. */
struct MemberRecord {
    MemberId id;
    Address peer; ///< address for gossip and peer connections
    ZoneId zone;
    std::uint64_t incarnation = 0; ///< increases with each start of the process

    bool operator==(const MemberRecord&) const = default;
};

/** @brief Owner of a cell, combined from `o/<cell>/epoch` and `o/<cell>/lease`. */
struct OwnerRecord {
    CellId cell;
    Epoch epoch = 0;
    MemberId owner;
    std::uint64_t incarnation = 0;
    Address peer;
    Revision epochRevision = 0; ///< modification revision of the epoch record
    bool leased = false; ///< the lease key exists

    bool operator==(const OwnerRecord&) const = default;
};

/** @brief JSON form of a member record. */
std::string encodeMemberRecord(const MemberRecord& record);
/** @brief Inverse of encodeMemberRecord(). @return nullopt if the text is malformed. */
std::optional<MemberRecord> decodeMemberRecord(std::string_view json);

} // namespace lycheeledge
