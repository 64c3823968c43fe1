// Embeds the cell scheduler in a program without a network: the runtime has a virtual clock, and the simulated worker
// completes each task after 100 ms. Prints when each request starts and when it is answered.

#include <lycheeledge/coordination/CellScheduler.h>

#include <chrono>
#include <functional>
#include <iostream>
#include <map>
#include <utility>

using namespace lycheeledge;
using namespace std::chrono_literals;

namespace {

// Runtime with a virtual clock. Runs callbacks in the order of their due times.
class VirtualRuntime final : public Runtime {
public:
    TimePoint now() const override { return m_now; }
    TimerId after(Duration delay, std::function<void()> task) override
    {
        m_tasks.emplace(std::make_pair(m_now + delay, ++m_lastTimer), std::move(task));
        return m_lastTimer;
    }
    void cancel(TimerId timer) override
    {
        std::erase_if(m_tasks, [timer](const auto& task) { return task.first.second == timer; });
    }
    void post(std::function<void()> task) override { after(Duration::zero(), std::move(task)); }
    std::uint64_t random() override { return ++m_random * 0x9e3779b97f4a7c15ULL; }

    void runFor(Duration duration)
    {
        const TimePoint end = m_now + duration;
        while (!m_tasks.empty() && m_tasks.begin()->first.first <= end) {
            auto task = m_tasks.extract(m_tasks.begin());
            m_now = task.key().first;
            task.mapped()();
        }
        m_now = end;
    }

private:
    TimePoint m_now;
    TimerId m_lastTimer = 0;
    std::uint64_t m_random = 0;
    std::map<std::pair<TimePoint, TimerId>, std::function<void()>> m_tasks;
};

// Journal that reports each record as durable at once. Stores nothing.
class InstantJournal final : public JobJournal {
public:
    explicit InstantJournal(Runtime& runtime)
        : m_runtime(runtime)
    {
    }
    void append(JournalRecord, std::function<void(absl::Status)> done) override
    {
        m_runtime.post([done = std::move(done)] { done(absl::OkStatus()); });
    }

private:
    Runtime& m_runtime;
};

// Worker pool that accepts every start command and completes each task after 100 ms.
class SimulatedWorkers final : public WorkerPool {
public:
    explicit SimulatedWorkers(Runtime& runtime)
        : m_runtime(runtime)
    {
    }
    void setListener(WorkerPoolListener& listener) { m_listener = &listener; }

    void start(const VmId& worker, const TaskId& task, const Resources&, const std::string&, const std::string&,
        std::function<void(CommandOutcome, std::string)> done) override
    {
        std::cout << milliseconds() << " ms: " << task.work.request << " starts on " << worker << '\n';
        m_runtime.post([done = std::move(done)] { done(CommandOutcome::Accepted, ""); });
        m_runtime.after(100ms, [this, worker, task] {
            FinishedTask finished;
            finished.id = task;
            finished.succeeded = true;
            finished.body = "done";
            finished.bodyLength = finished.body.size();
            m_listener->taskFinished(worker, finished);
        });
    }
    void act(const VmId&, TaskAction, const TaskId&) override { }

    long milliseconds() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(m_runtime.now().time_since_epoch()).count();
    }

private:
    Runtime& m_runtime;
    WorkerPoolListener* m_listener = nullptr;
};

} // namespace

int main()
{
    VirtualRuntime runtime;
    InstantJournal journal(runtime);
    SimulatedWorkers pool(runtime);
    CellScheduler scheduler(runtime, pool, journal);
    pool.setListener(scheduler);

    Configuration configuration;
    configuration.teams[TeamId("demo")] = Team { TeamId("demo"), 1.0, std::nullopt, 0 };
    scheduler.applyConfiguration(configuration);

    const Resources capacity { 2000, 4096, 0, 2, 16 }; // room for two requests at a time
    LeaseReport report;
    report.worker = VmId("worker-1");
    report.accepted = true;
    report.full = true;
    report.capacity = capacity;
    scheduler.workerAvailable({ VmId("worker-1"), {}, ZoneId("a"), RackId("r"), capacity, false }, report);
    scheduler.activate({});

    int answered = 0;
    for (int n = 1; n <= 4; ++n) {
        WorkSpec spec;
        spec.id = { TeamId("demo"), RequestId("request-" + std::to_string(n)) };
        spec.perTask = { 1000, 512, 0, 1, 1 };
        spec.deadline = 2s;
        scheduler.submit(spec, "", [&](const WorkResult& result) {
            answered += result.ok() ? 1 : 0;
            std::cout << pool.milliseconds() << " ms: " << result.id.request << " answered: " << result.body << '\n';
        });
    }
    runtime.runFor(1s);
    return answered == 4 ? 0 : 1;
}
