// Deletes old tombstones and withdrawn keys from the store.

#include "RetiredEntityCleanup.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace lycheeledge {

namespace {

    constexpr Duration checkInterval = std::chrono::minutes(1);
    // Each entity needs a condition and a deletion, and the store accepts 128 operations per call. 50 a minute are
    // 72,000 a day, more than the planned rate of changes.
    constexpr std::size_t maxBatchEntities = 50;

} // namespace

RetiredEntityCleanup::RetiredEntityCleanup(Store& store, ConfigurationCache& cache)
    : m_store(store)
    , m_cache(cache)
{
}

void RetiredEntityCleanup::check(TimePoint now)
{
    if (m_checkedAt && now - *m_checkedAt < checkInterval)
        return;
    m_checkedAt = now;
    const auto retired = m_cache.retiredBefore(now - 2 * fullReadInterval, retainedCount);
    StoreTransaction transaction;
    for (const auto& [key, revision] : retired) {
        if (transaction.deletes.size() == maxBatchEntities)
            break;
        transaction.conditions.push_back({ key, revision });
        transaction.deletes.push_back(key);
    }
    if (transaction.deletes.empty())
        return;
    auto keys = transaction.deletes;
    const std::weak_ptr<RetiredEntityCleanup*> alive = m_alive;
    m_store.commit(std::move(transaction), [this, alive, keys = std::move(keys)](absl::StatusOr<StoreCommit> result) {
        if (alive.expired())
            return;
        if (result.ok() && result->applied) {
            m_cache.removeRetired(keys);
            LOG(INFO) << "[membership] deleted " << keys.size() << " tombstones and withdrawn keys";
        } else {
            // The next full read shows which entities remain to be deleted.
            LOG(WARNING) << "[membership] cannot delete " << keys.size() << " tombstones and withdrawn keys";
        }
    });
}

} // namespace lycheeledge
