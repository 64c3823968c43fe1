// Stand-ins of executors (PROTOCOL, "Running tasks"). A task's work is written in the spec of its submission.

#include "Executors.h"

#include <rapidjson/document.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <thread>

namespace standins {

class Body {
public:
    explicit Body(const std::string& text) { m_document.Parse(text.c_str()); }

    bool isValid() const { return m_document.IsObject(); }
    bool has(const char* name) const { return m_document.HasMember(name); }
    std::int64_t number(const char* name) const
    {
        return has(name) && m_document[name].IsInt64() ? m_document[name].GetInt64() : 0;
    }
    std::string text(const char* name) const
    {
        return has(name) && m_document[name].IsString() ? m_document[name].GetString() : "";
    }

private:
    rapidjson::Document m_document;
};

Record::Record(const std::string& file)
    : m_file(std::fopen(file.c_str(), "w"))
{
}

Record::~Record() { std::fclose(static_cast<std::FILE*>(m_file)); }

void Record::line(const std::string& text)
{
    const std::lock_guard lock(m_mutex);
    auto* file = static_cast<std::FILE*>(m_file);
    std::fprintf(file, "%9.3f  %s\n", static_cast<double>(steadyMs() - m_beginMs) / 1000, text.c_str());
    std::fflush(file);
}

std::string encodeWork(const Work& work)
{
    return "work " + std::to_string(work.taskMs) + " " + std::to_string(work.gang);
}

namespace {

    Work decodeWork(const std::string& spec)
    {
        Work work;
        std::sscanf(spec.c_str(), "work %d %d", &work.taskMs, &work.gang);
        return work;
    }

    std::string groupOf(const std::string& task, std::uint64_t run)
    {
        return task.substr(0, task.rfind('.')) + "/" + std::to_string(run);
    }

    Response answer(int status, std::int64_t clockMs, std::int64_t born, const std::string& more = {})
    {
        return { status, "{\"clockMs\":" + std::to_string(clockMs) + ",\"born\":" + std::to_string(born) + more + "}",
            {} };
    }

} // namespace

Executors::Executors(Store& store, Record& record, std::string service, int count, const Bounds& bounds)
    : m_store(store)
    , m_record(record)
    , m_service(std::move(service))
    , m_bounds(bounds)
{
    for (int i = 0; i < count; ++i) {
        Executor& it = m_all.emplace_back();
        it.id = "i-" + std::to_string(4000 + i);
        it.server = std::make_unique<Server>([this, i](const Request& request) { return handle(i, request); });
        it.bornUnixMs = unixMs();
        it.bornMs = steadyMs();
    }
}

bool Executors::open()
{
    for (auto& it : m_all) {
        if (!it.server->listenOn("127.0.0.1"))
            return false;
    }
    std::thread([this] {
        while (true) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
            tick();
        }
    }).detach();
    return true;
}

void Executors::setCut(int executor, bool isCut)
{
    m_record.line(m_all[static_cast<std::size_t>(executor)].id + (isCut ? " is cut off" : " is back"));
    const std::lock_guard lock(m_mutex);
    m_all[static_cast<std::size_t>(executor)].cut = isCut;
    m_changed.notify_all();
}

void Executors::crash(int executor)
{
    Executor& it = m_all[static_cast<std::size_t>(executor)];
    {
        const std::lock_guard lock(m_mutex);
        std::string tasks;
        for (const auto& [task, run] : it.runs)
            tasks += " " + task + "/" + std::to_string(run.run);
        m_record.line(it.id + " crashes with" + tasks);
        it.up = false;
        it.runs.clear();
        it.closedRuns.clear();
        it.ended.clear();
        it.fence = 0;
        it.deadlineMs = 0;
        it.nextEnd = 1;
        m_changed.notify_all();
    }
    it.server->close();
}

void Executors::restart(int executor)
{
    Executor& it = m_all[static_cast<std::size_t>(executor)];
    {
        const std::lock_guard lock(m_mutex);
        it.bornUnixMs = unixMs();
        it.bornMs = steadyMs();
        it.seq = 0;
        it.nextBeatMs = 0;
        it.up = true;
    }
    it.server->listenOn("127.0.0.1");
    m_record.line(it.id + " starts again");
}

bool Executors::isUp(int executor)
{
    const std::lock_guard lock(m_mutex);
    return m_all[static_cast<std::size_t>(executor)].up;
}

std::vector<Executors::Seen> Executors::atWork(const std::string& prefix)
{
    const std::lock_guard lock(m_mutex);
    std::vector<Seen> result;
    for (int i = 0; i < count(); ++i) {
        for (const auto& [task, run] : m_all[static_cast<std::size_t>(i)].runs) {
            if (task.starts_with(prefix) && run.workFromMs != 0)
                result.push_back({ task, run.run, i });
        }
    }
    return result;
}

int Executors::starts(const std::string& prefix)
{
    const std::lock_guard lock(m_mutex);
    int result = 0;
    for (auto it = m_starts.lower_bound(prefix); it != m_starts.end() && it->first.starts_with(prefix); ++it)
        result += it->second;
    return result;
}

int Executors::ends(const std::string& prefix, const std::string& how)
{
    const std::lock_guard lock(m_mutex);
    int result = 0;
    for (const auto& [key, n] : m_ends)
        result += key.first.starts_with(prefix) && key.second == how ? n : 0;
    return result;
}

std::optional<Response> Executors::handle(int executor, const Request& request)
{
    std::unique_lock lock(m_mutex);
    Executor& it = m_all[static_cast<std::size_t>(executor)];
    const std::int64_t born = it.bornMs;
    if (!it.up || it.cut)
        return std::nullopt;
    const std::int64_t clock = steadyMs() - it.bornMs;
    const auto expected = request.headers.find("x-expect-instance");
    if (expected != request.headers.end() && expected->second != it.id)
        return answer(421, clock, it.bornUnixMs);
    const Body body(request.body);
    if (!body.isValid())
        return answer(400, clock, it.bornUnixMs);
    const auto fence = static_cast<std::uint64_t>(body.number("fenceToken"));
    if (fence < it.fence)
        return answer(409, clock, it.bornUnixMs, ",\"reason\":\"fence\"");
    it.fence = fence;
    std::optional<Response> response;
    if (request.target == "/v1/run-start")
        response = start(it, body);
    else if (request.target == "/v1/run-stop")
        response = stop(it, body);
    else if (request.target == "/v1/hold")
        response = hold(it, body, lock);
    else if (request.target == "/v1/pace")
        response = answer(200, clock, it.bornUnixMs);
    else
        response = answer(404, clock, it.bornUnixMs);
    if (!it.up || it.cut || it.bornMs != born)
        return std::nullopt;
    return response;
}

Response Executors::start(Executor& it, const Body& body)
{
    const std::int64_t clock = steadyMs() - it.bornMs;
    const std::string task = body.text("task");
    const auto run = static_cast<std::uint64_t>(body.number("run"));
    const auto refuse = [&](const char* reason) {
        m_record.line(it.id + " refuses " + task + "/" + std::to_string(run) + ": " + reason);
        return answer(409, clock, it.bornUnixMs, std::string(",\"reason\":\"") + reason + "\"");
    };
    if (body.number("deadlineMs") <= clock)
        return refuse("late");
    it.deadlineMs = std::max(it.deadlineMs, std::min(body.number("deadlineMs"), clock + m_bounds.maxHoldMs));
    const auto present = it.runs.find(task);
    if (present != it.runs.end() && present->second.run == run)
        return answer(200, clock, it.bornUnixMs);
    const auto closed = it.closedRuns.find(task);
    if (present != it.runs.end() || (closed != it.closedRuns.end() && run <= closed->second))
        return refuse("old");
    const Work work = decodeWork(body.text("spec"));
    const std::int64_t now = steadyMs();
    it.runs[task] = { run, work, now, work.gang > 0 ? 0 : now, 0 };
    ++m_starts[task];
    m_record.line(it.id + " starts " + task + "/" + std::to_string(run));
    return answer(200, clock, it.bornUnixMs);
}

Response Executors::stop(Executor& it, const Body& body)
{
    const std::string task = body.text("task");
    const auto run = static_cast<std::uint64_t>(body.number("run"));
    it.closedRuns[task] = std::max(it.closedRuns[task], run);
    const auto present = it.runs.find(task);
    if (present != it.runs.end() && present->second.run <= run && present->second.stopAtMs == 0)
        present->second.stopAtMs = steadyMs() + m_bounds.stopMs;
    m_record.line(it.id + " is told to stop " + task + "/" + std::to_string(run));
    return answer(200, steadyMs() - it.bornMs, it.bornUnixMs);
}

std::optional<Response> Executors::hold(Executor& it, const Body& body, std::unique_lock<std::mutex>& lock)
{
    const std::int64_t born = it.bornMs;
    const std::int64_t clock = steadyMs() - it.bornMs;
    if (body.number("deadlineMs") > 0)
        it.deadlineMs = std::max(it.deadlineMs, std::min(body.number("deadlineMs"), clock + m_bounds.maxHoldMs));
    const auto lastSeen = static_cast<std::uint64_t>(body.number("lastSeen"));
    while (!it.ended.empty() && it.ended.front().number <= lastSeen)
        it.ended.pop_front();
    const std::int64_t end = steadyMs() + std::min<std::int64_t>(body.number("waitMs"), 2000);
    while (it.ended.empty() && steadyMs() < end) {
        m_changed.wait_for(lock, std::chrono::milliseconds(std::max<std::int64_t>(1, end - steadyMs())));
        if (!it.up || it.cut || it.bornMs != born)
            return std::nullopt;
    }
    return answer(200, steadyMs() - it.bornMs, it.bornUnixMs, lists(it));
}

std::string Executors::lists(Executor& it) const
{
    std::string running;
    for (const auto& [task, run] : it.runs) {
        const std::int64_t worked = run.workFromMs == 0 ? 0 : steadyMs() - run.workFromMs;
        const std::int64_t percent
            = run.work.taskMs == 0 ? 0 : std::min<std::int64_t>(99, worked * 100 / run.work.taskMs);
        running += std::string(running.empty() ? "" : ",") + "[\"" + task + "\"," + std::to_string(run.run) + ",\"\","
            + std::to_string(percent) + ",1]";
    }
    std::string finished;
    for (std::size_t i = 0; i < it.ended.size() && i < 500; ++i) {
        const Ended& ended = it.ended[i];
        finished += std::string(finished.empty() ? "" : ",") + "[" + std::to_string(ended.number) + ",\"" + ended.task
            + "\"," + std::to_string(ended.run) + ",\"" + ended.how + "\",\"\"]";
    }
    return ",\"runningTasks\":[" + running + "],\"finished\":[" + finished + "]";
}

void Executors::end(Executor& it, const std::string& task, const std::string& how)
{
    const Run run = it.runs.at(task);
    it.runs.erase(task);
    it.closedRuns[task] = std::max(it.closedRuns[task], run.run);
    it.ended.push_back({ it.nextEnd++, task, run.run, how });
    ++m_ends[{ task, how }];
    m_record.line(it.id + " ends " + task + "/" + std::to_string(run.run) + ": " + how);
    m_changed.notify_all();
    if (run.work.gang == 0 || how == "done")
        return;
    const std::string group = groupOf(task, run.run);
    for (auto& other : m_all) {
        std::vector<std::string> members;
        for (const auto& [name, member] : other.runs) {
            if (groupOf(name, member.run) == group)
                members.push_back(name);
        }
        for (const auto& name : members) {
            if (other.runs.contains(name))
                end(other, name, "broken");
        }
    }
}

void Executors::tickGangs(std::int64_t now)
{
    std::map<std::string, std::vector<std::pair<Executor*, std::string>>> groups;
    for (auto& it : m_all) {
        for (auto& [task, run] : it.runs) {
            if (it.up && run.work.gang > 0)
                groups[groupOf(task, run.run)].emplace_back(&it, task);
        }
    }
    for (const auto& [group, members] : groups) {
        const Run& first = members.front().first->runs.at(members.front().second);
        const bool complete = static_cast<int>(members.size()) == first.work.gang;
        if (complete && first.workFromMs == 0) {
            for (const auto& [executor, task] : members)
                executor->runs.at(task).workFromMs = now;
            m_record.line("gang " + group + " is at work");
        } else if (complete && now >= first.workFromMs + first.work.taskMs) {
            for (const auto& [executor, task] : members)
                end(*executor, task, "done");
        } else if (first.workFromMs == 0 && now > first.startMs + m_bounds.gangTimeoutMs)
            end(*members.front().first, members.front().second, "alone");
        else if (!complete && first.workFromMs != 0)
            end(*members.front().first, members.front().second, "broken");
    }
}

void Executors::tick()
{
    const std::lock_guard lock(m_mutex);
    const std::int64_t now = steadyMs();
    tickGangs(now);
    int number = 0;
    for (auto& it : m_all) {
        ++number;
        // An entry is removed after three heartbeat intervals of silence.
        if (it.nextBeatMs != 0 && now > it.nextBeatMs + 2 * m_bounds.heartbeatMs)
            m_store.remove("servers/" + it.id);
        if (!it.up)
            continue;
        std::vector<std::pair<std::string, std::string>> over;
        for (const auto& [task, run] : it.runs) {
            if (now - it.bornMs > it.deadlineMs)
                over.emplace_back(task, "lapsed");
            else if (run.stopAtMs != 0 && now >= run.stopAtMs)
                over.emplace_back(task, "stopped");
            else if (run.work.gang == 0 && now >= run.workFromMs + run.work.taskMs)
                over.emplace_back(task, "done");
        }
        for (const auto& [task, how] : over) {
            if (it.runs.contains(task))
                end(it, task, how);
        }
        if (now >= it.nextBeatMs && !it.cut)
            beat(it, number);
    }
}

void Executors::beat(Executor& it, int number)
{
    it.nextBeatMs = steadyMs() + m_bounds.heartbeatMs;
    m_store.put("servers/" + it.id,
        "{\"service\":\"" + m_service + "\",\"addr\":\"127.0.0.1:" + std::to_string(it.server->port())
            + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"capacity\":"
              "{\"cpu\":32000,\"memMb\":131072,\"gpu\":0},\"labels\":[\"a\",\"r1-"
            + std::to_string(number / 6) + "\"],\"clockMs\":" + std::to_string(steadyMs() - it.bornMs)
            + ",\"born\":" + std::to_string(it.bornUnixMs) + ",\"seq\":" + std::to_string(++it.seq) + "}");
}

} // namespace standins
