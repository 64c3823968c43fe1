// Selects the member that talks to a worker on the owner's behalf.

#include "RelaySelection.h"

#include <absl/hash/hash.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace lycheeledge::jobs {

namespace {

    // VMs with less than this part of the largest processor share keep it for their clients.
    constexpr double minRelativeCpuShare = 0.5;

    // Weighted rendezvous hashing: the candidate with the highest score is selected with a probability proportional to
    // its weight.
    double score(const WorkerId& worker, const RelayCandidate& candidate)
    {
        const std::size_t hash = absl::HashOf(worker.value(), candidate.member);
        const double uniform
            = (static_cast<double>(hash) + 1) / (static_cast<double>(std::numeric_limits<std::size_t>::max()) + 2);
        return -candidate.cpuShare / std::log(uniform);
    }

} // namespace

std::optional<std::uint64_t> selectRelay(
    const WorkerId& worker, const std::string& dataCentre, const std::vector<RelayCandidate>& candidates)
{
    double largest = 0;
    for (const auto& candidate : candidates)
        largest = std::max(largest, candidate.cpuShare);
    std::optional<std::uint64_t> selected;
    bool selectedIsNear = false;
    double selectedScore = 0;
    for (const auto& candidate : candidates) {
        if (candidate.cpuShare < minRelativeCpuShare * largest)
            continue;
        const bool isNear = !dataCentre.empty() && candidate.dataCentre == dataCentre;
        const double value = score(worker, candidate);
        if (!selected || (isNear && !selectedIsNear) || (isNear == selectedIsNear && value > selectedScore)) {
            selected = candidate.connection;
            selectedIsNear = isNear;
            selectedScore = value;
        }
    }
    return selected;
}

} // namespace lycheeledge::jobs
