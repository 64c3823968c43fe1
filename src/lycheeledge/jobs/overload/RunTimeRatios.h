// Measured run times of tasks as a multiple of their clients' estimates.
#pragma once

#include "../WorkerSpeeds.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace lycheeledge::jobs {

/** @brief Estimate of a task's run time, within the bounds that predictions rely on: 0 counts as 100 ms. */
Duration boundedEstimate(Duration estimate);

/**
 * @brief Ratio of measured run time to estimate for each pool and image. Estimates are wrong by up to a factor of ten,
 * in the same way for tasks of one image.
 *
 * Invariants: at most `maxKeys` keys, of which the least recently used one is evicted; each ratio is within 1/8 to 8.
 */
class RunTimeRatios {
public:
    static constexpr std::size_t maxKeys = 256;

    /** @param image of the task, or the name of its queue if it has no image. */
    void record(
        const std::string& pool, const std::string& image, Duration estimate, const MeasuredRun& run, TimePoint now);
    /** @return 1 if fewer than three runs are known, or the last of them is older than 60 s. */
    double ratio(const std::string& pool, const std::string& image, TimePoint now) const;
    /** @brief Run time expected of a task: its bounded estimate multiplied by ratio(). */
    Duration expected(const std::string& pool, const std::string& image, Duration estimate, TimePoint now) const;
    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry {
        double ratio = 1;
        std::uint32_t runs = 0;
        TimePoint recordedAt; ///< of the last run
        mutable std::uint64_t usedAt = 0; ///< value of `m_uses` when it was last used
    };

    std::map<std::pair<std::string, std::string>, Entry> m_entries;
    mutable std::uint64_t m_uses = 0;
};

} // namespace lycheeledge::jobs
