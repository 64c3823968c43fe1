// A cell of simulated workers under a scheduler, with faults, that checks the guarantees after each step.
#pragma once

#include "support/ManualRuntime.h"
#include "support/SchedulerHarness.h"

#include <lycheeledge/coordination/CellScheduler.h>

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lycheeledge::test {

/** @brief Workers that really run tasks, callers that send again, and takeovers by a new owner. */
class SimulatedCell final : public WorkerPool {
public:
    explicit SimulatedCell(std::uint64_t seed);

    // Steps of a history. Arguments are taken modulo what exists.
    void submit(std::uint32_t shape);
    void submitAgain(std::uint32_t n);
    void cancel(std::uint32_t n);
    void endTask(std::uint32_t n, bool succeeded);
    void pass(Duration time);
    void cutOff(std::uint32_t worker);
    void reconnect(std::uint32_t worker);
    void lose(std::uint32_t worker);
    void restartWorker(std::uint32_t worker);
    void drain(std::uint32_t worker);
    void stallJournal();
    void resumeJournal();
    void takeOver();
    /** @brief Ends all faults and lets all work end. */
    void finish();

    /** @brief Violations of guarantees found so far. */
    const std::vector<std::string>& violations() const { return m_violations; }
    std::uint64_t taskRuns() const { return m_taskRuns; } ///< tasks that workers began

    void start(const VmId& worker, const TaskId& task, const Resources& size, const std::string& payload,
        const std::string& traceparent, std::function<void(CommandOutcome, std::string)> done) override;
    void act(const VmId& worker, TaskAction action, const TaskId& task) override;

private:
    using StartDone = std::function<void(CommandOutcome, std::string)>;
    struct Worker {
        WorkerDescription description;
        bool reachable = true;
        bool present = true; ///< its leases have not ended
        std::map<TaskId, Resources> running;
        std::map<TaskId, FinishedTask> finished; ///< remembered outcomes
        std::set<TaskId> undelivered; ///< outcomes that the owner has not got
        std::map<TaskId, StartDone> unanswered;
    };
    struct Submission {
        WorkSpec spec;
        std::uint32_t sent = 0; ///< submissions to the current owner without an answer
        std::uint32_t answers = 0; ///< answers of the current owner
        bool answered = false;
        bool claimedNotRun = false;
        bool refusedBefore = false; ///< by an earlier owner
        bool cancelled = false;
    };

    std::uint32_t random(std::uint32_t n) { return static_cast<std::uint32_t>(m_random() % n); }
    void send(Submission& submission);
    void begin(Worker& worker, const TaskId& task, const Resources& size);
    void end(Worker& worker, const TaskId& task, bool succeeded);
    void deliver(Worker& worker);
    void stopAll(Worker& worker);
    LeaseReport report(const Worker& worker) const;
    void newOwner();
    void check();
    void countGangStart(const WorkSpec& spec);
    void fail(const std::string& text) { m_violations.push_back(text); }
    bool running(const WorkId& work, std::uint32_t index) const;
    /// Whether the task ended and the owner has not heard of it.
    bool endUnknown(const WorkId& work, std::uint32_t index) const;

    std::mt19937_64 m_random;
    ManualRuntime m_runtime;
    RecordingJournal m_journal;
    Configuration m_configuration;
    std::vector<Worker> m_workers;
    std::deque<Submission> m_submissions;
    std::map<WorkId, std::size_t> m_byId;
    std::map<std::pair<WorkId, std::uint32_t>, std::uint32_t> m_runs; ///< runs of each task
    std::set<std::pair<WorkId, std::uint32_t>> m_succeeded;
    std::map<WorkId, std::uint32_t> m_gangStarts; ///< start commands of gang jobs in the current decision
    std::uint64_t m_taskRuns = 0;
    std::vector<std::string> m_violations;
    std::unique_ptr<CellScheduler> m_scheduler;
};

} // namespace lycheeledge::test
