// Scheduler of the owner: load of the pools, and prediction of submitted jobs.

#include "JobScheduler.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <utility>

namespace lycheeledge::jobs {

namespace {

    const std::string& imageOf(const QueuePolicy& queue, const StepSpec& spec)
    {
        return spec.image.empty() ? queue.name : spec.image;
    }

    /** @brief Duration of the admission call that a step needs. */
    Duration admissionTime(const AdmissionPolicy& policy, const StepSpec& spec, std::size_t maxWorkers)
    {
        return policy.perCall
            + policy.perWorker
            * static_cast<Duration::rep>(
                std::min<std::size_t>(maxWorkers, spec.maxTasksPerWorker == 1 ? spec.taskCount : 1));
    }

    bool needsAdmission(const Step& step)
    {
        return step.hasWaiting() && step.admission.grantedAt == TimePoint() && !step.admission.requestPending;
    }

} // namespace

Duration JobScheduler::expectedRunTime(const QueuePolicy& queue, const StepSpec& spec) const
{
    return m_runTimes.expected(queue.pool, imageOf(queue, spec), spec.estimatedRunTime, m_runtime.now());
}

void JobScheduler::recordRunTime(const Job& job, const StepSpec& spec, const MeasuredRun& run)
{
    if (const QueuePolicy* queue = queueOf(job))
        m_runTimes.record(queue->pool, imageOf(*queue, spec), spec.estimatedRunTime, run, m_runtime.now());
}

AccountBounds JobScheduler::boundsOf(const AccountId& id) const
{
    const ClientAccount* account = m_configuration ? m_configuration->account(id) : nullptr;
    return account == nullptr ? AccountBounds {} : AccountBounds { account->weight, account->upperLimit };
}

PoolLoad& JobScheduler::currentLoad(const std::string& pool)
{
    const TimePoint now = m_runtime.now();
    if (m_loadsBuiltAt == TimePoint() || now - m_loadsBuiltAt >= m_settings.loadLifetime) {
        rebuildLoads();
        m_loadsBuiltAt = now;
    }
    return m_loads[pool];
}

// Linear in the ready steps, the workers and their runs, not in the jobs: those that have ended are kept for minutes.
void JobScheduler::rebuildLoads()
{
    m_loads.clear();
    for (const auto& queue : m_configuration->queues) {
        const auto [it, isNew] = m_loads.try_emplace(queue.pool);
        if (isNew)
            addWorkers(it->second, m_pools.pool(queue.pool, m_workers));
    }
    absl::flat_hash_set<const Occurrence*> added;
    const auto add = [this, &added](const JobId& id, std::uint32_t n) {
        const Job* job = find(id);
        if (job == nullptr || isFinal(job->state))
            return;
        const auto it = job->open.find(n);
        if (it != job->open.end() && added.insert(&it->second).second)
            addWaitingWork(*job, it->second);
    };
    for (const auto& id : m_unstoredJobs) {
        const Job* job = find(id);
        const QueuePolicy* queue = job != nullptr ? queueOf(*job) : nullptr;
        if (queue == nullptr || isFinal(job->state) || isLongRunning(job->spec()))
            continue;
        const AccountId& account = job->submission.account;
        WaitingWork waiting = submittedWork(*queue, account, job->spec()).waiting;
        waiting.beyondRate = job->submission.beyondRate;
        m_loads[queue->pool].addWaiting(std::move(waiting), boundsOf(account));
    }
    for (const auto& key : m_readySteps)
        add(key.job, key.occurrence);
    for (const auto& [id, worker] : m_workers.all()) {
        addRuns(worker);
        for (const auto& [task, run] : worker.runs)
            add(task.job, task.occurrence); // for its later steps
    }
}

// Workers that take no tasks for less than a second, such as after a refused start, count.
bool JobScheduler::countsAsCapacity(const Worker& worker) const
{
    return !worker.record.draining && !worker.inMaintenance && worker.reported && worker.link
        && worker.link->isReachable() && !isUnregistered(worker) && !m_host.isEvacuated(worker.record.dataCentre)
        && !m_quarantine.isQuarantined(worker.record.id, m_runtime.now());
}

void JobScheduler::addWorkers(PoolLoad& load, const Pool& pool)
{
    load.builtAt = m_runtime.now();
    load.admissionRelays = m_admission.relays();
    for (const Worker* worker : pool.workers) {
        load.hasReports = load.hasReports || worker->reported;
        if (!countsAsCapacity(*worker))
            continue;
        load.capacity += worker->record.capacity;
        load.largestWorker = highest(load.largestWorker, worker->record.capacity);
        const Resources free = highest(worker->free(), {});
        load.free += free;
        load.largestFree = highest(load.largestFree, free);
    }
}

void JobScheduler::addRuns(const Worker& worker)
{
    const auto load = m_loads.find(worker.record.pool);
    if (load == m_loads.end() || !countsAsCapacity(worker))
        return;
    for (const auto& [key, run] : worker.runs) {
        Job* job = find(key.job);
        const Task* task = job != nullptr ? job->find(key) : nullptr;
        const QueuePolicy* queue = job != nullptr ? queueOf(*job) : nullptr;
        if (task == nullptr || queue == nullptr || key.step >= job->spec().steps.size())
            continue;
        const StepSpec& spec = job->spec().steps[key.step];
        if (spec.longRunning)
            load->second.capacity = highest(load->second.capacity - run.reserved, {});
        else
            load->second.addRunning(run.reserved, expectedRunTime(*queue, spec) - (m_runtime.now() - task->since));
    }
}

// Leaves out steps that may be waiting for something else than the pool's resources: a label, or a larger worker.
void JobScheduler::addWaitingWork(const Job& job, const Occurrence& occurrence)
{
    const QueuePolicy* queue = queueOf(job);
    if (queue == nullptr)
        return;
    PoolLoad& load = m_loads[queue->pool];
    WaitingWork waiting;
    waiting.beyondRate = job.submission.beyondRate;
    waiting.priority = queue->priority;
    waiting.account = job.submission.account;
    waiting.objective = occurrence.objective;
    waiting.resultExpiry = occurrence.releasedAt + resultExpiryFactor * (occurrence.objective - occurrence.releasedAt);
    bool waits = false;
    for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
        const Step& step = occurrence.steps[i];
        const StepSpec& spec = job.spec().steps[i];
        if (step.isDone())
            continue;
        waiting.remaining += spec.estimatedRunTime;
        const Resources reservation = reservationOf(spec);
        if (!step.hasWaiting() || spec.longRunning || !spec.requiredLabel.empty()
            || !reservation.fitsIn(load.largestWorker))
            continue;
        waits = true;
        const auto count = static_cast<double>(step.waiting());
        waiting.work += workOf(reservation, expectedRunTime(*queue, spec), count);
        if (queue->admission && needsAdmission(step))
            waiting.admissionTime += admissionTime(*queue->admission, spec, m_settings.maxWorkersPerAdmissionCall);
    }
    if (waits)
        load.addWaiting(std::move(waiting), boundsOf(job.submission.account));
}

SubmittedWork JobScheduler::submittedWork(const QueuePolicy& queue, const AccountId& account, const JobSpec& spec) const
{
    const TimePoint now = m_runtime.now();
    const Duration objective = objectiveOf(spec, queue);
    SubmittedWork job;
    WaitingWork& waiting = job.waiting;
    waiting.priority = queue.priority;
    waiting.account = account;
    waiting.objective = now + objective;
    waiting.resultExpiry = now + resultExpiryFactor * objective;
    JobSpec shortest; // of each step, the shorter one of the estimated and the expected run time
    for (const auto& step : spec.steps) {
        const Duration expected = expectedRunTime(queue, step);
        shortest.steps.emplace_back().after = step.after;
        shortest.steps.back().estimatedRunTime = std::min(step.estimatedRunTime, expected);
        const Resources reservation = reservationOf(step);
        waiting.remaining += step.estimatedRunTime;
        waiting.work += workOf(reservation, expected, step.taskCount);
        job.largestReservation = highest(job.largestReservation, reservation);
        if (queue.admission) {
            const Duration call = admissionTime(*queue.admission, step, m_settings.maxWorkersPerAdmissionCall);
            waiting.admissionTime += call;
            job.admission = job.admission == Duration::zero() ? call : std::min(job.admission, call);
        }
    }
    job.criticalPath = estimatedCriticalPath(shortest);
    if (!shortest.steps.empty()) {
        job.lastStep = shortest.steps.back().estimatedRunTime;
        shortest.steps.pop_back();
        job.lastStep = std::max(job.lastStep, job.criticalPath - estimatedCriticalPath(shortest));
    }
    return job;
}

GateDecision JobScheduler::evaluate(
    const QueuePolicy& queue, const AccountId& account, const JobSpec& spec, std::uint64_t random)
{
    const TimePoint now = m_runtime.now();
    if (!m_recovered || !m_configuration || queue.latencyObjective <= Duration::zero() || isLongRunning(spec)
        || spec.firstDueUnixMs > m_host.unixMs() || now - m_activatedAt < m_settings.predictionDelay)
        return {};
    PoolLoad& load = currentLoad(queue.pool);
    SubmittedWork job = submittedWork(queue, account, spec);
    job.waiting.beyondRate = isRateExceeded(account);
    GateDecision result = SubmissionGate::decide(load, job, now, random);
    m_predictedWaits[queue.name] = result.predicted.wait;
    if (!result.refusal)
        load.addWaiting(std::move(job.waiting), boundsOf(account));
    return result;
}

} // namespace lycheeledge::jobs
