// Decides from a history alone whether the guarantees held.
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

/** @brief Bounds on the time within which a change must take effect, in microseconds. */
struct CheckerBounds {
    Microseconds keyWithdrawal = 5'000'000;
    Microseconds limitChange = 5'000'000;
    Microseconds leaving = 5'000'000;
    Microseconds configuration = 5'000'000;
};

/** @brief A broken guarantee and the events that show it. */
struct Violation {
    int guarantee = 0; ///< 1 to 11, as numbered in docs/guarantees.md
    std::string what;
    std::vector<Event> evidence;
};

/** @brief Replays a history in order of time and collects violations. */
class HistoryChecker {
public:
    explicit HistoryChecker(CheckerBounds bounds = {})
        : m_bounds(bounds)
    {
    }

    /** @return the violations in the order in which they are decided. */
    std::vector<Violation> check(History history)
    {
        std::stable_sort(history.begin(), history.end(), [](const Event& a, const Event& b) { return a.at < b.at; });
        for (const Event& event : history)
            std::visit([&](const auto& body) { apply(event, body); }, event.body);
        finish();
        return std::move(m_violations);
    }

private:
    using TaskName = std::pair<WorkId, std::uint32_t>; // a task, whatever its run

    struct Work {
        std::vector<Event> submissions;
        std::vector<Event> starts;
        std::vector<Event> notRunAnswers;
        bool repeatable = false;
        std::string expectedBody;
    };

    struct Worker {
        Resources capacity;
        bool known = false;
        Resources running;
        std::optional<Event> leaving;
    };

    struct Limit {
        std::uint32_t value = 0;
        Event event;
    };

    void report(int guarantee, std::string what, std::vector<Event> evidence)
    {
        m_violations.push_back({ guarantee, std::move(what), std::move(evidence) });
    }

    static std::string name(const WorkId& id) { return id.team.value() + "/" + id.request.value(); }

    void apply(const Event& event, const Submitted& body)
    {
        Work& work = m_work[body.id];
        work.submissions.push_back(event);
        work.repeatable = body.repeatable;
        work.expectedBody = body.expectedBody;
        m_open.insert({ body.entry, body.id });
    }

    void apply(const Event& event, const Answered& body)
    {
        Work& work = m_work[body.id];
        m_open.erase({ body.entry, body.id });
        if (work.submissions.empty())
            report(6, fmt::format("{}: an answer came without a submission", name(body.id)), { event });
        if (body.error == ErrorKind::None && !body.cut && body.body != work.expectedBody)
            report(6, fmt::format("{}: the answer is not the whole answer to this request", name(body.id)), { event });
        // A call that was cut carries the caller's own view of one sending, not a refusal.
        if (body.run == RunState::NotRun && body.error != ErrorKind::None && !body.cut)
            work.notRunAnswers.push_back(event);
        checkStop(event, body);
    }

    // A planned stop must not break calls that were in progress when it was requested.
    void checkStop(const Event& event, const Answered& body)
    {
        const auto stop = m_stops.find(body.entry);
        if (!body.cut || stop == m_stops.end())
            return;
        if (stop->second.inProgress.contains(body.id))
            report(10, fmt::format("{}: cut by the planned stop of {}", name(body.id), body.entry),
                { stop->second.event, event });
    }

    void apply(const Event& event, const TaskStarted& body)
    {
        Work& work = m_work[body.task.work];
        checkKey(event, work, body.task.work);
        if (!work.repeatable) {
            for (const Event& earlier : work.starts) {
                if (std::get<TaskStarted>(earlier.body).task.index == body.task.index)
                    report(
                        8, fmt::format("{}: not repeatable, started again", name(body.task.work)), { earlier, event });
            }
        }
        work.starts.push_back(event);
        checkOverlap(event, body);
        checkWorker(event, body);
        checkLimit(event, body.task.work.team);
    }

    // At least one submission must have shown a key that was valid for the team when it was sent.
    void checkKey(const Event& event, const Work& work, const WorkId& id)
    {
        if (m_openTeams.contains(id.team) || work.submissions.empty())
            return;
        bool withdrawnTooLong = false;
        for (const Event& submission : work.submissions) {
            const auto& key = std::get<Submitted>(submission.body).key;
            const auto given = m_keys.find(key);
            if (given == m_keys.end() || given->second != id.team)
                continue;
            const auto withdrawn = m_withdrawn.find(key);
            if (withdrawn == m_withdrawn.end() || submission.at <= withdrawn->second.at + m_bounds.keyWithdrawal)
                return;
            withdrawnTooLong = true;
        }
        if (withdrawnTooLong)
            report(4, fmt::format("{}: started with a withdrawn key", name(id)), { work.submissions.back(), event });
        else
            report(
                3, fmt::format("{}: started without a key of the team", name(id)), { work.submissions.back(), event });
    }

    void checkOverlap(const Event& event, const TaskStarted& body)
    {
        auto& places = m_running[{ body.task.work, body.task.index }];
        if (!places.empty())
            report(2, fmt::format("{}: task {} runs in two places", name(body.task.work), body.task.index),
                { places.front(), event });
        places.push_back(event);
    }

    void checkWorker(const Event& event, const TaskStarted& body)
    {
        Worker& worker = m_workers[body.worker];
        worker.running += body.size;
        if (worker.known && !worker.running.fitsIn(worker.capacity))
            report(1, fmt::format("{}: more work than it can hold", body.worker.value()), { event });
        if (worker.leaving && event.at > worker.leaving->at + m_bounds.leaving)
            report(9, fmt::format("{}: new work on a leaving VM", body.worker.value()), { *worker.leaving, event });
    }

    void checkLimit(const Event& event, const TeamId& team)
    {
        const std::uint32_t running = ++m_runningOfTeam[team];
        const auto limit = m_limits.find(team);
        if (limit == m_limits.end() || limit->second.value == 0 || running <= limit->second.value)
            return;
        if (event.at > limit->second.event.at + m_bounds.limitChange)
            report(5, fmt::format("{}: {} tasks running, limit {}", team.value(), running, limit->second.value),
                { limit->second.event, event });
    }

    void apply(const Event&, const TaskStopped& body)
    {
        auto& places = m_running[{ body.task.work, body.task.index }];
        const auto it = std::find_if(places.begin(), places.end(), [&](const Event& started) {
            const auto& start = std::get<TaskStarted>(started.body);
            return start.worker == body.worker && start.task == body.task;
        });
        if (it == places.end())
            return;
        m_workers[body.worker].running -= std::get<TaskStarted>(it->body).size;
        --m_runningOfTeam[body.task.work.team];
        places.erase(it);
    }

    void apply(const Event&, const WorkerSeen& body)
    {
        m_workers[body.worker].capacity = body.capacity;
        m_workers[body.worker].known = true;
    }

    void apply(const Event& event, const WorkerLeaving& body) { m_workers[body.worker].leaving = event; }
    void apply(const Event&, const KeyGiven& body) { m_keys[body.key] = body.team; }
    void apply(const Event& event, const KeyWithdrawn& body) { m_withdrawn.emplace(body.key, event); }
    void apply(const Event&, const QueueOpened& body) { m_openTeams.insert(body.team); }
    void apply(const Event& event, const LimitSet& body) { m_limits[body.team] = { body.maxRunningTasks, event }; }

    void apply(const Event& event, const ConfigurationAcknowledged& body)
    {
        m_acknowledged[body.entity].push_back(event);
    }

    void apply(const Event& event, const ConfigurationObserved& body)
    {
        auto& last = m_observed[{ body.process, body.entity }];
        if (last && body.version < std::get<ConfigurationObserved>(last->body).version)
            report(11, fmt::format("{}: {} reverted", body.process, body.entity), { *last, event });
        last = event;
        for (const Event& acknowledged : m_acknowledged[body.entity]) {
            if (body.version < std::get<ConfigurationAcknowledged>(acknowledged.body).version
                && event.at > acknowledged.at + m_bounds.configuration) {
                report(11, fmt::format("{}: uses an old version of {}", body.process, body.entity),
                    { acknowledged, event });
                return;
            }
        }
    }

    void apply(const Event& event, const StopRequested& body)
    {
        Stop stop { event, {} };
        for (const auto& [entry, id] : m_open) {
            if (entry == body.process)
                stop.inProgress.insert(id);
        }
        m_stops.emplace(body.process, std::move(stop));
    }

    // A refusal as "not run" covers all sendings of the identity up to the refusal: no start may precede it, and none
    // may follow unless the caller submitted again.
    void finish()
    {
        for (const auto& [id, work] : m_work) {
            for (const Event& refusal : work.notRunAnswers) {
                for (const Event& start : work.starts) {
                    const bool submittedAgain = std::any_of(work.submissions.begin(), work.submissions.end(),
                        [&](const Event& s) { return s.at > refusal.at && s.at <= start.at; });
                    if (start.at <= refusal.at || !submittedAgain) {
                        report(7, fmt::format("{}: refused as not run, but started", name(id)), { refusal, start });
                        break;
                    }
                }
            }
        }
    }

    struct Stop {
        Event event;
        std::set<WorkId> inProgress;
    };

    CheckerBounds m_bounds;
    std::vector<Violation> m_violations;
    std::map<WorkId, Work> m_work;
    std::map<TaskName, std::vector<Event>> m_running; // start events of the runs in progress
    std::map<VmId, Worker> m_workers;
    std::map<TeamId, std::uint32_t> m_runningOfTeam;
    std::map<TeamId, Limit> m_limits;
    std::map<std::string, TeamId> m_keys;
    std::map<std::string, Event> m_withdrawn;
    std::set<TeamId> m_openTeams;
    std::set<std::pair<std::string, WorkId>> m_open; // calls in progress, by entry process
    std::map<std::string, Stop> m_stops;
    std::map<std::string, std::vector<Event>> m_acknowledged;
    std::map<std::pair<std::string, std::string>, std::optional<Event>> m_observed;
};

} // namespace lycheeledge::standin
