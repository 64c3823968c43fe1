// Runs the scheduler of a cell while this process owns the cell.

#include "CellController.h"

#include "OverviewJson.h"

#include <glog/logging.h>

#include <utility>

namespace lycheeledge {

CellController::Session::Session(const CellDependencies& dependencies, const CellId& cell, Epoch number,
    Revision epochRevision, const CellControllerSettings& settings)
    : epoch(number)
    , journal(dependencies.runtime, dependencies.store, dependencies.codec, cell, epochRevision, settings.journal)
    , workers(
          dependencies.runtime, dependencies.gateway, dependencies.directory, journal, cell, number, settings.workers)
    , scheduler(dependencies.runtime, workers, journal, settings.scheduler)
{
}

CellController::CellController(CellDependencies dependencies, CellId cell, CellControllerSettings settings)
    : m_dependencies(dependencies)
    , m_cell(std::move(cell))
    , m_settings(std::move(settings))
    , m_ownership(dependencies.runtime, dependencies.store, dependencies.view, *this, m_cell, m_settings.ownership)
{
}

CellController::~CellController() = default;

void CellController::start() { m_ownership.start(); }

void CellController::release(std::function<void()> done)
{
    closeSession();
    m_ownership.release(std::move(done));
}

void CellController::applyConfiguration(const Configuration& configuration)
{
    m_configuration = configuration;
    if (m_session)
        m_session->scheduler.applyConfiguration(m_configuration);
}

std::vector<OwnedCell> CellController::ownedCells() const
{
    if (!m_session)
        return {};
    return { { .cell = m_cell, .epoch = m_session->epoch, .active = isActive() } };
}

std::optional<SchedulerOverview> CellController::schedulerOverview() const
{
    return isActive() ? std::optional(m_session->scheduler.overview()) : std::nullopt;
}

bool CellController::isActive() const { return m_session && m_session->active && m_session->workers.isActive(); }

void CellController::submit(WorkSpec spec, const std::string& traceparent, std::function<void(WorkResult)> done)
{
    m_session->scheduler.submit(std::move(spec), traceparent, std::move(done));
}

void CellController::cancel(const WorkId& id, std::function<void(std::optional<WorkStatus>)> done)
{
    m_session->scheduler.cancel(id, std::move(done));
}

std::optional<WorkStatus> CellController::status(const WorkId& id) const { return m_session->scheduler.status(id); }

std::string CellController::overview() const
{
    return overviewJson(m_cell, m_session->epoch, m_session->scheduler.overview());
}

void CellController::ownershipAcquired(const CellId&, Epoch epoch, Revision epochRevision)
{
    if (m_session && m_session->epoch == epoch)
        return; // the same epoch was re-acquired after a store outage
    closeSession();
    LOG(INFO) << "[ownership] Took over cell " << m_cell << " with epoch " << epoch << ".";
    m_session = std::make_shared<Session>(m_dependencies, m_cell, epoch, epochRevision, m_settings);
    m_session->workers.setListener(&m_session->scheduler);
    m_session->scheduler.applyConfiguration(m_configuration);
    const std::weak_ptr<Session> session = m_session;
    m_session->journal.load([this, session](const absl::StatusOr<std::vector<JournalRecord>>& records) {
        if (!session.expired() && session.lock() == m_session)
            journalLoaded(records);
    });
}

void CellController::journalLoaded(const absl::StatusOr<std::vector<JournalRecord>>& records)
{
    if (!records.ok()) {
        LOG(ERROR) << "[journal] Cannot read the journal of cell " << m_cell << ": " << records.status().message();
        m_ownership.resign();
        closeSession();
        return;
    }
    m_session->scheduler.recover(*records);
    m_session->workers.start(
        *records, [this](const std::vector<VmId>& missing) { activated(missing); }, [this] { epochUnusable(); });
}

void CellController::activated(const std::vector<VmId>& missing)
{
    LOG(INFO) << "[ownership] Cell " << m_cell << " is active with epoch " << m_session->epoch << ", " << missing.size()
              << " workers missing.";
    m_session->scheduler.activate(missing);
    m_session->active = true;
    if (m_changed)
        m_changed();
}

void CellController::epochUnusable()
{
    LOG(WARNING) << "[ownership] Resigning cell " << m_cell << ": its epoch is fenced or has no majority of workers.";
    m_ownership.resign();
    closeSession();
}

void CellController::ownershipLost(const CellId&, Epoch epoch)
{
    LOG(WARNING) << "[ownership] Lost cell " << m_cell << " with epoch " << epoch << ".";
    closeSession();
}

void CellController::closeSession()
{
    if (!m_session)
        return;
    m_session->active = false;
    m_session->workers.end();
    m_session->journal.abort();
    // Destruction is deferred because this may be called from a callback of the session.
    m_dependencies.runtime.post([session = std::move(m_session)] {});
    m_session.reset();
    if (m_changed)
        m_changed();
}

} // namespace lycheeledge
