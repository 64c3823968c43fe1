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

    // A cryptographic digest gives the same order in every process and version; absl::Hash is seeded per process.
    Digest weigh(const CellId& cell, const MemberId& member)
    {
        const std::string text = cell.value() + '\0' + member.value();
        Digest digest {};
        SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
        return digest;
    }

} // namespace

std::vector<MemberId> rendezvousOrder(const CellId& cell, std::vector<MemberId> members)
{
    std::vector<std::pair<Digest, MemberId>> weighed;
    weighed.reserve(members.size());
    for (auto& member : members) {
        const Digest digest = weigh(cell, member);
        weighed.emplace_back(digest, std::move(member));
    }
    std::sort(weighed.begin(), weighed.end(), [](const auto& a, const auto& b) { return a > b; });
    std::vector<MemberId> order;
    order.reserve(weighed.size());
    for (auto& [digest, member] : weighed)
        order.push_back(std::move(member));
    return order;
}

} // namespace lycheeledge
