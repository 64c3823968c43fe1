// Predicts when a submitted job would end, from the load of its pool.
//
// Follows the scheduling order (StepOrder.h): work of a higher priority goes first. Within a priority, a step in time
// waits for steps in time with an earlier objective. Once it is late, it waits for late steps with less remaining work,
// too, and steps in time that arrive later overtake it. Where the order leaves a choice, the shorter time is predicted:
// a submission must not be refused that could have been served.
#pragma once

#include "PoolLoad.h"

namespace lycheeledge::jobs {

/** @brief A job that is to be evaluated, as if it waited now. */
struct SubmittedWork {
    WaitingWork waiting;
    Duration criticalPath {}; ///< shortest time from the start of its first task to the end of its last one
    Duration lastStep {}; ///< part of that for its last step
    Duration admission {}; ///< duration of one admission call for it
    Resources largestReservation; ///< largest amount of each resource that one of its tasks reserves

    bool operator==(const SubmittedWork&) const = default;
};

struct PredictedService {
    Duration wait {}; ///< until all of the work ahead has started
    Duration end {}; ///< until its last task ends

    bool operator==(const PredictedService&) const = default;
};

class ServicePrediction {
public:
    /** @brief The load must outlive the prediction. */
    ServicePrediction(const PoolLoad& load, TimePoint now)
        : m_load(load)
        , m_now(now)
    {
    }

    PredictedService of(const SubmittedWork& job) const;

private:
    /** @param isLate whether the job has missed its objective when its first task starts. */
    double waitSeconds(const SubmittedWork& job, bool isLate) const;

    const PoolLoad& m_load;
    TimePoint m_now;
};

} // namespace lycheeledge::jobs
