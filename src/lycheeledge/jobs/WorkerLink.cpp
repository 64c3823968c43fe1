// Connection to one worker: polls it to renew its lease and to read its running and ended tasks.

#include "WorkerLink.h"

#include <algorithm>
#include <utility>

namespace lycheeledge::jobs {

namespace {

    // One failed poll may be a lost packet; after two in a row the worker counts as unreachable.
    constexpr int failuresUntilUnreachable = 2;
    // Until a restarted worker has answered, late polls of its earlier incarnation may acknowledge its new ends, so the
    // first polls after a restart are repeated sooner. Ten times the response time of a healthy worker.
    constexpr Duration firstPollTimeout = std::chrono::milliseconds(200);
    constexpr int firstPolls = 3;
    // Beyond the deviation of a worker's clock.
    constexpr Duration clockTolerance = std::chrono::milliseconds(20);

    std::int64_t toMilliseconds(Duration value)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
    }

} // namespace

WorkerLink::WorkerLink(Runtime& runtime, WorkerPort& port, WorkerLinkListener& listener, WorkerTarget target,
    Epoch fencingToken, std::function<TimePoint()> ordersEnd, WorkerLinkSettings settings)
    : m_runtime(runtime)
    , m_port(port)
    , m_listener(listener)
    , m_target(std::move(target))
    , m_fencingToken(fencingToken)
    , m_ordersEnd(std::move(ordersEnd))
    , m_settings(settings)
{
}

WorkerLink::~WorkerLink()
{
    if (m_timer)
        m_runtime.cancel(*m_timer);
}

void WorkerLink::begin() { poll(); }

void WorkerLink::acknowledge(std::uint64_t sequence)
{
    m_acknowledgedEnd = std::max(m_acknowledgedEnd, sequence);
    if (!m_polling && m_reachable && m_acknowledgedEnd >= m_lastListedEnd)
        schedulePoll(Duration::zero());
}

void WorkerLink::resetForNewIncarnation(Epoch fencingToken)
{
    m_fencingToken = fencingToken;
    m_acknowledgedEnd = 0;
    m_forgottenEnd = 0;
    m_lastListedEnd = 0;
    m_clockMs.reset();
    m_restarted = true;
    assumeLongestLease();
    pollAnew();
}

void WorkerLink::raiseFencingToken(Epoch fencingToken)
{
    m_fencingToken = fencingToken;
    m_clockMs.reset();
    m_restarted = true;
    m_failures = std::max(m_failures, 1);
    assumeLongestLease();
    pollAnew();
}

void WorkerLink::setAddress(const std::string& address)
{
    m_target.address = address;
    m_failures = std::max(m_failures, 1);
    pollAnew();
}

// The response to a poll in progress is ignored.
void WorkerLink::pollAnew()
{
    ++m_attempt;
    m_polling = false;
    schedulePoll(Duration::zero());
}

void WorkerLink::assumeLongestLease()
{
    m_leaseExpiry = std::max(m_leaseExpiry, m_runtime.now() + longestTime(m_settings.maxLease));
}

Duration WorkerLink::longestTime(Duration workerTime) const
{
    return std::chrono::duration_cast<Duration>(workerTime / (1 - m_settings.clockSlowdown));
}

bool WorkerLink::isLeaseLimited() const { return m_ordersEnd() < m_runtime.now() + longestTime(m_settings.lease); }

Duration WorkerLink::shortestTime(Duration time) const
{
    return std::chrono::duration_cast<Duration>(time * (1 - m_settings.clockSlowdown));
}

std::optional<std::int64_t> WorkerLink::extendLeaseForOrder()
{
    if (!m_clockMs)
        return std::nullopt;
    const TimePoint now = m_runtime.now();
    const Duration length
        = std::min<Duration>(now - m_clockAt + m_settings.lease, shortestTime(m_ordersEnd() - m_clockAt));
    if (length <= now - m_clockAt)
        return std::nullopt;
    m_leaseExpiry = std::max(m_leaseExpiry, m_clockAt + longestTime(length));
    m_grantedLeaseEnd = std::max(m_grantedLeaseEnd, m_clockAt + length);
    return *m_clockMs + toMilliseconds(length);
}

bool WorkerLink::recordClock(std::optional<std::int64_t> clockMs, TimePoint sentAt)
{
    if (!clockMs)
        return true;
    if (m_clockMs) {
        const Duration passed = sentAt - m_clockAt; // negative if a later order was answered first
        const auto deviation
            = std::chrono::duration_cast<Duration>(std::chrono::abs(passed) * m_settings.clockSlowdown);
        if (*clockMs < *m_clockMs + toMilliseconds(passed - deviation - clockTolerance))
            return false;
    }
    setClock(*clockMs);
    return true;
}

void WorkerLink::setClock(std::int64_t clockMs)
{
    m_clockMs = clockMs;
    m_clockAt = m_runtime.now();
}

void WorkerLink::pollNow()
{
    if (m_reachable && m_failures == 0) {
        m_failures = 1;
        poll();
    }
}

void WorkerLink::poll()
{
    if (m_timer) {
        m_runtime.cancel(*m_timer);
        m_timer.reset();
    }
    if (m_runtime.now() >= m_ordersEnd()) {
        schedulePoll(m_settings.retryPause);
        return;
    }
    PollRequest request { .epoch = m_fencingToken, .acknowledged = 0, .leaseUntilMs = {} };
    // An unresponsive worker is only read. Its lease is not extended, so that its tasks can start elsewhere once it has
    // expired; and it may have restarted, in which case its new ends have the numbers of the acknowledged ones.
    if (m_failures == 0) {
        // Not repeated once the worker has forgotten the ends: the poll may reach its next incarnation.
        if (m_acknowledgedEnd > m_forgottenEnd)
            request.acknowledged = m_acknowledgedEnd;
        request.leaseUntilMs = extendLeaseForOrder();
    }
    // A worker with unacknowledged ends responds immediately, so polls that wait would become a busy loop. A limited
    // lease is extended soon after the next confirmation of the ownership.
    if (m_reachable && m_failures == 0 && m_clockMs && m_acknowledgedEnd >= m_lastListedEnd)
        request.wait = isLeaseLimited() ? m_settings.retryPause : m_settings.pollWait;
    const std::uint64_t attempt = ++m_attempt;
    const TimePoint sentAt = m_runtime.now();
    m_polling = true;
    const Duration timeout = m_restarted && m_failures < firstPolls ? firstPollTimeout : m_settings.pollTimeout;
    m_port.poll(m_target, request, timeout,
        [this, attempt, sentAt, acknowledged = request.acknowledged, alive = std::weak_ptr<bool>(m_alive)](
            const PollResult& result) {
            if (!alive.expired())
                handlePollResult(attempt, sentAt, acknowledged, result);
        });
}

void WorkerLink::handlePollResult(
    std::uint64_t attempt, TimePoint sentAt, std::uint64_t acknowledged, const PollResult& result)
{
    if (attempt != m_attempt)
        return;
    m_polling = false;
    if (result.outcome != OrderOutcome::Done) {
        handlePollFailure(result.outcome);
        return;
    }
    m_failures = 0;
    m_forgottenEnd = std::max(m_forgottenEnd, acknowledged);
    if (std::exchange(m_restarted, false))
        assumeLongestLease();
    for (const auto& end : result.report.ended)
        m_lastListedEnd = std::max(m_lastListedEnd, end.sequence);
    const std::weak_ptr<bool> alive = m_alive;
    setReachable(true);
    m_listener.workerReported(m_target.id, result.report, sentAt);
    if (alive.expired() || attempt != m_attempt)
        return; // the report told of a new incarnation, which the next poll asks for its clock
    setClock(result.report.clockMs);
    if (m_polling || m_timer)
        return;
    if (m_acknowledgedEnd >= m_lastListedEnd)
        poll();
    else
        schedulePoll(m_settings.acknowledgementWait);
}

void WorkerLink::handlePollFailure(OrderOutcome outcome)
{
    if (outcome == OrderOutcome::Fenced) {
        m_listener.workerFenced(m_target.id);
        return;
    }
    if (outcome == OrderOutcome::OtherIncarnation) {
        m_listener.workerIncarnationEnded(m_target.id);
        return;
    }
    ++m_failures;
    const bool retryAtOnce = m_failures < (m_restarted ? firstPolls : failuresUntilUnreachable);
    const std::weak_ptr<bool> alive = m_alive;
    if (!retryAtOnce)
        setReachable(false);
    if (!alive.expired())
        schedulePoll(retryAtOnce ? Duration::zero() : m_settings.retryPause);
}

void WorkerLink::schedulePoll(Duration delay)
{
    if (m_timer)
        m_runtime.cancel(*m_timer);
    m_timer = m_runtime.after(delay, [this] {
        m_timer.reset();
        poll();
    });
}

void WorkerLink::setReachable(bool reachable)
{
    if (m_reachable == reachable)
        return;
    m_reachable = reachable;
    m_listener.workerReachabilityChanged(m_target.id, reachable);
}

} // namespace lycheeledge::jobs
