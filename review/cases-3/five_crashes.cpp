// Executors crash one after the other, each while it runs the same batch task, which saves its progress.
#include "../standins-3/system.h"

using namespace sim;

namespace {

struct Watch : Observer {
    std::atomic<int> failedEnds { 0 };
    void ended(const std::string&, const std::string&, std::int64_t, const std::string& how) override
    {
        failedEnds += how == "failed" ? 1 : 0;
    }
};

} // namespace

int main(int, char** argv)
{
    beginCase(argv[1]);
    Folder folder;
    Store store(loopback(100));
    Watch watch;
    store.put("op/config", configuration(3, batchRoute));
    std::vector<std::unique_ptr<Executor>> executors;
    for (int i = 0; i < 8; ++i)
        executors.push_back(std::make_unique<Executor>(
            loopback(20 + i), store, watch, Executor::Description { .id = "i-" + std::to_string(i) }));
    auto entries = startEntries(3, folder, store);
    if (entries.empty())
        return notRun;
    sleepMs(1500);
    const std::string path = "/batch/00000000000000b1";
    const std::string task = "00000000000000b1.0.0.0";
    const char* spec = R"({"spec":"ms=24000","steps":[{"count":1,"cpu":5500,"memMb":11000,"estRuntimeMs":24000,)"
                       R"("checkpointing":true}]})";
    if (client(*entries[1], "POST", path, spec).status != 200)
        return notRun;
    constexpr int maxCrashes = 5;
    constexpr std::int64_t crashAfterMs = 3000; // of the run
    constexpr std::int64_t downMs = 2000;
    int crashes = 0;
    std::string state;
    std::int64_t runSince = 0;
    Executor* down = nullptr;
    std::int64_t bootAt = 0;
    for (const std::int64_t end = nowMs() + 80000; nowMs() < end; sleepMs(50)) {
        if (down != nullptr && nowMs() >= bootAt) {
            auto next = down->description();
            next.id += "x"; // a new boot is a new executor
            down->describe(next);
            down->boot();
            down = nullptr;
        }
        const auto it = std::find_if(executors.begin(), executors.end(), [&](auto& e) { return e->runs(task); });
        if (it == executors.end())
            runSince = 0;
        else if (runSince == 0)
            runSince = nowMs();
        else if (trouble() && crashes < maxCrashes && down == nullptr && nowMs() - runSince >= crashAfterMs) {
            ++crashes;
            (*it)->crash();
            down = it->get();
            bootAt = nowMs() + downMs;
            runSince = 0;
        }
        const std::string now = stateOf(*entries[1], path);
        if (now != state)
            record("client: GET %s -> %s", path.c_str(), now.c_str());
        state = now;
        if (state == "completed" || state == "failed")
            break;
    }
    record("shown as %s after %d crashes; ends `failed` that executors listed: %d", state.c_str(), crashes,
        watch.failedEnds.load());
    if (state == "failed" && watch.failedEnds == 0) {
        record("broken: LOST, shown as failed without cause");
        return broken;
    }
    return state == "completed" ? held : notRun;
}
