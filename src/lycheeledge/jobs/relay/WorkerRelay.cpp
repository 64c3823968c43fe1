// A member's part in talking to workers: makes calls for the owner and returns the replies.

#include "WorkerRelay.h"

#include <algorithm>
#include <utility>

namespace lycheeledge::jobs {

namespace {

    // How long a reply waits for others. Short against the run time of the shortest tasks, whose ends it reports.
    constexpr Duration replyDelay = std::chrono::milliseconds(2);
    // Bounds the size of a message; a report of a worker with many tasks has some kilobytes.
    constexpr std::size_t maxRepliesPerBatch = 64;
    // No call takes longer; also the age of a batch whose times make no sense.
    constexpr std::int64_t maxTimeoutMs = 60'000;

    /** @brief Upper bound of the time for which the batch was under way. */
    std::int64_t ageOf(const WorkerCallBatch& batch, std::int64_t nowMs)
    {
        const bool plausible
            = batch.memberClockMs >= 0 && batch.memberClockMs <= nowMs && batch.heldMs >= 0 && batch.heldMs <= nowMs;
        return plausible ? std::max<std::int64_t>(0, nowMs - batch.memberClockMs - batch.heldMs) : maxTimeoutMs;
    }

} // namespace

WorkerRelay::WorkerRelay(Runtime& runtime, WorkerPort& workers, MemberPort& members, std::string dataCentre)
    : m_runtime(runtime)
    , m_workers(workers)
    , m_members(members)
    , m_dataCentre(std::move(dataCentre))
{
}

std::int64_t WorkerRelay::clockMs() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_runtime.now().time_since_epoch()).count();
}

void WorkerRelay::sendOffer(MemberConnection owner)
{
    if (m_owner != owner)
        disconnected();
    m_owner = owner;
    m_members.send(owner, RelayOffer { m_dataCentre, clockMs() });
}

void WorkerRelay::disconnected()
{
    m_owner.reset();
    m_replies.clear();
}

void WorkerRelay::received(MemberConnection owner, const WorkerCallBatch& batch)
{
    if (m_owner != owner)
        return;
    const std::int64_t ageMs = ageOf(batch, clockMs());
    for (const auto& call : batch.calls) {
        const std::int64_t remainingMs = std::min(call.timeoutMs, maxTimeoutMs) - ageMs;
        if (remainingMs > 0) {
            ++m_calls;
            makeCall(call, std::chrono::milliseconds(remainingMs));
            continue;
        }
        ++m_expiredCalls;
        reply(owner, { .id = call.id, .outcome = OrderOutcome::NotSent, .report = {} });
    }
}

void WorkerRelay::makeCall(const WorkerCall& call, Duration remaining)
{
    const MemberConnection owner = *m_owner;
    const auto orderDone = [this, owner, id = call.id](const OrderResult& result) {
        reply(owner,
            { .id = id,
                .outcome = result.outcome,
                .hasClock = result.clockMs.has_value(),
                .clockMs = result.clockMs.value_or(0),
                .report = {} });
    };
    if (const auto* start = std::get_if<StartOrder>(&call.request))
        m_workers.start(call.target, *start, remaining, orderDone);
    else if (const auto* stop = std::get_if<StopOrder>(&call.request))
        m_workers.stop(call.target, *stop, remaining, orderDone);
    else if (const auto* pace = std::get_if<PaceOrder>(&call.request))
        m_workers.pace(call.target, *pace, remaining, orderDone);
    else if (const auto* poll = std::get_if<PollRequest>(&call.request)) {
        PollRequest request = *poll;
        request.wait = std::min(request.wait, remaining);
        m_workers.poll(call.target, request, remaining - request.wait, [this, owner, id = call.id](PollResult result) {
            reply(owner, { .id = id, .outcome = result.outcome, .report = std::move(result.report) });
        });
    }
}

void WorkerRelay::reply(MemberConnection owner, WorkerReply reply)
{
    if (m_owner != owner)
        return;
    m_replies.push_back(std::move(reply));
    if (m_replies.size() >= maxRepliesPerBatch) {
        flush();
        return;
    }
    if (std::exchange(m_flushScheduled, true))
        return;
    m_runtime.after(replyDelay, [this] {
        m_flushScheduled = false;
        flush();
    });
}

void WorkerRelay::flush()
{
    if (m_owner && !m_replies.empty())
        m_members.send(*m_owner, WorkerReplyBatch { clockMs(), std::exchange(m_replies, {}) });
}

} // namespace lycheeledge::jobs
