// Deletes old tombstones and withdrawn keys from the store.
#pragma once

#include "../state/Time.h"
#include "ConfigurationCache.h"
#include "Store.h"

#include <memory>
#include <optional>

namespace lycheeledge {

/**
 * @brief Deletes tombstones and withdrawn keys, but for the latest 2000, once they are old.
 *
 * A read of changes does not show a deletion. Every process therefore reads everything once per fullReadInterval, and
 * an entity goes only after twice that time: each process has then seen it in a full read, or reads all again.
 */
class RetiredEntities {
public:
    static constexpr Duration fullReadInterval = std::chrono::hours(1);
    static constexpr std::size_t kept = 2000; ///< 1 MB with two calls in the history of each

    RetiredEntities(Store& store, ConfigurationCache& cache);
    RetiredEntities(const RetiredEntities&) = delete;
    RetiredEntities& operator=(const RetiredEntities&) = delete;

    /** @brief Starts a deletion if one is due. Called at one member at a time, often. */
    void check(TimePoint now);

private:
    Store& m_store;
    ConfigurationCache& m_cache;
    std::optional<TimePoint> m_checkedAt;
    std::shared_ptr<RetiredEntities*> m_alive = std::make_shared<RetiredEntities*>(this); ///< expires with this object
};

} // namespace lycheeledge
