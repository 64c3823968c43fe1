// An executor is lost for good, and just after the acceptance of a submission that lasts, so is the owner's machine.
#include "../standins-3/advice.h"
#include "../standins-3/system.h"

using namespace sim;

namespace {

struct Watch : Observer {
    std::mutex mutex;
    std::set<std::string> running;
    void started(const std::string&, const std::string& task, std::int64_t) override
    {
        const std::lock_guard lock(mutex);
        running.insert(task);
    }
    void ended(const std::string&, const std::string& task, std::int64_t, const std::string&) override
    {
        const std::lock_guard lock(mutex);
        running.erase(task);
    }
    std::size_t runningOf(const std::string& job)
    {
        const std::lock_guard lock(mutex);
        return static_cast<std::size_t>(
            std::count_if(running.begin(), running.end(), [&job](const auto& it) { return it.rfind(job, 0) == 0; }));
    }
};

} // namespace

int main(int, char** argv)
{
    beginCase(argv[1]);
    Folder folder;
    Store store(loopback(100));
    Advice advice(loopback(102), 450, 6.5);
    Watch watch;
    store.put("op/config",
        configuration(3,
            std::string(batchRoute)
                + R"(,{"name":"watch","host":"jobs.example","prefix":"/watch/","service":"pool","priority":1,)"
                  R"("maxAttempts":2,"stretch":2.2,"targetLatencyMs":2500,)"
                  R"("advice":{"decideMs":450,"periodMs":6.5,"validMs":2500}})"));
    std::vector<std::unique_ptr<Executor>> executors;
    for (int i = 0; i < 8; ++i)
        executors.push_back(std::make_unique<Executor>(
            loopback(20 + i), store, watch, Executor::Description { .id = "i-" + std::to_string(i) }));
    auto entries = startEntries(3, folder, store, {}, advice.server.address());
    if (entries.empty())
        return notRun;
    sleepMs(2000);
    if (trouble()) {
        executors[7]->crash();
        record("i-7 is lost for good");
    }
    sleepMs(1000);
    const std::string job = "000000000000000a";
    const char* spec = R"({"spec":"serve","steps":[{"count":4,"cpu":4000,"memMb":11000,"estRuntimeMs":400,)"
                       R"("longRunning":true}]})";
    Entry* owner = find(entries, ownerOf(store));
    if (owner == nullptr || client(*owner, "POST", "/watch/" + job, spec).status != 200)
        return notRun;
    const std::int64_t accepted = nowMs();
    if (trouble())
        owner->kill(SIGKILL); // its machine is lost for good
    // Calm for 4 s, and then for 3 s, with nothing running: the rule is broken 7 s after the last disruption.
    constexpr std::int64_t calmMs = 7000;
    const bool ran = eventually(30000, [&] { return watch.runningOf(job) > 0; });
    const std::int64_t waited = nowMs() - accepted;
    if (!ran)
        record("nothing of the submission ran for %lld ms", static_cast<long long>(waited));
    else
        record("the first task of the submission started %lld ms after its acceptance; 7 of 8 executors were idle",
            static_cast<long long>(waited));
    if (waited > calmMs) {
        record("broken: LOST");
        return broken;
    }
    return held;
}
