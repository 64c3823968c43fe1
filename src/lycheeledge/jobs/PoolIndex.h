// Workers and capacity of each pool, so that a scheduling pass does not walk the whole fleet.
#pragma once

#include "WorkerTable.h"

#include <map>
#include <string>
#include <vector>

namespace lycheeledge::jobs {

struct Pool {
    std::vector<const Worker*> workers; ///< by id; not all of them can receive tasks
    Resources capacity; ///< of the registered ones
};

/** @brief Index of a worker table. Valid until the table changes in membership, or a worker in its registration. */
class PoolIndex {
public:
    void invalidate() { m_valid = false; }
    /** @brief Pool of this name; empty if there is none. Rebuilds the index if it is invalid. */
    const Pool& pool(const std::string& name, const WorkerTable& workers)
    {
        if (!m_valid)
            rebuild(workers);
        const auto it = m_pools.find(name);
        return it == m_pools.end() ? m_empty : it->second;
    }

private:
    void rebuild(const WorkerTable& workers);

    bool m_valid = false;
    std::map<std::string, Pool> m_pools;
    Pool m_empty;
};

} // namespace lycheeledge::jobs
