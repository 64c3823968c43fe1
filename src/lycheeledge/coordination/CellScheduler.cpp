// Cell scheduler: submissions, cancellations and queries.

#include "CellScheduler.h"

#include <absl/strings/str_cat.h>
#include <glog/logging.h>

#include <algorithm>

namespace lycheeledge {

namespace {

    WorkResult acceptedResult(const WorkId& id) { return { id, RunState::NotRun, ErrorKind::None, "accepted", {} }; }

    std::unique_ptr<Placement> makePlacement(Runtime& runtime, const SchedulerSettings& settings)
    {
        if (settings.placement == PlacementMethod::FirstFit)
            return std::make_unique<FirstFitPlacement>();
        return std::make_unique<ScoringPlacement>(runtime, settings.placementSample);
    }

} // namespace

CellScheduler::CellScheduler(Runtime& runtime, WorkerPool& pool, JobJournal& journal, SchedulerSettings settings)
    : m_runtime(runtime)
    , m_pool(pool)
    , m_journal(journal)
    , m_settings(settings)
    , m_placement(makePlacement(runtime, settings))
    , m_teamOrder(makeTeamOrder(settings.order))
    , m_outcomes(settings.outcomeRetention, settings.maxStoredBodyBytes)
    , m_unclaimed(settings.outcomeRetention)
{
    m_timer = m_runtime.after(m_settings.tickInterval, [this] { tick(); });
}

CellScheduler::~CellScheduler() { m_runtime.cancel(m_timer); }

void CellScheduler::applyConfiguration(const Configuration& configuration)
{
    m_policies = configuration.policies;
    m_teams.configure(configuration.teams);
    m_drained = configuration.drained;
    for (WorkerIndex slot = 0; slot < m_workers.size(); ++slot) {
        const auto it = m_drained.find(m_workers.at(slot).description.id);
        const bool drained = it != m_drained.end() && it->second;
        if (drained != m_workers.at(slot).drained)
            m_workers.update(slot, [&](WorkerEntry& entry) { entry.drained = drained; });
    }
    markAllDirty();
    requeueSetAside();
    schedule();
}

void CellScheduler::submit(WorkSpec spec, std::string traceparent, Done done)
{
    const TimePoint now = m_runtime.now();
    if (!m_active) {
        m_deferredSubmissions.push_back({ std::move(spec), std::move(traceparent), std::move(done), now });
        return;
    }
    accept(std::move(spec), std::move(traceparent), std::move(done), now);
    schedule();
}

void CellScheduler::accept(WorkSpec spec, std::string traceparent, Done done, TimePoint arrival)
{
    if (attachToExisting(spec, done))
        return;
    const bool reported = m_unclaimed.contains(spec.id);
    const bool mayHaveRun = spec.kind == WorkKind::Request && spec.attempt != 1 && !reported && !historyComplete();
    if (mayHaveRun && !spec.repeatable) {
        ++m_refusals["outcome_unknown"];
        postResult(std::move(done),
            { spec.id, RunState::Unknown, ErrorKind::WorkerLost, "a worker that may have run this was lost", {} });
        return;
    }
    if (!reported) {
        if (spec.taskCount == 0)
            return refuse(spec, ErrorKind::InvalidArgument, "task count is 0", "invalid", std::move(done));
        if (const auto reason = unschedulableReason(spec); reason && fleetKnown())
            return refuse(spec, ErrorKind::NeverFits, *reason, "never_fits", std::move(done));
        if (m_teams.at(spec.id.team).queues.size(spec.kind) >= policy(spec.kind).maxQueuedPerTeam)
            return refuse(spec, ErrorKind::Overloaded, "the team's queue is full", "queue_full", std::move(done));
        if (spec.kind == WorkKind::Request && spec.deadline > Duration::zero()) {
            const TeamRecord& team = m_teams.at(spec.id.team);
            const auto delay = team.requestRate.expectedDelay(m_runtime.now(), team.queues.size(WorkKind::Request));
            if (delay && arrival + spec.deadline < m_runtime.now() + *delay)
                return refuse(spec, ErrorKind::Overloaded, "the queue is longer than the deadline allows",
                    "expected_delay", std::move(done));
        }
    }

    WorkItem& item = createItem(std::move(spec), std::move(traceparent), arrival);
    item.waiters.push_back(std::move(done));
    if (mayHaveRun)
        item.runState = RunState::Unknown;
    if (item.isJob()) {
        journalSubmission(item);
        claimReportedTasks(item);
        return;
    }
    item.durable = true;
    if (mayHaveRun && !m_missingWorkers.empty()) {
        // A missing worker may be running it; starting it elsewhere could run it twice at the same time.
        item.tasks[0].state = TaskState::Unresolved;
        item.waiting.clear();
        m_unresolved.emplace(item.sequence, item.spec.id);
        return;
    }
    const WorkId id = item.spec.id;
    claimReportedTasks(item); // may finish the work and destroy `item`
    if (WorkItem* open = find(id))
        enqueue(*open, false);
}

bool CellScheduler::attachToExisting(const WorkSpec& spec, Done& done)
{
    if (WorkItem* item = find(spec.id)) {
        item->spec.attempt = std::max(item->spec.attempt, spec.attempt);
        if (item->sentResult)
            postResult(std::move(done), *item->sentResult);
        else
            item->waiters.push_back(std::move(done));
        return true;
    }
    const StoredOutcome* stored = m_outcomes.find(spec.id);
    if (!stored)
        return false;
    // Refused work may be submitted again with a higher attempt number. A delayed duplicate of the refused attempt
    // must not run.
    const bool refused = stored->result.run == RunState::NotRun && stored->result.error != ErrorKind::Cancelled;
    if (refused && !stored->accepted && spec.attempt > stored->attempt) {
        m_outcomes.erase(spec.id);
        return false;
    }
    if (const auto ending = m_pendingEndWaiters.find(spec.id);
        ending != m_pendingEndWaiters.end() && !stored->accepted) {
        ending->second.push_back(std::move(done));
        return true;
    }
    postResult(std::move(done), stored->accepted ? acceptedResult(spec.id) : stored->result);
    return true;
}

void CellScheduler::refuse(const WorkSpec& spec, ErrorKind error, std::string message, const char* reason, Done done)
{
    ++m_refusals[reason];
    StoredOutcome stored;
    stored.result = { spec.id, RunState::NotRun, error, std::move(message), {} };
    stored.status = { spec.id, spec.kind, WorkPhase::Finished, 0, 0, spec.taskCount, stored.result.message };
    stored.attempt = spec.attempt;
    stored.storedAt = m_runtime.now();
    postResult(std::move(done), stored.result);
    m_outcomes.store(std::move(stored));
}

WorkItem& CellScheduler::createItem(WorkSpec spec, std::string traceparent, TimePoint arrival)
{
    auto owned = std::make_unique<WorkItem>();
    WorkItem& item = *owned;
    item.spec = std::move(spec);
    item.traceparent = std::move(traceparent);
    item.sequence = m_nextSequence++;
    item.arrival = arrival;
    item.team = &m_teams.at(item.spec.id.team);
    item.tasks.resize(item.spec.taskCount);
    for (std::uint32_t i = 0; i < item.spec.taskCount; ++i)
        item.waiting.push_back(i);
    if (item.spec.deadline > Duration::zero()) {
        item.deadline = arrival + item.spec.deadline;
        m_deadlines.emplace(std::make_pair(*item.deadline, item.sequence), &item);
    }
    m_items.insert_or_assign(item.spec.id, std::move(owned));
    return item;
}

void CellScheduler::journalSubmission(WorkItem& item)
{
    m_journal.append(JobSubmitted { item.spec },
        [this, alive = std::weak_ptr(m_alive), id = item.spec.id, sequence = item.sequence](
            const absl::Status& status) {
            if (alive.expired())
                return;
            WorkItem* item = find(id);
            if (!item || item->sequence != sequence)
                return;
            if (!status.ok()) {
                // The record may be durable despite the error, in which case the next owner runs the job.
                item->durable = false;
                item->abortResult
                    = WorkResult { id, RunState::Unknown, ErrorKind::Unavailable, std::string(status.message()), {} };
                finishIfEnded(*item);
                return;
            }
            item->durable = true;
            answer(*item, acceptedResult(id));
            enqueue(*item, false);
            finishIfEnded(*item);
            schedule();
        });
}

void CellScheduler::enqueue(WorkItem& item, bool front)
{
    if (item.queued || item.abortResult || item.restarting || item.setAside || !item.durable || item.waiting.empty())
        return;
    if (m_active && fleetKnown()) {
        if (auto reason = unschedulableReason(item.spec)) {
            if (!item.isJob()) {
                ++m_refusals["never_fits"];
                abort(item, ErrorKind::NeverFits, std::move(*reason));
                return;
            }
            item.setAside = true;
            item.reason = std::move(*reason);
            m_setAside.emplace(item.sequence, &item);
            return;
        }
    }
    if (!item.isJob() && item.team->queues.size(WorkKind::Request) == 0) {
        item.team->requestRate.reset();
        item.team->requestRate.begin(m_runtime.now());
    }
    if (front)
        item.team->queues.pushFront(item);
    else
        item.team->queues.pushBack(item);
    m_dirtyTeams.insert(item.spec.id.team);
}

std::optional<std::string> CellScheduler::unschedulableReason(const WorkSpec& spec) const
{
    const std::uint32_t together = spec.gang ? spec.taskCount : 1;
    const auto team = m_teams.all().find(spec.id.team);
    if (team != m_teams.all().end() && !team->second.couldFit(spec.perTask, together))
        return "larger than the team's upper limit";
    if (m_workers.countFittingIdleFleet(spec.perTask, 1) == 0)
        return "a task is larger than any worker";
    if (together > 1 && m_workers.countFittingIdleFleet(spec.perTask, together) < together)
        return "all tasks together are larger than the fleet";
    return std::nullopt;
}

bool CellScheduler::fleetKnown() const
{
    return m_active && m_missingWorkers.empty() && !m_workers.totalCapacity().isZero();
}

bool CellScheduler::historyComplete() const
{
    return m_missingWorkers.empty() && m_runtime.now() >= m_historyCompleteAt;
}

void CellScheduler::requeueSetAside()
{
    auto jobs = std::move(m_setAside);
    m_setAside.clear();
    for (auto& [sequence, item] : jobs) {
        item->setAside = false;
        item->reason.clear();
        enqueue(*item, false);
    }
}

void CellScheduler::cancel(const WorkId& id, std::function<void(std::optional<WorkStatus>)> done)
{
    const auto deferred = std::find_if(m_deferredSubmissions.begin(), m_deferredSubmissions.end(),
        [&](const DeferredSubmission& submission) { return submission.spec.id == id; });
    if (deferred != m_deferredSubmissions.end()) {
        // Only a first attempt has certainly not run under an earlier owner.
        const RunState run = deferred->spec.attempt == 1 ? RunState::NotRun : RunState::Unknown;
        StoredOutcome stored;
        stored.result = { id, run, ErrorKind::Cancelled, "cancelled", {} };
        stored.status = { id, deferred->spec.kind, WorkPhase::Finished, 0, 0, deferred->spec.taskCount, "cancelled" };
        stored.storedAt = m_runtime.now();
        postResult(std::move(deferred->done), stored.result);
        m_outcomes.store(std::move(stored));
        m_deferredSubmissions.erase(deferred);
    }
    WorkItem* item = find(id);
    if (!item) {
        m_runtime.post([done = std::move(done), status = status(id)] { done(status); });
        return;
    }
    const bool journalled = item->isJob();
    abort(*item, ErrorKind::Cancelled, "cancelled");
    if (!journalled) {
        m_runtime.post([done = std::move(done), status = status(id)] { done(status); });
        schedule();
        return;
    }
    m_journal.append(
        JobCancelled { id }, [this, alive = std::weak_ptr(m_alive), id, done = std::move(done)](const absl::Status&) {
            if (!alive.expired())
                done(status(id));
        });
    schedule();
}

std::optional<WorkStatus> CellScheduler::status(const WorkId& id) const
{
    if (const WorkItem* item = find(id))
        return statusOf(*item);
    if (const StoredOutcome* stored = m_outcomes.find(id))
        return stored->status;
    return std::nullopt;
}

WorkStatus CellScheduler::statusOf(const WorkItem& item) const
{
    WorkStatus status { item.spec.id, item.spec.kind, WorkPhase::Queued, item.reservedTasks, item.ended(),
        item.spec.taskCount, item.reason };
    if (item.setAside)
        status.phase = WorkPhase::SetAside;
    else if (item.reservedTasks > 0)
        status.phase = WorkPhase::Running;
    if (item.queued && item.cause == WaitCause::Capacity)
        status.reason = "waits for capacity";
    else if (item.queued && item.cause == WaitCause::Limit)
        status.reason = "waits for the team's upper limit";
    else if (item.queued && item.cause == WaitCause::Journal)
        status.reason = "waits for the job journal";
    if (item.abortResult)
        status.reason = item.abortResult->message;
    else if (!item.durable)
        status.reason = "waits for the job journal";
    else if (!m_active)
        status.reason = "waits for a majority of workers";
    else if (m_health.isFailing(WorkerHealth::sourceOf(item.spec.id, item.isJob())))
        status.reason = "its tasks fail on workers that run other work well";
    return status;
}

WorkItem* CellScheduler::find(const WorkId& id) const
{
    const auto it = m_items.find(id);
    return it == m_items.end() ? nullptr : it->second.get();
}

const KindPolicy& CellScheduler::policy(WorkKind kind) const
{
    static const KindPolicy defaults;
    const auto it = m_policies.find(kind);
    return it == m_policies.end() ? defaults : it->second;
}

void CellScheduler::answer(WorkItem& item, const WorkResult& result)
{
    if (item.sentResult)
        return;
    item.sentResult = result;
    for (Done& done : item.waiters)
        postResult(std::move(done), result);
    item.waiters.clear();
}

void CellScheduler::postResult(Done done, WorkResult result)
{
    if (!done)
        return;
    m_runtime.post([alive = std::weak_ptr(m_alive), done = std::move(done), result = std::move(result)] {
        if (!alive.expired())
            done(result);
    });
}

SchedulerOverview CellScheduler::overview() const
{
    SchedulerOverview view;
    view.active = m_active;
    const Resources& fleet = m_workers.totalCapacity();
    for (const auto& [id, record] : m_teams.all()) {
        view.teams.push_back({ id, record.team.share, m_teams.entitledPart(record), record.usage.dominantShare(fleet),
            record.usage, record.team.upperLimit, record.team.maxRunningTasks, record.running, record.queues.size(),
            record.starts });
    }
    for (WorkerIndex slot = 0; slot < m_workers.size(); ++slot) {
        const WorkerEntry& entry = m_workers.at(slot);
        const WorkerDescription& worker = entry.description;
        view.workers.push_back({ worker.id, worker.zone, worker.rack, worker.capacity, entry.reserved, entry.used,
            static_cast<std::uint32_t>(entry.tasks.size()), entry.available, entry.reachable, entry.quarantined,
            entry.drained, worker.leaving });
    }
    view.pending = m_items.size() + m_deferredSubmissions.size();
    view.setAside = m_setAside.size();
    view.missingWorkers = m_missingWorkers.size();
    view.unclaimedTasks = m_unclaimed.size();
    view.starts = m_starts;
    view.finished = m_finished;
    view.retries = m_retryCount;
    view.preemptions = m_preemptions;
    view.refusals = m_refusals;
    if (m_hold.holder())
        view.holder = m_hold.holder()->spec.id;
    for (const WorkKind kind : { WorkKind::Request, WorkKind::Batch, WorkKind::Service })
        view.waiting[kind] = m_waiting[static_cast<std::size_t>(kind)].overview();
    return view;
}

} // namespace lycheeledge
