// The cell owner's sessions with the workers of its cell.

#include "WorkerSessions.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace lycheeledge {

WorkerSessions::WorkerSessions(Runtime& runtime, WorkerGateway& gateway, VmDirectory& directory, JobJournal& journal,
    CellId cell, Epoch epoch, WorkerSessionSettings settings)
    : m_runtime(runtime)
    , m_gateway(gateway)
    , m_directory(directory)
    , m_journal(journal)
    , m_cell(std::move(cell))
    , m_epoch(epoch)
    , m_settings(std::move(settings))
    , m_self(std::make_shared<WorkerSessions*>(this))
{
}

WorkerSessions::~WorkerSessions() { end(); }

template <typename F> std::function<void()> WorkerSessions::guarded(F task)
{
    return [self = std::weak_ptr<WorkerSessions*>(m_self), task = std::move(task)] {
        const auto alive = self.lock();
        if (alive && !(*alive)->m_ended)
            task();
    };
}

void WorkerSessions::start(const std::vector<JournalRecord>& recovered,
    std::function<void(std::vector<VmId> missing)> active, std::function<void()> lost)
{
    m_onActive = std::move(active);
    m_onLost = std::move(lost);
    m_startedAt = m_runtime.now();
    m_workers.recover(recovered);
    for (const auto& record : recovered) {
        const auto* joined = std::get_if<WorkerJoined>(&record);
        if (joined && m_workers.contains(joined->worker.id, joined->session))
            addSession(joined->worker, joined->session);
    }
    for (const auto& [id, session] : m_sessions)
        m_runtime.post(guarded([session = session] { session->renew(); }));
    m_runtime.post(guarded([this] {
        readDirectory();
        check();
    }));
}

void WorkerSessions::end()
{
    m_ended = true;
    m_active = false;
}

void WorkerSessions::loseEpoch(const std::string& reason)
{
    if (m_ended)
        return;
    LOG(WARNING) << "[worker] cell " << m_cell << ": epoch " << m_epoch << " ended: " << reason;
    end();
    m_runtime.post([self = std::weak_ptr<WorkerSessions*>(m_self), lost = m_onLost] {
        if (!self.expired())
            lost();
    });
}

// Majority

bool WorkerSessions::hasMajorityAt(TimePoint time) const
{
    // Shortened by the maximum clock drift, so that the lease never seems longer here than it is at the worker.
    const Duration lease
        = m_settings.controllerLease - m_settings.controllerLease * m_settings.maxClockDriftPercent / 100;
    return m_workers.hasMajority([&](const VmId& worker, const std::string& session) {
        const auto it = m_sessions.find(worker);
        return it != m_sessions.end() && it->second->acceptedSince(time - lease, session);
    });
}

bool WorkerSessions::isActive() const
{
    if (!m_active || m_ended)
        return false;
    const TimePoint now = m_runtime.now();
    return now < m_majorityValidUntil || hasMajorityAt(now);
}

bool WorkerSessions::checkEpoch()
{
    // A process that resumes after a pause must detect the end of its epoch before it renews any lease: a worker that
    // the next owner has not reached yet would accept the renewal.
    if (m_active && !isActive())
        loseEpoch("no majority of the workers accepted a renewal within the controller lease");
    else if (!m_active && m_runtime.now() - m_startedAt >= m_settings.recoveryTimeout)
        loseEpoch("no majority of the workers accepted it within the recovery timeout");
    return !m_ended;
}

void WorkerSessions::check()
{
    m_runtime.after(m_settings.checkInterval, guarded([this] { check(); }));
    if (!checkEpoch())
        return;
    if (!m_active)
        activateIfReady();
    const TimePoint validUntil = m_runtime.now() + 2 * m_settings.checkInterval;
    m_majorityValidUntil = m_active && hasMajorityAt(validUntil) ? validUntil : m_runtime.now();
    for (auto it = m_sessions.begin(); m_active && it != m_sessions.end();) {
        const auto session = it->second;
        ++it;
        session->checkLeases();
    }
}

void WorkerSessions::activateIfReady()
{
    const TimePoint now = m_runtime.now();
    if (!hasMajorityAt(now))
        return;
    std::vector<VmId> missing;
    for (const auto& [worker, session] : m_workers.workers()) {
        const auto it = m_sessions.find(worker);
        if (it == m_sessions.end() || it->second->state() != WorkerSession::State::Available)
            missing.push_back(worker);
    }
    if (missing.empty() || now - m_startedAt >= m_settings.recoveryGracePeriod)
        activate(std::move(missing));
}

void WorkerSessions::activate(std::vector<VmId> missing)
{
    LOG(INFO) << "[worker] cell " << m_cell << ": epoch " << m_epoch << " is active with " << m_workers.workers().size()
              << " workers, " << missing.size() << " of them not reached";
    const TimePoint takeoverDeadline = m_runtime.now() + m_settings.takeoverWait();
    for (const auto& [worker, report] : std::exchange(m_initialReports, {})) {
        const auto& session = m_sessions.at(worker);
        if (session->state() != WorkerSession::State::Available)
            continue;
        if (m_restarted.erase(worker))
            m_listener->workerLost(worker);
        m_knownToListener.insert(worker);
        m_listener->workerAvailable(session->description(), report);
    }
    m_knownToListener.insert(missing.begin(), missing.end());
    m_active = true;
    const auto restarted = std::exchange(m_restarted, {});
    m_onActive(std::move(missing));
    for (const auto& worker : restarted) {
        if (!m_ended && m_knownToListener.erase(worker))
            m_listener->workerLost(worker);
    }
    for (const auto& [worker, session] : m_sessions) {
        if (m_ended)
            return;
        session->setTakeoverDeadline(takeoverDeadline);
        session->startEvents();
    }
}

// Commands

void WorkerSessions::start(const VmId& worker, const TaskId& task, const Resources& size, const std::string& payload,
    const std::string& traceparent, std::function<void(CommandOutcome, std::string message)> done)
{
    const auto it = m_sessions.find(worker);
    if (it == m_sessions.end() || !isActive()) {
        m_runtime.post([done = std::move(done)] { done(CommandOutcome::NotDelivered, "the worker has no session"); });
        return;
    }
    it->second->start({ task, m_epoch, "", size, payload, traceparent }, std::move(done));
}

void WorkerSessions::applyAction(const VmId& worker, TaskAction action, const TaskId& task)
{
    const auto it = m_sessions.find(worker);
    if (it != m_sessions.end() && !m_ended)
        it->second->applyAction(action, task);
}

// Callbacks of the worker sessions

bool WorkerSessions::isJournalled(const VmId& worker, const std::string& session) const
{
    return m_workers.contains(worker, session);
}

void WorkerSessions::sessionOpened(WorkerSession& worker)
{
    if (m_workers.isChanging(worker.id()))
        return;
    if (m_workers.contains(worker.id()))
        journalChange({ worker.id(), std::nullopt }, WorkerRemoved { worker.id(), worker.takeTasks() });
    journalChange({ worker.id(), worker.session() }, WorkerJoined { worker.description(), worker.session() });
}

void WorkerSessions::journalChange(WorkerSet::Change change, JournalRecord record)
{
    const VmId worker = change.worker;
    if (!change.session)
        m_majorityValidUntil = m_runtime.now(); // a joining worker has just accepted; only a removal needs a new count
    m_workers.beginChange(std::move(change));
    m_journal.append(
        std::move(record), [self = std::weak_ptr<WorkerSessions*>(m_self), worker](const absl::Status& status) {
            const auto alive = self.lock();
            if (alive && !(*alive)->m_ended)
                (*alive)->changeJournalled(worker, status);
        });
}

void WorkerSessions::changeJournalled(const VmId& worker, const absl::Status& status)
{
    if (!status.ok())
        return loseEpoch("cannot journal a change of the worker set: " + std::string(status.message()));
    m_workers.finishChange();
    const auto it = m_sessions.find(worker);
    if (it != m_sessions.end() && !m_workers.isChanging(worker))
        it->second->sessionJournalled();
}

void WorkerSessions::epochAccepted(WorkerSession& /*worker*/)
{
    if (!m_active)
        activateIfReady();
}

void WorkerSessions::fenced(const VmId& worker, Epoch highest)
{
    loseEpoch("worker " + worker.value() + " has seen epoch " + std::to_string(highest));
}

void WorkerSessions::available(WorkerSession& worker, const LeaseReport& report)
{
    if (!m_active) {
        m_initialReports[worker.id()] = report;
        return;
    }
    m_knownToListener.insert(worker.id());
    m_listener->workerAvailable(worker.description(), report);
}

void WorkerSessions::reported(const VmId& worker, const LeaseReport& report)
{
    if (m_active)
        m_listener->workerReported(worker, report);
}

void WorkerSessions::unreachable(const VmId& worker)
{
    if (m_active)
        m_listener->workerUnreachable(worker);
    else
        m_initialReports.erase(worker);
}

void WorkerSessions::restarted(WorkerSession& worker)
{
    LOG(WARNING) << "[worker] " << worker.id() << " restarted";
    if (!m_active) {
        m_initialReports.erase(worker.id());
        m_restarted.insert(worker.id());
    } else if (m_knownToListener.erase(worker.id())) {
        m_listener->workerLost(worker.id());
    }
}

void WorkerSessions::lost(WorkerSession& worker)
{
    if (m_workers.contains(worker.id()) && !m_workers.isChanging(worker.id()))
        journalChange({ worker.id(), std::nullopt }, WorkerRemoved { worker.id(), worker.takeTasks() });
    if (m_knownToListener.erase(worker.id()))
        m_listener->workerLost(worker.id());
}

void WorkerSessions::finished(const VmId& worker, const FinishedTask& task) { m_listener->taskFinished(worker, task); }

// VM directory

WorkerSession& WorkerSessions::addSession(const WorkerDescription& description, const std::string& journalledSession)
{
    auto& session = m_sessions[description.id];
    session = std::make_shared<WorkerSession>(m_runtime, m_gateway, static_cast<WorkerSessionHost&>(*this), m_settings,
        m_cell, m_epoch, description, journalledSession);
    if (m_active)
        session->startEvents();
    return *session;
}

bool WorkerSessions::belongsToCell(const WorkerDescription& worker) const
{
    return m_settings.zones.empty() || m_settings.zones.contains(worker.zone);
}

void WorkerSessions::readDirectory()
{
    m_runtime.after(m_settings.directoryInterval, guarded([this] { readDirectory(); }));
    m_directory.list(
        [self = std::weak_ptr<WorkerSessions*>(m_self)](const absl::StatusOr<std::vector<WorkerDescription>>& listed) {
            const auto alive = self.lock();
            if (alive && !(*alive)->m_ended && listed.ok())
                (*alive)->applyDirectory(*listed);
        });
}

void WorkerSessions::applyDirectory(const std::vector<WorkerDescription>& listed)
{
    std::set<VmId> ids;
    for (const auto& worker : listed) {
        if (!belongsToCell(worker))
            continue;
        ids.insert(worker.id);
        const auto it = m_sessions.find(worker.id);
        if (it == m_sessions.end()) {
            if (!worker.leaving)
                addSession(worker, "").renew();
        } else if (it->second->description() != worker) {
            it->second->setDescription(worker);
            if (m_active && m_knownToListener.contains(worker.id))
                m_listener->workerChanged(worker);
        }
    }
    std::erase_if(m_sessions, [&](const auto& entry) {
        return !ids.contains(entry.first) && !m_workers.contains(entry.first) && !m_workers.isChanging(entry.first);
    });
}

} // namespace lycheeledge
