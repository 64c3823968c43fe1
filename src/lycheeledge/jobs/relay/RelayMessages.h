// Messages between the owner and the members that talk to workers on its behalf.
//
// Messages are batched, because a message costs the owner far more than a further call in it.
#pragma once

#include "../WorkerPort.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace lycheeledge::jobs {

using WorkerRequest = std::variant<StartOrder, StopOrder, PaceOrder, PollRequest>;

/** @brief A call to a worker that a member makes for the owner. */
struct WorkerCall {
    std::uint64_t id = 0; ///< unique within the connection
    WorkerTarget target;
    std::int64_t timeoutMs = 0; ///< from the time when the owner sent the call, including the wait of a poll
    WorkerRequest request;

    bool operator==(const WorkerCall&) const = default;
};

/**
 * @brief Calls of the owner, with an upper bound on their age.
 *
 * The owner returns the member's own clock, as last received, and how long ago that was. The member's clock minus the
 * sum of both is at most the time for which the batch was under way, also if one of the VMs was frozen meanwhile.
 */
struct WorkerCallBatch {
    std::int64_t memberClockMs = 0;
    std::int64_t heldMs = 0; ///< on the owner's clock, from the receipt of `memberClockMs` until the batch was sent
    std::vector<WorkerCall> calls;

    bool operator==(const WorkerCallBatch&) const = default;
};

struct WorkerReply {
    std::uint64_t id = 0; ///< of the call
    OrderOutcome outcome = OrderOutcome::Unknown;
    bool hasClock = false;
    std::int64_t clockMs = 0; ///< the worker's clock, if known
    PollReport report; ///< of a poll that was answered

    bool operator==(const WorkerReply&) const = default;
};

struct WorkerReplyBatch {
    std::int64_t memberClockMs = 0; ///< when the batch was sent
    std::vector<WorkerReply> replies;

    bool operator==(const WorkerReplyBatch&) const = default;
};

/** @brief Sent by each member regularly: it can talk to workers, and this is its clock. */
struct RelayOffer {
    std::string dataCentre; ///< of the member
    std::int64_t memberClockMs = 0;

    bool operator==(const RelayOffer&) const = default;
};

} // namespace lycheeledge::jobs
