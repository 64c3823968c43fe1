// Stand-in of an executor: starts, stops, leases, fences, checkpoints and the list of ends.
#pragma once

#include "platform.h"

#include <algorithm>

namespace sim {

struct Bounds {
    std::int64_t maxHoldMs = 10000;
    std::int64_t stopMs = 50;
    std::int64_t checkpointMs = 500;
    std::int64_t restoreMs = 250;
    std::int64_t heartbeatMs = 1500;
};

/** @brief What the spec of a task says: "ms=N", the work of a sound run; 0: it lasts. */
inline std::int64_t workOf(const std::string& spec)
{
    const auto at = spec.find("ms=");
    return at == std::string::npos ? 0 : std::atoll(spec.c_str() + at + 3);
}

/** @brief Told of what executors see, for the check of a case. Called under the lock of the executor. */
class Observer {
public:
    virtual ~Observer() = default;
    virtual void started(const std::string& /*executor*/, const std::string& /*task*/, std::int64_t /*run*/) { }
    virtual void ended(
        const std::string& /*executor*/, const std::string& /*task*/, std::int64_t /*run*/, const std::string& /*how*/)
    {
    }
};

/** @brief One machine's executor. It may crash and boot again, under the same id or another one. */
class Executor {
public:
    struct Description {
        std::string id;
        std::string service = "pool";
        std::string zone = "z1";
        std::string kind = "a";
        std::string rack = "r1";
        std::int64_t cpu = 32000;
        std::int64_t memMb = 131072;
    };

    Executor(std::string ip, Store& store, Observer& observer, Description description, Bounds bounds = {})
        : server(std::move(ip), [this](const Request& request) { return handle(request); })
        , m_store(store)
        , m_observer(observer)
        , m_description(std::move(description))
        , m_bounds(bounds)
    {
        boot();
        m_thread = std::thread([this] {
            while (!m_stopped) {
                advance();
                sleepMs(5);
            }
        });
    }
    ~Executor()
    {
        m_stopped = true;
        m_changed.notify_all();
        m_thread.join();
        server.stop();
    }

    /** @brief Everything that runs is gone, and nothing answers at the address. */
    void crash()
    {
        {
            const std::lock_guard lock(m_mutex);
            record("executor %s crashes with %zu tasks", m_description.id.c_str(), m_runs.size());
            for (const auto& [task, run] : m_runs)
                m_observer.ended(m_description.id, task, run.number, "crash");
            m_up = false;
            m_downSince = nowMs();
            m_runs.clear();
            m_ends.clear();
            m_highest.clear();
            ++m_boot;
        }
        m_changed.notify_all();
        server.stop();
    }

    /** @brief A new boot at the same address. The entry of the registry follows `registerAfterMs` later. */
    void boot(std::int64_t registerAfterMs = 0)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_up = true;
            m_bornUnixMs = unixMs();
            m_clockBegan = nowMs() - 1000;
            m_fence = 0;
            m_leaseEnd = 0;
            m_lastEnd = 0;
            m_nextBeat = nowMs() + registerAfterMs;
            m_beats = 0;
            record("executor %s boots (kind %s)", m_description.id.c_str(), m_description.kind.c_str());
        }
        server.start();
    }

    /** @brief The description of the next boot. Only while it is down. */
    void describe(Description description)
    {
        const std::lock_guard lock(m_mutex);
        m_description = std::move(description);
    }
    Description description()
    {
        const std::lock_guard lock(m_mutex);
        return m_description;
    }

    bool runs(const std::string& task)
    {
        const std::lock_guard lock(m_mutex);
        return m_runs.count(task) > 0;
    }
    std::size_t count()
    {
        const std::lock_guard lock(m_mutex);
        return m_runs.size();
    }
    /** @brief Ends a run as failed through its own fault. */
    void failRun(const std::string& task)
    {
        const std::lock_guard lock(m_mutex);
        if (m_runs.count(task) > 0)
            end(task, "failed");
    }
    std::string id()
    {
        const std::lock_guard lock(m_mutex);
        return m_description.id;
    }

    /** @brief Tail in milliseconds that a serving task reports; by default 1. */
    std::function<double(const std::string& task)> tail;

    Server server;

private:
    struct Run {
        std::int64_t number = 0;
        std::string spec;
        double doneMs = 0; ///< work done, including what the checkpoint had
        std::int64_t savedMs = 0;
        std::int64_t restoreUntil = 0;
        std::int64_t began = 0;
        int pace = 100;
        std::int64_t stopAt = 0;
    };

    std::int64_t clockMs() const { return nowMs() - m_clockBegan; }

    static std::string checkpoint(const std::string& task, std::int64_t ms)
    {
        if (ms == 0)
            return "";
        char buf[32];
        std::snprintf(buf, sizeof buf, "%08llx", static_cast<unsigned long long>(ms));
        return buf + task.substr(4, 8);
    }

    void end(const std::string& task, const char* how)
    {
        const auto it = m_runs.find(task);
        Run& run = it->second;
        m_ends.push_back({ ++m_lastEnd, task, run.number, how, checkpoint(task, run.savedMs) });
        auto& highest = m_highest[task];
        highest = std::max(highest, run.number);
        record("executor %s: %s run %lld ends %s", m_description.id.c_str(), task.c_str(),
            static_cast<long long>(run.number), how);
        m_observer.ended(m_description.id, task, run.number, how);
        m_runs.erase(it);
        m_changed.notify_all();
    }

    void advance()
    {
        std::string entry;
        std::string gone;
        {
            const std::lock_guard lock(m_mutex);
            const std::int64_t now = nowMs();
            const double passed = static_cast<double>(now - std::exchange(m_advancedAt, now));
            if (!m_up) {
                // The platform removes the entry after three intervals of silence.
                if (now - m_downSince > 3 * m_bounds.heartbeatMs && m_registered) {
                    m_registered = false;
                    gone = "servers/" + m_description.id;
                }
            } else {
                std::vector<std::pair<std::string, const char*>> ends;
                const bool lapsed = !m_runs.empty() && clockMs() > m_leaseEnd;
                for (auto& [task, run] : m_runs) {
                    const std::int64_t work = workOf(run.spec);
                    if (lapsed)
                        ends.emplace_back(task, "lapsed");
                    else if (run.stopAt != 0 && now >= run.stopAt) {
                        run.savedMs = static_cast<std::int64_t>(run.doneMs);
                        ends.emplace_back(task, "stopped");
                    } else if (now >= run.restoreUntil && run.stopAt == 0) {
                        run.doneMs += passed * run.pace / 100;
                        run.savedMs
                            = static_cast<std::int64_t>(run.doneMs) / m_bounds.checkpointMs * m_bounds.checkpointMs;
                        if (work > 0 && run.doneMs >= static_cast<double>(work))
                            ends.emplace_back(task, "done");
                    }
                }
                for (const auto& [task, how] : ends)
                    end(task, how);
                if (now >= m_nextBeat) {
                    m_nextBeat = now + m_bounds.heartbeatMs;
                    m_registered = true;
                    entry = "{\"service\":" + quote(m_description.service) + ",\"addr\":" + quote(server.address())
                        + ",\"zone\":" + quote(m_description.zone)
                        + ",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":"
                        + std::to_string(++m_beats) + ",\"capacity\":{\"cpu\":" + std::to_string(m_description.cpu)
                        + ",\"memMb\":" + std::to_string(m_description.memMb) + ",\"gpu\":0},\"labels\":["
                        + quote(m_description.kind) + "," + quote(m_description.rack)
                        + "],\"born\":" + std::to_string(m_bornUnixMs) + "}";
                }
            }
        }
        if (!entry.empty())
            m_store.put("servers/" + id(), entry);
        if (!gone.empty())
            m_store.erase(gone);
    }

    Response refuse(const char* reason) const
    {
        return { 409, "{\"clockMs\":" + std::to_string(clockMs()) + ",\"reason\":\"" + reason + "\"}" };
    }

    void extendLease(std::int64_t deadline)
    {
        m_leaseEnd = std::max(m_leaseEnd, std::min(deadline, clockMs() + m_bounds.maxHoldMs));
    }

    Response handle(const Request& request)
    {
        rapidjson::Document body;
        body.Parse(request.body.c_str());
        std::unique_lock lock(m_mutex);
        const auto expected = request.headers.find("x-expect-instance");
        if (expected != request.headers.end() && expected->second != m_description.id)
            return { 421, "{}" };
        if (!body.IsObject())
            return { 400, "{}" };
        const std::int64_t fence = integer(body, "fenceToken");
        if (fence < m_fence)
            return refuse("fence");
        m_fence = fence;
        const std::string ok = "{\"clockMs\":" + std::to_string(clockMs()) + "}";
        if (request.path == "/v1/run-start") {
            const std::string task = text(body, "task");
            const std::int64_t run = integer(body, "run");
            const std::int64_t deadline = integer(body, "deadlineMs");
            if (const auto it = m_runs.find(task); it != m_runs.end() && it->second.number == run)
                return { 200, ok };
            if (deadline <= clockMs())
                return refuse("late");
            extendLease(deadline);
            if (run <= m_highest[task] || (m_runs.count(task) > 0 && run < m_runs[task].number))
                return refuse("old");
            Run& added = m_runs[task];
            added = {};
            added.number = run;
            added.spec = text(body, "spec");
            const std::string saved = text(body, "checkpoint");
            added.began = nowMs();
            if (!saved.empty()) {
                added.doneMs = static_cast<double>(std::stoll(saved.substr(0, 8), nullptr, 16));
                added.savedMs = static_cast<std::int64_t>(added.doneMs);
                added.restoreUntil = nowMs() + m_bounds.restoreMs;
            }
            record("executor %s (kind %s): starts %s run %lld fence %lld%s%s", m_description.id.c_str(),
                m_description.kind.c_str(), task.c_str(), static_cast<long long>(run), static_cast<long long>(fence),
                saved.empty() ? "" : " from ", saved.c_str());
            m_observer.started(m_description.id, task, run);
            return { 200, ok };
        }
        if (request.path == "/v1/run-stop") {
            const std::string task = text(body, "task");
            const std::int64_t run = integer(body, "run");
            auto& highest = m_highest[task];
            highest = std::max(highest, run);
            if (const auto it = m_runs.find(task);
                it != m_runs.end() && it->second.number <= run && it->second.stopAt == 0)
                it->second.stopAt = nowMs() + m_bounds.stopMs;
            return { 200, ok };
        }
        if (request.path == "/v1/pace") {
            const auto it = m_runs.find(text(body, "task"));
            if (it != m_runs.end() && it->second.number == integer(body, "run")) {
                it->second.pace = static_cast<int>(integer(body, "percent"));
                record("executor %s: %s paced to %d %%", m_description.id.c_str(), it->first.c_str(), it->second.pace);
            }
            return { 200, ok };
        }
        if (request.path != "/v1/hold")
            return { 404, "{}" };
        const std::int64_t seen = integer(body, "lastSeen");
        std::erase_if(m_ends, [seen](const End& it) { return it.number <= seen; });
        if (const std::int64_t deadline = integer(body, "deadlineMs"); deadline > 0)
            extendLease(deadline);
        const auto until
            = Clock::now() + std::chrono::milliseconds(std::min<std::int64_t>(2000, integer(body, "waitMs")));
        const int boot = m_boot;
        m_changed.wait_until(lock, until, [this, boot] { return !m_ends.empty() || boot != m_boot || m_stopped; });
        if (boot != m_boot)
            return { 0, "", true };
        std::string running;
        for (const auto& [task, run] : m_runs) {
            const std::int64_t work = workOf(run.spec);
            const int percent = work == 0
                ? (nowMs() - run.began > 300 ? 100 : 0)
                : std::min(100, static_cast<int>(run.doneMs * 100 / static_cast<double>(work)));
            const double usage = tail ? tail(task) : 1;
            running += (running.empty() ? "[" : ",[") + quote(task) + "," + std::to_string(run.number) + ","
                + quote(checkpoint(task, run.savedMs)) + "," + std::to_string(percent) + "," + std::to_string(usage)
                + "]";
        }
        std::string finished;
        for (const auto& it : m_ends)
            finished += (finished.empty() ? "[" : ",[") + std::to_string(it.number) + "," + quote(it.task) + ","
                + std::to_string(it.run) + "," + quote(it.how) + "," + quote(it.saved) + "]";
        return { 200,
            "{\"clockMs\":" + std::to_string(clockMs()) + ",\"born\":" + std::to_string(m_bornUnixMs)
                + ",\"runningTasks\":[" + running + "],\"finished\":[" + finished + "]}" };
    }

    struct End {
        std::int64_t number = 0;
        std::string task;
        std::int64_t run = 0;
        std::string how;
        std::string saved;
    };

    Store& m_store;
    Observer& m_observer;
    Description m_description;
    Bounds m_bounds;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_up = false;
    bool m_registered = false;
    int m_boot = 0;
    std::int64_t m_bornUnixMs = 0;
    std::int64_t m_clockBegan = 0;
    std::int64_t m_downSince = 0;
    std::int64_t m_advancedAt = 0;
    std::int64_t m_nextBeat = 0;
    std::int64_t m_beats = 0;
    std::int64_t m_fence = 0;
    std::int64_t m_leaseEnd = 0;
    std::int64_t m_lastEnd = 0;
    std::map<std::string, Run> m_runs;
    std::map<std::string, std::int64_t> m_highest; ///< run that ended or was stopped, by task
    std::vector<End> m_ends;
    std::atomic<bool> m_stopped { false };
    std::thread m_thread;
};

} // namespace sim
