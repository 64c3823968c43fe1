// Stand-in for an executor: runs tasks that last as long as their `spec` says, for example "ms=800".
#pragma once

#include "Store.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace review {

/** @brief One run of a task, as its executor has seen it. */
struct RunSeen {
    std::string task;
    std::int64_t run = 0;
    std::string executor;
    Clock::time_point begin;
    Clock::time_point end; ///< zero while it runs
    std::string how; ///< how it ended; "crash" if the executor crashed under it
    Clock::time_point noted; ///< when `lastSeen` reached its end; zero before
    std::string checkpoint; ///< that the order carried
};

/** @brief All runs on all executors. */
class Runs {
public:
    explicit Runs(Record& record)
        : m_record(record)
    {
    }

    std::size_t begin(RunSeen run)
    {
        const std::lock_guard lock(m_mutex);
        m_record.line("start  " + run.task + " run " + std::to_string(run.run) + " on " + run.executor
            + (run.checkpoint.empty() ? std::string() : " from " + run.checkpoint));
        m_runs.push_back(std::move(run));
        return m_runs.size() - 1;
    }
    void end(std::size_t n, const std::string& how)
    {
        const std::lock_guard lock(m_mutex);
        RunSeen& run = m_runs[n];
        run.end = Clock::now();
        run.how = how;
        m_record.line("end    " + run.task + " run " + std::to_string(run.run) + " on " + run.executor + ": " + how);
    }
    void note(std::size_t n)
    {
        const std::lock_guard lock(m_mutex);
        m_runs[n].noted = Clock::now();
        m_record.line("noted  " + m_runs[n].task + " run " + std::to_string(m_runs[n].run));
    }
    std::vector<RunSeen> all() const
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

private:
    mutable std::mutex m_mutex;
    Record& m_record;
    std::vector<RunSeen> m_runs;
};

struct ExecutorSettings {
    std::string host;
    std::string service;
    std::string zone = "cartago";
    std::string machine;
    std::string rack = "r1-1";
    std::int64_t cpu = 32000;
    std::int64_t memMb = 131072;
    std::int64_t maxHoldMs = 10000;
    std::int64_t stopMs = 50;
    std::int64_t checkpointMs = 500;
};

/** @brief The lives of one machine: after a crash it boots again, at the same address. */
class Executor {
public:
    Executor(ExecutorSettings settings, Store& store, Runs& runs, Record& record)
        : m_settings(std::move(settings))
        , m_store(store)
        , m_runs(runs)
        , m_record(record)
        , m_server(m_settings.host, [this](const Request& request) { return handle(request); })
        , m_clock([this] { tick(); })
    {
    }
    ~Executor()
    {
        m_stopped = true;
        m_clock.join();
        m_server.down();
        while (m_late > 0)
            std::this_thread::sleep_for(Milliseconds(1));
    }
    Executor(const Executor&) = delete;
    Executor& operator=(const Executor&) = delete;

    /** @param id of this life; may be that of the life before. @param publishes whether its entry is written at once.
     */
    void boot(const std::string& id, bool publishes = true)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_id = id;
            m_bornUnixMs
                = std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
            m_boot = Clock::now();
            m_fence = 0;
            m_leaseMs = 0;
            m_runningTasks.clear();
            m_highest.clear();
            m_ends.clear();
            m_lastEnd = 0;
            m_up = true;
        }
        m_server.up();
        m_record.line("boot   " + id + " at " + m_server.address());
        if (publishes)
            publish("ready");
    }
    /** @brief Kills everything that runs here. The entry stays in the store until unregister(). */
    void crash()
    {
        endLife("crash  ");
        m_server.down();
    }
    /** @brief As crash(), but nobody hears of it: open connections fall silent. */
    void losePower()
    {
        m_server.losePower(); // first, so that no connection ends with the calls in progress
        endLife("dark   ");
    }
    void unregister() { m_store.remove("servers/" + m_id); }
    void publish(const std::string& state)
    {
        m_store.put("servers/" + m_id,
            "{\"service\":" + quoted(m_settings.service) + ",\"addr\":" + quoted(m_server.address())
                + ",\"zone\":" + quoted(m_settings.zone) + ",\"version\":\"v1\",\"slots\":8,\"state\":" + quoted(state)
                + ",\"coldLeftMs\":0,\"capacity\":{\"cpu\":" + std::to_string(m_settings.cpu)
                + ",\"memMb\":" + std::to_string(m_settings.memMb) + ",\"gpu\":0},\"labels\":[\"a\","
                + quoted(m_settings.rack) + "],\"clockMs\":" + std::to_string(clockMs())
                + ",\"born\":" + std::to_string(m_bornUnixMs) + ",\"seq\":" + std::to_string(++m_sequence) + "}");
    }

    std::string id() const { return m_id; }
    const ExecutorSettings& settings() const { return m_settings; }
    std::size_t running() const
    {
        const std::lock_guard lock(m_mutex);
        return m_runningTasks.size();
    }
    /** @brief Called before each call is carried out, without a lock. A response that it returns is sent instead. */
    std::function<std::optional<Response>(const Request&)> filter;
    /** @brief Carries a call out later; its response is lost. */
    void carryOutLater(const Request& request, Milliseconds delay)
    {
        ++m_late;
        std::thread([this, request, delay] {
            for (auto left = delay; left > Milliseconds(0) && !m_stopped; left -= Milliseconds(10))
                std::this_thread::sleep_for(Milliseconds(10));
            if (!m_stopped) {
                m_record.line("late   " + request.path + " " + request.body);
                (void)carryOut(request);
            }
            --m_late;
        }).detach();
    }
    /** @brief Called after each call is carried out; may lose the response. */
    std::function<bool(const Request&)> losesResponse;

private:
    void endLife(const std::string& what)
    {
        const std::lock_guard lock(m_mutex);
        m_up = false;
        m_record.line(what + m_id);
        for (const auto& [task, run] : m_runningTasks)
            m_runs.end(run.seen, "crash");
        m_runningTasks.clear();
        m_changed.notify_all();
    }

    struct Running {
        std::int64_t run = 0;
        Clock::time_point begin;
        std::int64_t lengthMs = 0; ///< 0: until stopped
        std::size_t seen = 0;
        std::string spec;
        Clock::time_point stopAt; ///< zero unless a stop was ordered
    };
    struct End {
        std::int64_t number = 0;
        std::string task;
        std::int64_t run = 0;
        std::string how;
        std::string saved;
        std::size_t seen = 0;
    };

    std::int64_t clockMs() const
    {
        return 1000 + std::chrono::duration_cast<Milliseconds>(Clock::now() - m_boot).count();
    }

    static std::int64_t lengthOf(const std::string& spec)
    {
        const auto at = spec.find("ms=");
        return at == std::string::npos ? 0 : std::atoll(spec.c_str() + at + 3);
    }

    std::string savedOf(const std::string& task, const Running& run) const
    {
        if (run.spec.find("saves") == std::string::npos)
            return {};
        const auto ms = std::chrono::duration_cast<Milliseconds>(Clock::now() - run.begin).count();
        const auto steps = ms / m_settings.checkpointMs;
        return steps == 0 ? std::string() : task + "@" + std::to_string(steps);
    }

    // Ends what is over. Must be called with the lock held.
    void advance()
    {
        const auto now = Clock::now();
        const bool lapsed = clockMs() >= m_leaseMs;
        std::vector<std::pair<std::string, std::string>> over;
        for (const auto& [task, run] : m_runningTasks) {
            if (run.stopAt != Clock::time_point() && now >= run.stopAt)
                over.emplace_back(task, "stopped");
            else if (run.lengthMs > 0 && now - run.begin >= Milliseconds(run.lengthMs))
                over.emplace_back(task, run.spec.find("fails") == std::string::npos ? "done" : "failed");
            else if (lapsed)
                over.emplace_back(task, "lapsed");
        }
        for (const auto& [task, how] : over)
            end(task, how);
    }

    void end(const std::string& task, const std::string& how)
    {
        const auto node = m_runningTasks.extract(task);
        const Running& run = node.mapped();
        m_ends.push_back(
            { ++m_lastEnd, task, run.run, how, how == "done" ? std::string() : savedOf(task, run), run.seen });
        m_highest[task] = std::max(m_highest[task], run.run);
        m_runs.end(run.seen, how);
        m_changed.notify_all();
    }

    void tick()
    {
        while (!m_stopped) {
            std::this_thread::sleep_for(Milliseconds(2));
            const std::lock_guard lock(m_mutex);
            if (m_up)
                advance();
        }
    }

    Response refusal(const char* reason) const
    {
        return { 409, "{\"clockMs\":" + std::to_string(clockMs()) + ",\"reason\":\"" + reason + "\"}" };
    }
    Response accepted() const { return { 200, "{\"clockMs\":" + std::to_string(clockMs()) + "}" }; }

    Response handle(const Request& request)
    {
        if (filter) {
            if (const auto instead = filter(request))
                return *instead;
        }
        Response response = carryOut(request);
        if (losesResponse && losesResponse(request))
            response.lost = true;
        return response;
    }

    Response carryOut(const Request& request)
    {
        std::unique_lock lock(m_mutex);
        if (!m_up)
            return { .status = 503, .body = "", .lost = true };
        if (request.path == "/health")
            return { 200, "{}" };
        const auto expected = request.headers.find("x-expect-instance");
        if (expected != request.headers.end() && expected->second != m_id)
            return { 421, "{}" };
        advance();
        const auto body = parse(request.body);
        const std::int64_t fence = number(body, "fenceToken");
        if (fence < m_fence)
            return refusal("fence");
        m_fence = fence;
        if (request.path == "/v1/run-start")
            return start(body);
        if (request.path == "/v1/run-stop") {
            const std::string task = text(body, "task");
            const std::int64_t run = number(body, "run");
            const auto it = m_runningTasks.find(task);
            if (it != m_runningTasks.end() && it->second.run <= run) {
                if (it->second.stopAt == Clock::time_point())
                    it->second.stopAt = Clock::now() + Milliseconds(m_settings.stopMs);
            }
            m_highest[task] = std::max(m_highest[task], run);
            return accepted();
        }
        if (request.path == "/v1/pace")
            return accepted();
        if (request.path == "/v1/hold")
            return hold(body, lock);
        return { 400, "{}" };
    }

    void extendLease(const rapidjson::Value& body)
    {
        const std::int64_t until = number(body, "deadlineMs");
        m_leaseMs = std::max(m_leaseMs, std::min(until, clockMs() + m_settings.maxHoldMs));
    }

    Response start(const rapidjson::Value& body)
    {
        const std::string task = text(body, "task");
        const std::int64_t run = number(body, "run");
        if (number(body, "deadlineMs") <= clockMs())
            return refusal("late");
        extendLease(body);
        const auto it = m_runningTasks.find(task);
        if (it != m_runningTasks.end() && it->second.run == run)
            return accepted();
        const auto highest = m_highest.find(task);
        if ((highest != m_highest.end() && run <= highest->second)
            || (it != m_runningTasks.end() && it->second.run > run))
            return refusal("old");
        Running added { .run = run,
            .begin = Clock::now(),
            .lengthMs = lengthOf(text(body, "spec")),
            .seen = 0,
            .spec = text(body, "spec"),
            .stopAt = {} };
        added.seen = m_runs.begin({ task, run, m_id, added.begin, {}, {}, {}, text(body, "checkpoint") });
        m_runningTasks[task] = added;
        return accepted();
    }

    Response hold(const rapidjson::Value& body, std::unique_lock<std::mutex>& lock)
    {
        extendLease(body);
        const std::int64_t seen = number(body, "lastSeen");
        while (!m_ends.empty() && m_ends.front().number <= seen) {
            m_runs.note(m_ends.front().seen);
            m_ends.pop_front();
        }
        const auto deadline = Clock::now() + Milliseconds(std::min<std::int64_t>(number(body, "waitMs"), 2000));
        const auto boot = m_boot;
        while (m_up && boot == m_boot && m_ends.empty() && Clock::now() < deadline)
            m_changed.wait_until(lock, deadline);
        if (!m_up || boot != m_boot)
            return { .status = 503, .body = "", .lost = true };
        rapidjson::StringBuffer buf;
        Writer out(buf);
        out.StartObject();
        out.Key("clockMs");
        out.Int64(clockMs());
        out.Key("born");
        out.Int64(m_bornUnixMs);
        out.Key("runningTasks");
        out.StartArray();
        for (const auto& [task, run] : m_runningTasks) {
            const auto ms = std::chrono::duration_cast<Milliseconds>(Clock::now() - run.begin).count();
            out.StartArray();
            out.String(task.c_str());
            out.Int64(run.run);
            out.String(savedOf(task, run).c_str());
            out.Int64(run.lengthMs > 0 ? std::min<std::int64_t>(99, ms * 100 / run.lengthMs) : 100);
            out.Int64(1000);
            out.EndArray();
        }
        out.EndArray();
        out.Key("finished");
        out.StartArray();
        std::size_t n = 0;
        for (const auto& end : m_ends) {
            if (++n > 500)
                break;
            out.StartArray();
            out.Int64(end.number);
            out.String(end.task.c_str());
            out.Int64(end.run);
            out.String(end.how.c_str());
            out.String(end.saved.c_str());
            out.EndArray();
        }
        out.EndArray();
        out.EndObject();
        return { 200, buf.GetString() };
    }

    ExecutorSettings m_settings;
    Store& m_store;
    Runs& m_runs;
    Record& m_record;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::string m_id;
    std::int64_t m_bornUnixMs = 0;
    Clock::time_point m_boot;
    std::int64_t m_fence = 0;
    std::int64_t m_leaseMs = 0;
    std::map<std::string, Running> m_runningTasks;
    std::map<std::string, std::int64_t> m_highest; ///< of the runs that have ended or were stopped, by task
    std::deque<End> m_ends;
    std::int64_t m_lastEnd = 0;
    std::int64_t m_sequence = 0;
    bool m_up = false;
    std::atomic<bool> m_stopped { false };
    std::atomic<int> m_late { 0 };
    Server m_server;
    std::thread m_clock;
};

} // namespace review
