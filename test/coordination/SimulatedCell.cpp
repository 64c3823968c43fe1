// Simulates a cell with faults under a real scheduler, and checks the scheduler's guarantees after each step.

#include "SimulatedCell.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace lycheeledge::test {

using namespace std::chrono_literals;

namespace {

    std::string workName(const WorkId& id) { return absl::StrCat(id.team.value(), "/", id.request.value()); }

} // namespace

SimulatedCell::SimulatedCell(std::uint64_t seed)
    : m_random(seed)
    , m_runtime(seed)
    , m_journal(m_runtime)
{
    m_configuration.teams[TeamId("t0")] = { TeamId("t0"), 1.0, std::nullopt, 0 };
    m_configuration.teams[TeamId("t1")] = { TeamId("t1"), 2.0, Resources { 20000, 20000, 0, 6, 20 }, 0 };
    m_configuration.teams[TeamId("t2")] = { TeamId("t2"), 3.0, std::nullopt, 5 };
    m_configuration.policies[WorkKind::Batch] = { WorkKind::Batch, 3, true, 10000 };
    for (int i = 0; i < 4; ++i) {
        const auto zone = "z" + std::to_string(i % 2);
        Worker worker;
        worker.description = SchedulerHarness::worker("w" + std::to_string(i), zone, { 4000, 8000, 0, 4, 16 });
        m_journal.records.push_back(WorkerJoined { worker.description, "s" });
        m_workers.push_back(std::move(worker));
    }
    startNewOwner();
}

void SimulatedCell::submit(std::uint32_t shape)
{
    WorkSpec spec;
    spec.id = { TeamId("t" + std::to_string(shape % 3)), RequestId("r" + std::to_string(m_submissions.size())) };
    spec.kind = static_cast<WorkKind>(shape / 3 % 3);
    spec.perTask = { 500 + 500 * (shape / 9 % 4), 1000, 0, 1, 1 };
    spec.repeatable = shape / 36 % 2 == 0;
    spec.urgent = shape / 72 % 4 == 0;
    spec.attempt = 1;
    if (spec.kind == WorkKind::Request) {
        spec.deadline = shape / 288 % 2 ? 3s : 0s;
    } else {
        spec.taskCount = 1 + shape / 288 % 5;
        spec.gang = shape / 1440 % 2 == 0;
        spec.declaredRunTime = shape / 2880 % 2 ? 1s : 0s;
    }
    m_byId[spec.id] = m_submissions.size();
    m_submissions.push_back({ spec });
    send(m_submissions.back());
    check();
}

void SimulatedCell::send(Submission& submission)
{
    ++submission.sent;
    m_scheduler->submit(submission.spec, "", [this, id = submission.spec.id](const WorkResult& result) {
        Submission& answered = m_submissions[m_byId.at(id)];
        answered.answered = true;
        if (++answered.answers > answered.sent)
            addViolation(workName(id) + " was answered more often than it was sent");
        if (!result.ok() && result.run == RunState::NotRun)
            answered.claimedNotRun = true;
        if (result.ok() && !answered.spec.deadline.count() && answered.spec.kind == WorkKind::Request
            && !m_succeeded.contains({ id, 0 }))
            addViolation(workName(id) + " succeeded without a run");
    });
}

void SimulatedCell::resubmit(std::uint32_t n)
{
    if (m_submissions.empty())
        return;
    Submission& submission = m_submissions[n % m_submissions.size()];
    if (submission.refusedBefore)
        return; // a delayed retry would go to the earlier owner, which no longer exists
    // After a refusal, a higher attempt number would request a new run instead of repeating the refused submission.
    if (!submission.claimedNotRun)
        ++submission.spec.attempt;
    send(submission);
    check();
}

void SimulatedCell::cancel(std::uint32_t n)
{
    if (m_submissions.empty())
        return;
    Submission& submission = m_submissions[n % m_submissions.size()];
    submission.cancelled = true;
    m_scheduler->cancel(submission.spec.id, [](const auto&) {});
    check();
}

void SimulatedCell::endTask(std::uint32_t n, bool succeeded)
{
    std::vector<std::pair<std::size_t, TaskId>> all;
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        for (const auto& [id, size] : m_workers[i].running)
            all.emplace_back(i, id);
    }
    if (all.empty())
        return;
    const auto& [worker, task] = all[n % all.size()];
    if (!succeeded && !m_stopped.contains(task))
        m_workers[worker].ownFailures.insert(task);
    end(m_workers[worker], task, succeeded);
    check();
}

void SimulatedCell::advanceTime(Duration time)
{
    m_runtime.advance(time);
    check();
}

void SimulatedCell::disconnectWorker(std::uint32_t n)
{
    Worker& worker = m_workers[n % m_workers.size()];
    if (!worker.present || !worker.reachable)
        return;
    worker.reachable = false;
    m_scheduler->workerUnreachable(worker.description.id);
    check();
}

void SimulatedCell::reconnectWorker(std::uint32_t n)
{
    Worker& worker = m_workers[n % m_workers.size()];
    if (worker.reachable)
        return;
    const bool rejoins = !worker.present;
    worker.reachable = true;
    worker.present = true;
    if (rejoins)
        m_journal.records.push_back(WorkerJoined { worker.description, "s" });
    for (auto& [task, done] : std::exchange(worker.unanswered, {})) {
        const bool known = worker.running.contains(task) || worker.finished.contains(task);
        m_runtime.post([done = std::move(done), known] {
            done(known ? CommandOutcome::Accepted : CommandOutcome::NotDelivered, "");
        });
    }
    // The report is full because after a takeover the new owner has not seen this worker yet.
    m_scheduler->workerAvailable(worker.description, report(worker));
    deliverOutcomes(worker);
    check();
}

void SimulatedCell::expireWorker(std::uint32_t n)
{
    Worker& worker = m_workers[n % m_workers.size()];
    if (worker.reachable || !worker.present)
        return;
    stopWorker(worker);
    check();
}

void SimulatedCell::restartWorker(std::uint32_t n)
{
    Worker& worker = m_workers[n % m_workers.size()];
    if (!worker.present)
        return;
    worker.finished.clear();
    worker.undelivered.clear();
    stopWorker(worker);
    reconnectWorker(n);
}

void SimulatedCell::stopWorker(Worker& worker)
{
    worker.reachable = false;
    worker.present = false;
    worker.ownFailures.clear(); // the owner takes these runs for lost
    std::vector<TaskId> lostTasks;
    for (const auto& [task, size] : std::exchange(worker.running, {}))
        lostTasks.push_back(task);
    m_journal.records.push_back(WorkerRemoved { worker.description.id, lostTasks });
    for (auto& [task, done] : std::exchange(worker.unanswered, {}))
        m_runtime.post([done = std::move(done)] { done(CommandOutcome::Unknown, "worker lost"); });
    forgetUnknownEnds();
    m_scheduler->workerLost(worker.description.id);
}

void SimulatedCell::toggleDrain(std::uint32_t n)
{
    const VmId& id = m_workers[n % m_workers.size()].description.id;
    m_configuration.drained[id] = !m_configuration.drained[id];
    m_scheduler->applyConfiguration(m_configuration);
    check();
}

void SimulatedCell::stallJournal() { m_journal.holding = true; }

void SimulatedCell::resumeJournal()
{
    m_journal.holding = false;
    m_journal.release();
    check();
}

void SimulatedCell::takeOver()
{
    m_scheduler.reset();
    m_journal.interrupt(random(static_cast<std::uint32_t>(m_journal.waiting()) + 1));
    m_journal.holding = false;
    m_runtime.settle();
    for (Worker& worker : m_workers)
        worker.unanswered.clear();
    m_notedByOwner.clear();
    forgetUnknownEnds();
    startNewOwner();
    for (Submission& submission : m_submissions) {
        const bool awaitsAnswer = !submission.answered;
        submission.refusedBefore = submission.claimedNotRun;
        submission.sent = 0;
        submission.answers = 0;
        if (awaitsAnswer && !submission.cancelled) {
            ++submission.spec.attempt;
            send(submission);
        }
    }
    check();
}

void SimulatedCell::startNewOwner()
{
    m_scheduler = std::make_unique<CellScheduler>(m_runtime, *this, m_journal);
    m_scheduler->applyConfiguration(m_configuration);
    const bool reportsFirst = random(2) == 0;
    if (!reportsFirst)
        m_scheduler->recover(m_journal.records);
    std::vector<VmId> missing;
    for (Worker& worker : m_workers) {
        if (worker.reachable)
            m_scheduler->workerAvailable(worker.description, report(worker));
        else if (worker.present)
            missing.push_back(worker.description.id);
    }
    if (reportsFirst)
        m_scheduler->recover(m_journal.records);
    m_scheduler->activate(missing);
    for (Worker& worker : m_workers) {
        if (worker.reachable)
            deliverOutcomes(worker);
    }
}

void SimulatedCell::start(
    const VmId& id, const TaskId& task, const Resources& size, const std::string&, const std::string&, StartDone done)
{
    Submission& submission = m_submissions[m_byId.at(task.work)];
    if (submission.spec.gang && submission.spec.repeatable && submission.spec.taskCount > 1)
        countGangStart(submission.spec);
    Worker& worker
        = *std::find_if(m_workers.begin(), m_workers.end(), [&](const Worker& w) { return w.description.id == id; });
    if (!worker.reachable)
        addViolation(workName(task.work) + " was sent to an unreachable worker");
    const std::uint32_t response = random(20);
    if (response == 0 || response == 1) {
        const auto outcome = response == 0 ? CommandOutcome::Refused : CommandOutcome::NotDelivered;
        m_runtime.post([done = std::move(done), outcome] { done(outcome, "test"); });
        return;
    }
    begin(worker, task, size);
    if (response == 2) // the response arrives only after the worker is reached again or lost
        worker.unanswered.emplace(task, std::move(done));
    else
        m_runtime.post([done = std::move(done)] { done(CommandOutcome::Accepted, ""); });
}

void SimulatedCell::applyAction(const VmId& id, TaskAction action, const TaskId& task)
{
    if (action != TaskAction::Stop)
        return;
    m_stopped.insert(task);
    Worker& worker
        = *std::find_if(m_workers.begin(), m_workers.end(), [&](const Worker& w) { return w.description.id == id; });
    if (random(2) == 0 && worker.running.contains(task) && worker.reachable)
        m_runtime.post([this, &worker, task] { end(worker, task, false); });
}

void SimulatedCell::begin(Worker& worker, const TaskId& task, const Resources& size)
{
    if (worker.running.contains(task) || worker.finished.contains(task))
        return;
    const Submission& submission = m_submissions[m_byId.at(task.work)];
    if (running(task.work, task.index))
        addViolation(absl::StrCat(workName(task.work), ":", task.index, " runs on two workers"));
    if (m_notedAsDone.contains({ task.work, task.index }))
        addViolation(absl::StrCat(workName(task.work), ":", task.index, " started again after its end was noted"));
    ++m_taskRuns;
    if (++m_runs[{ task.work, task.index }] > 1 && !submission.spec.repeatable)
        addViolation(absl::StrCat(workName(task.work), ":", task.index, " is not repeatable and ran twice"));
    worker.running.emplace(task, size);
}

void SimulatedCell::end(Worker& worker, const TaskId& task, bool succeeded)
{
    if (worker.running.erase(task) == 0)
        return;
    if (succeeded)
        m_succeeded.insert({ task.work, task.index });
    worker.finished[task] = { task, succeeded, succeeded ? "" : "failed", 2, "", "ok" };
    worker.undelivered.insert(task);
    if (worker.reachable)
        deliverOutcomes(worker);
}

void SimulatedCell::deliverOutcomes(Worker& worker)
{
    if (!m_scheduler)
        return; // a takeover is in progress
    for (const TaskId& task : std::exchange(worker.undelivered, {})) {
        noteEnd(worker.finished.at(task));
        if (worker.ownFailures.erase(task) > 0)
            countFailure(task);
        m_scheduler->taskFinished(worker.description.id, worker.finished.at(task));
        if (random(4) == 0) // events are delivered at least once
            m_scheduler->taskFinished(worker.description.id, worker.finished.at(task));
        worker.finished.at(task).body.clear(); // acknowledged
    }
}

void SimulatedCell::noteEnd(const FinishedTask& task)
{
    if (endsTask(task)) {
        for (auto* noted : { &m_notedAsDone, &m_notedByOwner })
            noted->insert({ task.id.work, task.id.index });
    }
}

void SimulatedCell::countFailure(const TaskId& task)
{
    const WorkSpec& spec = m_submissions[m_byId.at(task.work)].spec;
    // While a gang is being stopped, the failure of one more of its tasks makes no difference.
    if (spec.kind != WorkKind::Batch || spec.gang)
        return;
    const std::uint32_t n = ++m_failures[{ task.work, task.index }];
    if (n > m_configuration.policies.at(WorkKind::Batch).maxAttempts)
        addViolation(absl::StrCat(workName(task.work), ":", task.index, " failed ", n, " times"));
}

bool SimulatedCell::endsTask(const FinishedTask& task) const
{
    const WorkSpec& spec = m_submissions[m_byId.at(task.id.work)].spec;
    return task.succeeded && (spec.kind != WorkKind::Request || task.body.size() == task.bodyLength);
}

void SimulatedCell::forgetUnknownEnds()
{
    std::erase_if(m_notedAsDone, [&](const auto& key) {
        const bool durable = std::any_of(m_journal.records.begin(), m_journal.records.end(), [&](const auto& record) {
            const auto* job = std::get_if<JobEnded>(&record);
            const auto* task = std::get_if<TaskEnded>(&record);
            return (job && job->result.id == key.first)
                || (task && task->succeeded && task->id.work == key.first && task->id.index == key.second);
        });
        return !durable && !m_notedByOwner.contains(key)
            && std::none_of(m_workers.begin(), m_workers.end(), [&](const Worker& worker) {
                   return worker.present
                       && std::any_of(worker.finished.begin(), worker.finished.end(), [&](const auto& finished) {
                              const FinishedTask& task = finished.second;
                              return endsTask(task) && task.id.work == key.first && task.id.index == key.second;
                          });
               });
    });
}

LeaseReport SimulatedCell::report(Worker& worker)
{
    LeaseReport report = SchedulerHarness::report(worker.description);
    for (const auto& [task, size] : worker.running)
        report.running.push_back({ task, size, {} });
    for (const auto& [id, task] : worker.finished) {
        noteEnd(task);
        worker.ownFailures.erase(id);
        report.finished.push_back(task);
    }
    return report;
}

bool SimulatedCell::running(const WorkId& work, std::uint32_t index) const
{
    return std::any_of(m_workers.begin(), m_workers.end(), [&](const Worker& worker) {
        return std::any_of(worker.running.begin(), worker.running.end(),
            [&](const auto& task) { return task.first.work == work && task.first.index == index; });
    });
}

bool SimulatedCell::hasUndeliveredEnd(const WorkId& work, std::uint32_t index) const
{
    return std::any_of(m_workers.begin(), m_workers.end(), [&](const Worker& worker) {
        return std::any_of(worker.undelivered.begin(), worker.undelivered.end(),
            [&](const TaskId& task) { return task.work == work && task.index == index; });
    });
}

void SimulatedCell::check()
{
    m_runtime.settle();
    std::map<TeamId, std::pair<Resources, std::uint32_t>> usage;
    for (const Worker& worker : m_workers) {
        Resources sum;
        for (const auto& [task, size] : worker.running) {
            sum += size;
            usage[task.work.team].first += size;
            ++usage[task.work.team].second;
        }
        if (!sum.fitsIn(worker.description.capacity))
            addViolation(worker.description.id.value() + " runs more work than its capacity allows");
    }
    for (const auto& [id, used] : usage) {
        const Team& team = m_configuration.teams.at(id);
        if (team.upperLimit && !used.first.fitsIn(*team.upperLimit))
            addViolation(id.value() + " is above its upper limit");
        if (team.maxRunningTasks > 0 && used.second > team.maxRunningTasks)
            addViolation(id.value() + " runs too many tasks");
    }
    for (const auto& [task, n] : m_runs) {
        if (m_submissions[m_byId.at(task.first)].claimedNotRun)
            addViolation(workName(task.first) + " ran although it was answered as not run");
    }
}

void SimulatedCell::countGangStart(const WorkSpec& spec)
{
    if (m_gangStarts[spec.id]++ > 0)
        return;
    // The posted check runs after the decision, which must start all tasks that are neither running nor ended.
    std::uint32_t others = 0;
    for (std::uint32_t i = 0; i < spec.taskCount; ++i)
        others += m_succeeded.contains({ spec.id, i }) || running(spec.id, i) || hasUndeliveredEnd(spec.id, i) ? 1 : 0;
    m_runtime.post([this, id = spec.id, n = spec.taskCount, others] {
        const std::uint32_t starts = std::exchange(m_gangStarts[id], 0);
        if (starts + others < n) // tasks whose end the owner did not know may start again
            addViolation(absl::StrCat(
                workName(id), " started ", starts, " of ", n, " gang tasks, with ", others, " running or ended"));
    });
}

void SimulatedCell::finish()
{
    m_configuration.drained.clear();
    m_scheduler->applyConfiguration(m_configuration);
    resumeJournal();
    for (std::uint32_t i = 0; i < m_workers.size(); ++i)
        reconnectWorker(i);
    auto workRemains = [&] {
        return m_scheduler->overview().pending > 0
            || std::any_of(m_workers.begin(), m_workers.end(), [](const Worker& w) { return !w.running.empty(); });
    };
    for (int i = 0; i < 500 && workRemains(); ++i) {
        for (Worker& worker : m_workers) {
            for (auto& [task, done] : std::exchange(worker.unanswered, {}))
                m_runtime.post([done = std::move(done)] { done(CommandOutcome::Accepted, ""); });
            m_runtime.settle();
            for (const auto& [task, size] : std::map(worker.running))
                end(worker, task, true);
        }
        advanceTime(1s);
    }
    const auto view = m_scheduler->overview();
    if (view.pending > 0)
        addViolation(absl::StrCat(view.pending, " submissions never ended"));
    for (const Submission& submission : m_submissions) {
        const auto status = m_scheduler->status(submission.spec.id);
        if (view.pending > 0 && status && status->phase != WorkPhase::Finished)
            m_violations.back() += absl::StrCat("; ", workName(submission.spec.id), " ", status->tasksRunning, "+",
                status->tasksFinished, " of ", status->taskCount, ": ", status->reason);
    }
    for (const auto& worker : view.workers) {
        if (!worker.reserved.isZero())
            addViolation(worker.id.value() + " has reservations left");
    }
    for (const Submission& submission : m_submissions) {
        if (submission.answers < submission.sent)
            addViolation(workName(submission.spec.id) + " was not answered");
    }
}

} // namespace lycheeledge::test
