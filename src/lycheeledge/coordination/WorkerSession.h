// Session with one worker in one ownership epoch: leases, commands and events.
#pragma once

#include "Runtime.h"
#include "WorkerGateway.h"
#include "WorkerSessionSettings.h"

#include <absl/status/statusor.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lycheeledge {

class WorkerSession;

/** @brief Receives the events of a worker session. Implemented by WorkerSessions. */
class WorkerSessionHost {
public:
    virtual ~WorkerSessionHost() = default;

    /** @brief Whether the epoch is still valid; ends it if it is not. Nothing may be sent if this returns false. */
    virtual bool checkEpoch() = 0;
    /** @brief Whether the journal durably lists the worker with this session. */
    virtual bool isJournalled(const VmId& worker, const std::string& session) const = 0;
    /** @brief The worker accepted a lease request under a session that is not journalled. Called for each such
     * request. */
    virtual void sessionOpened(WorkerSession& worker) = 0;
    /** @brief The worker accepted a lease request. Called after the more specific callbacks. */
    virtual void epochAccepted(WorkerSession& worker) = 0;
    /** @brief The worker has seen a higher epoch, so this one has ended. */
    virtual void fenced(const VmId& worker, Epoch highest) = 0;
    /** @brief Tasks can be started on the worker; `report` is a full report. */
    virtual void available(WorkerSession& worker, const LeaseReport& report) = 0;
    virtual void reported(const VmId& worker, const LeaseReport& report) = 0;
    virtual void unreachable(const VmId& worker) = 0;
    /** @brief The worker has a new session, so all tasks of the previous session have ended. */
    virtual void restarted(WorkerSession& worker) = 0;
    /** @brief All leases of the worker have expired. */
    virtual void lost(WorkerSession& worker) = 0;
    virtual void finished(const VmId& worker, const FinishedTask& task) = 0;
};

/** @brief Renews the leases of one worker, sends commands to it and polls its events. */
class WorkerSession final : public std::enable_shared_from_this<WorkerSession> {
public:
    enum class State {
        Connecting, ///< has not accepted the epoch
        Opened, ///< accepted the epoch; its session is not journalled yet
        Available,
        Unreachable, ///< was available; lease renewals fail
        Lost, ///< all leases have expired; no task runs on the worker
    };

    /** @param journalledSession session from the recovered journal, empty if there is none. */
    WorkerSession(Runtime& runtime, WorkerGateway& gateway, WorkerSessionHost& host,
        const WorkerSessionSettings& settings, const CellId& cell, Epoch epoch, WorkerDescription description,
        std::string journalledSession);

    /** @brief Sends a lease request now and schedules the following ones. */
    void renew();
    /** @brief Called once the session is durable in the journal; requests a full report. */
    void sessionJournalled();
    /** @brief Polls for finished tasks, now and whenever the worker becomes available. */
    void startEvents();
    /** @brief Sets the time until which tasks of the previous owner may run on a worker that was not reached. */
    void setTakeoverDeadline(TimePoint deadline);
    /** @brief Detects expired leases. Must be called once per check interval. */
    void checkLeases();

    void start(StartCommand command, std::function<void(CommandOutcome, std::string message)> done);
    void applyAction(TaskAction action, const TaskId& task);

    void setDescription(WorkerDescription description) { m_description = std::move(description); }
    const WorkerDescription& description() const { return m_description; }
    const VmId& id() const { return m_description.id; }
    State state() const { return m_state; }
    /** @brief Session of the last accepted lease request; before the first one, the journalled session. */
    const std::string& session() const { return m_session; }
    /** @brief Whether the worker accepted a lease request under `session` that was sent at or after `since`. */
    bool acceptedSince(TimePoint since, const std::string& session) const
    {
        return m_acceptedAt && *m_acceptedAt >= since && m_session == session;
    }
    /** @brief Returns and clears the list of tasks that may run on the worker as far as this owner knows. */
    std::vector<TaskId> takeTasks();

private:
    struct PendingStart {
        StartCommand command;
        std::function<void(CommandOutcome, std::string)> done;
        bool mayHaveStarted = false; ///< an earlier attempt got no response
        /** Number of the last lease request sent before a retry was refused. The report in the response to a later
         * request shows whether the task runs. */
        std::optional<std::uint64_t> refusedAfterRequest;
    };
    struct SentRequest {
        LeaseRequest request;
        std::uint64_t number = 0; ///< sequence number among the lease requests of this object
        TimePoint at;
        Address to;
    };
    struct PendingAction {
        TaskAction action;
        TaskId task;
        std::string session;
    };

    std::function<void()> guarded(void (WorkerSession::*method)());
    void renewAt(TimePoint time);
    std::optional<LeaseRequest> makeRequest() const;
    void leaseResponseReceived(const SentRequest& sent, const absl::StatusOr<LeaseReport>& result);
    bool mayBeAnotherVm(const SentRequest& sent, const LeaseReport& report) const;
    void renewalFailed();
    void leaseRefused(const LeaseRequest& request);
    void leaseAccepted(const SentRequest& sent, const LeaseReport& report);
    void becomeAvailable(const LeaseReport& report);
    void becomeUnreachable();
    void failPendingStarts(std::string message);
    void reconcile(const SentRequest& sent, const LeaseReport& report);

    void sendStart(const TaskId& task);
    void startResponseReceived(
        const TaskId& task, const std::string& session, CommandOutcome outcome, std::string message);
    void finishStart(const TaskId& task, CommandOutcome outcome, std::string message);
    void sendAction(PendingAction action);
    void pollEvents();
    void eventsResponseReceived(
        const std::string& session, TimePoint sentAt, const absl::StatusOr<WorkerEvents>& result);

    Runtime& m_runtime;
    WorkerGateway& m_gateway;
    WorkerSessionHost& m_host;
    const WorkerSessionSettings& m_settings;
    const CellId m_cell;
    const Epoch m_epoch;
    WorkerDescription m_description;

    State m_state = State::Connecting;
    std::string m_session;
    Address m_sessionAddress; ///< address of the worker under `m_session`
    bool m_sessionAccepted = false; ///< the worker accepted this epoch under `m_session`
    bool m_mayHaveTasks = false; ///< tasks of this or the previous owner may run there, or be started later
    TimePoint m_leasesEndBy; ///< upper bound for the expiry of all leases that requests so far may have granted
    std::optional<TimePoint> m_acceptedAt; ///< send time of the last accepted request
    int m_consecutiveFailures = 0; ///< failed requests since the last accepted one
    int m_requestsInFlight = 0;
    std::uint64_t m_lastRequest = 0; ///< number of the last request
    std::uint64_t m_lastAccepted = 0; ///< highest number of an accepted request
    std::uint64_t m_lastRequestBeforeUnreachable = 0; ///< request number
    bool m_fullReportNeeded = true;
    std::optional<Runtime::TimerId> m_renewTimer;
    std::uint64_t m_acknowledgedSequence = 0;
    bool m_eventsStarted = false;
    bool m_eventsInFlight = false;
    std::set<TaskId> m_tasks;
    std::map<TaskId, PendingStart> m_starts;
};

} // namespace lycheeledge
