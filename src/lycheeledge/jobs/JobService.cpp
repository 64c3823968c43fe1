// Handles client calls at the owner: routing, keys, submissions, cancellations and job states.

#include "JobService.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace lycheeledge::jobs {

namespace {

    constexpr std::size_t jobIdDigits = 16;

    bool isJobId(const std::string& name)
    {
        return name.size() == jobIdDigits
            && std::all_of(name.begin(), name.end(), [](unsigned char c) { return std::isxdigit(c) != 0; });
    }

    ClientReply refusal(std::string reason, std::uint32_t retryAfterS)
    {
        return { .kind = ReplyKind::Refused, .retryAfterS = retryAfterS, .reason = std::move(reason) };
    }

    ClientReply failure(ReplyKind kind, std::string reason) { return { .kind = kind, .reason = std::move(reason) }; }

} // namespace

JobService::JobService(Ports ports, JobServiceSettings settings)
    : m_runtime(ports.runtime)
    , m_scheduler(ports.scheduler)
    , m_ledger(ports.ledger)
    , m_codec(ports.codec)
    , m_log(ports.log)
    , m_host(ports.host)
    , m_settings(settings)
{
}

void JobService::setConfiguration(std::shared_ptr<const ClusterConfiguration> configuration)
{
    m_configuration = std::move(configuration);
    recheckPending();
}

std::optional<AccountId> JobService::accountOf(const ClientCall& call, const QueuePolicy& queue) const
{
    const ClientAccount* account = m_configuration->accountOfKey(call.key);
    if (account != nullptr)
        return account->id;
    return queue.openToAll ? std::optional(AccountId()) : std::nullopt;
}

void JobService::handle(const ClientCall& call, Reply reply)
{
    if (!m_configuration || !m_scheduler.isActive()) {
        reply(refusal("the scheduler is starting", 1));
        return;
    }
    const QueuePolicy* queue = m_configuration->queueOf(call.host, call.path);
    if (queue == nullptr) {
        if (isConfirmedWithin(m_settings.denialFreshness))
            reply(failure(ReplyKind::NoSuchQueue, "no queue has this host and path"));
        else
            refuseUnconfirmed(call, "", reply);
        return;
    }
    const auto account = accountOf(call, *queue);
    if (!account && !isConfirmedWithin(m_settings.denialFreshness)) {
        refuseUnconfirmed(call, queue->name, reply);
        return;
    }
    if (!account) {
        ++m_counters.unauthorized;
        m_log.record("call_unauthorized", { { "queue", queue->name }, { "version", m_configuration->version } });
        reply(failure(ReplyKind::Unauthorized, "the key is not known"));
        return;
    }
    const std::string name = call.path.substr(queue->prefix.size());
    if (call.verb != CallVerb::Submit && !isKeyConfirmed(*queue)) {
        refuseUnconfirmed(call, queue->name, reply);
        return;
    }
    if (call.verb == CallVerb::Read) {
        read(call, *queue, name, std::move(reply));
        return;
    }
    if (!isJobId(name)) {
        ++m_counters.malformed;
        reply(failure(ReplyKind::BadRequest, "the job id is not 16 hexadecimal digits"));
        return;
    }
    if (call.verb == CallVerb::Submit)
        submit(call, *queue, *account, JobId(name), std::move(reply));
    else
        cancel(call, JobId(name), std::move(reply));
}

bool JobService::isKeyConfirmed(const QueuePolicy& queue) const
{
    return queue.openToAll || isConfirmedWithin(m_settings.keyFreshness);
}

bool JobService::isConfirmedWithin(Duration limit) const { return m_runtime.now() - m_confirmedAt <= limit; }

void JobService::refuseUnconfirmed(const ClientCall& call, const std::string& queue, const Reply& reply)
{
    // Whatever the prefix of the queue, the path ends with the job id.
    const JobId id(call.path.substr(call.path.size() - std::min(call.path.size(), jobIdDigits)));
    if (call.verb == CallVerb::Submit && m_scheduler.job(id) != nullptr) {
        answerUnconfirmed(id, reply);
        return;
    }
    ++m_counters.refused;
    m_log.record("call_refused",
        { { "queue", queue }, { "reason", "configuration not confirmed" }, { "version", m_configuration->version },
            { "unconfirmed_ms", std::chrono::duration<double, std::milli>(m_runtime.now() - m_confirmedAt).count() } });
    reply(refusal("the configuration cannot be confirmed now", 1));
}

void JobService::answerUnconfirmed(const JobId& id, const Reply& reply)
{
    ++m_counters.unknown;
    m_log.record("job_unknown", { { "job", id.value() }, { "reason", "configuration not confirmed" } });
    reply({ .kind = ReplyKind::Unknown, .reason = "the configuration cannot be confirmed now" });
}

void JobService::read(const ClientCall& call, const QueuePolicy& queue, const std::string& name, Reply reply)
{
    ++m_counters.reads;
    if (name.empty()) {
        reply({ .kind = ReplyKind::Count, .count = m_scheduler.unstartedJobs(queue.name), .reason = {} });
        return;
    }
    const Job* job = m_scheduler.job(JobId(name));
    if (job == nullptr || !job->accepted) {
        answerAbsentJob(call, std::move(reply));
        return;
    }
    JobState state = job->storedState;
    if (state == JobState::Queued && job->everStarted)
        state = JobState::Running;
    reply({ .kind = ReplyKind::State, .state = state, .reason = {} });
}

void JobService::submit(
    const ClientCall& call, const QueuePolicy& queue, const AccountId& account, const JobId& id, Reply reply)
{
    ++m_counters.submissions;
    const TimePoint deadline = replyDeadline(call, m_runtime.now());
    if (m_scheduler.job(id) != nullptr) {
        ++m_counters.repeated;
        repeat(queue, id, std::move(reply));
        return;
    }
    if (m_ledger.isStalled()) {
        ++m_counters.refused;
        m_log.record("job_refused", { { "job", id.value() }, { "reason", "the store takes no commits" } });
        reply(refusal("the store does not answer", m_settings.storeRetryAfterS));
        return;
    }
    auto spec = m_codec.decode(call.body);
    if (!spec.ok()) {
        ++m_counters.malformed;
        m_log.record("job_malformed", { { "job", id.value() }, { "error", spec.status().message() } });
        reply(failure(ReplyKind::BadRequest, std::string(spec.status().message())));
        return;
    }
    if (refuseForMemory(account, id, *spec, reply) || refuseUnservable(queue, account, id, *spec, reply))
        return;
    m_pending[id] = { .call = call, .replies = {}, .deadline = deadline };
    m_pending[id].replies.push_back(std::move(reply));
    m_scheduler.submit(id,
        { .account = account, .queue = queue.name, .spec = *std::move(spec), .acceptedUnixMs = m_host.unixMs() },
        [this, id] { acceptSubmission(id); });
    m_runtime.after(deadline - m_runtime.now(), [this, id, deadline] {
        const auto it = m_pending.find(id);
        if (it == m_pending.end() || it->second.deadline != deadline)
            return;
        // The commit may still be applied, so the client must not be told that the job will not run.
        m_log.record("job_unknown", { { "job", id.value() }, { "reason", "not stored before the client's deadline" } });
        for (auto& waiting : std::exchange(it->second.replies, {})) {
            ++m_counters.unknown;
            waiting({ .kind = ReplyKind::Unknown, .reason = "not stored in time" });
        }
    });
}

bool JobService::refuseForMemory(const AccountId& account, const JobId& id, const JobSpec& spec, const Reply& reply)
{
    if (m_scheduler.hasMemoryFor(account, spec))
        return false;
    const WorkMemory& memory = m_scheduler.workMemory();
    m_log.record("job_refused",
        { { "job", id.value() }, { "account", account.value() }, { "reason", "accepted work takes the memory" },
            { "used_bytes", memory.used() }, { "limit_bytes", memory.limit() } });
    // Another owner may know the job by now.
    if (!m_host.mayStartTasks()) {
        ++m_counters.unknown;
        reply({ .kind = ReplyKind::Unknown, .reason = "the ownership cannot be confirmed now" });
        return true;
    }
    ++m_counters.refused;
    ++m_counters.refusedForMemory;
    reply(refusal("too much accepted work is waiting", m_settings.memoryRetryAfterS));
    return true;
}

// Only while the ownership is certain: otherwise another owner may know the job by now.
bool JobService::refuseUnservable(
    const QueuePolicy& queue, const AccountId& account, const JobId& id, const JobSpec& spec, const Reply& reply)
{
    if (!m_settings.refusesUnservable || !m_host.mayStartTasks())
        return false;
    const auto refused = m_scheduler.evaluate(queue, account, spec, m_runtime.random()).refusal;
    if (!refused)
        return false;
    const auto toMs = [](Duration value) { return std::chrono::duration<double, std::milli>(value).count(); };
    ++m_counters.refused;
    ++m_counters.refusedByPrediction;
    m_log.record("job_refused",
        { { "job", id.value() }, { "queue", queue.name }, { "account", account.value() },
            { "reason", "it would end too late" }, { "predicted_ms", toMs(refused->predicted) },
            { "useful_ms", toMs(refused->useful) }, { "retry_after_s", refused->retryAfterS } });
    reply(refusal("the cluster cannot serve the job in time", refused->retryAfterS));
    return true;
}

// The commit of a new job requires the configuration that its call was checked against. A call for a job that was
// submitted before has no commit of its own.
void JobService::repeat(const QueuePolicy& queue, const JobId& id, Reply reply)
{
    if (!isKeyConfirmed(queue)) {
        answerUnconfirmed(id, reply);
        return;
    }
    if (const auto it = m_pending.find(id); it != m_pending.end())
        it->second.replies.push_back(std::move(reply));
    else
        reply({ .kind = ReplyKind::Accepted, .reason = {} });
}

void JobService::acceptSubmission(const JobId& id)
{
    ++m_counters.accepted;
    resolve(id, { .kind = ReplyKind::Accepted, .reason = {} });
}

void JobService::refuseSubmissions(const std::vector<JobId>& jobs)
{
    for (const auto& id : jobs) {
        const Job* job = m_scheduler.job(id);
        if (job == nullptr || job->accepted)
            continue;
        m_scheduler.withdraw(id);
        ++m_counters.refused;
        m_log.record("job_refused", { { "job", id.value() }, { "reason", "the store takes no commits" } });
        resolve(id, refusal("the store does not answer", m_settings.storeRetryAfterS));
    }
}

void JobService::resolve(const JobId& id, const ClientReply& reply)
{
    auto node = m_pending.extract(id);
    if (node.empty())
        return;
    for (auto& waiting : node.mapped().replies)
        waiting(reply);
}

// The configuration changed before these submissions were stored, so some may no longer be allowed.
void JobService::recheckPending()
{
    std::vector<std::pair<JobId, ClientReply>> denied;
    for (const auto& [id, pending] : m_pending) {
        if (m_ledger.isCommitting(id))
            continue; // either applied under the earlier configuration, or requeued and checked again
        const QueuePolicy* queue = m_configuration->queueOf(pending.call.host, pending.call.path);
        if (queue == nullptr)
            denied.emplace_back(id, failure(ReplyKind::NoSuchQueue, "no queue has this host and path"));
        else if (!accountOf(pending.call, *queue))
            denied.emplace_back(id, failure(ReplyKind::Unauthorized, "the key is not known"));
    }
    for (const auto& [id, reply] : denied) {
        m_scheduler.withdraw(id);
        const Job* job = m_scheduler.job(id);
        if (job == nullptr)
            resolve(id, reply);
    }
}

void JobService::cancel(const ClientCall& call, const JobId& id, Reply reply)
{
    ++m_counters.cancels;
    const Job* job = m_scheduler.job(id);
    if (job == nullptr) {
        answerAbsentJob(call, std::move(reply));
        return;
    }
    const std::uint64_t n = ++m_nextCall;
    const TimePoint deadline = replyDeadline(call, m_runtime.now());
    m_cancels[n] = { call, deadline, std::move(reply), true };
    const auto answer = [this, n](const ClientReply& result) {
        auto node = m_cancels.extract(n);
        if (!node.empty())
            node.mapped().reply(result);
    };
    m_scheduler.cancel(id, [answer] { answer({ .kind = ReplyKind::Cancelled, .reason = {} }); });
    m_runtime.after(deadline - m_runtime.now(),
        [answer] { answer({ .kind = ReplyKind::Unknown, .reason = "not stored in time" }); });
}

// Another owner may have taken over, and accepted the job, until the ownership is confirmed by a call to the store that
// was sent after this call arrived. If another one has, the call goes to it.
void JobService::answerAbsentJob(const ClientCall& call, Reply reply)
{
    const TimePoint now = m_runtime.now();
    const TimePoint deadline = replyDeadline(call, now);
    const std::uint64_t n = ++m_nextCall;
    m_absentJobCalls[n] = { { call, deadline, std::move(reply) }, now };
    m_runtime.after(deadline - now, [this, n] {
        auto node = m_absentJobCalls.extract(n);
        if (!node.empty())
            node.mapped().call.reply({ .kind = ReplyKind::Unknown, .reason = "the ownership cannot be confirmed now" });
    });
}

void JobService::ownershipConfirmed()
{
    while (!m_absentJobCalls.empty() && m_absentJobCalls.begin()->second.arrivedAt <= m_host.ownershipConfirmedAt()) {
        const auto node = m_absentJobCalls.extract(m_absentJobCalls.begin());
        node.mapped().call.reply(failure(ReplyKind::NoSuchJob, "no such job"));
    }
}

std::vector<JobService::UnfinishedCall> JobService::end()
{
    m_configuration.reset();
    std::vector<UnfinishedCall> result;
    for (auto& [id, pending] : std::exchange(m_pending, {})) {
        for (auto& reply : pending.replies)
            result.push_back({ pending.call, pending.deadline, std::move(reply), true });
    }
    for (auto& [n, cancel] : std::exchange(m_cancels, {}))
        result.push_back(std::move(cancel));
    for (auto& [n, absent] : std::exchange(m_absentJobCalls, {}))
        result.push_back(std::move(absent.call));
    return result;
}

} // namespace lycheeledge::jobs
