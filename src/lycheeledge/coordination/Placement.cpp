// Selection of the worker for a task.

#include "Placement.h"

#include <algorithm>
#include <vector>

namespace lycheeledge {

std::uint32_t Spread::inZone(std::uint32_t zone) const
{
    const auto it = zones.find(zone);
    return it == zones.end() ? 0 : it->second;
}

std::uint32_t Spread::inRack(const RackId& rack) const
{
    const auto it = racks.find(rack);
    return it == racks.end() ? 0 : it->second;
}

void Spread::count(const WorkerEntry& worker, int n)
{
    zones[worker.zone] += static_cast<std::uint32_t>(n);
    racks[worker.description.rack] += static_cast<std::uint32_t>(n);
}

std::optional<WorkerIndex> FirstFitPlacement::choose(const WorkerTable& workers, const PlacementRequest& request)
{
    for (std::uint32_t zone = 0; zone < workers.zoneCount(); ++zone) {
        if (const auto position = workers.findInZone(zone, 0, request.size))
            return workers.slotInZone(zone, *position);
    }
    return std::nullopt;
}

ScoringPlacement::ScoringPlacement(Runtime& runtime, std::size_t sample)
    : m_runtime(runtime)
    , m_sample(std::max<std::size_t>(1, sample))
{
}

std::optional<WorkerIndex> ScoringPlacement::choose(const WorkerTable& workers, const PlacementRequest& request)
{
    const auto n = static_cast<std::uint32_t>(workers.zoneCount());
    if (n == 0)
        return std::nullopt;
    std::vector<std::uint32_t> zones(n);
    const auto first = static_cast<std::uint32_t>(m_runtime.random() % n);
    for (std::uint32_t i = 0; i < n; ++i)
        zones[i] = (first + i) % n;
    if (request.kind == WorkKind::Service && request.spread) {
        std::stable_sort(zones.begin(), zones.end(),
            [&](auto a, auto b) { return request.spread->inZone(a) < request.spread->inZone(b); });
    } else if (request.preferredZone) {
        std::stable_partition(zones.begin(), zones.end(), [&](auto zone) { return zone == *request.preferredZone; });
    }

    // Services and work with a preferred zone use the first zone with a suitable worker. Other work takes the best
    // score among samples of all zones.
    const bool byZone = request.kind == WorkKind::Service || request.preferredZone;
    std::size_t remaining = m_sample;
    Candidate best;
    for (std::size_t i = 0; i < zones.size(); ++i) {
        const std::size_t zoneSample = byZone ? remaining : std::max<std::size_t>(1, remaining / (zones.size() - i));
        remaining -= std::min(remaining, scoreZone(workers, request, zones[i], zoneSample, best));
        if (best.worker && (byZone || remaining == 0) && best.worker != request.avoid)
            break;
        remaining = std::max<std::size_t>(remaining, 1);
    }
    return best.worker;
}

std::size_t ScoringPlacement::scoreZone(const WorkerTable& workers, const PlacementRequest& request, std::uint32_t zone,
    std::size_t sample, Candidate& best)
{
    const std::size_t size = workers.zoneSize(zone);
    if (size == 0)
        return 0;
    const std::size_t start = m_runtime.random() % size;
    std::size_t position = start;
    bool wrapped = false;
    std::size_t n = 0;
    while (n < sample) {
        const auto found = workers.findInZone(zone, position, request.size);
        if (!found || (wrapped && *found >= start)) {
            if (wrapped || start == 0)
                break;
            wrapped = true;
            position = 0;
            continue;
        }
        ++n;
        const WorkerIndex slot = workers.slotInZone(zone, *found);
        const double value = score(workers.at(slot), request) + (request.avoid == slot ? 1e6 : 0.0);
        if (!best.worker || value < best.score)
            best = { slot, value };
        position = *found + 1;
    }
    return n;
}

double ScoringPlacement::score(const WorkerEntry& worker, const PlacementRequest& request) const
{
    const Resources& capacity = worker.description.capacity;
    const double fullness = (worker.reserved + worker.heldForJob + request.size).dominantShare(capacity);
    // Penalty for a task without accelerators, since it could make the worker's accelerators unusable.
    const double strandedPenalty = request.size.accelerators == 0 && capacity.accelerators > 0 ? 2.0 : 0.0;
    switch (request.kind) {
    case WorkKind::Request:
        return fullness + strandedPenalty;
    case WorkKind::Service:
        return fullness + strandedPenalty
            + (request.spread ? 10.0 * request.spread->inRack(worker.description.rack) : 0.0);
    case WorkKind::Batch:
        break;
    }
    return strandedPenalty - fullness;
}

} // namespace lycheeledge
