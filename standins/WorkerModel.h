// State machine of a simulated worker, without I/O. The caller passes in the time.
#pragma once

#include "TaskPayload.h"

#include <lycheeledge/protocol/WorkerCodec.h>
#include <lycheeledge/state/Worker.h>
#include <lycheeledge/transport/Hmac.h>

#include <absl/status/statusor.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lycheeledge::standin {

/** @brief Start or end of a task. */
struct HistoryEntry {
    TimePoint time;
    bool start = false;
    TaskId task;
    Epoch epoch = 0; ///< epoch of the start command
    std::string reason; ///< of an end: `done`, `failed`, `stopped`, `lease` (task lease expired) or `restart`

    bool operator==(const HistoryEntry&) const = default;
};

/** @brief Record of a command that a correct owner would not have sent. */
struct CommandViolation {
    TimePoint time;
    std::string kind; ///< `capacity`
    TaskId task;
    std::string message;

    bool operator==(const CommandViolation&) const = default;
};

/**
 * @brief Worker that enforces fencing: it refuses commands of another epoch or session.
 *
 * Every call that takes the time first ends the tasks whose run time or lease is over by then, in order of time.
 */
class WorkerModel {
public:
    /** @param session must differ between starts of the worker. */
    WorkerModel(VmId id, Resources capacity, std::string session)
        : m_id(std::move(id))
        , m_capacity(capacity)
        , m_session(std::move(session))
    {
    }

    /** @brief Opens or renews the controller lease and renews all task leases. */
    WireLeaseReport lease(TimePoint now, const LeaseRequest& request)
    {
        advance(now);
        const bool sessionKnown = request.session.empty() || request.session == m_session;
        if (request.epoch < m_highestEpoch || !sessionKnown)
            return makeReport(false, false);
        m_highestEpoch = request.epoch;
        m_leaseEnd = now + request.controllerLease;
        m_taskLease = request.taskLease;
        for (auto& [id, task] : m_running)
            task.leaseEnd = now + m_taskLease;
        // Sequence numbers are valid only in their session.
        if (!request.session.empty())
            acknowledge(request.acknowledged);
        return makeReport(true, request.fullReport);
    }

    /** @brief Starts a task. A repeated command with the same task id has no effect. */
    CommandResponse start(TimePoint now, const StartCommand& command)
    {
        advance(now);
        if (CommandResponse refusal = checkCommand(now, command.epoch, command.session); !refusal.accepted)
            return refusal;
        if (m_running.count(command.id) > 0)
            return { true, "already running" };
        if (const auto it = m_finished.find(command.id); it != m_finished.end())
            return { true, "already finished" };
        if (m_stoppedBeforeStart.count(command.id) > 0)
            return { false, "the task was stopped" };
        if (!(reservedResources() + command.size).fitsIn(m_capacity)) {
            m_violations.push_back({ now, "capacity", command.id, "start over capacity" });
            return { false, "over capacity" };
        }
        beginTask(now, command);
        advance(now);
        return { true, "" };
    }

    /** @brief Stops or throttles a task. A checkpoint of a running task is accepted without effect. */
    CommandResponse applyAction(TimePoint now, TaskAction action, const TaskActionCommand& command)
    {
        advance(now);
        if (CommandResponse refusal = checkCommand(now, command.epoch, command.session); !refusal.accepted)
            return refusal;
        const auto it = m_running.find(command.id);
        if (it == m_running.end()) {
            if (action != TaskAction::Stop)
                return { false, "the task is not running" };
            // A start command that arrives after its stop must not take effect.
            if (m_finished.count(command.id) == 0)
                m_stoppedBeforeStart.emplace(command.id, now);
            return { true, "not running" };
        }
        if (action == TaskAction::Stop)
            endTask(now, command.id, "stopped");
        else if (action == TaskAction::Throttle)
            it->second.throttled = true;
        return { true, "" };
    }

    /**
     * @brief Returns the finished tasks after sequence number `after`, and acknowledges those up to it.
     *
     * Errors: `FAILED_PRECONDITION` for a wrong epoch or session.
     */
    absl::StatusOr<WireEvents> events(TimePoint now, Epoch epoch, const std::string& session, std::uint64_t after)
    {
        advance(now);
        if (epoch != m_highestEpoch || session != m_session)
            return absl::FailedPreconditionError("fenced, or unknown session");
        acknowledge(after);
        WireEvents result;
        result.lastSequence = std::max(after, m_acknowledged);
        for (const auto& [sequence, id] : m_bySequence) {
            if (sequence <= result.lastSequence)
                continue;
            result.finished.push_back(toWire(sequence, m_finished.at(id)));
            result.lastSequence = sequence;
            if (result.finished.size() == maxEvents)
                break;
        }
        return result;
    }

    /** @return the whole result body of a finished task; null if it is unknown or already acknowledged. */
    const std::string* result(const TaskId& id, const std::string& session) const
    {
        const auto it = m_finished.find(id);
        return it == m_finished.end() || session != m_session || it->second.sequence <= m_acknowledged
            ? nullptr
            : &it->second.task.body;
    }

    /** @brief Ends the tasks whose run time or lease is over, and removes old finished tasks. */
    void advance(TimePoint now)
    {
        for (auto due = earliestEnd(); due && due->first <= now; due = earliestEnd()) {
            const Running& task = m_running.at(due->second);
            const bool completes = task.runEnd && *task.runEnd <= task.leaseEnd;
            endTask(due->first, due->second, !completes ? "lease" : task.payload.fail || m_failing ? "failed" : "done");
        }
        removeOldEntries(now);
    }

    /** @return the time when the next task ends. */
    std::optional<TimePoint> nextChange() const
    {
        const auto due = earliestEnd();
        return due ? std::optional(due->first) : std::nullopt;
    }

    /** @brief Simulates a restart of the VM: ends all tasks and clears all state but the history and the violations. */
    void restart(TimePoint now, std::string session)
    {
        advance(now);
        for (const auto& [id, task] : m_running)
            m_history.push_back({ now, false, id, task.epoch, "restart" });
        m_running.clear();
        m_finished.clear();
        m_bySequence.clear();
        m_stoppedBeforeStart.clear();
        m_session = std::move(session);
        m_highestEpoch = 0;
        m_leaseEnd = {};
        m_lastSequence = 0;
        m_acknowledged = 0;
    }

    /** @brief Sets whether tasks that complete from now on fail. */
    void setFailing(bool failing) { m_failing = failing; }

    const VmId& id() const { return m_id; }
    const Resources& capacity() const { return m_capacity; }
    const std::string& session() const { return m_session; }
    Epoch highestEpoch() const { return m_highestEpoch; }
    std::size_t runningCount() const { return m_running.size(); }
    const std::vector<HistoryEntry>& history() const { return m_history; }
    const std::vector<CommandViolation>& violations() const { return m_violations; }

private:
    // Time for which the id of a finished or stopped task is kept, to recognise repeated commands.
    static constexpr Duration idRetention = std::chrono::minutes(10);
    static constexpr std::size_t maxEvents = 256; // per response

    struct Running {
        TaskPayload payload;
        Resources size;
        Epoch epoch = 0;
        std::optional<TimePoint> runEnd; // none for a service
        TimePoint leaseEnd;
        bool throttled = false; // a throttled task is reported to use half of its processors
    };
    struct Finished {
        std::uint64_t sequence = 0;
        TimePoint time;
        FinishedTask task;
    };

    CommandResponse checkCommand(TimePoint now, Epoch epoch, const std::string& session) const
    {
        if (session != m_session)
            return { false, "unknown session" };
        if (epoch != m_highestEpoch)
            return { false, "fenced" };
        if (now >= m_leaseEnd)
            return { false, "the controller lease has ended" };
        return { true, "" };
    }

    Resources reservedResources() const
    {
        Resources sum;
        for (const auto& [id, task] : m_running)
            sum += task.size;
        return sum;
    }

    static Resources reportedUsage(const Running& task)
    {
        Resources result = task.size;
        if (task.throttled)
            result.milliCpu /= 2;
        return result;
    }

    void beginTask(TimePoint now, const StartCommand& command)
    {
        Running task;
        task.size = command.size;
        task.epoch = command.epoch;
        task.leaseEnd = now + m_taskLease;
        const auto payload = decodePayload(command.payload);
        if (payload.ok())
            task.payload = *payload;
        else
            task.payload.fail = true;
        if (!payload.ok())
            task.runEnd = now;
        else if (task.payload.runTime)
            task.runEnd = now + *task.payload.runTime;
        m_history.push_back({ now, true, command.id, command.epoch, "" });
        m_running.emplace(command.id, task);
    }

    void endTask(TimePoint time, const TaskId& id, const std::string& reason)
    {
        const auto node = m_running.extract(id);
        const Running& task = node.mapped();
        Finished finished;
        finished.sequence = ++m_lastSequence;
        finished.time = time;
        finished.task.id = id;
        finished.task.succeeded = reason == "done";
        if (finished.task.succeeded)
            finished.task.body = makeBody(task.payload);
        else
            finished.task.message = reason;
        finished.task.bodyLength = finished.task.body.size();
        finished.task.bodySha256 = sha256Hex(finished.task.body);
        m_history.push_back({ time, false, id, task.epoch, reason });
        m_bySequence.emplace(finished.sequence, id);
        m_finished.emplace(id, std::move(finished));
    }

    /** @return the task that ends first, because its run time or its lease is over. */
    std::optional<std::pair<TimePoint, TaskId>> earliestEnd() const
    {
        std::optional<std::pair<TimePoint, TaskId>> result;
        for (const auto& [id, task] : m_running) {
            const TimePoint time = task.runEnd ? std::min(*task.runEnd, task.leaseEnd) : task.leaseEnd;
            if (!result || time < result->first)
                result.emplace(time, id);
        }
        return result;
    }

    void acknowledge(std::uint64_t sequence)
    {
        sequence = std::min(sequence, m_lastSequence);
        for (auto it = m_bySequence.upper_bound(m_acknowledged); it != m_bySequence.end() && it->first <= sequence;
             ++it)
            m_finished.at(it->second).task.body.clear();
        m_acknowledged = std::max(m_acknowledged, sequence);
    }

    void removeOldEntries(TimePoint now)
    {
        while (!m_bySequence.empty()) {
            const auto it = m_bySequence.begin();
            if (it->first > m_acknowledged || m_finished.at(it->second).time + idRetention > now)
                break;
            m_finished.erase(it->second);
            m_bySequence.erase(it);
        }
        std::erase_if(m_stoppedBeforeStart, [now](const auto& item) { return item.second + idRetention <= now; });
    }

    WireFinishedTask toWire(std::uint64_t sequence, const Finished& finished) const
    {
        WireFinishedTask result { sequence, false, sequence <= m_acknowledged, finished.task };
        result.bodyPending = !result.acknowledged && finished.task.body.size() > maxInlineBodyBytes;
        if (result.bodyPending)
            result.task.body.clear();
        return result;
    }

    WireLeaseReport makeReport(bool accepted, bool full) const
    {
        WireLeaseReport result;
        LeaseReport& report = result.report;
        report.worker = m_id;
        report.accepted = accepted;
        report.highestEpoch = m_highestEpoch;
        report.session = m_session;
        report.capacity = m_capacity;
        for (const auto& [id, task] : m_running)
            report.used += reportedUsage(task);
        report.full = accepted && full;
        report.lastSequence = m_acknowledged;
        if (!report.full)
            return result;
        for (const auto& [id, task] : m_running)
            report.running.push_back({ id, task.size, reportedUsage(task) });
        for (const auto& [sequence, id] : m_bySequence)
            result.finished.push_back(toWire(sequence, m_finished.at(id)));
        report.lastSequence = m_lastSequence;
        return result;
    }

    VmId m_id;
    Resources m_capacity;
    std::string m_session;
    Epoch m_highestEpoch = 0;
    TimePoint m_leaseEnd; // of the controller lease of m_highestEpoch
    Duration m_taskLease {};
    std::map<TaskId, Running> m_running;
    // m_finished and m_bySequence hold the same tasks. The bodies of tasks up to m_acknowledged are cleared.
    std::map<TaskId, Finished> m_finished;
    std::map<std::uint64_t, TaskId> m_bySequence;
    std::uint64_t m_lastSequence = 0;
    std::uint64_t m_acknowledged = 0;
    std::map<TaskId, TimePoint> m_stoppedBeforeStart; // with the time of the stop
    bool m_failing = false;
    std::vector<HistoryEntry> m_history;
    std::vector<CommandViolation> m_violations;
};

} // namespace lycheeledge::standin
