// Commands to one worker and events from it, in one ownership epoch.

#include "WorkerSession.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace lycheeledge {

void WorkerSession::start(StartCommand command, std::function<void(CommandOutcome, std::string message)> done)
{
    if (m_state != State::Available) {
        m_runtime.post([done = std::move(done)] { done(CommandOutcome::NotDelivered, "the worker is unreachable"); });
        return;
    }
    command.epoch = m_epoch;
    command.session = m_session;
    const TaskId task = command.id;
    m_tasks.insert(task);
    m_starts[task] = { std::move(command), std::move(done), false, std::nullopt };
    sendStart(task);
}

void WorkerSession::sendStart(const TaskId& task)
{
    const auto it = m_starts.find(task);
    if (it == m_starts.end())
        return;
    const std::string session = it->second.command.session;
    m_gateway.start(m_description, it->second.command,
        [self = weak_from_this(), task, session](CommandOutcome outcome, std::string message) {
            const auto alive = self.lock();
            if (alive && alive->m_host.checkEpoch())
                alive->startResponseReceived(task, session, outcome, std::move(message));
        });
}

void WorkerSession::startResponseReceived(
    const TaskId& task, const std::string& session, CommandOutcome outcome, std::string message)
{
    const auto it = m_starts.find(task);
    if (it == m_starts.end() || it->second.command.session != session)
        return;
    PendingStart& start = it->second;
    const bool isFinal
        = outcome == CommandOutcome::Accepted || (outcome != CommandOutcome::Unknown && !start.mayHaveStarted);
    if (isFinal)
        return finishStart(task, outcome, std::move(message));
    // Once an attempt got no response, a refusal of a later attempt does not show whether the first started the task.
    start.mayHaveStarted = true;
    if (outcome == CommandOutcome::Refused && !start.refusedAfterRequest) {
        start.refusedAfterRequest = m_lastRequest;
        m_fullReportNeeded = true;
    }
    m_runtime.after(m_settings.retryDelay, [self = weak_from_this(), task, session] {
        const auto alive = self.lock();
        if (!alive || !alive->m_host.checkEpoch())
            return;
        const auto pending = alive->m_starts.find(task);
        if (pending != alive->m_starts.end() && pending->second.command.session == session)
            alive->sendStart(task);
    });
}

void WorkerSession::finishStart(const TaskId& task, CommandOutcome outcome, std::string message)
{
    auto node = m_starts.extract(task);
    if (outcome != CommandOutcome::Accepted)
        m_tasks.erase(task);
    node.mapped().done(outcome, std::move(message));
}

void WorkerSession::applyAction(TaskAction action, const TaskId& task)
{
    if (m_state == State::Available || m_state == State::Unreachable)
        sendAction({ action, task, m_session });
}

void WorkerSession::sendAction(PendingAction action)
{
    if (action.session != m_session)
        return; // the worker restarted or was lost, so the task has ended
    m_gateway.applyAction(m_description, action.action, action.task, m_epoch, m_session,
        [self = weak_from_this(), action](CommandOutcome outcome, const std::string&) {
            const auto alive = self.lock();
            if (!alive || outcome == CommandOutcome::Accepted || outcome == CommandOutcome::Refused)
                return;
            alive->m_runtime.after(alive->m_settings.retryDelay, [self, action] {
                const auto session = self.lock();
                if (session && session->m_host.checkEpoch())
                    session->sendAction(action);
            });
        });
}

void WorkerSession::startEvents()
{
    m_eventsStarted = true;
    pollEvents();
}

void WorkerSession::pollEvents()
{
    if (m_eventsInFlight || !m_eventsStarted || m_state != State::Available)
        return;
    m_eventsInFlight = true;
    const std::string session = m_session;
    m_gateway.events(m_description, m_epoch, session, m_acknowledgedSequence, m_settings.eventPollTimeout,
        [self = weak_from_this(), session, now = m_runtime.now()](const absl::StatusOr<WorkerEvents>& result) {
            const auto alive = self.lock();
            if (alive && alive->m_host.checkEpoch())
                alive->eventsResponseReceived(session, now, result);
        });
}

void WorkerSession::eventsResponseReceived(
    const std::string& session, TimePoint sentAt, const absl::StatusOr<WorkerEvents>& result)
{
    m_eventsInFlight = false;
    if (result.ok() && session == m_session) {
        for (const auto& task : result->finished) {
            m_tasks.erase(task.id);
            m_host.finished(id(), task);
        }
        m_acknowledgedSequence = std::max(m_acknowledgedSequence, result->lastSequence);
        if (!result->finished.empty())
            return pollEvents();
    }
    // The delay avoids polling in a tight loop if the worker responds immediately without events.
    const bool waited = result.ok() && m_runtime.now() - sentAt >= m_settings.eventPollTimeout / 2;
    m_runtime.after(waited ? Duration::zero() : m_settings.retryDelay, guarded(&WorkerSession::pollEvents));
}

} // namespace lycheeledge
