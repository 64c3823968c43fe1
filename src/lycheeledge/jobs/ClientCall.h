// Client calls and replies, as exchanged with the adapter of a deployment.
#pragma once

#include "JobRecord.h"

#include <absl/status/statusor.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace lycheeledge::jobs {

enum class CallVerb : std::uint8_t { Submit, Read, Cancel };

struct ClientCall {
    CallVerb verb = CallVerb::Read;
    std::string host;
    std::string path;
    std::string key; ///< credential; empty: none
    std::int64_t timeoutMs = 0; ///< how long the client waits for the response; 0: not stated
    std::string body;

    bool operator==(const ClientCall&) const = default;
};

/** @brief Timeout of calls that state none. */
inline constexpr Duration defaultCallTimeout = std::chrono::seconds(3);
/** @brief A reply is sent at least this long before the client's timeout. */
inline constexpr Duration replyMargin = std::chrono::milliseconds(60);

/** @brief Time by which the reply must be sent to a call that arrives at `now`. */
inline TimePoint replyDeadline(const ClientCall& call, TimePoint now)
{
    const Duration stated = std::chrono::milliseconds(call.timeoutMs);
    const Duration timeout = stated > Duration::zero() ? stated : defaultCallTimeout;
    return now + std::max(Duration::zero(), timeout - replyMargin);
}

/** @brief The call as forwarded at `now`, with its timeout reduced to the time left until `deadline`. */
inline ClientCall withRemainingTimeout(ClientCall call, TimePoint deadline, TimePoint now)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now);
    call.timeoutMs = std::max<std::int64_t>(1, left.count());
    return call;
}

enum class ReplyKind : std::uint8_t {
    Accepted, ///< stored, now or by an earlier submission of the same job
    State,
    Count,
    Cancelled,
    NoSuchJob,
    NoSuchQueue,
    Unauthorized,
    BadRequest,
    Refused, ///< has not run and will not run; the client may retry later
    Unknown, ///< may have been accepted; the client may send it again
};

struct ClientReply {
    ReplyKind kind = ReplyKind::Unknown;
    JobState state = JobState::Queued; ///< for State
    std::uint64_t count = 0; ///< for Count
    std::uint32_t retryAfterS = 0; ///< for Refused; 0: not stated
    std::string reason; ///< human-readable

    bool operator==(const ClientReply&) const = default;
};

using ReplyHandler = std::function<void(ClientReply)>;

/** @brief Whether the reply says that the call has not been carried out and will not be. */
inline bool isRejection(const ClientReply& reply)
{
    switch (reply.kind) {
    case ReplyKind::NoSuchQueue:
    case ReplyKind::Unauthorized:
    case ReplyKind::BadRequest:
    case ReplyKind::Refused:
        return true;
    default:
        return false;
    }
}

/**
 * @brief Handler for the replies of a further owner to a call that an earlier one may have carried out. Whatever the
 * further owner knows of the key, the queue or the store, a rejection by it is no statement about the earlier owner.
 */
inline ReplyHandler withoutRejections(CallVerb verb, ReplyHandler reply)
{
    if (verb == CallVerb::Read)
        return reply;
    return [reply = std::move(reply)](ClientReply given) {
        if (isRejection(given))
            given = { .kind = ReplyKind::Unknown, .reason = "may have been carried out before: " + given.reason };
        reply(std::move(given));
    };
}

/** @brief Decodes the body of a submission. */
class SubmissionCodec {
public:
    virtual ~SubmissionCodec() = default;
    /** @brief Errors: `INVALID_ARGUMENT` for a malformed submission. */
    virtual absl::StatusOr<JobSpec> decode(std::string_view body) const = 0;
};

} // namespace lycheeledge::jobs
