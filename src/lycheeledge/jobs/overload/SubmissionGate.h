// Decides whether a submission is accepted, or refused because it cannot be served in time.
#pragma once

#include "ServicePrediction.h"

#include <cstdint>
#include <optional>

namespace lycheeledge::jobs {

/** @brief Why and for how long a submission is refused. */
struct SubmissionRefusal {
    Duration predicted {}; ///< until its last task would end
    Duration useful {}; ///< until its result expires
    std::uint32_t retryAfterS = 0;

    bool operator==(const SubmissionRefusal&) const = default;
};

struct GateDecision {
    PredictedService predicted;
    std::optional<SubmissionRefusal> refusal; ///< empty: the submission is accepted

    bool operator==(const GateDecision&) const = default;
};

class SubmissionGate {
public:
    /** @param random uniformly distributed; spreads the clients' next attempts. */
    static GateDecision decide(const PoolLoad& load, const SubmittedWork& job, TimePoint now, std::uint64_t random);
    /**
     * @brief Retry-After in whole seconds, from 1 to 30.
     * @param delay until the same submission would be served in time.
     */
    static std::uint32_t retryAfter(Duration delay, std::uint64_t random);
};

} // namespace lycheeledge::jobs
