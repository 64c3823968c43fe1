// An executor loses power and starts again under its id. The owner, which has not noticed yet, gives it tasks, and is
// killed right then, while the executor is cut off.
//
// Broken if a task starts again after a run of it has ended done and that end is noted, or runs twice at a time.

#include "../sim/Deployment.h"

#include <iostream>

using namespace review;

namespace {

constexpr int couldNotRun = 2;
constexpr int executors = 4;
constexpr Milliseconds before { 14000 }; ///< so that the clock of the first life is far ahead
constexpr Milliseconds reboot { 100 };
constexpr Milliseconds cut { 5400 }; // 5.5 s at most in the site file
constexpr Milliseconds entryLife { 4500 }; ///< three heartbeat intervals; the executor does not reach the store either
constexpr Milliseconds beat { 1400 }; ///< until the executor's next entry; `heartbeatMs` is 1,500
constexpr Milliseconds longestCall { 3000 };
constexpr Milliseconds restart { 100 }; ///< of the killed process, by the platform

} // namespace

int main(int argc, char** argv)
{
    if (argc < 3)
        return couldNotRun;
    const bool trouble = std::string(argv[2]) != "0";
    Deployment deployment(argv[1], executors);
    Record& record = deployment.record;
    Executor& victim = *deployment.fleet.front();
    std::atomic<bool> rebooted { false };
    std::atomic<bool> isCut { false };
    std::atomic<bool> given { false };
    // Calls that the cut has met are never answered, also after its end.
    const auto outlastCut = [&isCut] {
        while (isCut)
            std::this_thread::sleep_for(Milliseconds(5));
        std::this_thread::sleep_for(longestCall);
    };
    victim.filter = [&](const Request&) -> std::optional<Response> {
        if (!isCut)
            return std::nullopt;
        outlastCut();
        return Response { .status = 503, .body = "", .lost = true };
    };
    victim.losesResponse = [&](const Request& request) {
        if (rebooted && request.path == "/v1/run-start" && !given.exchange(true))
            isCut = true;
        if (!isCut)
            return false;
        outlastCut();
        return true;
    };
    if (!deployment.start())
        return couldNotRun;
    std::this_thread::sleep_for(before);
    const std::string ownerRecord = deployment.store.get("lycheeledge/owner");
    Entry& owner = *deployment.entries[ownerRecord.starts_with(deployment.entries[0]->name()) ? 0 : 1];
    Entry& other = *deployment.entries[&owner == deployment.entries[0].get() ? 1 : 0];
    record.line("the owner is " + owner.name());
    if (trouble) {
        victim.losePower();
        std::this_thread::sleep_for(reboot);
        victim.boot(victim.id(), false);
        rebooted = true;
    }
    const std::string id = submissionId(0x5c0e7a21d94b36f8);
    const auto response = other.request("POST", "/lohu930/" + id,
        "{\"spec\":\"ms=1000\",\"steps\":[{\"count\":16,\"cpu\":4000,\"memMb\":256,\"estRuntimeMs\":1000}]}");
    record.line("submit " + id + ": " + (response ? std::to_string(response->status) : "no answer"));
    const auto deadline = Clock::now() + Milliseconds(3000);
    while (trouble && !given && Clock::now() < deadline)
        std::this_thread::sleep_for(Milliseconds(1));
    if (trouble && given) {
        record.line("cut    " + victim.id());
        const auto cutAt = Clock::now();
        owner.stop(SIGKILL);
        std::this_thread::sleep_for(restart);
        owner.start();
        std::this_thread::sleep_until(cutAt + entryLife);
        victim.unregister();
        std::this_thread::sleep_until(cutAt + cut);
        isCut = false;
        record.line("healed " + victim.id());
        std::this_thread::sleep_for(beat);
        victim.publish("ready");
    }
    std::this_thread::sleep_for(Milliseconds(12000));
    const auto runs = deployment.runs.all();
    int broken = 0;
    for (std::size_t i = 0; i < runs.size(); ++i) {
        for (std::size_t k = i + 1; k < runs.size(); ++k) {
            const RunSeen& a = runs[i];
            const RunSeen& b = runs[k];
            if (a.task != b.task)
                continue;
            const bool isTwice = a.end == Clock::time_point() || a.end > b.begin;
            const bool isAgain = a.how == "done" && a.end <= b.begin && a.noted != Clock::time_point();
            if (!isTwice && !isAgain)
                continue;
            ++broken;
            record.line("BROKEN " + a.task + " run " + std::to_string(a.run) + " on " + a.executor
                + (isTwice ? " ran beside run " : " ended done, was noted, and was followed by run ")
                + std::to_string(b.run) + " on " + b.executor);
        }
    }
    const auto state = other.request("GET", "/lohu930/" + id, "");
    record.line("state  " + (state ? text(parse(state->body), "state") : std::string("no answer")));
    std::cout << (given || !trouble ? "" : "the executor got no task in time; ") << broken << " tasks ran twice\n";
    return broken > 0 ? 1 : 0;
}
