// Connection to one worker: renews its lease and reads what runs and ended there.

#include "WorkerLink.h"

#include <algorithm>
#include <utility>

namespace lycheeledge::jobs {

namespace {

    // One lost look may be a lost packet; two in a row count as a lost path.
    constexpr int failuresUntilUnreachable = 2;

    std::int64_t milliseconds(Duration value)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
    }

} // namespace

WorkerLink::WorkerLink(Runtime& runtime, WorkerPort& port, WorkerLinkListener& listener, WorkerTarget target,
    Epoch epoch, std::function<bool()> ordersAllowed, WorkerLinkSettings settings)
    : m_runtime(runtime)
    , m_port(port)
    , m_listener(listener)
    , m_target(std::move(target))
    , m_epoch(epoch)
    , m_ordersAllowed(std::move(ordersAllowed))
    , m_settings(settings)
{
}

WorkerLink::~WorkerLink()
{
    if (m_timer)
        m_runtime.cancel(*m_timer);
}

void WorkerLink::begin() { look(); }

void WorkerLink::acknowledge(std::uint64_t sequence)
{
    m_acknowledged = std::max(m_acknowledged, sequence);
    if (!m_looking && m_reachable && m_acknowledged >= m_listed)
        scheduleLook(Duration::zero());
}

void WorkerLink::resetEnds()
{
    m_acknowledged = 0;
    m_listed = 0;
    m_leaseExpiry = m_runtime.now();
}

std::optional<std::int64_t> WorkerLink::leaseForOrder()
{
    if (!m_clockMs)
        return std::nullopt;
    const Duration sinceClock = m_runtime.now() - m_clockAt;
    const Duration length = sinceClock + m_settings.lease;
    const auto slow = std::chrono::duration_cast<Duration>(length / (1 - m_settings.clockSlowdown));
    m_leaseExpiry = std::max(m_leaseExpiry, m_clockAt + slow);
    return *m_clockMs + milliseconds(length);
}

void WorkerLink::noteClock(std::optional<std::int64_t> clockMs)
{
    if (!clockMs)
        return;
    m_clockMs = clockMs;
    m_clockAt = m_runtime.now();
}

void WorkerLink::suspect()
{
    if (m_reachable && m_failures == 0) {
        m_failures = 1;
        look();
    }
}

void WorkerLink::look()
{
    if (m_timer) {
        m_runtime.cancel(*m_timer);
        m_timer.reset();
    }
    if (!m_ordersAllowed()) {
        scheduleLook(m_settings.retryPause);
        return;
    }
    LookRequest request { .epoch = m_epoch, .acknowledged = m_acknowledged, .leaseUntilMs = {} };
    // A worker that does not answer gets no longer lease: its tasks can start elsewhere when the last one has ended.
    if (m_failures == 0)
        request.leaseUntilMs = leaseForOrder();
    // A worker with ends that are not acknowledged responds at once, so waiting would be a busy loop.
    if (m_reachable && m_failures == 0 && m_acknowledged >= m_listed)
        request.wait = m_settings.lookWait;
    const std::uint64_t attempt = ++m_attempt;
    const TimePoint sentAt = m_runtime.now();
    m_looking = true;
    m_port.look(m_target, request, m_settings.lookTimeout,
        [this, attempt, sentAt, alive = std::weak_ptr<bool>(m_alive)](const LookResult& result) {
            if (!alive.expired())
                looked(attempt, sentAt, result);
        });
}

void WorkerLink::looked(std::uint64_t attempt, TimePoint sentAt, const LookResult& result)
{
    if (attempt != m_attempt)
        return;
    m_looking = false;
    if (result.outcome != OrderOutcome::Done) {
        failed(result.outcome);
        return;
    }
    m_failures = 0;
    noteClock(result.report.clockMs);
    for (const auto& end : result.report.ended)
        m_listed = std::max(m_listed, end.sequence);
    const std::weak_ptr<bool> alive = m_alive;
    setReachable(true);
    m_listener.workerReported(m_target.id, result.report, sentAt);
    if (alive.expired() || m_looking || m_timer)
        return;
    if (m_acknowledged >= m_listed)
        look();
    else
        scheduleLook(m_settings.acknowledgementWait);
}

void WorkerLink::failed(OrderOutcome outcome)
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
    const bool retryAtOnce = m_failures < failuresUntilUnreachable;
    const std::weak_ptr<bool> alive = m_alive;
    if (!retryAtOnce)
        setReachable(false);
    if (!alive.expired())
        scheduleLook(retryAtOnce ? Duration::zero() : m_settings.retryPause);
}

void WorkerLink::scheduleLook(Duration delay)
{
    if (m_timer)
        m_runtime.cancel(*m_timer);
    m_timer = m_runtime.after(delay, [this] {
        m_timer.reset();
        look();
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
