// The owner's access to the workers: through members on large fleets, directly otherwise.

#include "RelayedWorkers.h"

#include <algorithm>
#include <utility>

namespace lycheeledge::jobs {

namespace {

    std::int64_t toMilliseconds(Duration value)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
    }

} // namespace

RelayedWorkers::RelayedWorkers(
    Runtime& runtime, WorkerPort& direct, MemberPort& members, EventLog& log, RelaySettings settings)
    : m_runtime(runtime)
    , m_direct(direct)
    , m_port(members)
    , m_log(log)
    , m_settings(settings)
{
}

// --- Members ---

void RelayedWorkers::addMember(MemberConnection connection, const std::string& member, double cpuShare)
{
    Member& added = m_members[connection];
    added.name = member;
    added.cpuShare = cpuShare;
    added.lastReceivedAt = m_runtime.now();
    if (!m_checkTimer)
        m_checkTimer = m_runtime.after(m_settings.checkInterval, [this] { check(); });
}

void RelayedWorkers::removeMember(MemberConnection connection)
{
    if (m_members.erase(connection) == 0)
        return;
    membersChanged();
    repeatPolls([connection](const Pending& it) { return it.member == connection; });
    std::vector<std::uint64_t> lost;
    for (const auto& [id, pending] : m_pending) {
        if (pending.member == connection)
            lost.push_back(id);
    }
    for (const auto id : lost)
        finish(id, { .id = id, .outcome = OrderOutcome::Unknown, .report = {} });
}

void RelayedWorkers::clear()
{
    m_members.clear();
    m_pending.clear();
    m_detours.clear();
    membersChanged();
    for (auto* timer : { &m_flushTimer, &m_checkTimer }) {
        if (*timer)
            m_runtime.cancel(**timer);
        timer->reset();
    }
}

void RelayedWorkers::received(MemberConnection connection, const RelayOffer& offer)
{
    const auto it = m_members.find(connection);
    if (it == m_members.end())
        return;
    heard(it->second, offer.memberClockMs);
    if (std::exchange(it->second.offered, true))
        return;
    it->second.dataCentre = offer.dataCentre;
    membersChanged();
}

void RelayedWorkers::heard(Member& member, std::int64_t clockMs)
{
    member.clockMs = clockMs;
    member.lastReceivedAt = m_runtime.now();
    if (std::exchange(member.silent, false))
        membersChanged();
}

void RelayedWorkers::markSilent(Member& member)
{
    if (std::exchange(member.silent, true))
        return;
    ++m_counters.silences;
    m_log.record("relay_silent",
        { { "relay", member.name }, { "silent_ms", toMilliseconds(m_runtime.now() - member.lastReceivedAt) },
            { "calls", member.callsInProgress } });
    membersChanged();
}

std::vector<RelayCandidate> RelayedWorkers::candidates() const
{
    std::vector<RelayCandidate> result;
    for (const auto& [connection, member] : m_members) {
        if (member.offered && !member.silent)
            result.push_back({ connection, member.name, member.dataCentre, member.cpuShare });
    }
    return result;
}

std::optional<MemberConnection> RelayedWorkers::relayFor(const WorkerTarget& to)
{
    if (m_workerCount() <= m_settings.maxDirectWorkers)
        return std::nullopt;
    if (const auto detour = m_detours.find(to.id); detour != m_detours.end()) {
        if (m_runtime.now() < detour->second)
            return std::nullopt;
        m_detours.erase(detour);
    }
    auto assigned = m_assigned.find(to.id);
    if (assigned == m_assigned.end()) {
        const auto selected = selectRelay(to.id, to.dataCentre, candidates());
        if (!selected)
            return std::nullopt;
        assigned = m_assigned.emplace(to.id, *selected).first;
    }
    const Member& member = m_members.at(assigned->second);
    return member.callsInProgress < m_settings.maxCallsPerMember ? std::optional(assigned->second) : std::nullopt;
}

// --- Calls ---

bool RelayedWorkers::relay(const WorkerTarget& to, const WorkerRequest& request, Duration timeout, Duration total,
    std::variant<OrderDone, PollDone> done)
{
    const auto connection = relayFor(to);
    if (!connection) {
        ++m_counters.directCalls;
        return false;
    }
    ++m_counters.relayedCalls;
    Member& member = m_members.at(*connection);
    ++member.callsInProgress;
    const std::uint64_t id = ++m_nextCall;
    const TimePoint now = m_runtime.now();
    m_pending[id] = { .member = *connection,
        .target = to,
        .request = request,
        .timeout = timeout,
        .sentAt = now,
        .deadline = now + total + m_settings.timeoutMargin,
        .done = std::move(done) };
    member.batch.push_back({ .id = id, .target = to, .timeoutMs = toMilliseconds(total), .request = request });
    if (member.batch.size() >= m_settings.maxBatchCalls)
        flush(*connection, member);
    else
        scheduleFlush();
    return true;
}

void RelayedWorkers::scheduleFlush()
{
    if (m_flushTimer)
        return;
    m_flushTimer = m_runtime.after(m_settings.batchDelay, [this] {
        m_flushTimer.reset();
        for (auto& [connection, member] : m_members)
            flush(connection, member);
    });
}

void RelayedWorkers::flush(MemberConnection connection, Member& member)
{
    if (member.batch.empty())
        return;
    ++m_counters.batches;
    // The age of the batch counts from now, so the time for which a call has waited here is taken off. It is long if
    // this process was frozen meanwhile; the member then does not make the call.
    for (auto& call : member.batch) {
        const auto pending = m_pending.find(call.id);
        call.timeoutMs
            -= pending == m_pending.end() ? call.timeoutMs : toMilliseconds(m_runtime.now() - pending->second.sentAt);
    }
    // Rounded down, so that the member never takes a call for younger than it is.
    const std::int64_t heldMs = toMilliseconds(m_runtime.now() - member.lastReceivedAt);
    m_port.send(connection, WorkerCallBatch { member.clockMs, heldMs, std::exchange(member.batch, {}) });
}

void RelayedWorkers::received(MemberConnection connection, const WorkerReplyBatch& batch)
{
    const auto it = m_members.find(connection);
    if (it == m_members.end())
        return;
    heard(it->second, batch.memberClockMs);
    for (const auto& reply : batch.replies) {
        const auto pending = m_pending.find(reply.id);
        if (pending == m_pending.end() || pending->second.member != connection)
            continue;
        if (reply.outcome == OrderOutcome::Unknown || reply.outcome == OrderOutcome::NotSent)
            m_detours[pending->second.target.id] = m_runtime.now() + m_settings.detourTime;
        finish(reply.id, reply);
    }
}

void RelayedWorkers::finish(std::uint64_t id, const WorkerReply& reply)
{
    auto node = m_pending.extract(id);
    if (node.empty())
        return;
    const auto member = m_members.find(node.mapped().member);
    if (member != m_members.end())
        --member->second.callsInProgress;
    if (const auto* done = std::get_if<PollDone>(&node.mapped().done)) {
        (*done)({ .outcome = reply.outcome, .report = reply.report });
        return;
    }
    const auto clock = reply.hasClock ? std::optional(reply.clockMs) : std::nullopt;
    std::get<OrderDone>(node.mapped().done)({ .outcome = reply.outcome, .clockMs = clock });
}

void RelayedWorkers::check()
{
    m_checkTimer = m_runtime.after(m_settings.checkInterval, [this] { check(); });
    const TimePoint now = m_runtime.now();
    for (auto& [connection, member] : m_members) {
        if (member.offered && now - member.lastReceivedAt > m_settings.silenceLimit)
            markSilent(member);
    }
    std::vector<std::uint64_t> expired;
    for (const auto& [id, pending] : m_pending) {
        if (now < pending.deadline)
            continue;
        expired.push_back(id);
        const auto member = m_members.find(pending.member);
        if (member != m_members.end() && member->second.lastReceivedAt <= pending.sentAt)
            markSilent(member->second);
    }
    repeatPolls([this](const Pending& it) {
        const auto member = m_members.find(it.member);
        return member != m_members.end() && member->second.silent;
    });
    for (const auto id : expired)
        finish(id, { .id = id, .outcome = OrderOutcome::Unknown, .report = {} });
}

// Makes the affected polls again, only to read: the worker may have restarted since, and the numbers of its ends and
// its clock with it.
void RelayedWorkers::repeatPolls(const std::function<bool(const Pending&)>& affected)
{
    std::vector<Pending> repeated;
    for (auto it = m_pending.begin(); it != m_pending.end();) {
        if (!std::holds_alternative<PollDone>(it->second.done) || !affected(it->second)) {
            ++it;
            continue;
        }
        const auto member = m_members.find(it->second.member);
        if (member != m_members.end())
            --member->second.callsInProgress;
        repeated.push_back(std::move(it->second));
        it = m_pending.erase(it);
    }
    m_counters.repeatedPolls += repeated.size();
    for (auto& it : repeated) {
        PollRequest request;
        request.epoch = std::get<PollRequest>(it.request).epoch;
        poll(it.target, request, it.timeout, std::get<PollDone>(std::move(it.done)));
    }
}

void RelayedWorkers::start(const WorkerTarget& to, const StartOrder& order, Duration timeout, OrderDone done)
{
    if (!relay(to, order, timeout, timeout, done))
        m_direct.start(to, order, timeout, std::move(done));
}

void RelayedWorkers::stop(const WorkerTarget& to, const StopOrder& order, Duration timeout, OrderDone done)
{
    if (!relay(to, order, timeout, timeout, done))
        m_direct.stop(to, order, timeout, std::move(done));
}

void RelayedWorkers::pace(const WorkerTarget& to, const PaceOrder& order, Duration timeout, OrderDone done)
{
    if (!relay(to, order, timeout, timeout, done))
        m_direct.pace(to, order, timeout, std::move(done));
}

void RelayedWorkers::poll(const WorkerTarget& to, const PollRequest& request, Duration timeout, PollDone done)
{
    if (!relay(to, request, timeout, request.wait + timeout, done))
        m_direct.poll(to, request, timeout, std::move(done));
}

} // namespace lycheeledge::jobs
