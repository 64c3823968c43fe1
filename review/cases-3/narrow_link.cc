// The owner is killed on machines with narrow links, while the accepted submissions fill a page of the store.
#include "../standins-3/system.h"

using namespace sim;

int main(int, char** argv)
{
    beginCase(argv[1]);
    Folder folder;
    // The smallest machines of the site: the link is played by the stand-in of the store, on what it sends.
    machineLimits = { .cpuShare = "0.12", .memoryMb = "160", .linkMbps = "10" };
    Store store(loopback(100));
    store.server.peerMbps = 10;
    Observer watch;
    store.put("op/config", configuration(3, batchRoute));
    std::vector<std::unique_ptr<Executor>> executors;
    for (int i = 0; i < 4; ++i)
        executors.push_back(std::make_unique<Executor>(
            loopback(20 + i), store, watch, Executor::Description { .id = "i-" + std::to_string(i) }));
    auto entries = startEntries(3, folder, store);
    if (entries.empty())
        return notRun;
    sleepMs(1500);
    // Each submission has a spec of 4,000 bytes, the longest that is allowed, and one task.
    constexpr int count = 400;
    const std::string spec = "ms=600 " + std::string(3990, 'x');
    std::vector<std::string> paths;
    for (int n = 0; n < count; ++n) {
        char path[64];
        std::snprintf(path, sizeof path, "/batch/%016x", 0xb000 + n);
        const std::string body
            = "{\"spec\":" + quote(spec) + R"(,"steps":[{"count":8,"cpu":16000,"memMb":1000,"estRuntimeMs":600}]})";
        if (client(*entries[static_cast<std::size_t>(n) % 3], "POST", path, body, "key-1", true).status == 200)
            paths.emplace_back(path);
    }
    record("client: %zu submissions with a spec of %zu bytes each are accepted", paths.size(), spec.size());
    if (trouble()) {
        Entry* owner = find(entries, ownerOf(store));
        if (owner == nullptr)
            return notRun;
        owner->kill(SIGKILL);
        sleepMs(500);
        owner->start();
    }
    const std::int64_t killed = nowMs();
    std::string state;
    std::string owner;
    const bool answered = eventually(
        60000,
        [&] {
            for (auto& it : entries) {
                const std::string now = stateOf(*it, paths.back());
                if (now != state)
                    record("client: GET %s at %s -> %s", paths.back().c_str(), it->name().c_str(), now.c_str());
                state = now;
                if (now == "queued" || now == "running" || now == "completed")
                    return true;
            }
            if (const std::string now = ownerOf(store); now != owner) {
                owner = now;
                record("owner: %s", owner.c_str());
            }
            return false;
        },
        200);
    record("the last submission %s %lld ms after the kill", answered ? "is known" : "is not answered for",
        static_cast<long long>(nowMs() - killed));
    if (!answered) {
        record("broken: LOST");
        return broken;
    }
    return held;
}
