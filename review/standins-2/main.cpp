// Runs one case: cases NAME RECORD. The variable TROUBLE=0 leaves out the disruption.

#include "Platform.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <unistd.h>

int main(int argc, char** argv)
{
    using namespace standins;
    const std::map<std::string, int (*)(Record&, bool)> cases { { "gang-on-cut-executor", &gangOnCutExecutor },
        { "refused-after-takeover", &refusedAfterTakeover }, { "key-while-turned-away", &keyWhileTurnedAway },
        { "cancel-at-frozen-machine", &cancelAtFrozenMachine } };
    const auto it = argc == 3 ? cases.find(argv[1]) : cases.end();
    if (it == cases.end()) {
        std::cerr << "usage: cases NAME RECORD\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const char* variable = std::getenv("TROUBLE");
    const bool trouble = variable == nullptr || std::string(variable) != "0";
    static Record record(argv[2]);
    const int result = it->second(record, trouble);
    record.line("result: " + std::to_string(result));
    std::cout << it->first << (trouble ? "" : " without the disruption") << ": " << result << std::endl;
    _exit(result); // threads of the stand-ins still run
}
