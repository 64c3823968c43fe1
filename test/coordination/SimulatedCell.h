// Simulates a cell with faults under a real scheduler, and checks the scheduler's guarantees after each step.
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

/** @brief Simulates workers that run tasks, callers that retry submissions, and takeovers by a new owner. */
class SimulatedCell final : public WorkerPool {
public:
    explicit SimulatedCell(std::uint64_t seed);

    // Steps of a simulated history. An argument selects a worker, submission or task, modulo their number.
    void submit(std::uint32_t shape);
    void resubmit(std::uint32_t n);
    void cancel(std::uint32_t n);
    void endTask(std::uint32_t n, bool succeeded);
    void advanceTime(Duration time);
    void disconnectWorker(std::uint32_t worker);
    void reconnectWorker(std::uint32_t worker);
    void expireWorker(std::uint32_t worker);
    void restartWorker(std::uint32_t worker);
    void toggleDrain(std::uint32_t worker);
    void stallJournal();
    void resumeJournal();
    void takeOver();
    /** @brief Ends all faults, lets all work end and checks that nothing is left unanswered. */
    void finish();

    /** @brief Violated guarantees found so far. */
    const std::vector<std::string>& violations() const { return m_violations; }
    std::uint64_t taskRuns() const { return m_taskRuns; } ///< number of task runs started by workers

    void start(const VmId& worker, const TaskId& task, const Resources& size, const std::string& payload,
        const std::string& traceparent, std::function<void(CommandOutcome, std::string)> done) override;
    void applyAction(const VmId& worker, TaskAction action, const TaskId& task) override;

private:
    using StartDone = std::function<void(CommandOutcome, std::string)>;
    struct Worker {
        WorkerDescription description;
        bool reachable = true;
        bool present = true; ///< its leases have not ended
        std::map<TaskId, Resources> running;
        std::map<TaskId, FinishedTask> finished; ///< retained outcomes
        std::set<TaskId> undelivered; ///< outcomes not yet delivered to the owner
        std::map<TaskId, StartDone> unanswered; ///< start commands without a response
        std::set<TaskId> ownFailures; ///< runs that failed of themselves, until an owner has learnt of it
    };
    struct Submission {
        WorkSpec spec;
        std::uint32_t sent = 0; ///< submissions sent to the current owner
        std::uint32_t answers = 0; ///< results received from the current owner
        bool answered = false;
        bool claimedNotRun = false; ///< an owner answered that the work has not run
        bool refusedBefore = false; ///< an earlier owner answered that the work has not run
        bool cancelled = false;
    };

    std::uint32_t random(std::uint32_t n) { return static_cast<std::uint32_t>(m_random() % n); }
    void send(Submission& submission);
    void begin(Worker& worker, const TaskId& task, const Resources& size);
    void end(Worker& worker, const TaskId& task, bool succeeded);
    void deliverOutcomes(Worker& worker);
    /** @brief Records an end that the current owner learns of. */
    void noteEnd(const FinishedTask& task);
    /** @brief Counts a failure that the current owner learns of by an event. */
    void countFailure(const TaskId& task);
    /** @brief Whether the task must not run again. A request whose answer was lost may. */
    bool endsTask(const FinishedTask& task) const;
    /** @brief Drops the noted ends that the current owner can learn of from neither the journal nor a worker. */
    void forgetUnknownEnds();
    void stopWorker(Worker& worker);
    LeaseReport report(Worker& worker);
    void startNewOwner();
    void check();
    void countGangStart(const WorkSpec& spec);
    void addViolation(const std::string& text) { m_violations.push_back(text); }
    bool running(const WorkId& work, std::uint32_t index) const;
    /** @brief Whether the task ended and its outcome has not been delivered to the owner. */
    bool hasUndeliveredEnd(const WorkId& work, std::uint32_t index) const;

    std::mt19937_64 m_random;
    ManualRuntime m_runtime;
    RecordingJournal m_journal;
    Configuration m_configuration;
    std::vector<Worker> m_workers;
    std::deque<Submission> m_submissions;
    std::map<WorkId, std::size_t> m_byId;
    std::map<std::pair<WorkId, std::uint32_t>, std::uint32_t> m_runs; ///< number of runs of each task
    std::set<std::pair<WorkId, std::uint32_t>> m_succeeded;
    std::set<std::pair<WorkId, std::uint32_t>> m_notedAsDone; ///< tasks that must not start again
    std::set<std::pair<WorkId, std::uint32_t>> m_notedByOwner; ///< those whose end the current owner has learnt of
    std::map<std::pair<WorkId, std::uint32_t>, std::uint32_t> m_failures; ///< counted failures of each batch task
    std::set<TaskId> m_stopped; ///< runs for which a stop was ordered
    std::map<WorkId, std::uint32_t> m_gangStarts; ///< start commands per gang job in the current decision
    std::uint64_t m_taskRuns = 0;
    std::vector<std::string> m_violations;
    std::unique_ptr<CellScheduler> m_scheduler;
};

} // namespace lycheeledge::test
