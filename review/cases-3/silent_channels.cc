// The open channels to the executors go silent once; new ones work. Lasting tasks are watched on sound executors.
#include "../standins-3/system.h"

using namespace sim;

namespace {

constexpr int serving = 4;
constexpr int mayMiss = 1;
constexpr std::int64_t contactMs = 3000;

struct Watch : Observer {
    std::mutex mutex;
    std::set<std::string> away; ///< lasting tasks whose lease lapsed, until they start again
    int lapsed = 0;
    int broken = 0;
    std::int64_t silentAt = 0;

    static bool lasts(const std::string& task) { return task[15] == 'a'; }
    void started(const std::string&, const std::string& task, std::int64_t) override
    {
        const std::lock_guard lock(mutex);
        away.erase(task);
    }
    void ended(const std::string& executor, const std::string& task, std::int64_t, const std::string& how) override
    {
        const std::lock_guard lock(mutex);
        if (!lasts(task) || how != "lapsed")
            return;
        ++lapsed;
        const std::int64_t since = nowMs() - silentAt;
        const bool near = silentAt != 0 && since < contactMs;
        record("lease of %s on %s lapsed, %lld ms after the disruption; %zu others of its step are away", task.c_str(),
            executor.c_str(), static_cast<long long>(silentAt == 0 ? 0 : since), away.size());
        if (!near && away.size() >= mayMiss)
            ++broken;
        away.insert(task);
    }
};

} // namespace

int main(int, char** argv)
{
    beginCase(argv[1]);
    Folder folder;
    Store store(loopback(100));
    Watch watch;
    store.put("op/config", configuration(3, std::string(batchRoute) + "," + watchRoute));
    std::vector<std::unique_ptr<Executor>> executors;
    for (int i = 0; i < serving; ++i)
        executors.push_back(std::make_unique<Executor>(
            loopback(20 + i), store, watch, Executor::Description { .id = "i-" + std::to_string(i) }));
    auto entries = startEntries(3, folder, store);
    if (entries.empty())
        return notRun;
    sleepMs(1500);
    // One task of the lasting step on each executor, and batch work of several tasks on each from time to time.
    if (client(*entries[1], "POST", "/watch/000000000000000a",
            R"({"spec":"serve","steps":[{"count":4,"cpu":4000,"memMb":11000,"estRuntimeMs":400,"longRunning":true,)"
            R"("antiAffinity":1,"mayMiss":1}]})")
            .status
        != 200)
        return notRun;
    const auto batch = [&](int n) {
        char path[64];
        std::snprintf(path, sizeof path, "/batch/%016x", 0xb0 + n);
        client(*entries[static_cast<std::size_t>(n) % entries.size()], "POST", path,
            R"({"spec":"ms=600","steps":[{"count":24,"cpu":4000,"memMb":4000,"estRuntimeMs":600}]})");
    };
    for (int n = 0; n < 3; ++n) {
        batch(n);
        sleepMs(2000);
    }
    if (trouble()) {
        for (auto& it : executors)
            it->server.silence();
        const std::lock_guard lock(watch.mutex);
        watch.silentAt = nowMs();
        record("all open channels to the executors go silent; new ones work");
    }
    sleepMs(12000);
    const std::lock_guard lock(watch.mutex);
    record("%d leases of lasting tasks lapsed, %d of them beyond mayMiss with no disruption in the %lld ms before",
        watch.lapsed, watch.broken, static_cast<long long>(contactMs));
    if (watch.broken > 0)
        record("broken: AVAIL");
    return watch.broken > 0 ? broken : held;
}
