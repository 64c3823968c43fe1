// Leases of one worker in one ownership epoch.

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
    , m_sessionAddress(m_description.address)
    , m_mayHaveTasks(!m_session.empty())
{
}

std::function<void()> WorkerSession::guarded(void (WorkerSession::*method)())
{
    return [self = weak_from_this(), method] {
        const auto alive = self.lock();
        if (alive && alive->m_host.checkEpoch())
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
    LeaseRequest request { m_cell, m_epoch, m_sessionAccepted ? m_session : "", m_settings.controllerLease,
        m_settings.taskLease, m_acknowledgedSequence, m_fullReportNeeded };
    if (m_lastRequest > m_lastAccepted && m_mayHaveTasks) {
        // The worker may have accepted a request whose response was lost. Retries must not extend the leases without
        // limit, because the tasks may be started elsewhere once the leases have expired.
        const Duration left = m_leasesEndBy - m_runtime.now() - m_settings.responseTimeout;
        request.taskLease = std::min(
            request.taskLease, left - left * m_settings.maxClockDriftPercent / 100 - m_settings.controllerLease);
        // A lease that expires before the next renewal can arrive would stop the tasks.
        if (request.taskLease < 2 * m_settings.renewInterval)
            return std::nullopt;
    }
    return request;
}

void WorkerSession::renew()
{
    if (!m_host.checkEpoch())
        return;
    const TimePoint now = m_runtime.now();
    // A lost response is only detected by the gateway's timeout, so the next request is sent without waiting for it.
    renewAt(now + m_settings.renewInterval / 2);
    const auto request = m_requestsInFlight < maxRequestsInFlight ? makeRequest() : std::nullopt;
    if (!request)
        return;
    ++m_requestsInFlight;
    const SentRequest sent { *request, ++m_lastRequest, now, m_description.address };
    m_gateway.lease(
        m_description, *request, [self = weak_from_this(), sent](const absl::StatusOr<LeaseReport>& result) {
            const auto alive = self.lock();
            if (alive && alive->m_host.checkEpoch())
                alive->leaseResponseReceived(sent, result);
        });
}

void WorkerSession::leaseResponseReceived(const SentRequest& sent, const absl::StatusOr<LeaseReport>& result)
{
    --m_requestsInFlight;
    m_leasesEndBy = std::max(m_leasesEndBy,
        m_runtime.now() + m_settings.withClockDrift(sent.request.controllerLease + sent.request.taskLease));
    if (result.ok() && result->highestEpoch > m_epoch)
        return m_host.fenced(id(), result->highestEpoch);
    if (sent.number < m_lastAccepted)
        return; // a later request has already been accepted
    if (!result.ok() || mayBeAnotherVm(sent, *result))
        renewalFailed();
    else if (!result->accepted)
        leaseRefused(sent.request);
    else
        leaseAccepted(sent, *result);
}

bool WorkerSession::mayBeAnotherVm(const SentRequest& sent, const LeaseReport& report) const
{
    // A new session at a new address does not show that the VM of the earlier session has stopped. Its tasks end with
    // their leases.
    return report.accepted && report.session != m_session && m_mayHaveTasks && sent.to != m_sessionAddress;
}

void WorkerSession::renewalFailed()
{
    ++m_consecutiveFailures;
    // One failed request does not make a worker unreachable: the controller lease is longer than two renewal intervals.
    if (m_consecutiveFailures > 1 && m_state == State::Available)
        becomeUnreachable();
    renewAt(m_runtime.now() + m_settings.retryDelay);
}

void WorkerSession::leaseRefused(const LeaseRequest& request)
{
    if (request.session.empty())
        return renewalFailed();
    if (!m_sessionAccepted || request.session != m_session)
        return; // late response for a session already known to have ended
    // The worker does not know the session, so it has restarted. The next request opens a new session.
    m_sessionAccepted = false;
    m_fullReportNeeded = true;
    renew();
}

void WorkerSession::leaseAccepted(const SentRequest& sent, const LeaseReport& report)
{
    m_consecutiveFailures = 0;
    m_sessionAccepted = true;
    if (report.session != m_session) {
        const bool isRestart = !m_session.empty();
        m_session = report.session;
        m_acknowledgedSequence = 0;
        m_state = State::Opened;
        m_mayHaveTasks = false;
        if (isRestart) {
            failPendingStarts("the worker restarted");
            m_host.restarted(*this);
        }
    }
    m_sessionAddress = sent.to;
    m_acceptedAt = sent.at;
    m_lastAccepted = sent.number;
    // After a shortened lease, request a full one immediately, unless a request in flight would shorten it again.
    const bool renewsNow = sent.request.taskLease < m_settings.taskLease && m_lastRequest == m_lastAccepted;
    renewAt(renewsNow ? m_runtime.now() : sent.at + m_settings.renewInterval);
    if (!m_host.isJournalled(id(), m_session)) {
        m_state = State::Opened;
        m_fullReportNeeded = true;
        m_host.sessionOpened(*this);
    } else if (m_state == State::Available) {
        if (report.full) {
            m_fullReportNeeded = false;
            reconcile(sent, report);
        }
        m_host.reported(id(), report);
    } else if (report.full && sent.number > m_lastRequestBeforeUnreachable) {
        reconcile(sent, report);
        becomeAvailable(report);
    } else {
        m_fullReportNeeded = true;
        renewAt(m_runtime.now() + m_settings.retryDelay);
    }
    m_host.epochAccepted(*this);
}

void WorkerSession::becomeAvailable(const LeaseReport& report)
{
    m_state = State::Available;
    m_fullReportNeeded = false;
    m_mayHaveTasks = true;
    m_host.available(*this, report);
    pollEvents();
}

void WorkerSession::becomeUnreachable()
{
    LOG(WARNING) << "[worker] " << id() << " is unreachable";
    m_state = State::Unreachable;
    m_fullReportNeeded = true;
    // A report requested before this moment may omit tasks whose start was accepted in the meantime.
    m_lastRequestBeforeUnreachable = m_lastRequest;
    m_host.unreachable(id());
}

void WorkerSession::setTakeoverDeadline(TimePoint deadline)
{
    if (m_state == State::Connecting && m_mayHaveTasks)
        m_leasesEndBy = std::max(m_leasesEndBy, deadline);
}

void WorkerSession::sessionJournalled()
{
    // From now on the worker counts towards the majority, so it must be removed from the set if it stops responding.
    m_mayHaveTasks = m_mayHaveTasks || m_state == State::Opened;
    renew();
}

void WorkerSession::checkLeases()
{
    const TimePoint now = m_runtime.now();
    if (m_state == State::Available && m_acceptedAt && now - *m_acceptedAt >= m_settings.controllerLease)
        becomeUnreachable();
    const bool awaitsExpiry = m_mayHaveTasks && m_state != State::Available;
    if (!awaitsExpiry || m_requestsInFlight > 0 || now < m_leasesEndBy)
        return;
    LOG(WARNING) << "[worker] " << id() << " is lost: all of its leases have expired";
    m_state = State::Lost;
    m_mayHaveTasks = false;
    m_sessionAccepted = false;
    m_session.clear();
    m_acknowledgedSequence = 0;
    failPendingStarts("the worker was lost");
    m_host.lost(*this);
}

void WorkerSession::failPendingStarts(std::string message)
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
        m_tasks.clear(); // not while available: a task may have been started after the report was made
    for (const auto& task : report.running)
        m_tasks.insert(task.id);
    std::vector<TaskId> refusedStarts;
    for (const auto& [task, start] : m_starts) {
        m_tasks.insert(task);
        if (start.refusedAfterRequest && sent.number > *start.refusedAfterRequest)
            refusedStarts.push_back(task);
    }
    for (const auto& task : refusedStarts) {
        const auto isTask = [&](const auto& other) { return other.id == task; };
        const bool ran = std::any_of(report.running.begin(), report.running.end(), isTask)
            || std::any_of(report.finished.begin(), report.finished.end(), isTask);
        finishStart(task, ran ? CommandOutcome::Accepted : CommandOutcome::Refused, "");
    }
}

} // namespace lycheeledge
