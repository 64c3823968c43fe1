// The set of members whose majority must apply a configuration change.
#pragma once

#include "../state/Ids.h"

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheeledge {

/**
 * @brief The members whose majority must apply a configuration change, stored under `c/quorum`.
 *
 * The roster alone cannot define this majority: processes that cannot read the store would count a majority of an old
 * roster and others one of a new roster, and the two need not intersect. A quorum is therefore replaced only after
 * majorities of its members and of the previous ones have applied it, and a change is confirmed by majorities of both.
 */
struct Quorum {
    std::vector<MemberId> members; ///< sorted
    std::vector<MemberId> previous; ///< sorted; empty if the previous quorum was abandoned
    Revision revision = 0; ///< modification revision in the store; not part of the JSON text

    bool operator==(const Quorum&) const = default;
    bool contains(const MemberId& member) const { return std::binary_search(members.begin(), members.end(), member); }
};

/** @brief Store key of the quorum. */
inline constexpr std::string_view quorumKey = "c/quorum";

/** @brief JSON form, without the revision. */
std::string encodeQuorum(const Quorum& quorum);
/** @brief Inverse of encodeQuorum(). @return nullopt if the text is malformed. */
std::optional<Quorum> decodeQuorum(std::string_view json);

} // namespace lycheeledge
