// A few large submissions are accepted, one after the other; the platform ends processes over the memory of their
// machine.
#include "../standins-3/system.h"

using namespace sim;

namespace {

constexpr long memoryMb = 260; // limits.memoryMb of the settings
constexpr int machines = 3;
constexpr int large = 6;

long residentMb(pid_t pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/statm");
    long size = 0;
    long resident = 0;
    in >> size >> resident;
    return resident * (sysconf(_SC_PAGESIZE) / 1024) / 1024;
}

} // namespace

int main(int, char** argv)
{
    beginCase(argv[1]);
    Folder folder;
    Store store(loopback(100));
    Observer watch;
    store.put("op/config", configuration(3, batchRoute));
    std::vector<std::unique_ptr<Executor>> executors;
    for (int i = 0; i < 8; ++i)
        executors.push_back(std::make_unique<Executor>(
            loopback(20 + i), store, watch, Executor::Description { .id = "i-" + std::to_string(i) }));
    auto entries = startEntries(machines, folder, store);
    if (entries.empty())
        return notRun;
    sleepMs(1500);
    // The platform ends a process that exceeds the memory of its machine, and starts it again.
    std::atomic<bool> done { false };
    std::mutex mutex;
    std::map<std::string, int> ends;
    std::thread platform([&] {
        std::map<std::string, std::int64_t> startAt;
        while (!done) {
            for (auto& it : entries) {
                const std::lock_guard lock(mutex);
                if (const auto at = startAt.find(it->name()); at != startAt.end()) {
                    if (nowMs() >= at->second) {
                        startAt.erase(at);
                        it->start();
                    }
                    continue;
                }
                const bool ended = !it->alive();
                const long mb = ended ? 0 : residentMb(it->pid());
                if (!ended && mb <= memoryMb)
                    continue;
                ++ends[it->name()];
                record("platform: %s %s with %ld MB of %ld", it->name().c_str(), ended ? "has ended" : "is ended", mb,
                    memoryMb);
                it->kill(SIGKILL);
                startAt[it->name()] = nowMs() + 500;
            }
            sleepMs(20);
        }
    });
    const auto submit = [&](const std::string& path, const std::string& body) {
        for (std::size_t i = 0; i < entries.size(); ++i) {
            const Answer answer = call(entries[i]->ip, entries[i]->front, "POST", path,
                { { "Host", "jobs.example" }, { "Authorization", "Bearer key-1" } }, body, 3000);
            if (answer.status == 200)
                return true;
        }
        return false;
    };
    const char* step = R"({"count":100000,"cpu":16000,"memMb":1000,"estRuntimeMs":3000)";
    const std::string wide = std::string(R"({"spec":"ms=3000","steps":[)") + step + "}," + step + R"(,"after":[0]},)"
        + step + R"(,"after":[1]}]})";
    std::vector<std::string> small;
    int refused = 0;
    const auto submitSmall = [&](int n) {
        char path[64];
        std::snprintf(path, sizeof path, "/batch/%016x", 0xc000 + n);
        if (submit(path, R"({"spec":"ms=300","steps":[{"count":1,"cpu":1000,"memMb":100,"estRuntimeMs":300}]})"))
            small.emplace_back(path);
        else
            ++refused;
    };
    int accepted = 0;
    const std::int64_t begin = nowMs();
    for (int n = 0; nowMs() - begin < 45000; ++n) {
        submitSmall(n);
        if (trouble() && n % 5 == 4 && n / 5 < large) {
            char path[64];
            std::snprintf(path, sizeof path, "/batch/%016x", 0xb0 + n);
            const bool ok = submit(path, wide);
            accepted += ok ? 1 : 0;
            record("client: a submission of %zu bytes with 300,000 tasks is %s", wide.size(),
                ok ? "accepted" : "not accepted");
        }
        sleepMs(300);
    }
    // Whether the submissions that were accepted are known and done.
    std::map<std::string, int> states;
    const std::int64_t limit = nowMs() + 20000;
    for (const auto& path : small) {
        std::string state;
        do {
            for (auto& it : entries) {
                state = stateOf(*it, path);
                if (state == "completed")
                    break;
            }
            if (state != "completed")
                sleepMs(100);
        } while (state != "completed" && nowMs() < limit);
        ++states[state];
    }
    done = true;
    platform.join();
    int thrice = 0;
    for (const auto& [name, n] : ends) {
        record("%s was over its memory, or ended, %d times", name.c_str(), n);
        thrice += n >= 3 ? 1 : 0;
    }
    record("%d large submissions accepted; small ones: %zu accepted, %d not accepted", accepted, small.size(), refused);
    for (const auto& [state, n] : states)
        record("small ones accepted and %s: %d", state.c_str(), n);
    if (thrice >= 2)
        record("Fault: processes over their memory three times and more on %d of %d machines", thrice, machines);
    const int lost = static_cast<int>(small.size()) - states["completed"];
    if (lost > 0) {
        record("broken: LOST, %d accepted submissions get no answer or have not run, 20 s after the traffic", lost);
        return broken;
    }
    return held;
}
