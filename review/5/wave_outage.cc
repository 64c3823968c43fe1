// The provider of the machines is out of reach while an upkeep is ordered, and the executor of that machine crashes.
//
// Broken if the wave is said to be completed although a machine of it has not begun its upkeep.

#include "../sim/Deployment.h"

#include <iostream>

using namespace review;

namespace {

constexpr int machines = 6;
constexpr int couldNotRun = 2;
constexpr Milliseconds longestOutage { 4500 }; // of the store and the provider, in the site file
constexpr Milliseconds down { 1000 }; ///< of the crashed executor
constexpr Milliseconds limit { 60000 };

} // namespace

int main(int argc, char** argv)
{
    if (argc < 3)
        return couldNotRun;
    const bool trouble = std::string(argv[2]) != "0";
    Deployment deployment(argv[1], machines);
    Record& record = deployment.record;
    std::mutex mutex;
    std::string lost; // machine whose order met the outage
    Clock::time_point outageEnd; // zero before the outage
    bool crashed = false;
    bool over = false;
    deployment.cloud.filter = [&](const Request& request) -> std::optional<Response> {
        const std::lock_guard lock(mutex);
        const bool isOrder = request.path == "/v1/machine-upkeep";
        if (!trouble || over)
            return std::nullopt;
        if (isOrder && outageEnd == Clock::time_point()) {
            lost = text(parse(request.body), "machine");
            outageEnd = Clock::now() + longestOutage;
            record.line("the provider is out of reach");
        }
        if (outageEnd == Clock::time_point())
            return std::nullopt;
        // The outage ends, within its longest time, when the next call is one that reads the list.
        if ((crashed && !isOrder) || Clock::now() >= outageEnd) {
            over = true;
            record.line("the provider is back");
            return std::nullopt;
        }
        record.line("lost   " + request.method + " " + request.path + " " + request.body);
        return Response { .status = 503, .body = "", .lost = true };
    };
    if (!deployment.start())
        return couldNotRun;

    std::string names;
    std::set<std::string> wave;
    for (const auto& executor : deployment.fleet) {
        wave.insert(executor->settings().machine);
        names += (names.empty() ? "" : ",") + quoted(executor->settings().machine);
    }
    deployment.cloud.defineWave(1, wave);
    deployment.store.put("op/wave/1", "{\"wave\":1,\"machines\":[" + names + "],\"durationS\":40,\"upperLimit\":1}");
    record.line("wave 1 is requested for " + names);
    const auto deadline = Clock::now() + limit;
    std::thread crasher([&] {
        while (trouble && Clock::now() < deadline) {
            std::this_thread::sleep_for(Milliseconds(20));
            std::string machine;
            {
                const std::lock_guard lock(mutex);
                machine = lost;
            }
            for (auto& executor : deployment.fleet) {
                if (machine.empty() || executor->settings().machine != machine)
                    continue;
                executor->crash();
                executor->unregister();
                std::this_thread::sleep_for(down);
                executor->boot(deployment.nextId());
                const std::lock_guard lock(mutex);
                crashed = true;
                return;
            }
        }
    });
    std::string state;
    while (Clock::now() < deadline && state != "completed") {
        std::this_thread::sleep_for(Milliseconds(50));
        state = text(parse(deployment.store.get("status/wave/1")), "state");
    }
    crasher.join();
    const auto begun = deployment.cloud.begun(1);
    record.line("wave 1 is said to be " + state + "; " + std::to_string(begun.size()) + " of "
        + std::to_string(wave.size()) + " machines have begun their upkeep");
    std::cout << "state " << state << ", " << begun.size() << " of " << wave.size() << " machines begun\n";
    for (const auto& machine : wave) {
        if (!begun.contains(machine))
            record.line((state == "completed" ? "BROKEN " : "open   ") + machine + " has not begun its upkeep");
    }
    if (state != "completed")
        return trouble ? 0 : couldNotRun;
    return begun == wave ? 0 : 1;
}
