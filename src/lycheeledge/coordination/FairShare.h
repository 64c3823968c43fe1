// Order in which teams are offered capacity.
#pragma once

#include "SchedulerSettings.h"
#include "TeamTable.h"

#include <memory>

namespace lycheeledge {

/** @brief Orders teams by a key; the team with the lowest key is offered capacity first. */
class TeamOrder {
public:
    virtual ~TeamOrder() = default;

    virtual double key(const TeamRecord& team, const Resources& fleet) const = 0;
};

/** @brief Weighted dominant-resource fairness: the key is the dominant share of the fleet, divided by the team's
 * weight. */
class WeightedDominantShare final : public TeamOrder {
public:
    double key(const TeamRecord& team, const Resources& fleet) const override;
};

/** @brief Baseline for benchmarks: unweighted dominant-resource fairness. */
class EqualSplit final : public TeamOrder {
public:
    double key(const TeamRecord& team, const Resources& fleet) const override;
};

/** @brief Baseline for benchmarks: the team with the earliest accepted queued work goes first. */
class FirstComeFirstServed final : public TeamOrder {
public:
    double key(const TeamRecord& team, const Resources& fleet) const override;
};

std::unique_ptr<TeamOrder> makeTeamOrder(OrderMethod method);

} // namespace lycheeledge
