// Scheduler of the owner: ownership, submissions and their persistence.

#include "JobScheduler.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace lycheeledge::jobs {

namespace {

    // Bounds the payloads that are in memory without a running task.
    constexpr std::size_t maxPayloadReads = 16;

} // namespace

std::string describe(const TaskKey& key)
{
    return absl::StrCat(key.job.value(), ".", key.occurrence, ".", key.step, ".", key.index);
}

JobScheduler::JobScheduler(Ports ports, JobSchedulerSettings settings)
    : m_runtime(ports.runtime)
    , m_port(ports.workers)
    , m_admission(ports.admission)
    , m_ledger(ports.ledger)
    , m_log(ports.log)
    , m_host(ports.host)
    , m_settings(settings)
    , m_workMemory(settings.maxWorkBytes)
{
    m_admission.onRelayFree([this] { requestPass(); });
}

JobScheduler::~JobScheduler() { end(); }

void JobScheduler::begin(Epoch epoch)
{
    end();
    m_session = std::make_shared<int>();
    m_epoch = epoch;
    m_running = true;
    m_beginTime = m_runtime.now();
    // Earlier owners were last confirmed before the claim, and grant no lease beyond the timeout after that.
    const TimePoint ordersEnd = m_beginTime + m_settings.previousOwnerTimeout;
    m_placedRunsExpiry = ordersEnd + m_settings.startTimeout;
    m_unlocatedRunsExpiry = std::max(ordersEnd + leaseOf(m_settings.link.lease), m_beginTime + longestLease());
    m_unreportedLossAt = {};
    m_vanished.reset();
    tick();
}

// Includes the start timeout, because an order in flight when its owner stops may still be carried out.
Duration JobScheduler::leaseOf(Duration workerTime) const
{
    return std::chrono::duration_cast<Duration>(workerTime / (1 - m_settings.link.clockSlowdown))
        + m_settings.startTimeout;
}

void JobScheduler::earlierOwnersStopped()
{
    const TimePoint now = m_runtime.now();
    const TimePoint placedEnd = std::min(m_placedRunsExpiry, now + leaseOf(m_settings.link.lease));
    const TimePoint unlocatedEnd = std::min(m_unlocatedRunsExpiry, now + longestLease());
    if (!m_running || (placedEnd == m_placedRunsExpiry && unlocatedEnd == m_unlocatedRunsExpiry))
        return;
    m_placedRunsExpiry = placedEnd;
    m_unlocatedRunsExpiry = unlocatedEnd;
    m_log.record("earlier_owners_stopped",
        { { "epoch", m_epoch },
            { "leases_end_ms", std::chrono::duration<double, std::milli>(longestLease()).count() } });
}

void JobScheduler::end()
{
    m_running = false;
    m_recovered = false;
    m_session.reset();
    for (auto* timer : { &m_passTimer, &m_tickTimer }) {
        if (*timer)
            m_runtime.cancel(**timer);
        timer->reset();
    }
    m_admission.clear();
    m_jobs.clear();
    m_unstoredJobs.clear();
    m_readySteps.clear();
    m_upcomingSteps.clear();
    m_requestsAhead.clear();
    m_lastOverdueRequest.clear();
    m_workers.clear();
    m_pools.invalidate();
    m_fencingTokens.clear();
    m_storedWorkers.clear();
    m_workerSetWriting = false;
    m_workerSetChanged = false;
    m_usage.clear();
    m_uncounted = {};
    m_uncountedChanged = false;
    m_heldBackAccounts.clear();
    m_finishedJobs.clear();
    m_jobsWithDoneOccurrences.clear();
    m_stepsWithDoneTasks.clear();
    m_scheduledJobs.clear();
    m_quarantine = FailureQuarantine();
    m_speeds = WorkerSpeeds();
    m_submissionRate.clear();
    m_workMemory.clear();
    m_payloadReads.clear();
    m_runTimes = RunTimeRatios();
    m_loads.clear();
    m_loadsBuiltAt = {};
    m_predictedWaits.clear();
}

void JobScheduler::recover(
    const JobId& id, std::optional<RecoveredSubmission> submission, std::optional<ProgressRecord> progress)
{
    auto job = std::make_unique<Job>();
    job->id = id;
    job->accepted = true;
    const bool hasSubmission = submission.has_value();
    if (hasSubmission) {
        job->submission = std::move(submission->record);
        job->isPayloadUnloaded = !submission->hasPayload;
        recoverRate(job->submission);
    }
    if (progress) {
        if (!hasSubmission) {
            job->submission.account = progress->account;
            job->submission.queue = progress->queue;
        }
        job->restore(*progress, m_runtime.now());
    }
    job->mayHaveUnlocatedRuns = true;
    if (isFinal(job->state)) {
        m_finishedJobs.emplace(job->endedUnixMs, id);
        countMemory(*(m_jobs[id] = std::move(job)));
        return;
    }
    if (!hasSubmission) {
        m_log.record("job_without_submission", { { "job", id.value() } });
        return;
    }
    const Duration age
        = std::chrono::milliseconds(std::max<std::int64_t>(0, m_host.unixMs() - job->submission.acceptedUnixMs));
    Job& stored = *(m_jobs[id] = std::move(job));
    countMemory(stored);
    releaseDueOccurrences(stored);
    for (auto& [n, occurrence] : stored.open) {
        // Objectives of scheduled occurrences count from their due time, which releaseDueOccurrences() handles.
        if (!stored.spec().isScheduled()) {
            occurrence.releasedAt -= age;
            occurrence.objective -= age;
        }
    }
    releaseSteps(stored);
}

void JobScheduler::recoverWorkers(const WorkerSetRecord& workers)
{
    for (const auto& known : workers.workers) {
        m_storedWorkers.insert(known.id);
        if (m_workers.find(known.id) != nullptr)
            continue;
        Worker& worker = m_workers.add(known.id);
        m_pools.invalidate();
        worker.record.id = known.id;
        worker.record.address = known.address;
        worker.largestCapacity = known.largestCapacity;
        worker.fencingToken = newFencingToken(known.id);
        worker.mayHaveEarlierRuns = true;
        worker.unregisteredSince = m_runtime.now();
        connect(worker);
    }
}

void JobScheduler::activate()
{
    m_recovered = true;
    m_activatedAt = m_runtime.now();
    m_uncountedChanged = true;
    retainRates();
    m_log.record("scheduler_recovered",
        { { "epoch", m_epoch }, { "jobs", m_jobs.size() }, { "workers", m_workers.all().size() } });
    requestPass();
}

void JobScheduler::setConfiguration(std::shared_ptr<const ClusterConfiguration> configuration)
{
    m_configuration = std::move(configuration);
    retainRates();
    requestPass();
}

void JobScheduler::submit(const JobId& id, SubmissionRecord submission, std::function<void()> stored)
{
    auto job = std::make_unique<Job>();
    job->id = id;
    job->submission = std::move(submission);
    job->submission.beyondRate = takeFromRate(job->submission.account);
    Job& added = *(m_jobs[id] = std::move(job));
    m_unstoredJobs.insert(id);
    countMemory(added);
    markChanged(added, std::move(stored));
}

void JobScheduler::withdraw(const JobId& id)
{
    const auto it = m_jobs.find(id);
    if (it == m_jobs.end() || it->second->accepted)
        return;
    if (const auto& submission = it->second->submission; !submission.beyondRate)
        m_submissionRate.putBack(submission.account);
    m_unstoredJobs.erase(id);
    erase(id);
}

bool JobScheduler::hasMemoryFor(const AccountId& account, const JobSpec& spec) const
{
    return !m_configuration
        || m_workMemory.admits(account, submissionBytes(spec) + occurrenceBytes(spec), *m_configuration);
}

// A recovered job may wait for long, and an earlier owner may have accepted more than fits here.
bool JobScheduler::hasPayload(const Job& job)
{
    if (!job.isPayloadUnloaded)
        return true;
    if (m_payloadReads.size() < maxPayloadReads && m_payloadReads.insert(job.id).second)
        m_host.readPayload(job.id, [this, id = job.id, session = std::weak_ptr<int>(m_session)](auto payload) {
            if (!session.expired())
                payloadRead(id, std::move(payload));
        });
    return false;
}

void JobScheduler::payloadRead(const JobId& id, std::optional<std::string> payload)
{
    if (!payload) {
        m_runtime.after(m_settings.orderRetryDelay, [this, id, session = std::weak_ptr<int>(m_session)] {
            if (session.expired())
                return;
            m_payloadReads.erase(id);
            requestPass();
        });
        return;
    }
    m_payloadReads.erase(id);
    Job* job = find(id);
    if (job != nullptr && !isFinal(job->state) && job->isPayloadUnloaded) {
        job->submission.spec.payload = *std::move(payload);
        job->isPayloadUnloaded = false;
        countMemory(*job);
    }
    requestPass();
}

void JobScheduler::countMemory(Job& job)
{
    const std::size_t before = std::exchange(job.countedBytes, job.memoryBytes());
    m_workMemory.replace(job.submission.account, before, job.countedBytes);
}

void JobScheduler::erase(const JobId& id)
{
    const auto it = m_jobs.find(id);
    if (it == m_jobs.end())
        return;
    m_workMemory.replace(it->second->submission.account, it->second->countedBytes, 0);
    m_jobs.erase(it);
}

void JobScheduler::cancel(const JobId& id, std::function<void()> stored)
{
    Job* job = find(id);
    if (job == nullptr || isFinal(job->state)) {
        if (job != nullptr && !isFinal(job->storedState))
            markChanged(*job, std::move(stored));
        else
            m_runtime.post(std::move(stored));
        return;
    }
    finish(*job, JobState::Cancelled, "cancelled by its client account");
    markChanged(*job, std::move(stored));
}

std::optional<JobChange> JobScheduler::pendingChange(const JobId& id)
{
    Job* job = find(id);
    if (job == nullptr)
        return JobChange { .submission = {}, .progress = {}, .eraseSubmission = true, .eraseProgress = true };
    JobChange change;
    if (!job->accepted && !isFinal(job->state))
        change.submission = job->submission;
    else {
        change.progress = job->progress(m_settings.maxValueBytes / 8);
        notePlacements(*job, *change.progress, false);
    }
    change.eraseSubmission = isFinal(job->state);
    return change;
}

void JobScheduler::changeStored(const JobId& id, const JobChange& change)
{
    Job* job = find(id);
    if (job == nullptr)
        return;
    m_unstoredJobs.erase(id);
    if (change.submission) {
        job->accepted = true;
        if (job->submission.beyondRate)
            ++m_counters.submissionsBeyondRate;
        m_log.record("job_accepted",
            { { "job", id.value() }, { "account", job->submission.account.value() }, { "queue", job->submission.queue },
                { "steps", job->spec().steps.size() }, { "beyond_rate", job->submission.beyondRate } });
        releaseDueOccurrences(*job);
    }
    if (change.progress) {
        job->storedState = change.progress->state;
        notePlacements(*job, *change.progress, true);
        if (isFinal(job->storedState)) {
            job->submission.spec = {};
            m_jobsWithDoneOccurrences.insert(id);
        }
    }
    countMemory(*job);
    if (!isFinal(job->state))
        releaseSteps(*job);
    requestPass();
}

void JobScheduler::progressRefused(const JobId& id, std::vector<std::function<void()>> stored)
{
    Job* job = find(id);
    if (job != nullptr && !isFinal(job->state)) {
        finish(*job, JobState::Failed, "the store refuses its progress");
        markChanged(*job);
    }
    for (auto& callback : stored)
        m_ledger.changed(id, std::move(callback));
}

const Job* JobScheduler::job(const JobId& id) const
{
    const auto it = m_jobs.find(id);
    return it == m_jobs.end() ? nullptr : it->second.get();
}

Job* JobScheduler::find(const JobId& id)
{
    const auto it = m_jobs.find(id);
    return it == m_jobs.end() ? nullptr : it->second.get();
}

std::size_t JobScheduler::unstartedJobs(const std::string& queue) const
{
    return static_cast<std::size_t>(std::count_if(m_jobs.begin(), m_jobs.end(), [&queue](const auto& it) {
        const Job& job = *it.second;
        return job.accepted && job.submission.queue == queue && !job.everStarted && !isFinal(job.state);
    }));
}

int JobScheduler::reservedCpuPercent() const
{
    Resources capacity;
    Resources reserved;
    for (const auto& [id, worker] : m_workers.all()) {
        if (!worker.registered)
            continue;
        capacity += worker.record.capacity;
        reserved += worker.reserved;
    }
    return capacity.milliCpu == 0 ? 0 : static_cast<int>(reserved.milliCpu * 100 / capacity.milliCpu);
}

Resources JobScheduler::usage(const AccountId& account) const
{
    const auto it = m_usage.find(account);
    return it == m_usage.end() ? Resources {} : it->second;
}

void JobScheduler::markChanged(const Job& job, std::function<void()> stored)
{
    m_ledger.changed(job.id, std::move(stored));
}

const QueuePolicy* JobScheduler::queueOf(const Job& job) const
{
    return m_configuration ? m_configuration->queueNamed(job.submission.queue) : nullptr;
}

} // namespace lycheeledge::jobs
