// Rendezvous hashing of cells over members.

#include "Rendezvous.h"

#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <string>
#include <utility>

namespace lycheeledge {

namespace {

    using Digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

    // SHA-256 gives the same order in every process and version, unlike absl::Hash, which is seeded per process.
    Digest score(const CellId& cell, const MemberId& member)
    {
        const std::string text = cell.value() + '\0' + member.value();
        Digest digest {};
        SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
        return digest;
    }

} // namespace

std::vector<MemberId> rendezvousOrder(const CellId& cell, std::vector<MemberId> members)
{
    std::vector<std::pair<Digest, MemberId>> scored;
    scored.reserve(members.size());
    for (auto& member : members) {
        const Digest digest = score(cell, member);
        scored.emplace_back(digest, std::move(member));
    }
    std::sort(scored.begin(), scored.end(), [](const auto& a, const auto& b) { return a > b; });
    std::vector<MemberId> order;
    order.reserve(scored.size());
    for (auto& [digest, member] : scored)
        order.push_back(std::move(member));
    return order;
}

} // namespace lycheeledge
