// Checks a history, given as JSON lines on standard input, against the guarantees.

#include "HistoryChecker.h"
#include "HistoryReader.h"

#include <gflags/gflags.h>

#include <iostream>
#include <map>

DEFINE_int64(boundMs, 5000, "time within which an acknowledged change must take effect, in ms");
DEFINE_int32(show, 3, "number of violations shown in full for each guarantee");

using namespace lycheeledge;
using namespace lycheeledge::standin;

namespace {

constexpr int exitViolation = 1;
constexpr int exitMalformed = 2;
constexpr int guaranteeCount = 11;

void printViolations(const std::vector<GuaranteeViolation>& violations, std::size_t eventCount)
{
    std::map<int, int> counts;
    for (const GuaranteeViolation& violation : violations) {
        if (++counts[violation.guarantee] > FLAGS_show)
            continue;
        std::cout << "guarantee " << violation.guarantee << ": " << violation.description << " (at";
        for (const Event& event : violation.evidence)
            std::cout << ' ' << event.at << " us";
        std::cout << ")\n";
    }
    std::cout << "events " << eventCount;
    for (int guarantee = 1; guarantee <= guaranteeCount; ++guarantee)
        std::cout << "  [" << guarantee << "] " << counts[guarantee];
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
    const Microseconds boundUs = FLAGS_boundMs * 1000;
    const std::size_t eventCount = history->size();
    const auto violations = HistoryChecker({ boundUs, boundUs, boundUs, boundUs }).check(std::move(*history));
    printViolations(violations, eventCount);
    return violations.empty() ? 0 : exitViolation;
}
