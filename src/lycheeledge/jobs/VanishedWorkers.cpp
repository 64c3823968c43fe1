// Runs that had just started on workers which then went out of reach.

#include "VanishedWorkers.h"

#include <algorithm>
#include <utility>

namespace lycheeledge::jobs {

void VanishedWorkers::add(VanishedWorker worker)
{
    if (worker.suspects.empty())
        return;
    const WorkerId id = worker.id;
    m_workers.insert_or_assign(id, std::move(worker));
}

std::optional<VanishedWorker> VanishedWorkers::take(const WorkerId& id, const std::string& address)
{
    auto it = m_workers.find(id);
    if (it == m_workers.end())
        it = std::find_if(
            m_workers.begin(), m_workers.end(), [&](const auto& entry) { return entry.second.address == address; });
    if (it == m_workers.end())
        return std::nullopt;
    return std::move(m_workers.extract(it).mapped());
}

void VanishedWorkers::clear(const TaskKey& task)
{
    for (auto it = m_workers.begin(); it != m_workers.end();) {
        const auto entry = it++;
        std::erase_if(entry->second.suspects, [&task](const RunKey& run) { return run.task == task; });
        if (entry->second.suspects.empty())
            m_workers.erase(entry);
    }
}

void VanishedWorkers::expire(TimePoint before)
{
    std::erase_if(m_workers, [before](const auto& entry) { return entry.second.leaseEnd < before; });
}

bool crashedUnderRuns(const VanishedWorker& worker, TimePoint successorStart)
{
    return successorStart >= worker.heardAt && successorStart <= worker.leaseEnd;
}

} // namespace lycheeledge::jobs
