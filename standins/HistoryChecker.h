// Checks whether the guarantees held, from a recorded history alone.
#pragma once

#include "History.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lycheeledge::standin {

/** @brief Time within which a change must take effect, in microseconds after it was acknowledged or declared. */
struct CheckerBounds {
    Microseconds keyWithdrawal = 5'000'000;
    Microseconds limitChange = 5'000'000;
    Microseconds workerLeaving = 5'000'000;
    Microseconds configuration = 5'000'000;
};

/** @brief Violation of a guarantee and the events that prove it. */
struct GuaranteeViolation {
    int guarantee = 0; ///< 1 to 11, as numbered in docs/guarantees.md
    std::string description;
    std::vector<Event> evidence;
};

/** @brief Replays a history in order of time and collects the violations of guarantees. */
class HistoryChecker {
public:
    explicit HistoryChecker(CheckerBounds bounds = {})
        : m_bounds(bounds)
    {
    }

    /** @return the violations in the order in which they are detected. */
    std::vector<GuaranteeViolation> check(History history)
    {
        std::stable_sort(history.begin(), history.end(), [](const Event& a, const Event& b) { return a.at < b.at; });
        for (const Event& event : history)
            std::visit([&](const auto& body) { apply(event, body); }, event.body);
        checkRefusals();
        return std::move(m_violations);
    }

private:
    using TaskIdentity = std::pair<WorkId, std::uint32_t>; // work and task index, for all runs of the task

    struct Work {
        std::vector<Event> submissions;
        std::vector<Event> starts;
        std::vector<Event> notRunRefusals;
        bool repeatable = false;
        std::string expectedBody;
    };

    struct Worker {
        Resources capacity;
        bool capacityKnown = false;
        Resources running;
        std::optional<Event> leaving;
    };

    struct Limit {
        std::uint32_t value = 0;
        Event event; // that set the value
    };

    void addViolation(int guarantee, std::string description, std::vector<Event> evidence)
    {
        m_violations.push_back({ guarantee, std::move(description), std::move(evidence) });
    }

    static std::string workName(const WorkId& id) { return id.team.value() + "/" + id.request.value(); }

    void apply(const Event& event, const Submitted& body)
    {
        Work& work = m_work[body.id];
        work.submissions.push_back(event);
        work.repeatable = body.repeatable;
        work.expectedBody = body.expectedBody;
        m_openCalls.insert({ body.entry, body.id });
    }

    void apply(const Event& event, const Answered& body)
    {
        Work& work = m_work[body.id];
        m_openCalls.erase({ body.entry, body.id });
        if (work.submissions.empty())
            addViolation(6, fmt::format("{}: response without a submission", workName(body.id)), { event });
        if (body.error == ErrorKind::None && !body.incomplete && body.body != work.expectedBody)
            addViolation(6, fmt::format("{}: the response body is not the expected one", workName(body.id)), { event });
        // The run state of an incomplete call is the caller's view of a single attempt, not a refusal by the service.
        if (body.run == RunState::NotRun && body.error != ErrorKind::None && !body.incomplete)
            work.notRunRefusals.push_back(event);
        checkPlannedStop(event, body);
    }

    // A planned stop must not interrupt calls that were in progress when it was requested.
    void checkPlannedStop(const Event& event, const Answered& body)
    {
        const auto stop = m_plannedStops.find(body.entry);
        if (!body.incomplete || stop == m_plannedStops.end())
            return;
        if (stop->second.callsInProgress.contains(body.id))
            addViolation(10,
                fmt::format("{}: call interrupted by the planned stop of {}", workName(body.id), body.entry),
                { stop->second.event, event });
    }

    void apply(const Event& event, const TaskRunStarted& body)
    {
        Work& work = m_work[body.task.work];
        checkKey(event, work, body.task.work);
        if (!work.repeatable) {
            for (const Event& earlier : work.starts) {
                if (std::get<TaskRunStarted>(earlier.body).task.index == body.task.index)
                    addViolation(8,
                        fmt::format("{}: not repeatable, but started more than once", workName(body.task.work)),
                        { earlier, event });
            }
        }
        work.starts.push_back(event);
        checkOverlap(event, body);
        checkWorker(event, body);
        checkLimit(event, body.task.work.team);
    }

    // At least one submission must have carried a key that was valid for the team when it was sent.
    void checkKey(const Event& event, const Work& work, const WorkId& id)
    {
        if (m_openTeams.contains(id.team) || work.submissions.empty())
            return;
        bool hasWithdrawnKey = false;
        for (const Event& submission : work.submissions) {
            const auto& key = std::get<Submitted>(submission.body).key;
            const auto keyTeam = m_teamOfKey.find(key);
            if (keyTeam == m_teamOfKey.end() || keyTeam->second != id.team)
                continue;
            const auto withdrawn = m_withdrawnKeys.find(key);
            if (withdrawn == m_withdrawnKeys.end() || submission.at <= withdrawn->second.at + m_bounds.keyWithdrawal)
                return;
            hasWithdrawnKey = true;
        }
        if (hasWithdrawnKey)
            addViolation(
                4, fmt::format("{}: started with a withdrawn key", workName(id)), { work.submissions.back(), event });
        else
            addViolation(3, fmt::format("{}: started without a key of its team", workName(id)),
                { work.submissions.back(), event });
    }

    void checkOverlap(const Event& event, const TaskRunStarted& body)
    {
        auto& activeRuns = m_activeRuns[{ body.task.work, body.task.index }];
        if (!activeRuns.empty())
            addViolation(2,
                fmt::format("{}: task {} has two runs at the same time", workName(body.task.work), body.task.index),
                { activeRuns.front(), event });
        activeRuns.push_back(event);
    }

    void checkWorker(const Event& event, const TaskRunStarted& body)
    {
        Worker& worker = m_workers[body.worker];
        worker.running += body.size;
        if (worker.capacityKnown && !worker.running.fitsIn(worker.capacity))
            addViolation(
                1, fmt::format("{}: running tasks exceed the capacity of the VM", body.worker.value()), { event });
        if (worker.leaving && event.at > worker.leaving->at + m_bounds.workerLeaving)
            addViolation(
                9, fmt::format("{}: task started on a leaving VM", body.worker.value()), { *worker.leaving, event });
    }

    void checkLimit(const Event& event, const TeamId& team)
    {
        const std::uint32_t running = ++m_runningTasksOfTeam[team];
        const auto limit = m_limits.find(team);
        if (limit == m_limits.end() || limit->second.value == 0 || running <= limit->second.value)
            return;
        if (event.at > limit->second.event.at + m_bounds.limitChange)
            addViolation(5, fmt::format("{}: {} tasks running, limit {}", team.value(), running, limit->second.value),
                { limit->second.event, event });
    }

    void apply(const Event&, const TaskRunEnded& body)
    {
        auto& activeRuns = m_activeRuns[{ body.task.work, body.task.index }];
        const auto it = std::find_if(activeRuns.begin(), activeRuns.end(), [&](const Event& started) {
            const auto& start = std::get<TaskRunStarted>(started.body);
            return start.worker == body.worker && start.task == body.task;
        });
        if (it == activeRuns.end())
            return;
        m_workers[body.worker].running -= std::get<TaskRunStarted>(it->body).size;
        --m_runningTasksOfTeam[body.task.work.team];
        activeRuns.erase(it);
    }

    void apply(const Event&, const WorkerCapacity& body)
    {
        m_workers[body.worker].capacity = body.capacity;
        m_workers[body.worker].capacityKnown = true;
    }

    void apply(const Event& event, const WorkerLeaving& body) { m_workers[body.worker].leaving = event; }
    void apply(const Event&, const KeyCreated& body) { m_teamOfKey[body.key] = body.team; }
    void apply(const Event& event, const KeyWithdrawn& body) { m_withdrawnKeys.emplace(body.key, event); }
    void apply(const Event&, const QueueOpened& body) { m_openTeams.insert(body.team); }
    void apply(const Event& event, const LimitSet& body) { m_limits[body.team] = { body.maxRunningTasks, event }; }

    void apply(const Event& event, const ConfigurationAcknowledged& body)
    {
        m_acknowledged[body.entity].push_back(event);
    }

    void apply(const Event& event, const ConfigurationObserved& body)
    {
        auto& previous = m_observed[{ body.process, body.entity }];
        if (previous && body.version < std::get<ConfigurationObserved>(previous->body).version)
            addViolation(11, fmt::format("{}: {} went back to an older version", body.process, body.entity),
                { *previous, event });
        previous = event;
        for (const Event& acknowledged : m_acknowledged[body.entity]) {
            if (body.version < std::get<ConfigurationAcknowledged>(acknowledged.body).version
                && event.at > acknowledged.at + m_bounds.configuration) {
                addViolation(11, fmt::format("{}: still uses an outdated version of {}", body.process, body.entity),
                    { acknowledged, event });
                return;
            }
        }
    }

    void apply(const Event& event, const StopRequested& body)
    {
        PlannedStop stop { event, {} };
        for (const auto& [entry, id] : m_openCalls) {
            if (entry == body.process)
                stop.callsInProgress.insert(id);
        }
        m_plannedStops.emplace(body.process, std::move(stop));
    }

    // A "not run" refusal covers all submissions of the work id up to the refusal: no start may precede it, and none
    // may follow unless the caller submitted the work again.
    void checkRefusals()
    {
        for (const auto& [id, work] : m_work) {
            for (const Event& refusal : work.notRunRefusals) {
                for (const Event& start : work.starts) {
                    const bool submittedAgain
                        = std::any_of(work.submissions.begin(), work.submissions.end(), [&](const Event& submission) {
                              return submission.at > refusal.at && submission.at <= start.at;
                          });
                    if (start.at <= refusal.at || !submittedAgain) {
                        addViolation(7, fmt::format("{}: refused as not run, but a task was started", workName(id)),
                            { refusal, start });
                        break;
                    }
                }
            }
        }
    }

    struct PlannedStop {
        Event event;
        std::set<WorkId> callsInProgress;
    };

    CheckerBounds m_bounds;
    std::vector<GuaranteeViolation> m_violations;
    std::map<WorkId, Work> m_work;
    std::map<TaskIdentity, std::vector<Event>> m_activeRuns; // start events of the runs that have not ended
    std::map<VmId, Worker> m_workers;
    std::map<TeamId, std::uint32_t> m_runningTasksOfTeam;
    std::map<TeamId, Limit> m_limits;
    std::map<std::string, TeamId> m_teamOfKey;
    std::map<std::string, Event> m_withdrawnKeys;
    std::set<TeamId> m_openTeams;
    std::set<std::pair<std::string, WorkId>> m_openCalls; // entry process and work id of calls in progress
    std::map<std::string, PlannedStop> m_plannedStops;
    std::map<std::string, std::vector<Event>> m_acknowledged; // by entity
    std::map<std::pair<std::string, std::string>, std::optional<Event>> m_observed; // by process and entity
};

} // namespace lycheeledge::standin
