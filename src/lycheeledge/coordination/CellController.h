// Runs the scheduler of a cell while this process owns the cell.
#pragma once

#include "CellOwnership.h"
#include "CellScheduler.h"
#include "RequestRouter.h"
#include "StoreJournal.h"
#include "WorkerSessions.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lycheeledge {

struct CellControllerSettings {
    CellOwnershipSettings ownership;
    StoreJournalSettings journal;
    WorkerSessionSettings workers;
    SchedulerSettings scheduler;
};

/** @brief Interfaces that a CellController uses. */
struct CellDependencies {
    Runtime& runtime;
    Store& store;
    WorkerGateway& gateway;
    VmDirectory& directory;
    const OwnershipView& view;
    const JournalCodec& codec;
};

/**
 * @brief Connects ownership, journal, worker sessions and scheduler of one cell.
 *
 * After a takeover it reads the journal and contacts the workers. The scheduler starts to place work once a majority of
 * the workers has accepted the epoch. Journal, sessions and scheduler are discarded when the epoch ends.
 */
class CellController final : public LocalCell, private CellOwnershipListener {
public:
    CellController(CellDependencies dependencies, CellId cell, CellControllerSettings settings = {});
    ~CellController() override;
    CellController(const CellController&) = delete;
    CellController& operator=(const CellController&) = delete;

    /** @brief Sets a listener that is called after the scheduler became active or was discarded. */
    void onChanged(std::function<void()> listener) { m_changed = std::move(listener); }
    void start();
    /** @brief Hands the cell over for a planned stop. @param done called once another member may take it over. */
    void release(std::function<void()> done);
    void applyConfiguration(const Configuration& configuration);
    /** @brief State of the scheduler; none unless this process is the active owner. */
    std::optional<SchedulerOverview> schedulerOverview() const;
    /** @brief The cell if this process owns it, for this member's gossip. */
    std::vector<OwnedCell> ownedCells() const;

    bool isActive() const override;
    void submit(WorkSpec spec, const std::string& traceparent, std::function<void(WorkResult)> done) override;
    void cancel(const WorkId& id, std::function<void(std::optional<WorkStatus>)> done) override;
    std::optional<WorkStatus> status(const WorkId& id) const override;
    std::string overview() const override;

private:
    // Components whose lifetime is one epoch.
    struct Session {
        Session(const CellDependencies& dependencies, const CellId& cell, Epoch number, Revision epochRevision,
            const CellControllerSettings& settings);

        Epoch epoch;
        bool active = false;
        StoreJournal journal;
        WorkerSessions workers;
        CellScheduler scheduler;
    };

    void ownershipAcquired(const CellId& cell, Epoch epoch, Revision epochRevision) override;
    void ownershipLost(const CellId& cell, Epoch epoch) override;
    void journalLoaded(const absl::StatusOr<std::vector<JournalRecord>>& records);
    void activated(const std::vector<VmId>& missing);
    void epochUnusable();
    void closeSession();

    CellDependencies m_dependencies;
    CellId m_cell;
    CellControllerSettings m_settings;
    CellOwnership m_ownership;
    Configuration m_configuration;
    std::shared_ptr<Session> m_session; ///< null unless this process owns the cell
    std::function<void()> m_changed;
};

} // namespace lycheeledge
