// Stand-ins of executors (PROTOCOL, "Running tasks"). A task's work is written in the spec of its submission.
#pragma once

#include "Http.h"
#include "Store.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace standins {

/** @brief Writes lines with the time since the start, and the task events that the checks read. */
class Record {
public:
    explicit Record(const std::string& file);
    ~Record();

    void line(const std::string& text);
    std::int64_t nowMs() const { return steadyMs() - m_beginMs; }

private:
    std::mutex m_mutex;
    std::int64_t m_beginMs = steadyMs();
    void* m_file = nullptr;
};

/** @brief What a client writes into `spec`: work of each task, and the number of tasks of a gang (0: none). */
struct Work {
    int taskMs = 0;
    int gang = 0;
};
std::string encodeWork(const Work& work);

struct Bounds {
    std::int64_t maxHoldMs = 10000;
    std::int64_t stopMs = 100; ///< within stopTimeoutMs (200)
    std::int64_t gangTimeoutMs = 3000;
    std::int64_t heartbeatMs = 1500;
};

/** @brief All executors of one service, in one process, each at an address of its own. */
class Executors {
public:
    Executors(Store& store, Record& record, std::string service, int count, const Bounds& bounds = {});

    bool open();
    int count() const { return static_cast<int>(m_all.size()); }
    /** @brief Cut off from all machines and the store; it runs on. */
    void setCut(int executor, bool isCut);
    /** @brief It runs nothing any more, and its port refuses. */
    void crash(int executor);
    /** @brief It starts again under its id and address, and knows nothing. */
    void restart(int executor);
    bool isUp(int executor);

    struct Seen {
        std::string task;
        std::uint64_t run = 0;
        int executor = 0;
    };
    /** @brief Runs at work now, of tasks whose names begin so. A gang is at work once all its members are present. */
    std::vector<Seen> atWork(const std::string& prefix);
    int starts(const std::string& prefix); ///< so far
    int ends(const std::string& prefix, const std::string& how); ///< so far

private:
    struct Run {
        std::uint64_t run = 0;
        Work work;
        std::int64_t startMs = 0; ///< steady clock
        std::int64_t workFromMs = 0; ///< 0: it waits for its gang
        std::int64_t stopAtMs = 0; ///< 0: no stop
    };
    struct Ended {
        std::uint64_t number = 0;
        std::string task;
        std::uint64_t run = 0;
        std::string how;
    };
    struct Executor {
        std::string id;
        std::unique_ptr<Server> server;
        bool up = true;
        bool cut = false;
        std::int64_t bornUnixMs = 0;
        std::int64_t bornMs = 0; ///< steady clock
        std::uint64_t fence = 0;
        std::int64_t deadlineMs = 0; ///< its clock
        std::map<std::string, Run> runs;
        std::map<std::string, std::uint64_t> closedRuns; ///< highest run stopped or ended
        std::deque<Ended> ended;
        std::uint64_t nextEnd = 1;
        std::uint64_t seq = 0;
        std::int64_t nextBeatMs = 0;
    };

    std::optional<Response> handle(int executor, const Request& request);
    std::optional<Response> hold(Executor& it, const class Body& body, std::unique_lock<std::mutex>& lock);
    Response start(Executor& it, const class Body& body);
    Response stop(Executor& it, const class Body& body);
    void end(Executor& it, const std::string& task, const std::string& how);
    void tick();
    void tickGangs(std::int64_t now);
    void beat(Executor& it, int number);
    std::string lists(Executor& it) const;

    Store& m_store;
    Record& m_record;
    std::string m_service;
    Bounds m_bounds;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<Executor> m_all;
    std::map<std::string, int> m_starts; ///< by task
    std::map<std::pair<std::string, std::string>, int> m_ends; ///< by task and how
};

} // namespace standins
