// Cell scheduler: capacity holds, gang restarts, worker quarantine, load shedding and preemption.

#include "CellScheduler.h"

#include <glog/logging.h>

#include <algorithm>

namespace lycheeledge {

namespace {

    /// Time a job must have been blocked before it gets a hold.
    constexpr Duration holdDelay = std::chrono::seconds(2);
    constexpr Duration maxHoldDuration = std::chrono::seconds(30);
    /// A job whose single task needs at least this fraction of a worker also gets a hold, since smaller work would
    /// otherwise always be placed before it.
    constexpr double largeTaskFraction = 0.5;
    /// A probe task that is still running after this time counts as a success of its worker.
    constexpr Duration maxProbeDuration = std::chrono::seconds(30);
    /// Reservations are released when the journal record of the start has been pending this long.
    constexpr Duration journalTimeout = std::chrono::seconds(2);
    /// Time since submission after which blocked urgent work may preempt.
    constexpr Duration urgentPreemptionDelay = std::chrono::milliseconds(500);
    /// Time a team must have been below its share before it may preempt.
    constexpr Duration fairSharePreemptionDelay = std::chrono::seconds(1);
    /// Maximum number of tasks considered for one preemption, newest first.
    constexpr std::size_t maxPreemptionCandidates = 256;
    /// Maximum number of waiting tasks of one team that a review makes room for.
    constexpr std::size_t maxTasksServedPerReview = 16;
    /// Relative deviation from a team's share that does not cause preemption.
    constexpr double shareTolerance = 0.01;

} // namespace

void CellScheduler::updateHold()
{
    const TimePoint now = m_runtime.now();
    if (WorkItem* holder = m_hold.holder()) {
        const bool broken = std::any_of(m_hold.parts().begin(), m_hold.parts().end(),
            [&](const auto& part) { return !m_workers.at(part.worker).placeable(); });
        if (!broken && now < m_hold.until())
            return;
        tryPlaceHolder(); // backfilled work may have ended by now
        if (m_hold.holder() != holder)
            return;
        if (now >= m_hold.until())
            holder->earliestHold = now + maxHoldDuration;
        releaseHold();
    }
    WorkItem* next = nullptr;
    for (auto& [id, team] : m_teams.all()) {
        for (std::size_t i = 0; i < TeamQueues::classCount; ++i) {
            if (team.queues.queue(i).empty())
                continue;
            WorkItem& item = *team.queues.queue(i).front();
            const bool large = item.isGang() || m_workers.countFittingIdleFleet(item.spec.perTask * 2, 1) == 0;
            if (item.isJob() && item.cause == WaitCause::Capacity && large && now - item.blockedSince >= holdDelay
                && now >= item.earliestHold && (!next || item.blockedSince < next->blockedSince))
                next = &item;
        }
    }
    if (!next)
        return;
    const auto n = next->isGang() ? static_cast<std::uint32_t>(next->waiting.size()) : 1;
    auto parts = GangHold::plan(m_workers, next->spec.perTask, n);
    if (parts.empty()) {
        next->earliestHold = now + holdDelay;
        return;
    }
    LOG(INFO) << "[scheduler] holding freed capacity on " << parts.size() << " workers for job " << next->spec.id.team
              << '/' << next->spec.id.request;
    m_hold.acquire(m_workers, *next, std::move(parts), now + maxHoldDuration);
    tryPlaceHolder();
}

void CellScheduler::releaseHold()
{
    for (const WorkerIndex worker : m_hold.release(m_workers))
        capacityFreed(worker);
}

void CellScheduler::tryPlaceHolder()
{
    WorkItem* item = m_hold.holder();
    if (!m_hold.ready())
        return;
    std::vector<WorkerIndex> workers;
    for (const auto& part : m_hold.parts()) {
        m_hold.refresh(m_workers, part.worker); // the worker may have become unreachable, drained or quarantined
        workers.insert(workers.end(), part.tasks, part.worker);
    }
    if (!m_hold.ready())
        return;
    if (!item->queued || item->waiting.size() < workers.size()
        || !withinLimit(*item, static_cast<std::uint32_t>(workers.size())))
        return;
    const std::vector<std::uint32_t> indexes(
        item->waiting.begin(), item->waiting.begin() + static_cast<std::ptrdiff_t>(workers.size()));
    item->waiting.erase(item->waiting.begin(), item->waiting.begin() + static_cast<std::ptrdiff_t>(workers.size()));
    onPlaced(*item);
    for (std::size_t i = 0; i < indexes.size(); ++i)
        reserveTask(*item, indexes[i], workers[i]);
    for (const std::uint32_t index : indexes)
        startTask(*item, index);
}

void CellScheduler::awaitGangRestart(WorkItem& item, std::uint32_t index, TimePoint due)
{
    if (endWithEarlierSuccess(item, index))
        return;
    setState(item, index, TaskState::AwaitingGangRestart);
    if (!item.restarting) {
        item.restarting = true;
        item.team->queues.remove(item);
        m_blockedGangs.erase(item.sequence);
        if (m_hold.holder() == &item)
            releaseHold();
        item.restartAt = due;
        for (std::uint32_t i = 0; i < item.tasks.size(); ++i) {
            if (item.tasks[i].state == TaskState::Running)
                m_pool.applyAction(m_workers.at(item.tasks[i].worker).description.id, TaskAction::Stop, item.taskId(i));
        }
    }
    scheduleGangRestartIfEnded(item);
}

void CellScheduler::scheduleGangRestartIfEnded(WorkItem& item)
{
    if (item.restarting && item.reservedTasks == 0)
        m_gangRestarts.emplace(item.restartAt, item.spec.id);
}

void CellScheduler::requeueDueGangs()
{
    const TimePoint now = m_runtime.now();
    while (!m_gangRestarts.empty() && m_gangRestarts.begin()->first <= now) {
        const WorkId id = m_gangRestarts.begin()->second;
        m_gangRestarts.erase(m_gangRestarts.begin());
        WorkItem* item = find(id);
        if (!item || item->abortResult || !item->restarting)
            continue;
        // The gang cannot restart while some of its tasks may be running on a missing worker.
        if (m_unresolved.contains(item->sequence) || !item->team->retries.take(now)) {
            m_gangRestarts.emplace(now + std::chrono::seconds(1), id);
            continue;
        }
        ++m_retryCount;
        item->restarting = false;
        for (std::uint32_t i = 0; i < item->tasks.size(); ++i) {
            if (item->tasks[i].state != TaskState::AwaitingGangRestart)
                continue;
            setState(*item, i, TaskState::Waiting);
            item->waiting.push_back(i);
        }
        enqueue(*item, true);
    }
}

void CellScheduler::recordHealth(const WorkItem& item, WorkerIndex worker, bool succeeded)
{
    const WorkId source = WorkerHealth::sourceOf(item.spec.id, item.isJob());
    const TimePoint now = m_runtime.now();
    if (succeeded) {
        if (m_health.succeeded(now, worker, source))
            setQuarantined(worker, false);
    } else if (m_health.failed(now, worker, source)) {
        LOG(WARNING) << "[scheduler] quarantining worker " << m_workers.at(worker).description.id
                     << ": its last tasks failed or were refused";
        m_probes.erase(worker);
        setQuarantined(worker, true);
    }
}

void CellScheduler::setQuarantined(WorkerIndex worker, bool quarantined)
{
    const bool onProbation = !quarantined && m_health.awaitsProbe(worker);
    if (m_workers.at(worker).quarantined == quarantined && m_workers.at(worker).onProbation == onProbation)
        return;
    m_workers.update(worker, [&](WorkerEntry& entry) {
        entry.quarantined = quarantined;
        entry.onProbation = onProbation;
    });
    if (!quarantined)
        capacityFreed(worker);
}

void CellScheduler::updateProbes()
{
    const TimePoint now = m_runtime.now();
    for (const WorkerIndex worker : m_health.takeReleased(now))
        setQuarantined(worker, false);
    std::vector<WorkerIndex> proven;
    for (const auto& [worker, probe] : m_probes) {
        if (now - probe.second >= maxProbeDuration)
            proven.push_back(worker);
    }
    std::sort(proven.begin(), proven.end());
    for (const WorkerIndex worker : proven) {
        m_health.succeeded(now, worker, m_probes.at(worker).first.work);
        m_probes.erase(worker);
        setQuarantined(worker, false);
    }
}

void CellScheduler::shedRequests()
{
    const TimePoint now = m_runtime.now();
    const Resources& fleet = m_workers.totalCapacity();
    if (fleet.isZero())
        return; // a new owner without workers is not overloaded; deadlines still apply
    const std::size_t requests = TeamQueues::urgentClassCount; // queue of non-urgent requests
    Duration delay {};
    TeamRecord* mostOverShare = nullptr;
    double highestRatio = 1.0 - 5 * shareTolerance;
    for (auto& [id, team] : m_teams.all()) {
        const auto& queue = team.queues.queue(requests);
        if (queue.empty())
            continue;
        const Duration age = now - queue.front()->arrival;
        delay = std::max(delay, age);
        const double ratio = team.usage.dominantShare(fleet) / std::max(m_teams.entitledPart(team), 1e-9);
        if (age > OverloadControl::targetDelay && ratio >= highestRatio) {
            mostOverShare = &team;
            highestRatio = ratio;
        }
    }
    if (!m_overload.update(now, delay) || !mostOverShare)
        return;
    // Refusing a tenth of the queue per 10 ms tick keeps the delay near the target at twice the capacity. The oldest
    // request is never refused.
    for (std::size_t n = (mostOverShare->queues.queue(requests).size() + 8) / 10; n > 0; --n) {
        ++m_refusals["overload"];
        abort(*mostOverShare->queues.queue(requests).back(), ErrorKind::Overloaded, "the cell is overloaded");
    }
}

double CellScheduler::targetPart(const TeamRecord& team, double totalActiveShare) const
{
    return totalActiveShare > 0 ? team.team.share / totalActiveShare : 1.0;
}

double CellScheduler::plannedPart(const TeamRecord& team) const
{
    const Resources planned
        = team.usage + m_preemption.pendingFor(team.team.id) - m_preemption.pendingFrom(team.team.id);
    return planned.dominantShare(m_workers.totalCapacity());
}

const WorkItem* CellScheduler::starvingItem(TeamRecord& team, double totalActiveShare)
{
    const TimePoint now = m_runtime.now();
    const WorkItem* first = nullptr;
    for (std::size_t i = 0; i < TeamQueues::classCount; ++i) {
        if (team.queues.queue(i).empty() || team.queues.queue(i).front()->cause != WaitCause::Capacity)
            continue;
        const WorkItem& item = *team.queues.queue(i).front();
        const bool urgentDue = i < TeamQueues::urgentClassCount && now - item.arrival > urgentPreemptionDelay;
        const Resources urgent = team.urgentUsage + m_preemption.pendingFor(team.team.id);
        if (urgentDue && urgent.dominantShare(m_workers.totalCapacity()) < m_teams.entitledPart(team))
            return &item;
        if (!first && !item.isGang())
            first = &item;
    }
    const bool below = first && plannedPart(team) < targetPart(team, totalActiveShare) * (1.0 - shareTolerance);
    if (!below) {
        team.belowShareSince.reset();
        return nullptr;
    }
    if (!team.belowShareSince)
        team.belowShareSince = now;
    return now - *team.belowShareSince > fairSharePreemptionDelay ? first : nullptr;
}

void CellScheduler::preempt()
{
    double shares = 0;
    for (const auto& [id, team] : m_teams.all()) {
        if (team.queues.size() > 0 || team.running > 0)
            shares += team.team.share;
    }
    for (auto& [id, team] : m_teams.all()) {
        if (team.queues.size() == 0) {
            team.belowShareSince.reset();
            continue;
        }
        if (const WorkItem* waiter = starvingItem(team, shares))
            preemptFor(team, *waiter, shares);
    }
}

void CellScheduler::preemptFor(TeamRecord& team, const WorkItem& waiter, double totalActiveShare)
{
    const TimePoint now = m_runtime.now();
    const Resources& fleet = m_workers.totalCapacity();
    for (std::size_t n = 0; n < std::min(maxTasksServedPerReview, waiter.waiting.size()); ++n) {
        TeamRecord* mostOverShare = nullptr;
        double highestRatio = 1.0 + shareTolerance;
        for (auto& [id, other] : m_teams.all()) {
            const double ratio = plannedPart(other) / targetPart(other, totalActiveShare);
            if (ratio > highestRatio && !other.preemptibleTasks.empty()) {
                mostOverShare = &other;
                highestRatio = ratio;
            }
        }
        if (!mostOverShare)
            return;
        std::vector<Victim> victims;
        for (auto it = mostOverShare->preemptibleTasks.rbegin();
             it != mostOverShare->preemptibleTasks.rend() && victims.size() < maxPreemptionCandidates; ++it) {
            const Reservation* reservation = m_workers.reservation(it->second);
            const WorkItem* item = find(it->second.work);
            if (reservation && item && policy(item->spec.kind).preemptible && !m_preemption.contains(it->second)
                && !(item->spec.urgent && mostOverShare == &team))
                victims.push_back({ it->second, reservation->worker, reservation->size });
        }
        const auto chosen = Preemption::choose(m_workers, victims, waiter.spec.perTask);
        Resources sum;
        for (const Victim& victim : chosen)
            sum += victim.size;
        if (chosen.empty() || !m_preemption.takeBudget(now, sum.dominantShare(fleet)))
            return;
        for (const Victim& victim : chosen) {
            ++m_preemptions;
            m_preemption.begin(now, victim.id, team.team.id, victim.size);
        }
        if (!waiter.spec.urgent && plannedPart(team) >= targetPart(team, totalActiveShare))
            return;
    }
}

void CellScheduler::sendPreemptions()
{
    if (m_preemption.idle())
        return;
    for (const auto& step : m_preemption.takeDueSteps(m_runtime.now())) {
        if (const Reservation* reservation = m_workers.reservation(step.id))
            m_pool.applyAction(m_workers.at(reservation->worker).description.id, step.action, step.id);
    }
}

void CellScheduler::releaseStalledStarts()
{
    const TimePoint now = m_runtime.now();
    if (m_pendingStartRecords.empty() || now - m_pendingStartRecords.begin()->second.second < journalTimeout)
        return;
    for (const auto& [number, start] : m_pendingStartRecords) {
        if (now - start.second < journalTimeout)
            break;
        // The start command was not sent, so the capacity can go to work that needs no journal record.
        WorkItem* item = find(start.first.work);
        if (isActiveRun(item, start.first) && item->tasks[start.first.index].state == TaskState::Journalling) {
            releaseTask(*item, start.first.index);
            requeue(*item, start.first.index);
        }
    }
}

} // namespace lycheeledge
