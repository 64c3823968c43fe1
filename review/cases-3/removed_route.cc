// A configuration removes a route on which a submission was accepted; executors stay idle.
#include "../standins-3/system.h"

using namespace sim;

namespace {

const char* const otherRoute
    = R"({"name":"other","host":"jobs.example","prefix":"/other/","service":"pool","priority":0,"maxAttempts":2,)"
      R"("stretch":1.5,"targetLatencyMs":300})";

struct Watch : Observer {
    std::mutex mutex;
    std::set<std::string> done;
    std::set<std::string> began;
    void started(const std::string&, const std::string& task, std::int64_t) override
    {
        const std::lock_guard lock(mutex);
        began.insert(task);
    }
    void ended(const std::string&, const std::string& task, std::int64_t, const std::string& how) override
    {
        const std::lock_guard lock(mutex);
        if (how == "done")
            done.insert(task);
    }
    std::size_t doneOf(const std::string& step)
    {
        const std::lock_guard lock(mutex);
        return static_cast<std::size_t>(
            std::count_if(done.begin(), done.end(), [&step](const auto& it) { return it.rfind(step, 0) == 0; }));
    }
    std::size_t begunOf(const std::string& step)
    {
        const std::lock_guard lock(mutex);
        return static_cast<std::size_t>(
            std::count_if(began.begin(), began.end(), [&step](const auto& it) { return it.rfind(step, 0) == 0; }));
    }
};

} // namespace

int main(int, char** argv)
{
    beginCase(argv[1]);
    Folder folder;
    Store store(loopback(100));
    Watch watch;
    store.put("op/config", configuration(3, std::string(batchRoute) + "," + otherRoute));
    std::vector<std::unique_ptr<Executor>> executors;
    for (int i = 0; i < 4; ++i)
        executors.push_back(std::make_unique<Executor>(
            loopback(20 + i), store, watch, Executor::Description { .id = "i-" + std::to_string(i) }));
    auto entries = startEntries(3, folder, store);
    if (entries.empty())
        return notRun;
    sleepMs(1500);
    const char* spec = R"({"spec":"ms=4000","steps":[{"count":2,"cpu":5500,"memMb":11000,"estRuntimeMs":4000},)"
                       R"({"count":2,"cpu":5500,"memMb":11000,"estRuntimeMs":4000,"after":[0]}]})";
    if (client(*entries[1], "POST", "/batch/00000000000000b1", spec).status != 200)
        return notRun;
    sleepMs(2000);
    store.put("op/config",
        configuration(7, trouble() ? std::string(otherRoute) : std::string(batchRoute) + "," + otherRoute));
    record("operator: configuration 7 %s", trouble() ? "without the route /batch/" : "with both routes");
    const std::string first = "00000000000000b1.0.0.";
    const std::string second = "00000000000000b1.0.1.";
    if (!eventually(20000, [&] { return watch.doneOf(first) == 2; }))
        return notRun;
    const std::int64_t turn = nowMs();
    record("all tasks of the first step have ended done; the turn of the second step has come");
    constexpr std::int64_t finishMs = 14000;
    constexpr std::int64_t idleMs = 3000;
    std::string other;
    while (watch.begunOf(second) == 0 && nowMs() - turn < finishMs + idleMs) {
        const std::string now = stateOf(*entries[1], "/batch/00000000000000b1");
        if (now != other)
            record("client: GET /batch/00000000000000b1 -> %s", now.c_str());
        other = now;
        sleepMs(500);
    }
    if (watch.begunOf(second) > 0) {
        eventually(15000, [&] { return watch.doneOf(second) == 2; });
        record("tasks of the second step that ended done: %zu of 2", watch.doneOf(second));
        return watch.doneOf(second) == 2 ? held : notRun;
    }
    record("%lld ms later, no task of the second step has begun; 4 of 4 executors are idle",
        static_cast<long long>(nowMs() - turn));
    client(*entries[1], "POST", "/other/00000000000000c1",
        R"({"spec":"ms=500","steps":[{"count":2,"cpu":5500,"memMb":11000,"estRuntimeMs":500}]})");
    eventually(5000, [&] { return watch.doneOf("00000000000000c1.0.0.") == 2; });
    record("meanwhile a submission on the other route ran: %zu of 2 tasks done", watch.doneOf("00000000000000c1.0.0."));
    record("broken: LOST");
    return broken;
}
