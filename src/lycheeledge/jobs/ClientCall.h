// Calls of clients, as the adapter of a deployment hands them over.
#pragma once

#include "JobRecord.h"

#include <absl/status/statusor.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
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
    std::int64_t patienceMs = 0; ///< how long the client waits for the response
    std::string body;

    bool operator==(const ClientCall&) const = default;
};

/** @brief For calls that state no patience. */
inline constexpr Duration defaultPatience = std::chrono::seconds(3);
/** @brief A reply leaves this long before the client gives up. */
inline constexpr Duration replyMargin = std::chrono::milliseconds(60);

/** @brief When the reply to a call must leave, if the call arrives at `now`. */
inline TimePoint replyDeadline(const ClientCall& call, TimePoint now)
{
    const Duration stated = std::chrono::milliseconds(call.patienceMs);
    const Duration patience = stated > Duration::zero() ? stated : defaultPatience;
    return now + std::max(Duration::zero(), patience - replyMargin);
}

/** @brief The call as it is handed on at `now`, with the patience that is left until `deadline`. */
inline ClientCall withPatienceLeft(ClientCall call, TimePoint deadline, TimePoint now)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now);
    call.patienceMs = std::max<std::int64_t>(1, left.count());
    return call;
}

enum class ReplyKind : std::uint8_t {
    Accepted, ///< stored; also for a repeated submission
    State,
    Count,
    Cancelled,
    NoSuchJob,
    NoSuchQueue,
    Unauthorized,
    BadRequest,
    Refused, ///< has not run and will not run; the client may come back
    Unknown, ///< may have been accepted; the client may repeat it
};

struct ClientReply {
    ReplyKind kind = ReplyKind::Unknown;
    JobState state = JobState::Queued; ///< for State
    std::uint64_t count = 0; ///< for Count
    std::uint32_t retryAfterS = 0; ///< for Refused; 0: not told
    std::string reason; ///< for people

    bool operator==(const ClientReply&) const = default;
};

/** @brief Reads the body of a submission. */
class SubmissionCodec {
public:
    virtual ~SubmissionCodec() = default;
    /** @brief Errors: `INVALID_ARGUMENT` for a malformed submission. */
    virtual absl::StatusOr<JobSpec> decode(std::string_view body) const = 0;
};

} // namespace lycheeledge::jobs
