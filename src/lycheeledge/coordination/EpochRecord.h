// Store record of the owner of a cell.
#pragma once

#include "../state/Ids.h"
#include "../state/Worker.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace lycheeledge {

/** @brief Owner of a cell, stored as JSON under `o/<cell>/epoch`. */
struct EpochRecord {
    Epoch epoch = 0;
    MemberId owner;
    std::uint64_t incarnation = 0; ///< incarnation of the owner's process
    Address address;
    Revision revision = 0; ///< modification revision in the store; not part of the JSON text

    bool operator==(const EpochRecord&) const = default;
};

/** @brief Key of a cell's epoch record, which is not bound to a lease. */
std::string ownerEpochKey(const CellId& cell);
/** @brief Key of the owner's lease record, which the store deletes when the owner's lease ends. */
std::string ownerLeaseKey(const CellId& cell);

/** @brief JSON text of the record. */
std::string formatEpochRecord(const EpochRecord& record);
/** @brief Inverse of formatEpochRecord(); `revision` stays 0. Errors: `INVALID_ARGUMENT` for malformed input. */
absl::StatusOr<EpochRecord> parseEpochRecord(std::string_view json);

} // namespace lycheeledge
