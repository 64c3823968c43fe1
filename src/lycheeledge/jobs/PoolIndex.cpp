// Workers and capacity of each pool, so that a scheduling pass does not walk the whole fleet.

#include "PoolIndex.h"

namespace lycheeledge::jobs {

void PoolIndex::rebuild(const WorkerTable& workers)
{
    m_pools.clear();
    for (const auto& [id, worker] : workers.all()) {
        Pool& pool = m_pools[worker.record.pool];
        pool.workers.push_back(&worker);
        if (worker.registered)
            pool.capacity += worker.record.capacity;
    }
    m_valid = true;
}

} // namespace lycheeledge::jobs
