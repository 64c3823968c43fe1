// Deletes old tombstones and withdrawn keys from the store.
#pragma once

#include "../state/Time.h"
#include "ConfigurationCache.h"
#include "Store.h"

#include <memory>
#include <optional>

namespace lycheeledge {

/**
 * @brief Deletes retired entities (tombstones and withdrawn keys) once they are old, except the latest 2000.
 *
 * An incremental read does not show deletions. Every process therefore reads all entities once per fullReadInterval,
 * and an entity is deleted only after twice that time: by then each process has seen it in a full read, or will make
 * another full read before it relies on incremental ones.
 */
class RetiredEntityCleanup {
public:
    static constexpr Duration fullReadInterval = std::chrono::hours(1);
    static constexpr std::size_t retainedCount = 2000; ///< 1 MB with two calls in the history of each

    RetiredEntityCleanup(Store& store, ConfigurationCache& cache);
    RetiredEntityCleanup(const RetiredEntityCleanup&) = delete;
    RetiredEntityCleanup& operator=(const RetiredEntityCleanup&) = delete;

    /** @brief Starts a deletion if one is due. Called frequently, by only one member at a time. */
    void check(TimePoint now);

private:
    Store& m_store;
    ConfigurationCache& m_cache;
    std::optional<TimePoint> m_checkedAt;
    std::shared_ptr<RetiredEntityCleanup*> m_alive
        = std::make_shared<RetiredEntityCleanup*>(this); ///< expires with this object
};

} // namespace lycheeledge
