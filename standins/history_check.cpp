// Checks a history, given as JSON lines on standard input, against the guarantees.

#include "HistoryChecker.h"
#include "HistoryReader.h"

#include <gflags/gflags.h>

#include <iostream>
#include <map>

DEFINE_int64(boundMs, 5000, "time within which a change must take effect, in ms");
DEFINE_int32(show, 3, "number of violations shown in full for each guarantee");

using namespace lycheeledge;
using namespace lycheeledge::standin;

namespace {

constexpr int exitViolated = 1;
constexpr int exitMalformed = 2;
constexpr int guarantees = 11;

void print(const std::vector<Violation>& violations, std::size_t events)
{
    std::map<int, int> counts;
    for (const Violation& violation : violations) {
        if (++counts[violation.guarantee] > FLAGS_show)
            continue;
        std::cout << "guarantee " << violation.guarantee << ": " << violation.what << " (at";
        for (const Event& event : violation.evidence)
            std::cout << ' ' << event.at << " us";
        std::cout << ")\n";
    }
    std::cout << "events " << events;
    for (int n = 1; n <= guarantees; ++n)
        std::cout << "  [" << n << "] " << counts[n];
    std::cout << '\n';
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("history_check < events.jsonl: exits with 1 if a guarantee was violated");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::string error;
    auto history = readHistory(std::cin, error);
    if (!history) {
        std::cerr << "history_check: " << error << '\n';
        return exitMalformed;
    }
    const Microseconds bound = FLAGS_boundMs * 1000;
    const std::size_t events = history->size();
    const auto violations = HistoryChecker({ bound, bound, bound, bound }).check(std::move(*history));
    print(violations, events);
    return violations.empty() ? 0 : exitViolated;
}
