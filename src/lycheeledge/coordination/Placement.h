// Selection of the worker for a task.
#pragma once

#include "../state/Work.h"
#include "Runtime.h"
#include "WorkerTable.h"

#include <memory>
#include <optional>

namespace lycheeledge {

/** @brief Number of tasks of a job in each zone and rack. */
struct Spread {
    absl::flat_hash_map<std::uint32_t, std::uint32_t> zones;
    absl::flat_hash_map<RackId, std::uint32_t> racks;

    std::uint32_t inZone(std::uint32_t zone) const;
    std::uint32_t inRack(const RackId& rack) const;
    void count(const WorkerEntry& worker, int n);
};

/** @brief Requirements of a task to be placed. */
struct PlacementRequest {
    WorkKind kind = WorkKind::Request;
    Resources size;
    std::optional<std::uint32_t> preferredZone;
    std::optional<WorkerIndex> avoid; ///< worker that is used only if no other fits
    const Spread* spread = nullptr; ///< placed tasks of the same job; may be null
};

/** @brief Strategy that chooses a worker with enough free capacity for a task. */
class Placement {
public:
    virtual ~Placement() = default;

    /** @return nullopt only if the task fits on no worker. */
    virtual std::optional<WorkerIndex> choose(const WorkerTable& workers, const PlacementRequest& request) = 0;
};

/** @brief Baseline for benchmarks: the first worker that fits, zone by zone. */
class FirstFitPlacement final : public Placement {
public:
    std::optional<WorkerIndex> choose(const WorkerTable& workers, const PlacementRequest& request) override;
};

/**
 * @brief Chooses the best-scored worker of a random sample of those that fit.
 *
 * Requests go to the least loaded worker, in the preferred zone if one fits there. Batch tasks are packed onto the
 * worker whose dominant resource is then most utilised. Services are spread over zones, then racks.
 */
class ScoringPlacement final : public Placement {
public:
    /** @param sample maximum number of workers scored per decision. */
    ScoringPlacement(Runtime& runtime, std::size_t sample);
    std::optional<WorkerIndex> choose(const WorkerTable& workers, const PlacementRequest& request) override;

private:
    struct Candidate {
        std::optional<WorkerIndex> worker;
        double score = 0; ///< lower is better
    };

    std::size_t scoreZone(const WorkerTable& workers, const PlacementRequest& request, std::uint32_t zone,
        std::size_t sample, Candidate& best);
    double score(const WorkerEntry& worker, const PlacementRequest& request) const;

    Runtime& m_runtime;
    std::size_t m_sample;
};

} // namespace lycheeledge
