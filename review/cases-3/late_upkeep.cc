// An order of upkeep gets no answer and is carried out late; the process that sent it is killed meanwhile.
#include "../standins-3/cloud.h"
#include "../standins-3/system.h"

using namespace sim;

int main(int, char** argv)
{
    beginCase(argv[1]);
    Folder folder;
    Store store(loopback(100));
    Cloud cloud(loopback(101));
    Observer watch;
    constexpr std::size_t limit = 2;
    store.put("op/config", configuration(3, batchRoute));
    std::vector<std::unique_ptr<Executor>> executors;
    std::vector<std::string> machines;
    for (int i = 0; i < 6; ++i) {
        machines.push_back("m-" + std::to_string(i));
        executors.push_back(std::make_unique<Executor>(loopback(20 + i), store, watch,
            Executor::Description { .id = "i-" + std::to_string(i), .kind = i == 0 ? "b" : "a" }));
        cloud.add(machines.back(), *executors.back());
    }
    auto entries = startEntries(3, folder, store, cloud.server.address());
    if (entries.empty())
        return notRun;
    sleepMs(4500); // a new owner orders nothing for leaseMs
    std::atomic<bool> isNext { trouble() };
    std::atomic<bool> sent { false };
    cloud.lateMs = [&](const std::string& machine) -> std::int64_t {
        sent = sent || machine == "m-0";
        return machine == "m-0" && isNext.exchange(false) ? 5400 : 0;
    };
    cloud.beginWave(7, machines);
    store.put(
        "op/wave/7", R"({"wave":7,"machines":["m-0","m-1","m-2","m-3","m-4","m-5"],"durationS":40,"upperLimit":2})");
    record("operator: wave 7 of six machines, two at a time");
    if (!eventually(5000, [&] { return sent.load(); }))
        return notRun;
    // Clients submit work that only the executor on m-0 may run, twenty a second, as at any other time.
    std::atomic<bool> done { false };
    std::thread traffic([&] {
        for (int n = 0; !done && n < 60; ++n) {
            char path[64];
            std::snprintf(path, sizeof path, "/batch/%016x", 0xb000 + n);
            for (auto& it : entries) {
                if (it->alive()
                    && client(*it, "POST", path,
                           R"({"spec":"ms=6000","steps":[{"count":1,"cpu":5500,"memMb":11000,"estRuntimeMs":6000,)"
                           R"("requires":"b"}]})")
                            .status
                        == 200)
                    break;
            }
            sleepMs(50);
        }
    });
    sleepMs(300);
    if (trouble()) {
        if (Entry* owner = find(entries, ownerOf(store)))
            owner->kill(SIGKILL);
    }
    const bool completed = eventually(60000, [&] {
        const auto state = store.get("status/wave/7");
        return state && state->find("completed") != std::string::npos;
    });
    done = true;
    traffic.join();
    record("most machines of the wave that were down at once: %zu, allowed %zu; wave %s", cloud.mostDown(7), limit,
        completed ? "completed" : "not completed");
    if (cloud.mostDown(7) > limit) {
        record("broken: LIMIT");
        return broken;
    }
    return completed ? held : notRun;
}
