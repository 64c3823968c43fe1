// One large submission of short tasks comes in beside small ones: a step of many tasks or, as the variant "schedule", a
// schedule that began 30 days ago. Nothing fails, and the executors have room for all.
//
// Broken if, `finish_s` after the end of the traffic, an accepted submission has nothing running for 3 s although the
// turn of one of its tasks has come and the executors are idle.

#include "../sim/Deployment.h"

#include <iostream>

using namespace review;

namespace {

constexpr int couldNotRun = 2;
constexpr int executors = 24;
constexpr int largeCount = 100000;
constexpr std::int64_t intervalMs = 60000;
constexpr int overdueOccurrences = 43200; ///< of a schedule that began 30 days ago, once a minute
constexpr int smallCount = 4; ///< of each of two steps
constexpr Milliseconds betweenSubmissions { 100 };
constexpr Milliseconds longestTraffic { 65000 };
constexpr Milliseconds trafficAfterLimit { 12000 }; ///< once a record has reached the store's limit
constexpr Milliseconds quietTraffic { 30000 }; ///< without the large submission
constexpr Milliseconds finish { 14000 }; // `finish_s`
constexpr Milliseconds window { 3000 };
constexpr Milliseconds longestQuestions { 6000 }; ///< keeps the script under its time limit

/** @brief Whether all tasks of a step of a submission have ended `done`. */
bool isDone(const std::map<std::string, int>& doneByStep, const std::string& step)
{
    const auto it = doneByStep.find(step);
    return it != doneByStep.end() && it->second >= smallCount;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 3)
        return couldNotRun;
    const bool trouble = std::string(argv[2]) != "0";
    Deployment deployment(argv[1], executors);
    Record& record = deployment.record;
    if (!deployment.start())
        return couldNotRun;

    const auto begin = Clock::now();
    const std::string largeId = submissionId(0x1a26e00000000001);
    const std::string large = "/lohu930/" + largeId;
    const bool isSchedule = argc > 3 && std::string(argv[3]) == "schedule";
    const int largeTasks = isSchedule ? overdueOccurrences : largeCount;
    if (trouble) {
        const auto unixMs
            = std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        const std::string times = isSchedule ? ",\"repetitions\":" + std::to_string(overdueOccurrences)
                + ",\"startAtMs\":" + std::to_string(unixMs - overdueOccurrences * intervalMs)
                + ",\"intervalMs\":" + std::to_string(intervalMs)
                                             : std::string();
        const auto response = deployment.entries[0]->request("POST", large,
            "{\"spec\":\"ms=2\"" + times + ",\"steps\":[{\"count\":" + std::to_string(isSchedule ? 1 : largeCount)
                + ",\"cpu\":5,\"memMb\":2000,\"estRuntimeMs\":2}]}");
        record.line("submit " + large + ": " + (response ? std::to_string(response->status) : "no answer"));
        if (!response || response->status != 200)
            return couldNotRun;
    }
    std::vector<std::string> accepted;
    int refused = 0;
    auto end = begin + (trouble ? longestTraffic : quietTraffic);
    for (std::uint64_t n = 1; Clock::now() < end; ++n) {
        const std::string id = submissionId(0x5c0e7a2100000000 + n);
        const auto response = deployment.entries[n % 2]->request("POST", "/lohu930/" + id,
            "{\"spec\":\"ms=100\",\"steps\":[{\"count\":4,\"cpu\":500,\"memMb\":256,\"estRuntimeMs\":100},"
            "{\"count\":4,\"cpu\":500,\"memMb\":256,\"estRuntimeMs\":100,\"after\":[0]}]}");
        record.line("submit " + id + ": " + (response ? std::to_string(response->status) : "no answer"));
        if (response && response->status == 200)
            accepted.push_back(id);
        else
            ++refused;
        if (deployment.store.refusedValues() > 0 && end == begin + longestTraffic) {
            record.line("the store has refused a value that is longer than valueBytes");
            end = std::min(end, Clock::now() + trafficAfterLimit);
        }
        std::this_thread::sleep_until(begin + betweenSubmissions * n);
    }
    record.line("the traffic ends");
    std::this_thread::sleep_for(finish);

    const auto from = Clock::now();
    std::size_t busiest = 0;
    while (Clock::now() < from + window) {
        std::size_t running = 0;
        for (const auto& executor : deployment.fleet)
            running += executor->running();
        busiest = std::max(busiest, running);
        std::this_thread::sleep_for(Milliseconds(50));
    }
    record.line("in the last 3 s, the executors ran " + std::to_string(busiest) + " tasks at most");
    std::map<std::string, int> doneByStep;
    std::set<std::string> active;
    for (const auto& run : deployment.runs.all()) {
        doneByStep[run.task.substr(0, run.task.rfind('.'))] += run.how == "done" ? 1 : 0;
        if (run.end == Clock::time_point() || run.end > from)
            active.insert(run.task.substr(0, 16));
    }
    int stuck = 0;
    int completed = 0;
    for (const auto& id : accepted) {
        const bool asks = Clock::now() < from + window + longestQuestions;
        const auto response = asks ? deployment.entries[0]->request("GET", "/lohu930/" + id, "") : std::nullopt;
        const std::string state = response ? text(parse(response->body), "state") : asks ? "no answer" : "not asked";
        record.line("state  " + id + ": " + state);
        completed += state == "completed" ? 1 : 0;
        const bool isOver = isDone(doneByStep, id + ".0.0") && isDone(doneByStep, id + ".0.1");
        if (isOver || active.contains(id) || busiest > 0)
            continue;
        ++stuck;
        record.line("BROKEN " + id + " has nothing running, and the executors are idle");
    }
    int largeDone = 0;
    for (const auto& [step, done] : doneByStep)
        largeDone += step.starts_with(largeId) ? done : 0;
    if (trouble && busiest == 0 && largeDone < largeTasks) {
        ++stuck;
        record.line("BROKEN the large submission has nothing running after " + std::to_string(largeDone)
            + " of its tasks, and the executors are idle");
    }
    const std::string result = std::to_string(accepted.size()) + " small submissions accepted, "
        + std::to_string(completed) + " completed, " + std::to_string(refused) + " refused, " + std::to_string(stuck)
        + " submissions have nothing running";
    record.line(result);
    std::cout << result << '\n';
    if (accepted.empty() || (!trouble && completed != static_cast<int>(accepted.size())))
        return couldNotRun;
    return stuck > 0 ? 1 : 0;
}
