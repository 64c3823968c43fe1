// The cell owner's sessions with the workers of its cell.
#pragma once

#include "JobJournal.h"
#include "Runtime.h"
#include "VmDirectory.h"
#include "WorkerGateway.h"
#include "WorkerPool.h"
#include "WorkerSession.h"
#include "WorkerSessionSettings.h"
#include "WorkerSet.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace lycheeledge {

/**
 * @brief Maintains the controller leases of all workers of one cell in one ownership epoch.
 *
 * The epoch is active from the time a majority of the journalled workers has accepted it, and for as long as a majority
 * has accepted a renewal within the last controller lease. An object serves one epoch and cannot be restarted.
 */
class WorkerSessions final : public WorkerPool, private WorkerSessionHost {
public:
    WorkerSessions(Runtime& runtime, WorkerGateway& gateway, VmDirectory& directory, JobJournal& journal, CellId cell,
        Epoch epoch, WorkerSessionSettings settings = {});
    ~WorkerSessions() override;

    /** @brief Sets the receiver of events. Must be called before start(). */
    void setListener(WorkerPoolListener* listener) { m_listener = listener; }

    /**
     * @brief Contacts all workers.
     * @param recovered the records of the cell's journal.
     * @param active called once a majority has accepted the epoch and the other journalled workers have accepted it too
     * or the grace period has passed. The listener has then received the full reports of all reached workers
     * (workerAvailable), but commands are refused until this call. `missing` are the workers not reached; they count
     * as unreachable until workerAvailable or workerLost is called for them.
     * @param lost called at most once, instead of or after `active`: the epoch has ended and cannot be used any more.
     */
    void start(const std::vector<JournalRecord>& recovered, std::function<void(std::vector<VmId> missing)> active,
        std::function<void()> lost);

    /** @brief Whether a majority of the workers accepted the epoch within the last controller lease. */
    bool isActive() const;

    /** @brief Ends the epoch: no more commands are sent or callbacks called. This object may then be destroyed, but not
     * from within a callback other than `lost`. */
    void end();

    void start(const VmId& worker, const TaskId& task, const Resources& size, const std::string& payload,
        const std::string& traceparent, std::function<void(CommandOutcome, std::string message)> done) override;
    void applyAction(const VmId& worker, TaskAction action, const TaskId& task) override;

private:
    bool checkEpoch() override;
    bool isJournalled(const VmId& worker, const std::string& session) const override;
    void sessionOpened(WorkerSession& worker) override;
    void epochAccepted(WorkerSession& worker) override;
    void fenced(const VmId& worker, Epoch highest) override;
    void available(WorkerSession& worker, const LeaseReport& report) override;
    void reported(const VmId& worker, const LeaseReport& report) override;
    void unreachable(const VmId& worker) override;
    void restarted(WorkerSession& worker) override;
    void lost(WorkerSession& worker) override;
    void finished(const VmId& worker, const FinishedTask& task) override;

    WorkerSession& addSession(const WorkerDescription& description, const std::string& journalledSession);
    void journalChange(WorkerSet::Change change, JournalRecord record);
    void changeJournalled(const VmId& worker, const absl::Status& status);
    void readDirectory();
    void applyDirectory(const std::vector<WorkerDescription>& listed);
    bool belongsToCell(const WorkerDescription& worker) const;

    void check();
    void activateIfReady();
    void activate(std::vector<VmId> missing);
    bool hasMajorityAt(TimePoint time) const;
    void loseEpoch(const std::string& reason);
    template <typename F> std::function<void()> guarded(F task);

    Runtime& m_runtime;
    WorkerGateway& m_gateway;
    VmDirectory& m_directory;
    JobJournal& m_journal;
    const CellId m_cell;
    const Epoch m_epoch;
    const WorkerSessionSettings m_settings;
    WorkerPoolListener* m_listener = nullptr;

    std::shared_ptr<WorkerSessions*> m_self; ///< expires with this object; held weakly by callbacks
    bool m_active = false;
    bool m_ended = false;
    TimePoint m_startedAt;
    TimePoint m_majorityValidUntil; ///< a majority has accepted until at least this time; later times need a count
    std::function<void(std::vector<VmId>)> m_onActive;
    std::function<void()> m_onLost;
    WorkerSet m_workers;
    std::map<VmId, std::shared_ptr<WorkerSession>> m_sessions;
    std::map<VmId, LeaseReport> m_initialReports; ///< full reports received before the epoch became active
    std::set<VmId> m_restarted; ///< workers that restarted before the epoch became active
    std::set<VmId> m_knownToListener; ///< workers reported to the listener as available or unreachable
};

} // namespace lycheeledge
