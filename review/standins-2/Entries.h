// Starts the project's own processes with the command of the deploy file, as the platform does.
#pragma once

#include "Executors.h"
#include "Store.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <vector>

namespace standins {

/** @brief Entry machines, each with a loopback address of its own. A process that ends is started again. */
class Entries {
public:
    Entries(Store& store, Record& record, int count);
    ~Entries() { end(); }

    bool start();
    /** @brief Until all are ready. */
    bool awaitReady(int limitMs);
    int count() const { return static_cast<int>(m_machines.size()); }
    const std::string& name(int machine) const { return m_machines[static_cast<std::size_t>(machine)].name; }
    void kill(int machine);
    void remove(int machine); ///< for good
    void freeze(int machine, bool isFrozen);
    /** @brief The machine that last wrote to the store under a condition, or -1. */
    int lastWriter();
    /** @brief How often the processes of a machine have ended by themselves. */
    int ownEnds(int machine);
    /** @brief A client's call at this machine. */
    Response call(int machine, const Request& request, int limitMs = 3000) const;
    std::unique_ptr<Channel> open(int machine) const;
    bool isReady(int machine) const;
    void end(); ///< ends all processes that were started

private:
    struct Machine {
        std::string name;
        std::string ip;
        std::string settings; ///< file
        pid_t process = -1;
        bool killed = false;
        bool removed = false;
        int ownEnds = 0;
        std::int64_t startAtMs = 0;
    };

    void spawn(Machine& machine);
    void watch();

    Store& m_store;
    Record& m_record;
    std::mutex m_mutex;
    std::vector<Machine> m_machines;
    std::vector<std::string> m_command;
    std::string m_folder;
    std::uint16_t m_frontPort = 0;
    bool m_ended = false;
};

} // namespace standins
