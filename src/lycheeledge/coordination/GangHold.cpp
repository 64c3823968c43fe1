// Capacity held for one job that needs a large amount at once.

#include "GangHold.h"

#include <algorithm>

namespace lycheeledge {

namespace {

    /// Maximum number of held workers searched for a backfill.
    constexpr std::size_t maxBackfillSearch = 64;

} // namespace

std::vector<GangHold::Part> GangHold::plan(const WorkerTable& workers, const Resources& size, std::uint32_t count)
{
    struct Candidate {
        WorkerIndex worker;
        std::uint64_t fitNow;
        std::uint64_t fitWhenIdle; ///< once all tasks except services have ended
        double load;
    };
    std::vector<Candidate> candidates;
    for (WorkerIndex slot = 0; slot < workers.size(); ++slot) {
        const WorkerEntry& entry = workers.at(slot);
        if (!entry.placeable() || entry.onProbation)
            continue;
        const Resources& capacity = entry.description.capacity;
        const auto fitWhenIdle = tasksThatFit(size, capacity - entry.reservedForServices, count);
        if (fitWhenIdle > 0)
            candidates.push_back(
                { slot, tasksThatFit(size, entry.free(), count), fitWhenIdle, entry.reserved.dominantShare(capacity) });
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
        return a.fitNow != b.fitNow ? a.fitNow > b.fitNow : a.load < b.load;
    });
    std::vector<Part> parts;
    for (const Candidate& candidate : candidates) {
        const auto n = static_cast<std::uint32_t>(std::min<std::uint64_t>(candidate.fitWhenIdle, count));
        parts.push_back({ candidate.worker, n });
        count -= n;
        if (count == 0)
            return parts;
    }
    return {};
}

void GangHold::acquire(WorkerTable& workers, WorkItem& holder, std::vector<Part> parts, TimePoint until)
{
    m_holder = &holder;
    m_until = until;
    m_parts = std::move(parts);
    m_readyParts = 0;
    for (std::size_t i = 0; i < m_parts.size(); ++i) {
        m_partIndex.emplace(m_parts[i].worker, i);
        workers.update(
            m_parts[i].worker, [&](WorkerEntry& entry) { entry.heldForJob = holder.spec.perTask * m_parts[i].tasks; });
        refresh(workers, m_parts[i].worker);
    }
}

std::vector<WorkerIndex> GangHold::release(WorkerTable& workers)
{
    std::vector<WorkerIndex> freed;
    for (const Part& part : m_parts) {
        workers.update(part.worker, [](WorkerEntry& entry) { entry.heldForJob = {}; });
        freed.push_back(part.worker);
    }
    m_holder = nullptr;
    m_parts.clear();
    m_partIndex.clear();
    m_readyParts = 0;
    return freed;
}

void GangHold::refresh(const WorkerTable& workers, WorkerIndex worker)
{
    const auto it = m_partIndex.find(worker);
    if (it == m_partIndex.end())
        return;
    Part& part = m_parts[it->second];
    const bool ready = hasRoom(workers, part);
    if (ready != part.ready) {
        part.ready = ready;
        m_readyParts = ready ? m_readyParts + 1 : m_readyParts - 1;
    }
}

bool GangHold::hasRoom(const WorkerTable& workers, const Part& part) const
{
    const WorkerEntry& entry = workers.at(part.worker);
    const Resources unreserved = entry.description.capacity - entry.reserved;
    return entry.placeable() && !entry.onProbation && (m_holder->spec.perTask * part.tasks).fitsIn(unreserved);
}

std::optional<WorkerIndex> GangHold::backfill(
    const WorkerTable& workers, const Resources& size, TimePoint now, Duration declaredRunTime) const
{
    if (!m_holder || declaredRunTime <= Duration::zero() || now + declaredRunTime > m_until)
        return std::nullopt;
    const std::size_t n = std::min(m_parts.size(), maxBackfillSearch);
    for (std::size_t i = 0; i < n; ++i) {
        const WorkerEntry& entry = workers.at(m_parts[i].worker);
        if (entry.placeable() && !entry.onProbation && size.fitsIn(entry.description.capacity - entry.reserved))
            return m_parts[i].worker;
    }
    return std::nullopt;
}

} // namespace lycheeledge
