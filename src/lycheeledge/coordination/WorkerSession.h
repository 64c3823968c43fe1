// Leases, commands and events of one worker under one epoch.
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

/** @brief Receives what happens to a worker. Implemented by WorkerSessions. */
class WorkerSessionHost {
public:
    virtual ~WorkerSessionHost() = default;

    /** @brief Whether the epoch certainly holds now; nothing is sent otherwise. */
    virtual bool epochHolds() = 0;
    /** @brief Whether the worker's session is durable in the journalled set. */
    virtual bool isJournalled(const VmId& worker, const std::string& session) const = 0;
    /** @brief The worker accepted the epoch with a session that is not journalled. Called at each acceptance. */
    virtual void sessionOpened(WorkerSession& worker) = 0;
    /** @brief The worker accepted the epoch. Called after the more specific calls. */
    virtual void epochAccepted(WorkerSession& worker) = 0;
    /** @brief The worker refused the epoch because it has seen a higher one. */
    virtual void fenced(const VmId& worker, Epoch highest) = 0;
    /** @brief The worker can take work; `report` is full. */
    virtual void available(WorkerSession& worker, const LeaseReport& report) = 0;
    virtual void reported(const VmId& worker, const LeaseReport& report) = 0;
    virtual void unreachable(const VmId& worker) = 0;
    /** @brief The worker has a new session: everything it ran has ended. */
    virtual void restarted(WorkerSession& worker) = 0;
    /** @brief All leases of the worker have ended. */
    virtual void lost(WorkerSession& worker) = 0;
    virtual void finished(const VmId& worker, const FinishedTask& task) = 0;
};

/** @brief Session with one worker. */
class WorkerSession final : public std::enable_shared_from_this<WorkerSession> {
public:
    enum class State {
        Connecting, ///< has not accepted the epoch
        Opened, ///< accepted the epoch; its session is not journalled yet
        Available,
        Unreachable, ///< was available; renewals fail
        Lost, ///< nothing runs there any more
    };

    /** @param journalledSession session in the recovered journal, empty if there is none. */
    WorkerSession(Runtime& runtime, WorkerGateway& gateway, WorkerSessionHost& host,
        const WorkerSessionSettings& settings, const CellId& cell, Epoch epoch, WorkerDescription description,
        std::string journalledSession);

    /** @brief Sends a lease request now. Further ones follow by themselves. */
    void renew();
    /** @brief Notes that the session has become durable in the journalled set, and asks for a full report. */
    void sessionJournalled();
    /** @brief Starts to poll for finished tasks, now and whenever the worker becomes available. */
    void startEvents();
    /** @brief Notes that the owner became active: the previous owner's tasks may run until `until`. */
    void setTakeoverWait(TimePoint until);
    /** @brief Notices expired leases. To be called every check interval. */
    void check();

    void start(StartCommand command, std::function<void(CommandOutcome, std::string message)> done);
    void act(TaskAction action, const TaskId& task);

    void setDescription(WorkerDescription description) { m_description = std::move(description); }
    const WorkerDescription& description() const { return m_description; }
    const VmId& id() const { return m_description.id; }
    State state() const { return m_state; }
    /** @brief Session of the last accepted lease request, or the journalled one before that. */
    const std::string& session() const { return m_session; }
    /** @brief Whether the worker accepted a lease request under `session` that was sent at or after `since`. */
    bool acceptedSince(TimePoint since, const std::string& session) const
    {
        return m_acceptedAt && *m_acceptedAt >= since && m_session == session;
    }
    /** @brief Tasks that may run at the worker, as far as this owner knows; clears the list. */
    std::vector<TaskId> takeTasks();

private:
    struct PendingStart {
        StartCommand command;
        std::function<void(CommandOutcome, std::string)> done;
        bool mayRun = false; ///< an earlier sending was not answered
        /** Last lease request before a repetition was refused; the report to a later one tells whether the task runs.
         */
        std::optional<std::uint64_t> refusedAfter;
    };
    struct SentRequest {
        LeaseRequest request;
        std::uint64_t number = 0; ///< counts the lease requests of this object
        TimePoint at;
    };
    struct PendingAction {
        TaskAction action;
        TaskId task;
        std::string session;
    };

    std::function<void()> guarded(void (WorkerSession::*method)());
    void renewAt(TimePoint time);
    std::optional<LeaseRequest> makeRequest() const;
    void answered(const SentRequest& sent, const absl::StatusOr<LeaseReport>& result);
    void renewalFailed();
    void refused(const LeaseRequest& request);
    void accepted(const SentRequest& sent, const LeaseReport& report);
    void becomeAvailable(const LeaseReport& report);
    void becomeUnreachable();
    void endTasks(std::string message);
    void reconcile(const SentRequest& sent, const LeaseReport& report);

    void sendStart(const TaskId& task);
    void startAnswered(const TaskId& task, const std::string& session, CommandOutcome outcome, std::string message);
    void finishStart(const TaskId& task, CommandOutcome outcome, std::string message);
    void sendAction(PendingAction action);
    void pollEvents();
    void eventsAnswered(const std::string& session, TimePoint sentAt, const absl::StatusOr<WorkerEvents>& result);

    Runtime& m_runtime;
    WorkerGateway& m_gateway;
    WorkerSessionHost& m_host;
    const WorkerSessionSettings& m_settings;
    const CellId m_cell;
    const Epoch m_epoch;
    WorkerDescription m_description;

    State m_state = State::Connecting;
    std::string m_session;
    bool m_open = false; ///< `m_session` was accepted under this epoch
    bool m_mayRunTasks = false; ///< tasks of this or the previous owner may run, or be started soon
    TimePoint m_mayRunUntil; ///< when all leases that requests so far may have granted have ended
    std::optional<TimePoint> m_acceptedAt; ///< when the last accepted request was sent
    int m_failures = 0; ///< requests without an answer since the last accepted one
    int m_requestsInFlight = 0;
    std::uint64_t m_lastRequest = 0; ///< number of the last request
    std::uint64_t m_lastAccepted = 0; ///< highest number of an accepted request
    std::uint64_t m_unreachableAfter = 0; ///< last request before the worker became unreachable
    bool m_needFullReport = true;
    std::optional<Runtime::TimerId> m_renewTimer;
    std::uint64_t m_acknowledged = 0;
    bool m_eventsStarted = false;
    bool m_eventsInFlight = false;
    std::set<TaskId> m_tasks;
    std::map<TaskId, PendingStart> m_starts;
};

} // namespace lycheeledge
