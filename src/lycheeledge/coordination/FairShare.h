// Order in which teams get capacity.
#pragma once

#include "SchedulerSettings.h"
#include "TeamTable.h"

#include <memory>

namespace lycheeledge {

/** @brief Decides which team goes next: the one with the lowest key. */
class TeamOrder {
public:
    virtual ~TeamOrder() = default;

    virtual double key(const TeamRecord& team, const Resources& fleet) const = 0;
};

/** @brief Weighted dominant-resource fairness: dominant share of the fleet, divided by the team's weight. */
class WeightedDominantShare final : public TeamOrder {
public:
    double key(const TeamRecord& team, const Resources& fleet) const override;
};

/** @brief Baseline: dominant share of the fleet; all teams weigh the same. */
class EqualSplit final : public TeamOrder {
public:
    double key(const TeamRecord& team, const Resources& fleet) const override;
};

/** @brief Baseline: the team whose work was accepted first. */
class FirstComeFirstServed final : public TeamOrder {
public:
    double key(const TeamRecord& team, const Resources& fleet) const override;
};

std::unique_ptr<TeamOrder> makeTeamOrder(OrderMethod method);

} // namespace lycheeledge
