// Scheduler of the owner: requests admission of steps and keeps their tickets.

#include "JobScheduler.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace lycheeledge::jobs {

namespace {

    constexpr Duration admissionRetryDelay = std::chrono::milliseconds(100);
    // After an admission call that did not lead to a placement, leaves time for free capacity to change.
    constexpr Duration admissionRepeatDelay = std::chrono::milliseconds(150);

} // namespace

bool JobScheduler::hasUsableTicket(const Step& step, const Resources& reservation) const
{
    const TimePoint minExpiry = m_runtime.now() + minTicketValidity;
    return std::any_of(step.admission.tickets.begin(), step.admission.tickets.end(), [&](const auto& it) {
        const auto worker = m_workers.all().find(it.first);
        return it.second.expiry >= minExpiry && worker != m_workers.all().end()
            && !m_host.isEvacuated(worker->second.record.dataCentre) && reservation.fitsIn(worker->second.free());
    });
}

// Requests tickets for an urgent step while the last tasks of its predecessors run. Tickets stay valid longer than such
// tasks run, and an admission call takes up to a tenth of the run time of one.
void JobScheduler::prefetchTickets()
{
    for (auto it = m_upcomingSteps.begin(); it != m_upcomingSteps.end();) {
        const StepKey key = *it;
        Job* job = find(key.job);
        Step* step = job != nullptr ? job->find(key) : nullptr;
        const QueuePolicy* queue = job != nullptr ? queueOf(*job) : nullptr;
        if (step == nullptr || isFinal(job->state) || step->released || step->admission.prefetched || queue == nullptr
            || !queue->admission) {
            it = m_upcomingSteps.erase(it);
            continue;
        }
        if (!m_admission.hasFreeRelay(*queue->admission))
            return;
        step->admission.prefetched = true;
        requestAdmission(*job, key, *queue->admission);
        it = m_upcomingSteps.erase(it);
    }
}

void JobScheduler::markUpcomingSteps(const Job& job, const StepKey& placed)
{
    const QueuePolicy* queue = queueOf(job);
    if (queue == nullptr || !queue->isUrgent() || !queue->admission)
        return;
    const Occurrence& occurrence = job.open.at(placed.occurrence);
    for (std::uint32_t i = placed.step + 1; i < occurrence.steps.size(); ++i) {
        const auto& after = job.spec().steps[i].after;
        const bool dependsOnPlaced = std::find(after.begin(), after.end(), placed.step) != after.end();
        const bool predecessorsPlaced = std::none_of(
            after.begin(), after.end(), [&occurrence](std::uint32_t k) { return occurrence.steps[k].hasWaiting(); });
        if (dependsOnPlaced && predecessorsPlaced && !occurrence.steps[i].released)
            m_upcomingSteps.insert({ placed.job, placed.occurrence, i });
    }
}

// Answers a backlog of admission calls, for example while one client account sends many times its usual load: calls are
// made in scheduling order, so without this a step of low priority would wait until the backlog has gone, although
// there are workers for it. Steps within the rate of their account come first. The queues take turns, and within a
// queue the oldest step comes first. Long-running tasks have to run all the time, so each of them counts; of other
// steps, those of which no task runs. After the loss of many workers, turns are too few for the long-running steps, so
// that they also have relays of their own.
void JobScheduler::requestOverdueAdmissions()
{
    if (!mayRequestAhead(AdmissionReason::Overdue) && !mayRequestAhead(AdmissionReason::LongRunning))
        return;
    const TimePoint now = m_runtime.now();
    // Whether beyond the rate, last turn of the queue, and since when the step waits.
    std::vector<std::tuple<bool, TimePoint, TimePoint, StepKey>> overdue;
    std::vector<std::pair<TimePoint, StepKey>> longRunning;
    for (const auto& key : m_readySteps) {
        const Job& job = *m_jobs.at(key.job);
        const Step& step = job.open.at(key.occurrence).steps[key.step];
        const bool lasts = job.spec().steps[key.step].longRunning;
        const TimePoint since = lasts ? step.waitingSince() : step.releasedAt;
        if ((step.assigned > 0 && !lasts) || step.admission.requestPending || now - since <= m_settings.overdueAfter
            || now < step.admission.nextRequestAt)
            continue;
        overdue.emplace_back(
            job.submission.beyondRate && !lasts, m_lastOverdueRequest[job.submission.queue], since, key);
        if (lasts)
            longRunning.emplace_back(since, key);
    }
    const auto request = [this](const StepKey& key, AdmissionReason reason) {
        Job& job = *m_jobs.at(key.job);
        const QueuePolicy* queue = queueOf(job);
        return queue != nullptr && queue->admission && m_admission.hasFreeRelay(*queue->admission)
            && lacksTicket(job, key) && requestAdmission(job, key, *queue->admission, reason);
    };
    std::sort(longRunning.begin(), longRunning.end());
    for (auto it = longRunning.begin(); it != longRunning.end() && mayRequestAhead(AdmissionReason::LongRunning); ++it)
        request(it->second, AdmissionReason::LongRunning);
    std::sort(overdue.begin(), overdue.end());
    for (auto it = overdue.begin(); it != overdue.end() && mayRequestAhead(AdmissionReason::Overdue); ++it) {
        const StepKey& key = std::get<StepKey>(*it);
        if (request(key, AdmissionReason::Overdue))
            m_lastOverdueRequest[m_jobs.at(key.job)->submission.queue] = now;
    }
}

bool JobScheduler::mayRequestAhead(AdmissionReason reason) const
{
    const std::size_t limit
        = reason == AdmissionReason::LongRunning ? m_admission.longRunningRelays() : m_admission.overdueRelays();
    const auto pending = m_requestsAhead.find(reason);
    return pending == m_requestsAhead.end() ? limit > 0 : pending->second < limit;
}

bool JobScheduler::lacksTicket(Job& job, const StepKey& key)
{
    const Step& step = *job.find(key);
    const StepSpec& spec = job.spec().steps[key.step];
    if (!withinLimit(job, spec, 1) || hasUsableTicket(step, reservationOf(spec)))
        return false;
    if (step.tasks.untouched() > 0 && allRunsLocated(job))
        return true;
    return std::any_of(step.tasks.states().begin(), step.tasks.states().end(), [&](const auto& it) {
        return it.second.phase == TaskPhase::Waiting && mayStart(job, { key.job, key.occurrence, key.step, it.first });
    });
}

bool JobScheduler::requestAdmission(Job& job, const StepKey& key, const AdmissionPolicy& policy, AdmissionReason reason)
{
    Step& step = *job.find(key);
    if (step.admission.requestPending || m_runtime.now() < step.admission.nextRequestAt
        || !m_admission.hasFreeRelay(policy))
        return false;
    auto workers = selectAdmissionWorkers(job, key, policy);
    if (workers.empty())
        return false;
    step.admission.requestPending = true;
    ++m_requestsAhead[reason];
    m_admission.call({ key, workers }, policy, [this, key, policy, workers, reason](const auto& grants) {
        --m_requestsAhead[reason];
        handleAdmissionReply(key, policy, workers, grants);
    });
    return true;
}

// Selects the best workers that have capacity for a task and that the service may allow: workers that it has allowed
// before and, if their capacity does not suffice for the step, workers that no request has named yet. A request that
// names few of them is filled up with workers without free capacity, as far as that costs less than the call itself:
// answers do not change, so that a later request names only workers that are allowed.
std::vector<WorkerId> JobScheduler::selectAdmissionWorkers(Job& job, const StepKey& key, const AdmissionPolicy& policy)
{
    const Step* step = job.find(key);
    const StepSpec& spec = job.spec().steps[key.step];
    const TimePoint minExpiry = m_runtime.now() + minTicketValidity;
    // Spread also for batch work: a ticket covers all tasks of the step on a worker, so the least loaded ones come
    // first.
    const Placement placement(spec, candidates(job, key), PlacementGoal::Spread);
    std::vector<WorkerId> selected;
    std::vector<WorkerId> unrequested;
    std::uint64_t taskCapacity = 0; // number of tasks of the step that fit on allowed workers
    const auto ranking = placement.ranking();
    for (const auto n : ranking) {
        const WorkerId& worker = placement.candidate(n).worker;
        const auto answer = step->admission.allowed.find(worker);
        if (answer == step->admission.allowed.end()) {
            unrequested.push_back(worker);
            continue;
        }
        if (!answer->second)
            continue;
        taskCapacity += placement.taskCapacityOn(n);
        const auto ticket = step->admission.tickets.find(worker);
        if (ticket == step->admission.tickets.end() || ticket->second.expiry < minExpiry)
            selected.push_back(worker);
    }
    const std::size_t waiting = step->waiting();
    const std::size_t maxWorkers = spec.gang ? m_settings.maxWorkersPerGangCall : m_settings.maxWorkersPerAdmissionCall;
    selected.resize(std::min(selected.size(), spec.gang ? maxWorkers : m_settings.maxWorkersPerTicketRenewal));
    if (selected.empty() || taskCapacity < waiting) {
        unrequested.resize(std::min(unrequested.size(), maxWorkers - selected.size()));
        selected.insert(
            selected.end(), std::make_move_iterator(unrequested.begin()), std::make_move_iterator(unrequested.end()));
    }
    if (selected.empty())
        return selected;
    const std::size_t affordable = policy.perWorker > Duration::zero()
        ? static_cast<std::size_t>(policy.perCall / policy.perWorker)
        : maxWorkers;
    const std::size_t target = std::min(maxWorkers, affordable);
    absl::flat_hash_set<std::size_t> fitting(ranking.begin(), ranking.end());
    for (std::size_t n = 0; n < placement.candidateCount() && selected.size() < target; ++n) {
        const PlacementCandidate& candidate = placement.candidate(n);
        if (!fitting.contains(n) && placement.reservation().fitsIn(candidate.capacity)
            && !step->admission.allowed.contains(candidate.worker))
            selected.push_back(candidate.worker);
    }
    return selected;
}

void JobScheduler::handleAdmissionReply(const StepKey& key, const AdmissionPolicy& policy,
    const std::vector<WorkerId>& requested, const absl::StatusOr<std::vector<AdmissionGrant>>& grants)
{
    Job* job = find(key.job);
    Step* step = job != nullptr ? job->find(key) : nullptr;
    if (step == nullptr)
        return;
    auto& admission = step->admission;
    admission.requestPending = false;
    ++m_counters.admissionCalls;
    const TimePoint now = m_runtime.now();
    if (!grants.ok()) {
        admission.nextRequestAt = now + admissionRetryDelay;
        m_log.record("admission_failed",
            { { "job", key.job.value() }, { "step", key.step }, { "asked", requested.size() },
                { "error", grants.status().message() } });
        requestPass();
        return;
    }
    for (const auto& worker : requested)
        admission.allowed[worker] = false;
    for (const auto& grant : *grants) {
        admission.allowed[grant.worker] = true;
        admission.tickets[grant.worker] = { grant.ticket, now + policy.validity };
    }
    if (!grants->empty() && admission.grantedAt == TimePoint())
        admission.grantedAt = now;
    admission.nextRequestAt = now + admissionRepeatDelay;
    m_log.record("admission_answered",
        { { "job", key.job.value() }, { "step", key.step }, { "asked", requested.size() },
            { "granted", grants->size() } });
    requestPass();
}

} // namespace lycheeledge::jobs
