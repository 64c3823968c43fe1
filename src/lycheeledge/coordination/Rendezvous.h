// Rendezvous hashing of cells over members.
#pragma once

#include "../state/Ids.h"

#include <vector>

namespace lycheeledge {

/** @brief Orders `members` by preference for owning `cell`. The order is the same in all processes. */
std::vector<MemberId> rendezvousOrder(const CellId& cell, std::vector<MemberId> members);

} // namespace lycheeledge
