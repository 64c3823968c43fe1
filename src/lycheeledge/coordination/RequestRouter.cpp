// Routes submissions and queries from the entry process that received them to the owner of the cell.

#include "RequestRouter.h"

#include <absl/status/status.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace lycheeledge {

namespace {

    constexpr Duration queryTimeout = std::chrono::seconds(5);

    WorkResult errorResult(const WorkId& id, RunState run, ErrorKind error, std::string message)
    {
        return { .id = id, .run = run, .error = error, .message = std::move(message), .body = {} };
    }

    // The sender decides on the kind of a reply, so that another one than expected must not end this process.
    constexpr const char* wrongReplyKind = "the owner of the cell sent a reply of another kind";

    absl::StatusOr<std::optional<WorkStatus>> statusOrError(const PeerMessage& message)
    {
        const auto* reply = std::get_if<StatusReply>(&message);
        if (reply == nullptr)
            return absl::UnavailableError(wrongReplyKind);
        return reply->found ? std::optional(reply->status) : std::nullopt;
    }

} // namespace

RequestRouter::RequestRouter(
    Runtime& runtime, PeerLink& link, const OwnerDirectory& owners, LocalCell& local, RouterSettings settings)
    : m_runtime(runtime)
    , m_link(link)
    , m_owners(owners)
    , m_local(local)
    , m_settings(std::move(settings))
{
}

void RequestRouter::submit(WorkSpec spec, std::string traceparent, std::function<void(WorkResult)> done)
{
    if (m_submissions.size() >= m_settings.maxPendingSubmissions) {
        done(errorResult(
            spec.id, RunState::NotRun, ErrorKind::Overloaded, "too many calls in progress at this process"));
        return;
    }
    // For a job only the acceptance is awaited here; its deadline applies to its execution.
    const bool hasDeadline = spec.kind == WorkKind::Request && spec.deadline > Duration::zero();
    const Duration timeout = hasDeadline ? spec.deadline : m_settings.defaultDeadline;
    const std::uint64_t key = m_nextId++;
    Submission& submission = m_submissions[key];
    submission.spec = std::move(spec);
    submission.traceparent = std::move(traceparent);
    submission.done = std::move(done);
    submission.deadline = m_runtime.now() + timeout;
    dispatch(key);
}

void RequestRouter::dispatch(std::uint64_t key)
{
    const auto it = m_submissions.find(key);
    if (it == m_submissions.end())
        return;
    Submission& submission = it->second;
    m_runtime.cancel(submission.timer);
    m_calls.erase(submission.call);
    if (m_runtime.now() >= submission.deadline) {
        expire(key);
        return;
    }
    const auto owner = m_owners.ownerOf(m_settings.cell);
    if (!owner || (owner->member == m_settings.self && !m_local.isActive())) {
        retryLater(key, submission);
        return;
    }
    if (submission.maybeReceived && submission.sentTo != owner) {
        // An earlier owner may have received this work id, so this is no longer the first attempt.
        submission.spec.attempt = std::max(submission.spec.attempt, 1U) + 1;
    }
    submission.sentTo = owner;
    submission.maybeReceivedEarlier = submission.maybeReceived;
    submission.maybeReceived = true;
    submission.call = m_nextId++;
    m_calls[submission.call] = key;
    scheduleExpiry(key, submission);
    if (owner->member == m_settings.self)
        submitLocally(key, submission);
    else
        sendTo(key, submission, *owner);
}

WorkSpec RequestRouter::specToSend(const Submission& submission) const
{
    WorkSpec spec = submission.spec;
    if (spec.kind == WorkKind::Request)
        spec.deadline = submission.deadline - m_runtime.now();
    return spec;
}

void RequestRouter::sendTo(std::uint64_t key, Submission& submission, const OwnerLocation& owner)
{
    SubmitMessage message;
    message.call = submission.call;
    message.cell = m_settings.cell;
    message.spec = specToSend(submission);
    message.traceparent = submission.traceparent;
    const std::uint64_t call = submission.call;
    m_link.send(owner.member, owner.address, std::move(message), [this, key, call](bool maybeReceived) {
        const auto it = m_submissions.find(key);
        if (it == m_submissions.end() || it->second.call != call)
            return;
        it->second.maybeReceived = it->second.maybeReceivedEarlier || maybeReceived;
        retryLater(key, it->second);
    });
}

void RequestRouter::submitLocally(std::uint64_t key, Submission& submission)
{
    const std::uint64_t call = submission.call;
    m_local.submit(specToSend(submission), submission.traceparent, [this, key, call](WorkResult result) {
        const auto it = m_submissions.find(key);
        if (it != m_submissions.end() && it->second.call == call)
            finish(key, std::move(result));
    });
}

void RequestRouter::retryLater(std::uint64_t key, Submission& submission)
{
    m_runtime.cancel(submission.timer);
    const Duration left = submission.deadline - m_runtime.now();
    const Duration delay = std::clamp(left, Duration::zero(), m_settings.retryInterval);
    submission.timer = m_runtime.after(delay, [this, key] { dispatch(key); });
}

void RequestRouter::scheduleExpiry(std::uint64_t key, Submission& submission)
{
    const Duration left = submission.deadline - m_runtime.now() + m_settings.responseGracePeriod;
    submission.timer = m_runtime.after(left, [this, key] { expire(key); });
}

void RequestRouter::expire(std::uint64_t key)
{
    const auto it = m_submissions.find(key);
    if (it == m_submissions.end())
        return;
    const Submission& submission = it->second;
    const WorkId id = submission.spec.id;
    if (submission.maybeReceived)
        finish(key, errorResult(id, RunState::Unknown, ErrorKind::DeadlineExceeded, "no answer before the deadline"));
    else
        finish(key,
            errorResult(id, RunState::NotRun, ErrorKind::Unavailable, "the cell had no owner before the deadline"));
}

void RequestRouter::finish(std::uint64_t key, WorkResult result)
{
    const auto it = m_submissions.find(key);
    m_runtime.cancel(it->second.timer);
    m_calls.erase(it->second.call);
    auto done = std::move(it->second.done);
    m_submissions.erase(it);
    done(std::move(result));
}

void RequestRouter::submitReplied(const SubmitReply& reply)
{
    const auto call = m_calls.find(reply.call);
    if (call == m_calls.end())
        return;
    const std::uint64_t key = call->second;
    Submission& submission = m_submissions.at(key);
    if (reply.notOwner) {
        submission.maybeReceived = submission.maybeReceivedEarlier;
        retryLater(key, submission);
    } else if (reply.result.id == submission.spec.id) {
        finish(key, reply.result);
    }
}

void RequestRouter::ownerChanged()
{
    const auto owner = m_owners.ownerOf(m_settings.cell);
    std::vector<std::uint64_t> stale;
    for (const auto& [key, submission] : m_submissions) {
        if (submission.sentTo && submission.sentTo != owner)
            stale.push_back(key);
    }
    dispatchAll(std::move(stale));
}

void RequestRouter::localCellClosed()
{
    std::vector<std::uint64_t> local;
    for (const auto& [key, submission] : m_submissions) {
        if (submission.sentTo && submission.sentTo->member == m_settings.self)
            local.push_back(key);
    }
    dispatchAll(std::move(local));
}

void RequestRouter::dispatchAll(std::vector<std::uint64_t> keys)
{
    std::sort(keys.begin(), keys.end()); // keys ascend in the order of arrival
    for (const std::uint64_t key : keys)
        dispatch(key);
}

void RequestRouter::query(PeerMessage message, std::uint64_t call, Query pending)
{
    const auto owner = m_owners.ownerOf(m_settings.cell);
    if (!owner || owner->member == m_settings.self) {
        pending.failed(absl::UnavailableError("the cell has no active owner"));
        return;
    }
    auto fail = [this, call](absl::Status status) {
        const auto it = m_queries.find(call);
        if (it == m_queries.end())
            return;
        m_runtime.cancel(it->second.timer);
        auto failed = std::move(it->second.failed);
        m_queries.erase(it);
        failed(std::move(status));
    };
    pending.timer = m_runtime.after(
        queryTimeout, [fail] { fail(absl::DeadlineExceededError("the owner of the cell did not answer")); });
    m_queries.emplace(call, std::move(pending));
    m_link.send(owner->member, owner->address, std::move(message),
        [fail](bool) { fail(absl::UnavailableError("the connection to the owner of the cell broke")); });
}

template <typename Reply> void RequestRouter::queryReplied(const Reply& reply)
{
    const auto it = m_queries.find(reply.call);
    if (it == m_queries.end())
        return;
    m_runtime.cancel(it->second.timer);
    const Query pending = std::move(it->second);
    m_queries.erase(it);
    if (reply.notOwner)
        pending.failed(absl::UnavailableError("the owner of the cell has changed; try again"));
    else
        pending.answered(reply);
}

void RequestRouter::cancel(const WorkId& id, std::function<void(absl::StatusOr<std::optional<WorkStatus>>)> done)
{
    if (m_local.isActive()) {
        m_local.cancel(id, std::move(done));
        return;
    }
    const std::uint64_t call = m_nextId++;
    query(CancelMessage { .call = call, .cell = m_settings.cell, .work = id }, call,
        { .answered = [done](const PeerMessage& reply) { done(statusOrError(reply)); }, .failed = done });
}

void RequestRouter::status(const WorkId& id, std::function<void(absl::StatusOr<std::optional<WorkStatus>>)> done)
{
    if (m_local.isActive()) {
        done(m_local.status(id));
        return;
    }
    const std::uint64_t call = m_nextId++;
    query(StatusMessage { .call = call, .cell = m_settings.cell, .work = id }, call,
        { .answered = [done](const PeerMessage& reply) { done(statusOrError(reply)); }, .failed = done });
}

void RequestRouter::overview(std::function<void(absl::StatusOr<std::string>)> done)
{
    if (m_local.isActive()) {
        done(m_local.overview());
        return;
    }
    const std::uint64_t call = m_nextId++;
    query(OverviewMessage { .call = call, .cell = m_settings.cell }, call,
        { .answered =
                [done](const PeerMessage& reply) {
                    const auto* overview = std::get_if<OverviewReply>(&reply);
                    if (overview != nullptr)
                        done(overview->json);
                    else
                        done(absl::UnavailableError(wrongReplyKind));
                },
            .failed = done });
}

void RequestRouter::messageReceived(const MemberId& from, const PeerMessage& message)
{
    if (const auto* submit = std::get_if<SubmitMessage>(&message))
        handleSubmit(from, *submit);
    else if (const auto* submitReply = std::get_if<SubmitReply>(&message))
        submitReplied(*submitReply);
    else if (const auto* cancel = std::get_if<CancelMessage>(&message))
        handleCancel(from, *cancel);
    else if (const auto* status = std::get_if<StatusMessage>(&message))
        handleStatus(from, *status);
    else if (const auto* statusReply = std::get_if<StatusReply>(&message))
        queryReplied(*statusReply);
    else if (const auto* overview = std::get_if<OverviewMessage>(&message))
        handleOverview(from, *overview);
    else if (const auto* overviewReply = std::get_if<OverviewReply>(&message))
        queryReplied(*overviewReply);
}

void RequestRouter::handleSubmit(const MemberId& from, const SubmitMessage& message)
{
    if (!ownsCell(message.cell)) {
        m_link.reply(from, SubmitReply { .call = message.call, .notOwner = true, .result = {} });
        return;
    }
    m_local.submit(message.spec, message.traceparent, [this, from, call = message.call](WorkResult result) {
        m_link.reply(from, SubmitReply { .call = call, .notOwner = false, .result = std::move(result) });
    });
}

void RequestRouter::handleCancel(const MemberId& from, const CancelMessage& message)
{
    if (!ownsCell(message.cell)) {
        m_link.reply(from, StatusReply { .call = message.call, .notOwner = true, .found = false, .status = {} });
        return;
    }
    m_local.cancel(message.work, [this, from, call = message.call](std::optional<WorkStatus> status) {
        StatusReply reply { .call = call, .notOwner = false, .found = status.has_value(), .status = {} };
        reply.status = status.value_or(WorkStatus {});
        m_link.reply(from, std::move(reply));
    });
}

void RequestRouter::handleStatus(const MemberId& from, const StatusMessage& message)
{
    StatusReply reply;
    reply.call = message.call;
    reply.notOwner = !ownsCell(message.cell);
    if (!reply.notOwner) {
        const auto status = m_local.status(message.work);
        reply.found = status.has_value();
        reply.status = status.value_or(WorkStatus {});
    }
    m_link.reply(from, std::move(reply));
}

void RequestRouter::handleOverview(const MemberId& from, const OverviewMessage& message)
{
    OverviewReply reply;
    reply.call = message.call;
    reply.notOwner = !ownsCell(message.cell);
    if (!reply.notOwner)
        reply.json = m_local.overview();
    m_link.reply(from, std::move(reply));
}

} // namespace lycheeledge
