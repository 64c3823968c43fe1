// Order in which teams are offered capacity.

#include "FairShare.h"

#include <algorithm>

namespace lycheeledge {

double WeightedDominantShare::key(const TeamRecord& team, const Resources& fleet) const
{
    return team.usage.dominantShare(fleet) / std::max(team.team.share, 1e-9);
}

double EqualSplit::key(const TeamRecord& team, const Resources& fleet) const { return team.usage.dominantShare(fleet); }

double FirstComeFirstServed::key(const TeamRecord& team, const Resources& /*fleet*/) const
{
    std::uint64_t first = UINT64_MAX;
    for (std::size_t i = 0; i < TeamQueues::classCount; ++i) {
        if (!team.queues.queue(i).empty())
            first = std::min(first, team.queues.queue(i).front()->sequence);
    }
    return static_cast<double>(first);
}

std::unique_ptr<TeamOrder> makeTeamOrder(OrderMethod method)
{
    switch (method) {
    case OrderMethod::EqualSplit:
        return std::make_unique<EqualSplit>();
    case OrderMethod::FirstComeFirstServed:
        return std::make_unique<FirstComeFirstServed>();
    case OrderMethod::WeightedDominantShare:
        break;
    }
    return std::make_unique<WeightedDominantShare>();
}

} // namespace lycheeledge
