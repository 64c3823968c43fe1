// Choice of the worker for a task.
#pragma once

#include "../state/Work.h"
#include "Runtime.h"
#include "WorkerTable.h"

#include <memory>
#include <optional>

namespace lycheeledge {

/** @brief How many tasks of a job are in each zone and rack. */
struct Spread {
    absl::flat_hash_map<std::uint32_t, std::uint32_t> zones;
    absl::flat_hash_map<RackId, std::uint32_t> racks;

    std::uint32_t inZone(std::uint32_t zone) const;
    std::uint32_t inRack(const RackId& rack) const;
    void count(const WorkerEntry& worker, int n);
};

/** @brief What is to be placed. */
struct PlacementRequest {
    WorkKind kind = WorkKind::Request;
    Resources size;
    std::optional<std::uint32_t> preferredZone;
    std::optional<WorkerSlot> avoid; ///< used only if nothing else fits
    const Spread* spread = nullptr; ///< tasks of the same job; may be null
};

/** @brief Chooses a worker whose free capacity holds a task. */
class Placement {
public:
    virtual ~Placement() = default;

    /** @return none only if no worker fits. */
    virtual std::optional<WorkerSlot> choose(const WorkerTable& workers, const PlacementRequest& request) = 0;
};

/** @brief Baseline: the first worker that fits, in the order of their zones. */
class FirstFitPlacement final : public Placement {
public:
    std::optional<WorkerSlot> choose(const WorkerTable& workers, const PlacementRequest& request) override;
};

/**
 * @brief Scores a sample of the workers that fit.
 *
 * Requests go to the emptiest worker of the preferred zone, else of the others. Batch tasks go where the dominant
 * dimension is left fullest. Services are spread over zones, then racks.
 */
class BestPlacement final : public Placement {
public:
    /** @param sample largest number of workers scored for one decision. */
    BestPlacement(Runtime& runtime, std::size_t sample);
    std::optional<WorkerSlot> choose(const WorkerTable& workers, const PlacementRequest& request) override;

private:
    struct Best {
        std::optional<WorkerSlot> worker;
        double score = 0; ///< lower is better
    };

    std::size_t scoreZone(const WorkerTable& workers, const PlacementRequest& request, std::uint32_t zone,
        std::size_t sample, Best& best);
    double score(const WorkerEntry& worker, const PlacementRequest& request) const;

    Runtime& m_runtime;
    std::size_t m_sample;
};

} // namespace lycheeledge
