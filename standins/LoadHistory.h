// Task runs collected from the workers, and checks for repeated and overlapping runs.
#pragma once

#include <lycheeledge/protocol/JsonObject.h>
#include <lycheeledge/state/Ids.h>

#include <rapidjson/document.h>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lycheeledge::standin {

/** @brief One run of a task. Times are in microseconds of the steady clock. */
struct TaskRun {
    std::int64_t startUs = 0;
    std::int64_t endUs = std::numeric_limits<std::int64_t>::max(); ///< the largest value while the task runs
    std::string worker;
    std::uint32_t run = 0; ///< number of the run, see TaskId

    bool operator==(const TaskRun&) const = default;
};

/** @brief Runs of all tasks, collected from the workers. */
class LoadHistory {
public:
    /**
     * @brief Adds the history of one or several workers.
     * @param nowUs current time of the caller's clock, to which times of other clocks are converted.
     * @return false if the text is not a history.
     */
    bool add(std::string_view json, std::int64_t nowUs)
    {
        rapidjson::Document root;
        root.Parse(json.data(), json.size());
        if (root.HasParseError() || !root.IsObject())
            return false;
        const auto* events = lycheeledge::detail::member(root, root.HasMember("events") ? "events" : "entries");
        if (events == nullptr || !events->IsArray())
            return false;
        const auto worker = lycheeledge::detail::string(root, "worker");
        const auto shiftUs = clockShift(lycheeledge::detail::integer(root, "nowUs", nowUs), nowUs);
        for (const auto& event : events->GetArray())
            addEvent(event, worker, shiftUs);
        return true;
    }

    /** @brief Runs of the tasks of a work item, by task index; null if none started. */
    const std::map<std::uint32_t, std::vector<TaskRun>>* find(const WorkId& id) const
    {
        const auto it = m_runs.find(id);
        return it == m_runs.end() ? nullptr : &it->second;
    }

    /** @brief Time of the first start of any task; nothing if none started. */
    std::optional<std::int64_t> firstStartUs(const WorkId& id) const
    {
        const auto* tasks = find(id);
        std::optional<std::int64_t> first;
        if (tasks == nullptr)
            return first;
        for (const auto& [index, runs] : *tasks) {
            for (const auto& run : runs)
                first = std::min(first.value_or(run.startUs), run.startUs);
        }
        return first;
    }

    /** @brief Whether any task of the work was started more than once. */
    bool startedMoreThanOnce(const WorkId& id) const
    {
        const auto* tasks = find(id);
        return tasks != nullptr
            && std::any_of(tasks->begin(), tasks->end(), [](const auto& it) { return it.second.size() > 1; });
    }

    /** @brief Tasks with two runs that overlapped in time. */
    std::vector<TaskId> overlapping() const
    {
        std::vector<TaskId> found;
        for (const auto& [id, tasks] : m_runs) {
            for (const auto& [index, runs] : tasks) {
                if (overlap(runs))
                    found.push_back({ id, index, 0 });
            }
        }
        return found;
    }

    std::size_t starts() const { return m_starts; }

    /** @brief Starts per second between the first and the last start; 0 if they coincide. */
    double startsPerSecond() const
    {
        const auto durationUs = m_lastStartUs - m_firstStartUs;
        return m_starts < 2 || durationUs <= 0 ? 0.0
                                               : static_cast<double>(m_starts) * 1e6 / static_cast<double>(durationUs);
    }

private:
    // Processes on one machine share the steady clock: a small difference is only the time that the response took.
    static std::int64_t clockShift(std::int64_t workerNowUs, std::int64_t callerNowUs)
    {
        constexpr std::int64_t maxResponseAgeUs = 5'000'000;
        const auto shiftUs = callerNowUs - workerNowUs;
        return std::abs(shiftUs) < maxResponseAgeUs ? 0 : shiftUs;
    }

    // Accepts two forms: {type, team, request, index, run, worker, us} and {event, task: {...}, timeUs}.
    void addEvent(const rapidjson::Value& event, const std::string& defaultWorker, std::int64_t shiftUs)
    {
        namespace fields = lycheeledge::detail;
        const auto* nested = fields::member(event, "task");
        const auto& task = nested != nullptr ? *nested : event;
        const WorkId id { TeamId(fields::string(task, "team")), RequestId(fields::string(task, "request")) };
        const auto index = static_cast<std::uint32_t>(fields::integer(task, "index", 0));
        const auto run = static_cast<std::uint32_t>(fields::integer(task, "run", 0));
        const auto us = shiftUs + fields::integer(event, "us", fields::integer(event, "timeUs", 0));
        const auto worker = fields::string(event, "worker", defaultWorker);
        auto& runs = m_runs[id][index];
        if (fields::string(event, "type", fields::string(event, "event")) == "start") {
            runs.push_back({ us, std::numeric_limits<std::int64_t>::max(), worker, run });
            m_firstStartUs = m_starts == 0 ? us : std::min(m_firstStartUs, us);
            m_lastStartUs = m_starts == 0 ? us : std::max(m_lastStartUs, us);
            ++m_starts;
            return;
        }
        // A worker reports its events in order of time, so the event ends the latest open run on that worker.
        const auto it = std::find_if(runs.rbegin(), runs.rend(), [&](const TaskRun& open) {
            return open.worker == worker && open.run == run && open.endUs == std::numeric_limits<std::int64_t>::max();
        });
        if (it != runs.rend())
            it->endUs = us;
    }

    static bool overlap(std::vector<TaskRun> runs)
    {
        std::sort(runs.begin(), runs.end(), [](const auto& a, const auto& b) { return a.startUs < b.startUs; });
        for (std::size_t n = 1; n < runs.size(); ++n) {
            if (runs[n].startUs < runs[n - 1].endUs)
                return true;
        }
        return false;
    }

    std::map<WorkId, std::map<std::uint32_t, std::vector<TaskRun>>> m_runs;
    std::size_t m_starts = 0;
    std::int64_t m_firstStartUs = 0;
    std::int64_t m_lastStartUs = 0;
};

} // namespace lycheeledge::standin
