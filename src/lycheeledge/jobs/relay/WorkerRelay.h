// A member's part in talking to workers: makes calls for the owner and returns the replies.
#pragma once

#include "../../coordination/Runtime.h"
#include "../MemberMessages.h"
#include "../WorkerPort.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lycheeledge::jobs {

/**
 * @brief Makes the owner's calls to workers.
 *
 * A call older than its timeout is not made: this process may have been frozen, and the owner may have acted on the
 * missing reply, or may not be the owner any more. Its reply says that it was not sent.
 */
class WorkerRelay {
public:
    /** @param dataCentre of this VM. */
    WorkerRelay(Runtime& runtime, WorkerPort& workers, MemberPort& members, std::string dataCentre);

    /** @brief Tells the owner that this member can relay. Must be called on connecting and regularly thereafter. */
    void sendOffer(MemberConnection owner);
    /** @brief Drops the replies that are not sent yet. Calls in progress go on, but nobody waits for their replies. */
    void disconnected();
    void received(MemberConnection owner, const WorkerCallBatch& batch);

    std::uint64_t calls() const { return m_calls; }
    std::uint64_t expiredCalls() const { return m_expiredCalls; }

private:
    std::int64_t clockMs() const;
    void makeCall(const WorkerCall& call, Duration remaining);
    void reply(MemberConnection owner, WorkerReply reply);
    void flush();

    Runtime& m_runtime;
    WorkerPort& m_workers;
    MemberPort& m_members;
    std::string m_dataCentre;
    std::optional<MemberConnection> m_owner;
    std::vector<WorkerReply> m_replies; ///< not sent yet
    bool m_flushScheduled = false;
    std::uint64_t m_calls = 0;
    std::uint64_t m_expiredCalls = 0; ///< not made because they were too old
};

} // namespace lycheeledge::jobs
