// Deletes old tombstones and withdrawn keys from the store.

#include "RetiredEntities.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace lycheeledge {

namespace {

    constexpr Duration checkInterval = std::chrono::minutes(1);
    // Each takes a condition and a deletion, of 128 operations that the store takes in a call. 50 a minute are 72,000 a
    // day, more than the changes planned for.
    constexpr std::size_t batchMax = 50;

} // namespace

RetiredEntities::RetiredEntities(Store& store, ConfigurationCache& cache)
    : m_store(store)
    , m_cache(cache)
{
}

void RetiredEntities::check(TimePoint now)
{
    if (m_checkedAt && now - *m_checkedAt < checkInterval)
        return;
    m_checkedAt = now;
    const auto retired = m_cache.retiredBefore(now - 2 * fullReadInterval, kept);
    StoreTransaction transaction;
    for (const auto& [key, revision] : retired) {
        if (transaction.erases.size() == batchMax)
            break;
        transaction.conditions.push_back({ key, revision });
        transaction.erases.push_back(key);
    }
    if (transaction.erases.empty())
        return;
    auto keys = transaction.erases;
    const std::weak_ptr<RetiredEntities*> alive = m_alive;
    m_store.commit(std::move(transaction), [this, alive, keys = std::move(keys)](absl::StatusOr<StoreCommit> result) {
        if (alive.expired())
            return;
        if (result.ok() && result->applied) {
            m_cache.forget(keys);
            LOG(INFO) << "[membership] deleted " << keys.size() << " retired entities";
        } else {
            // The next full read shows which of them are still due.
            LOG(WARNING) << "[membership] " << keys.size() << " retired entities not deleted";
        }
    });
}

} // namespace lycheeledge
