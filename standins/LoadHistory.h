// What the workers ran, and the guarantees that it must keep.
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

/** @brief One execution of a task, in microseconds of the steady clock. */
struct TaskRun {
    std::int64_t startUs = 0;
    std::int64_t endUs = std::numeric_limits<std::int64_t>::max(); ///< largest value while it runs
    std::string worker;
    std::uint32_t run = 0;

    bool operator==(const TaskRun&) const = default;
};

/** @brief Executions of all tasks, collected from the workers. */
class LoadHistory {
public:
    /**
     * @brief Adds the history of one worker, or of several.
     * @param nowUs time of the caller's clock, to which times of other clocks are shifted.
     * @return false if the text is no history.
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
        const auto shift = clockShift(lycheeledge::detail::integer(root, "nowUs", nowUs), nowUs);
        for (const auto& event : events->GetArray())
            addEvent(event, worker, shift);
        return true;
    }

    /** @brief Executions of the tasks of a piece of work, by task index. */
    const std::map<std::uint32_t, std::vector<TaskRun>>* find(const WorkId& id) const
    {
        const auto it = m_runs.find(id);
        return it == m_runs.end() ? nullptr : &it->second;
    }

    /** @brief First start of any task; nothing if none started. */
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

    /** @brief Whether a task was started more than once. */
    bool startedTwice(const WorkId& id) const
    {
        const auto* tasks = find(id);
        return tasks != nullptr
            && std::any_of(tasks->begin(), tasks->end(), [](const auto& it) { return it.second.size() > 1; });
    }

    /** @brief Tasks of which two executions overlapped in time. */
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

    /** @brief Starts a second between the first start and the last; 0 if they coincide. */
    double startsPerSecond() const
    {
        const auto lengthUs = m_lastStartUs - m_firstStartUs;
        return m_starts < 2 || lengthUs <= 0 ? 0.0
                                             : static_cast<double>(m_starts) * 1e6 / static_cast<double>(lengthUs);
    }

private:
    // Processes on one machine share the steady clock; small differences are the age of the answer.
    static std::int64_t clockShift(std::int64_t theirNowUs, std::int64_t ourNowUs)
    {
        constexpr std::int64_t sameClockUs = 5'000'000;
        const auto shift = ourNowUs - theirNowUs;
        return std::abs(shift) < sameClockUs ? 0 : shift;
    }

    // Two forms are read: {type, team, request, index, run, worker, us} and {event, task: {...}, timeUs}.
    void addEvent(const rapidjson::Value& event, const std::string& pageWorker, std::int64_t shift)
    {
        namespace fields = lycheeledge::detail;
        const auto* nested = fields::member(event, "task");
        const auto& task = nested != nullptr ? *nested : event;
        const WorkId id { TeamId(fields::string(task, "team")), RequestId(fields::string(task, "request")) };
        const auto index = static_cast<std::uint32_t>(fields::integer(task, "index", 0));
        const auto run = static_cast<std::uint32_t>(fields::integer(task, "run", 0));
        const auto us = shift + fields::integer(event, "us", fields::integer(event, "timeUs", 0));
        const auto worker = fields::string(event, "worker", pageWorker);
        auto& runs = m_runs[id][index];
        if (fields::string(event, "type", fields::string(event, "event")) == "start") {
            runs.push_back({ us, std::numeric_limits<std::int64_t>::max(), worker, run });
            m_firstStartUs = m_starts == 0 ? us : std::min(m_firstStartUs, us);
            m_lastStartUs = m_starts == 0 ? us : std::max(m_lastStartUs, us);
            ++m_starts;
            return;
        }
        // Events of one worker come in the order of their times, so the run that ends is the last one open there.
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
