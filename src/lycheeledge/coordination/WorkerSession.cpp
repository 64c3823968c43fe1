// Leases of one worker under one epoch.

#include "WorkerSession.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace lycheeledge {

namespace {

    constexpr int maxRequestsInFlight = 4;

} // namespace

WorkerSession::WorkerSession(Runtime& runtime, WorkerGateway& gateway, WorkerSessionHost& host,
    const WorkerSessionSettings& settings, const CellId& cell, Epoch epoch, WorkerDescription description,
    std::string journalledSession)
    : m_runtime(runtime)
    , m_gateway(gateway)
    , m_host(host)
    , m_settings(settings)
    , m_cell(cell)
    , m_epoch(epoch)
    , m_description(std::move(description))
    , m_session(std::move(journalledSession))
    , m_mayRunTasks(!m_session.empty())
{
}

std::function<void()> WorkerSession::guarded(void (WorkerSession::*method)())
{
    return [self = weak_from_this(), method] {
        const auto alive = self.lock();
        if (alive && alive->m_host.epochHolds())
            (alive.get()->*method)();
    };
}

void WorkerSession::renewAt(TimePoint time)
{
    if (m_renewTimer)
        m_runtime.cancel(*m_renewTimer);
    m_renewTimer = m_runtime.after(std::max(Duration::zero(), time - m_runtime.now()), guarded(&WorkerSession::renew));
}

std::optional<LeaseRequest> WorkerSession::makeRequest() const
{
    LeaseRequest request { m_cell, m_epoch, m_open ? m_session : "", m_settings.controllerLease, m_settings.taskLease,
        m_acknowledged, m_needFullReport };
    if (m_lastRequest > m_lastAccepted && m_mayRunTasks) {
        // An unanswered request may have been accepted. Repetitions must not extend the leases again and again,
        // because the tasks may be started elsewhere once the leases have ended.
        const Duration left = m_mayRunUntil - m_runtime.now() - m_settings.answerTimeout;
        request.taskLease = std::min(
            request.taskLease, left - left * m_settings.clockErrorPercent / 100 - m_settings.controllerLease);
        // A lease that is too short for the next renewal to arrive would stop the tasks.
        if (request.taskLease < 2 * m_settings.renewInterval)
            return std::nullopt;
    }
    return request;
}

void WorkerSession::renew()
{
    if (!m_host.epochHolds())
        return;
    const TimePoint now = m_runtime.now();
    // A lost answer is noticed late, by the gateway's timeout, so the next request does not wait for it.
    renewAt(now + m_settings.renewInterval / 2);
    const auto request = m_requestsInFlight < maxRequestsInFlight ? makeRequest() : std::nullopt;
    if (!request)
        return;
    ++m_requestsInFlight;
    const SentRequest sent { *request, ++m_lastRequest, now };
    m_gateway.lease(
        m_description, *request, [self = weak_from_this(), sent](const absl::StatusOr<LeaseReport>& result) {
            const auto alive = self.lock();
            if (alive && alive->m_host.epochHolds())
                alive->answered(sent, result);
        });
}

void WorkerSession::answered(const SentRequest& sent, const absl::StatusOr<LeaseReport>& result)
{
    --m_requestsInFlight;
    m_mayRunUntil = std::max(m_mayRunUntil,
        m_runtime.now() + m_settings.withClockError(sent.request.controllerLease + sent.request.taskLease));
    if (result.ok() && result->highestEpoch > m_epoch)
        return m_host.fenced(id(), result->highestEpoch);
    if (sent.number < m_lastAccepted)
        return; // a later request was accepted
    if (!result.ok())
        renewalFailed();
    else if (!result->accepted)
        refused(sent.request);
    else
        accepted(sent, *result);
}

void WorkerSession::renewalFailed()
{
    ++m_failures;
    // A single lost answer does not make a worker unreachable; its controller lease outlives two renewals.
    if (m_failures > 1 && m_state == State::Available)
        becomeUnreachable();
    renewAt(m_runtime.now() + m_settings.retryDelay);
}

void WorkerSession::refused(const LeaseRequest& request)
{
    if (request.session.empty())
        return renewalFailed();
    if (!m_open || request.session != m_session)
        return; // a repetition for a session that was already found to have ended
    // The session is unknown to the worker, so it has restarted. The next request opens a new session.
    m_open = false;
    m_needFullReport = true;
    renew();
}

void WorkerSession::accepted(const SentRequest& sent, const LeaseReport& report)
{
    m_failures = 0;
    m_open = true;
    if (report.session != m_session) {
        const bool isRestart = !m_session.empty();
        m_session = report.session;
        m_acknowledged = 0;
        m_state = State::Opened;
        m_mayRunTasks = false;
        if (isRestart) {
            endTasks("the worker restarted");
            m_host.restarted(*this);
        }
    }
    m_acceptedAt = sent.at;
    m_lastAccepted = sent.number;
    // A shortened lease is followed by a whole one at once, unless the next request would be short again.
    const bool renewsNow = sent.request.taskLease < m_settings.taskLease && m_lastRequest == m_lastAccepted;
    renewAt(renewsNow ? m_runtime.now() : sent.at + m_settings.renewInterval);
    if (!m_host.isJournalled(id(), m_session)) {
        m_state = State::Opened;
        m_needFullReport = true;
        m_host.sessionOpened(*this);
    } else if (m_state == State::Available) {
        if (report.full) {
            m_needFullReport = false;
            reconcile(sent, report);
        }
        m_host.reported(id(), report);
    } else if (report.full && sent.number > m_unreachableAfter) {
        reconcile(sent, report);
        becomeAvailable(report);
    } else {
        m_needFullReport = true;
        renewAt(m_runtime.now() + m_settings.retryDelay);
    }
    m_host.epochAccepted(*this);
}

void WorkerSession::becomeAvailable(const LeaseReport& report)
{
    m_state = State::Available;
    m_needFullReport = false;
    m_mayRunTasks = true;
    m_host.available(*this, report);
    pollEvents();
}

void WorkerSession::becomeUnreachable()
{
    LOG(WARNING) << "[worker] " << id() << " is unreachable";
    m_state = State::Unreachable;
    m_needFullReport = true;
    // A report that was requested earlier may lack tasks whose start was accepted meanwhile.
    m_unreachableAfter = m_lastRequest;
    m_host.unreachable(id());
}

void WorkerSession::setTakeoverWait(TimePoint until)
{
    if (m_state == State::Connecting && m_mayRunTasks)
        m_mayRunUntil = std::max(m_mayRunUntil, until);
}

void WorkerSession::sessionJournalled()
{
    // From here on the worker counts in the majority, so it must be removed if it is not heard of again.
    m_mayRunTasks = m_mayRunTasks || m_state == State::Opened;
    renew();
}

void WorkerSession::check()
{
    const TimePoint now = m_runtime.now();
    if (m_state == State::Available && m_acceptedAt && now - *m_acceptedAt >= m_settings.controllerLease)
        becomeUnreachable();
    const bool isWaiting = m_mayRunTasks && m_state != State::Available;
    if (!isWaiting || m_requestsInFlight > 0 || now < m_mayRunUntil)
        return;
    LOG(WARNING) << "[worker] " << id() << " is lost: all of its leases have ended";
    m_state = State::Lost;
    m_mayRunTasks = false;
    m_open = false;
    m_session.clear();
    m_acknowledged = 0;
    endTasks("the worker was lost");
    m_host.lost(*this);
}

void WorkerSession::endTasks(std::string message)
{
    auto starts = std::exchange(m_starts, {});
    for (auto& [task, start] : starts)
        start.done(CommandOutcome::Unknown, message);
}

std::vector<TaskId> WorkerSession::takeTasks()
{
    std::vector<TaskId> tasks(m_tasks.begin(), m_tasks.end());
    m_tasks.clear();
    return tasks;
}

void WorkerSession::reconcile(const SentRequest& sent, const LeaseReport& report)
{
    if (m_state != State::Available)
        m_tasks.clear(); // otherwise a task that was started after the report was made would be forgotten
    for (const auto& task : report.running)
        m_tasks.insert(task.id);
    std::vector<TaskId> refused;
    for (const auto& [task, start] : m_starts) {
        m_tasks.insert(task);
        if (start.refusedAfter && sent.number > *start.refusedAfter)
            refused.push_back(task);
    }
    for (const auto& task : refused) {
        const auto isTask = [&](const auto& other) { return other.id == task; };
        const bool ran = std::any_of(report.running.begin(), report.running.end(), isTask)
            || std::any_of(report.finished.begin(), report.finished.end(), isTask);
        finishStart(task, ran ? CommandOutcome::Accepted : CommandOutcome::Refused, "");
    }
}

} // namespace lycheeledge
