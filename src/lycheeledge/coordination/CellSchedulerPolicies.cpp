// Holds and restarts of gang jobs, quarantine, overload and preemption in the cell scheduler.

#include "CellScheduler.h"

#include <glog/logging.h>

#include <algorithm>

namespace lycheeledge {

namespace {

    /// A blocked job gets a hold after this time.
    constexpr Duration holdAfter = std::chrono::seconds(2);
    constexpr Duration longestHold = std::chrono::seconds(30);
    /// A single task of this part of a worker or more also gets a hold, since smaller work would always come first.
    constexpr double largeTask = 0.5;
    /// A probe task that still runs after this time proves its worker good.
    constexpr Duration longestProbe = std::chrono::seconds(30);
    /// Reservations whose start waits this long for the journal are given up.
    constexpr Duration journalTimeout = std::chrono::seconds(2);
    constexpr Duration urgentPatience = std::chrono::milliseconds(500);
    constexpr Duration sharePatience = std::chrono::seconds(1);
    /// Tasks considered for preemption at a time, newest first.
    constexpr std::size_t maxVictims = 256;
    /// Tasks of one team that are made room for in one review.
    constexpr std::size_t maxRoomsPerReview = 16;
    /// Teams this close to their share are left alone.
    constexpr double shareTolerance = 0.01;

} // namespace

void CellScheduler::manageHold()
{
    const TimePoint now = m_runtime.now();
    if (WorkItem* holder = m_hold.holder()) {
        const bool broken = std::any_of(m_hold.parts().begin(), m_hold.parts().end(),
            [&](const auto& part) { return !m_workers.at(part.worker).placeable(); });
        if (!broken && now < m_hold.until())
            return;
        placeHolder(); // work that was let in until now may have ended
        if (m_hold.holder() != holder)
            return;
        if (now >= m_hold.until())
            holder->nextHold = now + longestHold;
        dropHold();
    }
    WorkItem* next = nullptr;
    for (auto& [id, team] : m_teams.all()) {
        for (std::size_t i = 0; i < TeamQueues::classCount; ++i) {
            if (team.queues.queue(i).empty())
                continue;
            WorkItem& item = *team.queues.queue(i).front();
            const bool large = item.isGang() || m_workers.fleetHolds(item.spec.perTask * 2, 1) == 0;
            if (item.isJob() && item.cause == WaitCause::Capacity && large && now - item.blockedSince >= holdAfter
                && now >= item.nextHold && (!next || item.blockedSince < next->blockedSince))
                next = &item;
        }
    }
    if (!next)
        return;
    const auto n = next->isGang() ? static_cast<std::uint32_t>(next->waiting.size()) : 1;
    auto parts = GangHold::plan(m_workers, next->spec.perTask, n);
    if (parts.empty()) {
        next->nextHold = now + holdAfter;
        return;
    }
    LOG(INFO) << "[scheduler] holding capacity on " << parts.size() << " workers for " << next->spec.id.team << '/'
              << next->spec.id.request;
    m_hold.take(m_workers, *next, std::move(parts), now + longestHold);
    placeHolder();
}

void CellScheduler::dropHold()
{
    for (const WorkerSlot worker : m_hold.drop(m_workers))
        capacityFreed(worker);
}

void CellScheduler::placeHolder()
{
    WorkItem* item = m_hold.holder();
    if (!m_hold.ready())
        return;
    std::vector<WorkerSlot> workers;
    for (const auto& part : m_hold.parts()) {
        m_hold.refresh(m_workers, part.worker); // it may have become unreachable, drained or quarantined
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
    placed(*item);
    for (std::size_t i = 0; i < indexes.size(); ++i)
        reserveTask(*item, indexes[i], workers[i]);
    for (const std::uint32_t index : indexes)
        startTask(*item, index);
}

void CellScheduler::regroup(WorkItem& item, std::uint32_t index, TimePoint due)
{
    setState(item, index, TaskState::Regrouping);
    if (!item.regrouping) {
        item.regrouping = true;
        item.team->queues.remove(item);
        m_blockedGangs.erase(item.sequence);
        if (m_hold.holder() == &item)
            dropHold();
        item.regroupAt = due;
        for (std::uint32_t i = 0; i < item.tasks.size(); ++i) {
            if (item.tasks[i].state == TaskState::Running)
                m_pool.act(m_workers.at(item.tasks[i].worker).description.id, TaskAction::Stop, item.taskId(i));
        }
    }
    regroupIfEnded(item);
}

void CellScheduler::regroupIfEnded(WorkItem& item)
{
    if (item.regrouping && item.held == 0)
        m_regroups.emplace(item.regroupAt, item.spec.id);
}

void CellScheduler::fireRegroups()
{
    const TimePoint now = m_runtime.now();
    while (!m_regroups.empty() && m_regroups.begin()->first <= now) {
        const WorkId id = m_regroups.begin()->second;
        m_regroups.erase(m_regroups.begin());
        WorkItem* item = find(id);
        if (!item || item->closing || !item->regrouping)
            continue;
        // Tasks that may run on a missing worker must be resolved before the gang can start as a whole.
        if (m_unresolved.contains(item->sequence) || !item->team->retries.take(now)) {
            m_regroups.emplace(now + std::chrono::seconds(1), id);
            continue;
        }
        ++m_retryCount;
        item->regrouping = false;
        for (std::uint32_t i = 0; i < item->tasks.size(); ++i) {
            if (item->tasks[i].state != TaskState::Regrouping)
                continue;
            setState(*item, i, TaskState::Waiting);
            item->waiting.push_back(i);
        }
        enqueue(*item, true);
    }
}

void CellScheduler::noteHealth(const WorkItem& item, WorkerSlot worker, bool succeeded)
{
    const WorkId source = WorkerHealth::sourceOf(item.spec.id, item.isJob());
    const TimePoint now = m_runtime.now();
    if (succeeded) {
        if (m_health.succeeded(now, worker, source))
            setQuarantined(worker, false);
    } else if (m_health.failed(now, worker, source)) {
        LOG(WARNING) << "[scheduler] quarantining worker " << m_workers.at(worker).description.id;
        m_probes.erase(worker);
        setQuarantined(worker, true);
    }
}

void CellScheduler::setQuarantined(WorkerSlot worker, bool quarantined)
{
    const bool probing = !quarantined && m_health.awaitsProbe(worker);
    if (m_workers.at(worker).quarantined == quarantined && m_workers.at(worker).probing == probing)
        return;
    m_workers.update(worker, [&](WorkerEntry& entry) {
        entry.quarantined = quarantined;
        entry.probing = probing;
    });
    if (!quarantined)
        capacityFreed(worker);
}

void CellScheduler::manageProbes()
{
    const TimePoint now = m_runtime.now();
    for (const WorkerSlot worker : m_health.takeReleased(now))
        setQuarantined(worker, false);
    std::vector<WorkerSlot> proven;
    for (const auto& [worker, probe] : m_probes) {
        if (now - probe.second >= longestProbe)
            proven.push_back(worker);
    }
    std::sort(proven.begin(), proven.end());
    for (const WorkerSlot worker : proven) {
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
        return; // a new owner that knows no worker yet is not overloaded; deadlines still apply
    const std::size_t requests = TeamQueues::urgentClassCount; // class of requests that are not urgent
    Duration delay {};
    TeamRecord* most = nullptr;
    double mostRatio = 1.0 - 5 * shareTolerance;
    for (auto& [id, team] : m_teams.all()) {
        const auto& queue = team.queues.queue(requests);
        if (queue.empty())
            continue;
        const Duration age = now - queue.front()->arrival;
        delay = std::max(delay, age);
        const double ratio = team.usage.dominantShare(fleet) / std::max(m_teams.entitledPart(team), 1e-9);
        if (age > OverloadControl::target && ratio >= mostRatio) {
            most = &team;
            mostRatio = ratio;
        }
    }
    if (!m_overload.update(now, delay) || !most)
        return;
    // A tenth at each tick of 10 ms keeps the queue near the target at twice the capacity. The oldest stays.
    for (std::size_t n = (most->queues.queue(requests).size() + 8) / 10; n > 0; --n) {
        ++m_refusals["overload"];
        close(*most->queues.queue(requests).back(), ErrorKind::Overloaded, "the cell is overloaded");
    }
}

double CellScheduler::targetPart(const TeamRecord& team, double demandingShares) const
{
    return demandingShares > 0 ? team.team.share / demandingShares : 1.0;
}

double CellScheduler::plannedPart(const TeamRecord& team) const
{
    const Resources planned
        = team.usage + m_preemption.pendingFor(team.team.id) - m_preemption.pendingFrom(team.team.id);
    return planned.dominantShare(m_workers.totalCapacity());
}

const WorkItem* CellScheduler::starvingItem(TeamRecord& team, double demandingShares)
{
    const TimePoint now = m_runtime.now();
    const WorkItem* first = nullptr;
    for (std::size_t i = 0; i < TeamQueues::classCount; ++i) {
        if (team.queues.queue(i).empty() || team.queues.queue(i).front()->cause != WaitCause::Capacity)
            continue;
        const WorkItem& item = *team.queues.queue(i).front();
        const bool urgentDue = i < TeamQueues::urgentClassCount && now - item.arrival > urgentPatience;
        const Resources urgent = team.urgentUsage + m_preemption.pendingFor(team.team.id);
        if (urgentDue && urgent.dominantShare(m_workers.totalCapacity()) < m_teams.entitledPart(team))
            return &item;
        if (!first && !item.isGang())
            first = &item;
    }
    const bool below = first && plannedPart(team) < targetPart(team, demandingShares) * (1.0 - shareTolerance);
    if (!below) {
        team.belowShareSince.reset();
        return nullptr;
    }
    if (!team.belowShareSince)
        team.belowShareSince = now;
    return now - *team.belowShareSince > sharePatience ? first : nullptr;
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

void CellScheduler::preemptFor(TeamRecord& team, const WorkItem& waiter, double demandingShares)
{
    const TimePoint now = m_runtime.now();
    const Resources& fleet = m_workers.totalCapacity();
    for (std::size_t n = 0; n < std::min(maxRoomsPerReview, waiter.waiting.size()); ++n) {
        TeamRecord* most = nullptr;
        double mostRatio = 1.0 + shareTolerance;
        for (auto& [id, other] : m_teams.all()) {
            const double ratio = plannedPart(other) / targetPart(other, demandingShares);
            if (ratio > mostRatio && !other.preemptible.empty()) {
                most = &other;
                mostRatio = ratio;
            }
        }
        if (!most)
            return;
        std::vector<Victim> victims;
        for (auto it = most->preemptible.rbegin(); it != most->preemptible.rend() && victims.size() < maxVictims;
             ++it) {
            const Reservation* reservation = m_workers.reservation(it->second);
            const WorkItem* item = find(it->second.work);
            if (reservation && item && policy(item->spec.kind).preemptible && !m_preemption.contains(it->second)
                && !(item->spec.urgent && most == &team))
                victims.push_back({ it->second, reservation->worker, reservation->size });
        }
        const auto chosen = Preemption::choose(m_workers, victims, waiter.spec.perTask);
        Resources sum;
        for (const Victim& victim : chosen)
            sum += victim.size;
        if (chosen.empty() || !m_preemption.afford(now, sum.dominantShare(fleet)))
            return;
        for (const Victim& victim : chosen) {
            ++m_preemptions;
            m_preemption.begin(now, victim.id, team.team.id, victim.size);
        }
        if (!waiter.spec.urgent && plannedPart(team) >= targetPart(team, demandingShares))
            return;
    }
}

void CellScheduler::sendPreemptions()
{
    if (m_preemption.idle())
        return;
    for (const auto& step : m_preemption.takeSteps(m_runtime.now())) {
        if (const Reservation* reservation = m_workers.reservation(step.id))
            m_pool.act(m_workers.at(reservation->worker).description.id, step.action, step.id);
    }
}

void CellScheduler::releaseStalledStarts()
{
    const TimePoint now = m_runtime.now();
    if (m_startAppends.empty() || now - m_startAppends.begin()->second.second < journalTimeout)
        return;
    for (const auto& [number, start] : m_startAppends) {
        if (now - start.second < journalTimeout)
            break;
        // The start was not sent: its capacity is of use to work that needs no journal.
        WorkItem* item = find(start.first.work);
        if (ownsRun(item, start.first) && item->tasks[start.first.index].state == TaskState::Journalling) {
            releaseTask(*item, start.first.index);
            requeue(*item, start.first.index);
        }
    }
}

} // namespace lycheeledge
