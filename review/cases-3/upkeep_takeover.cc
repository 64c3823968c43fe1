// The owner is killed while a wave of upkeep is in progress; a step that lasts allows one task to be away.
#include "../standins-3/cloud.h"
#include "../standins-3/system.h"

using namespace sim;

namespace {

constexpr std::size_t tasks = 6; // of the step
constexpr std::size_t mayMiss = 1;
constexpr std::int64_t startupMs = 300; // as the executors report a percent of 100
constexpr std::int64_t noticeMs = 4500;

/** @brief The rule AVAIL for the one step that lasts. */
struct Watch : Observer {
    struct Away {
        std::int64_t since = 0;
        bool byOrder = false;
    };
    std::mutex mutex;
    std::map<std::string, std::int64_t> startedAt;
    std::map<std::string, Away> away;
    int broken = 0;

    static bool isWatched(const std::string& task) { return task.rfind("000000000000000a.", 0) == 0; }
    bool isAtWork(const std::string& task) const
    {
        const auto it = startedAt.find(task);
        return it != startedAt.end() && nowMs() - it->second > startupMs;
    }
    std::size_t countAtWork() const
    {
        return static_cast<std::size_t>(
            std::count_if(startedAt.begin(), startedAt.end(), [this](const auto& it) { return isAtWork(it.first); }));
    }
    void started(const std::string&, const std::string& task, std::int64_t) override
    {
        const std::lock_guard lock(mutex);
        if (isWatched(task))
            startedAt[task] = nowMs();
    }
    void ended(const std::string& executor, const std::string& task, std::int64_t, const std::string& how) override
    {
        const std::lock_guard lock(mutex);
        if (!isWatched(task))
            return;
        const bool byOrder = isAtWork(task) && (how == "stopped" || how == "crash"); // here, all crashes are upkeeps
        startedAt.erase(task);
        const auto others = static_cast<std::size_t>(std::count_if(away.begin(), away.end(), [&](const auto& it) {
            return it.first != task && !isAtWork(it.first)
                && (it.second.byOrder || nowMs() - it.second.since > noticeMs);
        }));
        record("%s, at work on %s, ends %s; %zu others of its step are away", task.c_str(), executor.c_str(),
            how.c_str(), others);
        if (byOrder && others >= mayMiss) {
            ++broken;
            record("broken: AVAIL, mayMiss is %zu", mayMiss);
        }
        away[task] = { nowMs(), byOrder };
    }
};

} // namespace

int main(int, char** argv)
{
    beginCase(argv[1]);
    Folder folder;
    Store store(loopback(100));
    Cloud cloud(loopback(101));
    Watch watch;
    store.put("op/config", configuration(3, watchRoute));
    std::vector<std::unique_ptr<Executor>> executors;
    std::vector<std::string> machines;
    for (int i = 0; i < 8; ++i) {
        machines.push_back("m-" + std::to_string(i));
        executors.push_back(std::make_unique<Executor>(
            loopback(20 + i), store, watch, Executor::Description { .id = "i-" + std::to_string(i) }));
        cloud.add(machines.back(), *executors.back());
    }
    auto entries = startEntries(3, folder, store, cloud.server.address());
    if (entries.empty())
        return notRun;
    sleepMs(3500);
    if (client(*entries[0], "POST", "/watch/000000000000000a",
            R"({"spec":"serve","steps":[{"count":6,"cpu":4000,"memMb":11000,"estRuntimeMs":400,"longRunning":true,)"
            R"("antiAffinity":1,"mayMiss":1}]})")
            .status
        != 200)
        return notRun;
    sleepMs(3000);
    cloud.beginWave(7, machines);
    store.put("op/wave/7",
        R"({"wave":7,"machines":["m-0","m-1","m-2","m-3","m-4","m-5","m-6","m-7"],"durationS":60,"upperLimit":4})");
    record("operator: wave 7 of eight machines, four at a time");
    if (!eventually(10000, [&] { return cloud.mostDown(7) > 0; }))
        return notRun;
    sleepMs(1000);
    if (trouble()) {
        Entry* owner = find(entries, ownerOf(store));
        if (owner == nullptr)
            return notRun;
        owner->kill(SIGKILL);
        sleepMs(500);
        owner->start();
    }
    std::int64_t shortSince = 0;
    std::int64_t longestShort = 0; // with more tasks away than allowed
    std::size_t fewest = tasks;
    const bool completed = eventually(70000, [&] {
        {
            const std::lock_guard lock(watch.mutex);
            const std::size_t n = watch.countAtWork();
            fewest = std::min(fewest, n);
            if (n + mayMiss >= tasks)
                shortSince = 0;
            else if (shortSince == 0)
                shortSince = nowMs();
            if (shortSince != 0)
                longestShort = std::max(longestShort, nowMs() - shortSince);
        }
        const auto state = store.get("status/wave/7");
        return state && state->find("completed") != std::string::npos;
    });
    const std::lock_guard lock(watch.mutex);
    record("fewest tasks at work: %zu of %zu; more than %zu away for %lld ms on end", fewest, tasks, mayMiss,
        static_cast<long long>(longestShort));
    record(
        "wave %s; tasks ended by an order beyond mayMiss: %d", completed ? "completed" : "not completed", watch.broken);
    if (watch.broken > 0)
        return broken;
    return completed ? held : notRun;
}
