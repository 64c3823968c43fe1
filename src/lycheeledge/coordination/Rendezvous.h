// Rendezvous hashing of cells over members.
#pragma once

#include "../state/Ids.h"

#include <vector>

namespace lycheeledge {

/** @brief Orders `members` by preference for owning `cell`. All processes compute the same order. */
std::vector<MemberId> rendezvousOrder(const CellId& cell, std::vector<MemberId> members);

} // namespace lycheeledge
