// Scheduler of the owner: passes that release steps and place tasks.

#include "JobScheduler.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lycheeledge::jobs {

namespace {

    // Pools up to this size are searched as a whole.
    constexpr std::size_t largePool = 512;
    // Several times the number of workers that an admission call names or a step usually needs.
    constexpr std::size_t maxFittingCandidates = 256;
    constexpr std::size_t maxFullCandidates = 64; // without room for a task; they only fill up admission calls
    // Of one step, so that the time of a pass does not grow with the tasks that wait.
    constexpr std::size_t maxFirstStartsPerPass = 4096;
    // In the stored progress; a step in which tasks are done takes 16 bytes, and a bit for each task, more.
    constexpr std::size_t emptyOccurrenceBytes = 12;
    constexpr std::size_t emptyStepBytes = 33;

    /** @brief Whether an account may use this much. A limit of 0 means no limit. */
    bool isWithin(const Resources& usage, const Resources& limit)
    {
        const auto within = [](std::int64_t amount, std::int64_t maximum) { return maximum == 0 || amount <= maximum; };
        return within(usage.milliCpu, limit.milliCpu) && within(usage.memoryMb, limit.memoryMb)
            && within(usage.accelerators, limit.accelerators);
    }

    bool hasLabel(const WorkerRecord& record, const std::string& label)
    {
        return label.empty() || std::find(record.labels.begin(), record.labels.end(), label) != record.labels.end();
    }

} // namespace

void JobScheduler::requestPass()
{
    if (!m_running || m_passTimer)
        return;
    const Duration delay = std::max(m_settings.passDelay, Duration(m_nextPass - m_runtime.now()));
    m_passTimer = m_runtime.after(delay, [this] {
        m_passTimer.reset();
        const TimePoint begin = m_runtime.now();
        pass();
        const TimePoint end = m_runtime.now();
        m_nextPass = end + (m_settings.passTimeDivisor - 1) * (end - begin);
    });
}

void JobScheduler::tick()
{
    m_tickTimer = m_runtime.after(m_settings.tickInterval, [this] { tick(); });
    if (!m_recovered)
        return;
    eraseDoneOccurrences();
    eraseDoneTasks();
    for (auto it = m_scheduledJobs.begin(); it != m_scheduledJobs.end();) {
        Job* job = find(*it++);
        if (job != nullptr)
            releaseDueOccurrences(*job);
    }
    expireWorkers();
    forgetVanishedWorkers();
    const std::int64_t oldest
        = m_host.unixMs() - std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.statusRetention).count();
    while (!m_finishedJobs.empty() && m_finishedJobs.begin()->first < oldest) {
        const JobId id = m_finishedJobs.begin()->second;
        m_finishedJobs.erase(m_finishedJobs.begin());
        erase(id);
        m_ledger.changed(id);
    }
    requestPass();
}

void JobScheduler::releaseDueOccurrences(Job& job, std::uint32_t released)
{
    if (isFinal(job.state))
        return;
    const QueuePolicy* queue = queueOf(job);
    const Duration length = objectiveOf(job.spec(), queue != nullptr ? *queue : QueuePolicy());
    for (auto& [n, occurrence] : job.open) {
        if (occurrence.objective == TimePoint())
            occurrence.objective = occurrence.releasedAt + length;
    }
    const std::int64_t nowMs = m_host.unixMs();
    const std::size_t tasksOfOccurrence = job.spec().taskCount();
    const std::size_t storedBytes = emptyOccurrenceBytes + job.spec().steps.size() * emptyStepBytes;
    while (job.nextOccurrence < job.spec().occurrenceCount()) {
        if (job.spec().isScheduled() && job.nextOccurrence >= released) {
            // Overdue occurrences beyond this are released as earlier ones end.
            const std::size_t n = job.open.size() + 1;
            if (n > 1
                && (n * tasksOfOccurrence > m_settings.maxOpenTasks || n * storedBytes > m_settings.maxValueBytes / 8
                    || !m_workMemory.hasSpare(occurrenceBytes(job.spec()))))
                break;
            const std::int64_t due = job.spec().firstDueUnixMs + job.nextOccurrence * job.spec().intervalMs;
            if (due > nowMs)
                break;
        }
        Occurrence& occurrence = job.openOccurrence(job.nextOccurrence++, m_runtime.now());
        occurrence.objective = occurrence.releasedAt + length;
        countMemory(job);
    }
    if (job.nextOccurrence < job.spec().occurrenceCount())
        m_scheduledJobs.insert(job.id);
    else
        m_scheduledJobs.erase(job.id);
    releaseSteps(job);
}

void JobScheduler::releaseSteps(Job& job)
{
    if (!job.accepted)
        return;
    for (auto& [n, occurrence] : job.open) {
        for (std::uint32_t i = 0; i < occurrence.steps.size(); ++i) {
            Step& step = occurrence.steps[i];
            if (!step.released) {
                const auto& after = job.spec().steps[i].after;
                step.released = std::all_of(after.begin(), after.end(),
                    [&steps = occurrence.steps](std::uint32_t k) { return steps[k].isDone(); });
                if (step.released)
                    step.releasedAt = m_runtime.now();
            }
            refreshReady({ job.id, n, i }, job, step);
        }
    }
    const auto isDone = [](const auto& it) { return it.second.isDone(); };
    if (isFinal(job.state) || std::none_of(job.open.begin(), job.open.end(), isDone))
        return;
    m_jobsWithDoneOccurrences.insert(job.id);
    const bool allReleased = job.nextOccurrence >= job.spec().occurrenceCount();
    if (allReleased && std::all_of(job.open.begin(), job.open.end(), isDone)) {
        finish(job, JobState::Completed, "all tasks done");
        markChanged(job);
    }
}

// The callers of releaseSteps() hold references to steps and tasks, so it erases no occurrence itself.
void JobScheduler::eraseDoneOccurrences()
{
    for (const auto& id : std::exchange(m_jobsWithDoneOccurrences, {})) {
        Job* job = find(id);
        if (job == nullptr)
            continue;
        if (isFinal(job->storedState)) {
            if (job->assignedTasks() > 0)
                m_jobsWithDoneOccurrences.insert(id); // until its runs have ended
            else
                job->open.clear();
            countMemory(*job);
            continue;
        }
        // The last occurrence is kept until the end of the job is stored.
        const bool allReleased = job->nextOccurrence >= job->spec().occurrenceCount();
        for (auto it = job->open.begin(); it != job->open.end();) {
            const bool isErasable = it->second.isDone() && (job->open.size() > 1 || !allReleased);
            it = isErasable ? job->open.erase(it) : std::next(it);
        }
        countMemory(*job);
    }
}

void JobScheduler::eraseDoneTasks()
{
    for (const auto& key : std::exchange(m_stepsWithDoneTasks, {})) {
        Job* job = find(key.job);
        if (Step* step = job != nullptr ? job->find(key) : nullptr)
            step->tasks.eraseDone();
    }
}

void JobScheduler::refreshReady(const StepKey& key, const Job& job, const Step& step)
{
    if (step.released && step.hasWaiting() && !isFinal(job.state))
        m_readySteps.insert(key);
    else
        m_readySteps.erase(key);
}

StepUrgency JobScheduler::urgencyOf(const Job& job, const StepKey& key)
{
    StepUrgency result;
    const QueuePolicy* queue = queueOf(job);
    result.beyondRate = job.submission.beyondRate && !job.spec().steps[key.step].longRunning;
    result.priority = queue != nullptr ? queue->priority : 0;
    const ClientAccount* account = m_configuration ? m_configuration->account(job.submission.account) : nullptr;
    if (account != nullptr && queue != nullptr && account->weight > 0)
        result.accountShare
            = usage(account->id).dominantShare(m_pools.pool(queue->pool, m_workers).capacity) / account->weight;
    const auto open = job.open.find(key.occurrence);
    if (open != job.open.end()) {
        const Occurrence& occurrence = open->second;
        result.objective = occurrence.objective;
        result.resultExpiry
            = occurrence.releasedAt + resultExpiryFactor * (occurrence.objective - occurrence.releasedAt);
        for (std::size_t i = key.step; i < occurrence.steps.size(); ++i) {
            if (!occurrence.steps[i].isDone())
                result.remaining += job.spec().steps[i].estimatedRunTime;
        }
        result.releaseOrder = static_cast<std::uint64_t>(occurrence.releasedAt.time_since_epoch().count());
    }
    return result;
}

void JobScheduler::pass()
{
    if (!m_recovered || !m_configuration || !m_host.mayStartTasks())
        return;
    std::vector<std::pair<StepUrgency, StepKey>> waiting;
    ++m_passes;
    m_allWorkersReported.reset();
    refreshUncountedUsage();
    double weights = 0;
    absl::flat_hash_set<AccountId> accounts;
    for (const auto& key : m_readySteps) {
        const Job& job = *m_jobs.at(key.job);
        waiting.emplace_back(urgencyOf(job, key), key);
        const ClientAccount* account = m_configuration->account(job.submission.account);
        if (account != nullptr && accounts.insert(account->id).second)
            weights += account->weight;
    }
    const ObjectiveOrder order(weights > 0 ? 1 / weights : 1);
    const TimePoint now = m_runtime.now();
    std::sort(waiting.begin(), waiting.end(),
        [&order, now](const auto& a, const auto& b) { return order.before(a.first, b.first, now); });
    requestOverdueAdmissions();
    for (const auto& [urgency, key] : waiting) {
        if (Job* job = find(key.job); job != nullptr && !isFinal(job->state))
            scheduleStep(*job, key);
    }
    prefetchTickets();
}

bool JobScheduler::isPlaceable(const Worker& worker) const
{
    const TimePoint now = m_runtime.now();
    if (worker.record.draining || worker.inMaintenance || !worker.reported || worker.awaitsReport || !worker.link
        || !worker.link->isReachable() || worker.link->isSuspect())
        return false;
    if (isUnregistered(worker) || m_host.isEvacuated(worker.record.dataCentre))
        return false;
    if (!worker.strayRuns.empty()) // they use an unknown amount of resources
        return false;
    return m_storedWorkers.contains(worker.record.id) && now >= worker.backoffUntil
        && !m_quarantine.isQuarantined(worker.record.id, now);
}

// In a large pool, the search ends once there are enough candidates with room for a task: the best of them are nearly
// as good as the best of all. The next search begins where this one ended, so that the load spreads over all workers.
std::vector<PlacementCandidate> JobScheduler::candidates(Job& job, const StepKey& key)
{
    const QueuePolicy* queue = queueOf(job);
    const Step& step = *job.find(key);
    const StepSpec& spec = job.spec().steps[key.step];
    const auto& workers = m_pools.pool(queue->pool, m_workers).workers;
    const Resources reservation = reservationOf(spec);
    const bool needsAll = workers.size() <= largePool || spec.gang || !spec.preferredRack.empty();
    std::vector<PlacementCandidate> result;
    std::size_t fitting = 0;
    std::size_t full = 0;
    const std::size_t begin = needsAll ? 0 : m_scanOffset % workers.size();
    std::size_t scanned = 0;
    for (; scanned < workers.size() && (needsAll || fitting < maxFittingCandidates); ++scanned) {
        const Worker& worker = *workers[(begin + scanned) % workers.size()];
        const bool fits = reservation.fitsIn(worker.free());
        if (!needsAll && (step.admission.allowed.contains(worker.record.id) || (!fits && full >= maxFullCandidates)))
            continue;
        const std::size_t before = result.size();
        addCandidate(result, worker, *queue, step, spec);
        if (result.size() > before)
            ++(fits ? fitting : full);
    }
    if (needsAll)
        return result;
    m_scanOffset = (begin + scanned) % workers.size();
    // Workers that the admission service allowed are always candidates, those that it refused never.
    for (const auto& [id, allowed] : step.admission.allowed) {
        const Worker* worker = allowed ? m_workers.find(id) : nullptr;
        if (worker != nullptr && worker->record.pool == queue->pool)
            addCandidate(result, *worker, *queue, step, spec);
    }
    return result;
}

std::vector<PlacementCandidate> JobScheduler::candidatesWithTicket(Job& job, const StepKey& key)
{
    const QueuePolicy* queue = queueOf(job);
    const Step& step = *job.find(key);
    const TimePoint minExpiry = m_runtime.now() + minTicketValidity;
    std::vector<PlacementCandidate> result;
    for (const auto& [id, ticket] : step.admission.tickets) {
        const Worker* worker = m_workers.find(id);
        if (worker != nullptr && ticket.expiry >= minExpiry && worker->record.pool == queue->pool)
            addCandidate(result, *worker, *queue, step, job.spec().steps[key.step]);
    }
    // The order of the map differs between runs.
    std::sort(result.begin(), result.end(), [](const auto& a, const auto& b) { return a.worker < b.worker; });
    return result;
}

void JobScheduler::addCandidate(std::vector<PlacementCandidate>& to, const Worker& worker, const QueuePolicy& queue,
    const Step& step, const StepSpec& spec) const
{
    if (!hasLabel(worker.record, spec.requiredLabel) || !isPlaceable(worker))
        return;
    const WorkerId& id = worker.record.id;
    PlacementCandidate& candidate = to.emplace_back();
    candidate.worker = id;
    candidate.rack = worker.record.rack;
    candidate.free = worker.free();
    candidate.capacity = worker.record.capacity;
    candidate.hasLatencySensitiveTasks = worker.latencySensitiveRuns > 0;
    candidate.hasIdleCpuTasks = worker.idleCpuRuns > 0;
    candidate.deprioritized = m_quarantine.isOnProbation(id) || worker.crashSuspects.hasRepeated()
        || (queue.isUrgent() && m_quarantine.hasRecentFailure(id, m_runtime.now()));
    candidate.slowness = m_speeds.slowness(id, worker.record.kind);
    if (spec.maxTasksPerWorker > 0)
        candidate.tasksOfStep
            = static_cast<std::uint32_t>(std::count_if(step.tasks.states().begin(), step.tasks.states().end(),
                [&id](const auto& it) { return it.second.isAssigned() && it.second.worker == id; }));
}

std::vector<PlacementCandidate> JobScheduler::apartFromSuspects(std::vector<PlacementCandidate> candidates) const
{
    std::erase_if(candidates, [this](const PlacementCandidate& it) {
        const Worker* worker = m_workers.find(it.worker);
        return worker == nullptr || worker->crashSuspects.hasRepeated();
    });
    // A crash under another task that has just started would count against the suspect, too.
    for (auto& candidate : candidates)
        candidate.deprioritized = candidate.deprioritized || !m_workers.find(candidate.worker)->crashSuspects.isEmpty();
    return candidates;
}

bool JobScheduler::withinLimit(const Job& job, const StepSpec& spec, std::uint32_t count) const
{
    const ClientAccount* account = m_configuration->account(job.submission.account);
    if (account == nullptr)
        return true;
    return isWithin(usage(account->id) + m_uncounted.of(account->id) + spec.request * count, account->upperLimit);
}

void JobScheduler::refreshUncountedUsage()
{
    if (!std::exchange(m_uncountedChanged, false))
        return;
    const std::size_t silentBefore = m_uncounted.silentWorkers();
    m_uncounted = UncountedUsage(m_jobs, m_workers, m_host.unixMs());
    logHeldBackAccounts();
    if (m_uncounted.silentWorkers() == 0 && silentBefore > 0)
        m_log.record("earlier_workers_located",
            { { "epoch", m_epoch },
                { "after_ms", std::chrono::duration<double, std::milli>(m_runtime.now() - m_beginTime).count() } });
}

void JobScheduler::logHeldBackAccounts()
{
    for (const auto& account : m_configuration->accounts) {
        const Resources known = usage(account.id);
        const Resources unknown = m_uncounted.of(account.id);
        if (isWithin(known + unknown, account.upperLimit) || !m_heldBackAccounts.insert(account.id).second)
            continue;
        m_log.record("account_held_back",
            { { "account", account.id.value() }, { "silent_workers", m_uncounted.silentWorkers() },
                { "milli_cpu", known.milliCpu }, { "uncounted_milli_cpu", unknown.milliCpu },
                { "limit_milli_cpu", account.upperLimit.milliCpu }, { "memory_mb", known.memoryMb },
                { "uncounted_memory_mb", unknown.memoryMb }, { "limit_memory_mb", account.upperLimit.memoryMb } });
    }
}

void JobScheduler::scheduleStep(Job& job, const StepKey& key)
{
    const QueuePolicy* queue = queueOf(job);
    Step* step = job.find(key);
    if (queue == nullptr || step == nullptr)
        return;
    const StepSpec& spec = job.spec().steps[key.step];
    const TimePoint now = m_runtime.now();
    std::vector<std::uint32_t> due;
    const bool allLocated = allRunsLocated(job);
    std::size_t firstStarts = 0;
    const std::size_t maxFirstStarts = spec.gang ? step->tasks.size()
        : spec.longRunning                       ? maxFirstStartsPerPass
                                                 : std::min(firstStartsLeft(job), maxFirstStartsPerPass);
    for (const auto& [i, task] : step->tasks.states()) {
        if (task.phase != TaskPhase::Waiting || task.notBefore > now || !isEndKnown(task))
            continue;
        if (!allLocated && !mayStart(job, { key.job, key.occurrence, key.step, i }))
            continue;
        if (hasFailed(job, key, task)) { // while its queue did not exist, or allowed more attempts
            finish(job, JobState::Failed, "a task reached its maximum number of attempts");
            markChanged(job);
            return;
        }
        if (!task.hasStarted() && ++firstStarts > maxFirstStarts)
            continue; // until enough of the started tasks are done
        due.push_back(i);
    }
    // A task without a state of its own has not failed, and a run of it may exist only as long as any may.
    if (allLocated && firstStarts < maxFirstStarts) {
        const auto fresh = step->tasks.untouchedTasks(maxFirstStarts - firstStarts);
        if (spec.gang && !fresh.empty() && hasFailed(job, key, step->tasks[fresh.front()])) {
            finish(job, JobState::Failed, "a task reached its maximum number of attempts");
            markChanged(job);
            return;
        }
        const auto middle = static_cast<std::ptrdiff_t>(due.size());
        due.insert(due.end(), fresh.begin(), fresh.end());
        std::inplace_merge(due.begin(), due.begin() + middle, due.end());
    }
    if (due.empty() || (spec.gang && due.size() + step->done < step->tasks.size()))
        return;
    std::size_t placed = 0;
    if (!queue->admission || hasUsableTicket(*step, reservationOf(spec))) {
        // Tasks under which a worker crashed start on one worker each, which tells the cause from the others.
        const auto suspects = spec.gang
            ? due.end()
            : std::stable_partition(due.begin(), due.end(), [step](auto i) { return !step->tasks[i].startsApart(); });
        placed = placeTasks(job, key, *queue, { due.begin(), suspects });
        for (auto it = suspects; it != due.end(); ++it)
            placed += placeTasks(job, key, *queue, { *it });
    }
    if (placed < due.size() && queue->admission && withinLimit(job, spec, 1))
        requestAdmission(job, key, *queue->admission);
    refreshReady(key, job, *step);
    if (placed > 0 && !step->hasWaiting()) {
        if (step->placedAt == TimePoint())
            step->placedAt = now;
        markUpcomingSteps(job, key);
    }
}

std::size_t JobScheduler::placeTasks(
    Job& job, const StepKey& key, const QueuePolicy& queue, const std::vector<std::uint32_t>& due)
{
    const Step& step = *job.find(key);
    const StepSpec& spec = job.spec().steps[key.step];
    const auto goal = queue.isUrgent() ? PlacementGoal::Spread : PlacementGoal::Pack;
    auto workers = queue.admission ? candidatesWithTicket(job, key) : candidates(job, key);
    if (!due.empty() && step.tasks[due.front()].startsApart() && !spec.gang)
        workers = apartFromSuspects(std::move(workers));
    Placement placement(spec, std::move(workers), goal);
    const auto start = [&](std::uint32_t index, std::size_t place, RunNumber run) {
        const WorkerId worker = placement.candidate(place).worker;
        startTask(job, { key.job, key.occurrence, key.step, index }, *m_workers.find(worker), run);
    };
    const auto hasPlacement = [&](std::uint32_t index) {
        const TaskKey task { key.job, key.occurrence, key.step, index };
        erasePlacement(job, task);
        return job.storedPlacements.contains(task);
    };
    std::size_t placed = 0;
    if (spec.gang) {
        if (!withinLimit(job, spec, static_cast<std::uint32_t>(due.size())))
            return 0;
        const auto places = placement.placeGang(due.size());
        if (places.empty() || std::count_if(due.begin(), due.end(), hasPlacement) > 0 || !hasPayload(job))
            return 0;
        const RunNumber run = nextRun(step, step.tasks[due.front()], true);
        for (; placed < places.size(); ++placed)
            start(due[placed], places[placed], run);
        return placed;
    }
    for (const auto i : due) {
        if (!withinLimit(job, spec, 1))
            break;
        const auto n = placement.place();
        if (!n || !hasPayload(job))
            break;
        if (hasPlacement(i))
            continue;
        start(i, *n, nextRun(step, step.tasks[i], false));
        ++placed;
    }
    return placed;
}

} // namespace lycheeledge::jobs
