// Scheduler of the owner: worker registration and loss, and draining for maintenance.

#include "JobScheduler.h"

#include <absl/strings/str_join.h>

#include <algorithm>
#include <utility>

namespace lycheeledge::jobs {

namespace {

    // An unregistered, unreachable worker is removed this long after its lease, and so every run on it, has ended.
    constexpr Duration workerRemovalDelay = std::chrono::seconds(1);
    // Longer than between two reads of the registry of which one call got no answer.
    constexpr Duration maxRegistryGap = std::chrono::milliseconds(2500);

} // namespace

// --- Workers ---

void JobScheduler::setWorkers(const std::vector<WorkerRecord>& records)
{
    if (!m_running)
        return;
    m_pools.invalidate();
    const TimePoint now = m_runtime.now();
    // Registrations that an outage of the store has removed are restored some time after it.
    const bool afterOutage = now - std::exchange(m_registryReadAt, now) > maxRegistryGap;
    absl::flat_hash_set<WorkerId> listed;
    bool mustStore = false;
    for (const auto& record : records) {
        listed.insert(record.id);
        Worker* known = m_workers.find(record.id);
        if (known == nullptr) {
            Worker& worker = m_workers.add(record.id);
            worker.record = record;
            worker.largestCapacity = record.capacity;
            worker.registeredIncarnationStartUnixMs = record.incarnationStartUnixMs;
            worker.fencingToken = newFencingToken(record.id);
            worker.registered = true;
            connect(worker);
            mustStore = mustStore || !m_storedWorkers.contains(record.id);
            m_log.record("worker_joined",
                { { "worker", record.id.value() }, { "address", record.address },
                    { "milli_cpu", record.capacity.milliCpu }, { "labels", absl::StrJoin(record.labels, ",") } });
            continue;
        }
        const bool drains = record.draining && !known->record.draining;
        const bool moved = record.address != known->record.address;
        if (moved)
            m_storedWorkers.erase(record.id);
        mustStore = mustStore || !m_storedWorkers.contains(record.id);
        // The entry may be older than the worker's reports, by several restarts.
        if (std::exchange(known->registeredIncarnationStartUnixMs, record.incarnationStartUnixMs)
                != record.incarnationStartUnixMs
            && record.incarnationStartUnixMs > known->record.incarnationStartUnixMs
            && noteIncarnation(*known, record.incarnationStartUnixMs))
            endListedRuns(*known);
        const std::int64_t incarnationStartUnixMs = known->record.incarnationStartUnixMs;
        known->record = record;
        known->record.incarnationStartUnixMs = incarnationStartUnixMs;
        const Resources largest = highest(known->largestCapacity, record.capacity);
        mustStore = mustStore || largest != known->largestCapacity;
        known->largestCapacity = largest;
        known->registered = true;
        if (moved)
            known->link->setAddress(record.address);
        known->link->setDataCentre(record.dataCentre);
        if (drains) {
            m_log.record("worker_draining", { { "worker", record.id.value() }, { "runs", known->runs.size() } });
            evacuate(*known);
        }
    }
    for (auto& [id, worker] : m_workers.all()) {
        if (listed.contains(id))
            continue;
        if (worker.registered || afterOutage)
            worker.unregisteredSince = now;
        if (std::exchange(worker.registered, false))
            m_log.record("worker_unregistered", { { "worker", id.value() }, { "runs", worker.runs.size() } });
    }
    if (mustStore)
        storeWorkerSet();
    requestPass();
}

Epoch JobScheduler::newFencingToken(const WorkerId& id)
{
    const auto [it, added] = m_fencingTokens.try_emplace(id, m_epoch);
    if (!added)
        it->second = std::min(it->second + 1, m_epoch + fencingTokensPerClaim - 1);
    return it->second;
}

void JobScheduler::connect(Worker& worker)
{
    worker.link = std::make_unique<WorkerLink>(
        m_runtime, m_port, static_cast<WorkerLinkListener&>(*this),
        WorkerTarget { worker.record.id, worker.record.address, worker.record.dataCentre }, worker.fencingToken,
        [this] { return m_host.ordersEnd(); }, m_settings.link);
    worker.link->begin();
}

// The next owner waits for reports from the stored workers, so workers are stored before they receive orders, and are
// removed once they have left without runs. One write is in progress at a time: a worker in it may be removed
// meanwhile.
void JobScheduler::storeWorkerSet()
{
    if (m_workerSetWriting) {
        m_workerSetChanged = true;
        return;
    }
    m_workerSetWriting = true;
    m_workerSetChanged = false;
    WorkerSetRecord record;
    for (const auto& [id, worker] : m_workers.all()) {
        if (hasLeft(worker))
            m_storedWorkers.erase(id);
        else
            record.workers.push_back({ id, worker.record.address, worker.largestCapacity });
    }
    m_ledger.setWorkers(record, [this, stored = record.workers, session = std::weak_ptr<int>(m_session)] {
        if (session.expired())
            return;
        m_workerSetWriting = false;
        for (const auto& it : stored) {
            const Worker* worker = m_workers.find(it.id);
            if (worker != nullptr && !hasLeft(*worker) && worker->record.address == it.address)
                m_storedWorkers.insert(it.id);
        }
        if (m_workerSetChanged)
            storeWorkerSet();
        requestPass();
    });
}

bool JobScheduler::isUnregistered(const Worker& worker) const
{
    return !worker.registered && m_registryReadAt - worker.unregisteredSince > m_settings.unregisteredGracePeriod;
}

bool JobScheduler::hasLeft(const Worker& worker)
{
    // The next owner has to wait for a worker that lists ends which are not stored.
    return !worker.registered && worker.reported && worker.runs.empty() && worker.strayRuns.empty()
        && worker.acknowledgements.isEmpty() && worker.link && !worker.link->isReachable();
}

void JobScheduler::expireWorkers()
{
    const TimePoint now = m_runtime.now();
    std::vector<WorkerId> expired;
    bool left = false;
    for (auto& [id, worker] : m_workers.all()) {
        if (!worker.link || worker.link->isReachable())
            continue;
        left = (hasLeft(worker) && m_storedWorkers.erase(id) > 0) || left;
        // A worker that has not reported to this owner may still hold a lease from an earlier owner, and a longer one
        // if it has restarted.
        const TimePoint lease = worker.link->leaseExpiry();
        const TimePoint end = worker.reported ? lease : std::max(lease, m_unlocatedRunsExpiry);
        if (now < end || (!worker.reported && m_host.ownershipConfirmedAt() < end))
            continue;
        forgetStrayRuns(worker);
        const auto crashing = recordVanished(worker);
        if (!worker.runs.empty() || !worker.reported) {
            m_uncountedChanged = m_uncountedChanged || !worker.reported;
            worker.reported = true;
            markRunsLost(worker, "lease of an unreachable worker ended");
        }
        failCrashingJobs(crashing);
        if (isUnregistered(worker) && now > end + workerRemovalDelay)
            expired.push_back(id);
    }
    if (left)
        storeWorkerSet();
    for (const auto& id : expired)
        removeLostWorker(id, "worker is unreachable and not registered", false);
}

// Called when they have certainly ended.
void JobScheduler::forgetStrayRuns(Worker& worker)
{
    m_uncountedChanged = m_uncountedChanged || !worker.strayRuns.empty();
    worker.strayRuns.clear();
}

// taskLost() removes entries from worker.runs, so the tasks are collected first.
void JobScheduler::markRunsLost(const Worker& worker, const char* reason)
{
    std::vector<TaskKey> tasks;
    for (const auto& [task, run] : worker.runs)
        tasks.push_back(task);
    for (const auto& task : tasks)
        taskLost(task, reason);
}

void JobScheduler::removeLostWorker(const WorkerId& id, const char* reason, bool incarnationEnded)
{
    Worker* worker = m_workers.find(id);
    if (worker == nullptr)
        return;
    m_log.record("worker_lost", { { "worker", id.value() }, { "runs", worker->runs.size() }, { "reason", reason } });
    const auto crashing = incarnationEnded ? recordCrash(*worker) : std::vector<JobId> {};
    markRunsLost(*worker, reason);
    forgetStrayRuns(*worker);
    if (!worker->reported) {
        m_uncountedChanged = true;
        m_unreportedLossAt = m_runtime.now();
    }
    m_workers.erase(id);
    m_pools.invalidate();
    m_storedWorkers.erase(id);
    m_quarantine.forget(id);
    m_speeds.forget(id);
    storeWorkerSet();
    failCrashingJobs(crashing);
    requestPass();
}

void JobScheduler::workerReachabilityChanged(const WorkerId& id, bool reachable)
{
    m_log.record("worker_reachability", { { "worker", id.value() }, { "reachable", reachable } });
    requestPass();
}

void JobScheduler::workerIncarnationEnded(const WorkerId& id)
{
    if (const Worker* worker = m_workers.find(id))
        incarnationEnded(id, worker->fencingToken);
}

void JobScheduler::incarnationEnded(const WorkerId& id, Epoch fencingToken)
{
    // Deferred, since the caller may be the worker's own link, which removeLostWorker() destroys.
    m_runtime.post([this, id, fencingToken, session = std::weak_ptr<int>(m_session)] {
        if (session.expired())
            return;
        const Worker* worker = m_workers.find(id);
        if (worker != nullptr && worker->fencingToken == fencingToken)
            removeLostWorker(id, "another worker incarnation answers at its address", true);
    });
}

void JobScheduler::workerFenced(const WorkerId& id)
{
    m_log.record("order_fenced", { { "worker", id.value() }, { "epoch", m_epoch } });
    m_runtime.post([this, session = std::weak_ptr<int>(m_session)] {
        if (!session.expired())
            m_host.fenced();
    });
}

// Stops long-running tasks of a draining worker. The worker shuts down soon, and tasks that run until cancelled would
// not end before that.
void JobScheduler::evacuate(Worker& worker)
{
    std::vector<TaskKey> leaving;
    for (const auto& [key, run] : worker.runs) {
        Job* job = find(key.job);
        if (job == nullptr || isFinal(job->state))
            continue;
        const StepSpec& spec = job->spec().steps[key.step];
        if (spec.longRunning)
            leaving.push_back(key);
    }
    for (const auto& key : leaving)
        stopTask(*find(key.job), key, "worker is draining");
}

// --- Maintenance ---

void JobScheduler::setMaintenance(const WorkerId& id, bool isDraining)
{
    if (Worker* worker = m_workers.find(id))
        worker->inMaintenance = isDraining;
    requestPass();
}

// A long-running step limits how many of its tasks the scheduler may make unavailable. Stopping a task that is already
// unavailable does not count.
bool JobScheduler::mayInterrupt(Job& job, const TaskKey& key) const
{
    const StepSpec& spec = job.spec().steps[key.step];
    const Step& step = *job.find(stepOf(key));
    return spec.maxUnavailable == 0 || !step.tasks[key.index].isAvailable()
        || step.unavailableExcept(key.index) < spec.maxUnavailable;
}

std::size_t JobScheduler::drain(const WorkerId& id, bool force)
{
    Worker* worker = m_workers.find(id);
    if (worker == nullptr)
        return 0;
    std::vector<TaskKey> tasks;
    for (const auto& [key, run] : worker->runs)
        tasks.push_back(key);
    for (const auto& key : tasks) {
        Job* job = find(key.job);
        if (job == nullptr || isFinal(job->state))
            continue; // the run is already being stopped
        const bool longRunning = job->spec().steps[key.step].longRunning;
        if (longRunning ? mayInterrupt(*job, key) : force)
            stopTask(*job, key, "maintenance of the VM");
    }
    return worker->runs.size() + worker->strayRuns.size();
}

} // namespace lycheeledge::jobs
