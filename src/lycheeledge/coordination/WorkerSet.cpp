// The journalled set of a cell's workers, and the majority test over it.

#include "WorkerSet.h"

#include <algorithm>
#include <utility>

namespace lycheeledge {

void WorkerSet::recover(const std::vector<JournalRecord>& records)
{
    for (const auto& record : records) {
        if (const auto* joined = std::get_if<WorkerJoined>(&record))
            apply({ joined->worker.id, joined->session });
        else if (const auto* removed = std::get_if<WorkerRemoved>(&record))
            apply({ removed->worker, std::nullopt });
    }
}

void WorkerSet::apply(const Change& change)
{
    if (change.session)
        m_workers[change.worker] = *change.session;
    else
        m_workers.erase(change.worker);
}

void WorkerSet::finishChange()
{
    apply(m_pending.front());
    m_pending.pop_front();
}

bool WorkerSet::isChanging(const VmId& worker) const
{
    return std::any_of(
        m_pending.begin(), m_pending.end(), [&](const Change& change) { return change.worker == worker; });
}

bool WorkerSet::contains(const VmId& worker, const std::string& session) const
{
    const auto it = m_workers.find(worker);
    return it != m_workers.end() && it->second == session && !isChanging(worker);
}

bool WorkerSet::hasMajority(const Accepted& accepted) const
{
    const auto isMajority = [](std::size_t count, std::size_t size) { return size == 0 || 2 * count > size; };
    std::size_t size = m_workers.size();
    auto count = static_cast<std::size_t>(std::count_if(
        m_workers.begin(), m_workers.end(), [&](const auto& worker) { return accepted(worker.first, worker.second); }));
    if (!isMajority(count, size))
        return false;
    std::map<VmId, std::optional<std::string>> sessions; // sessions of the workers with pending changes
    for (const auto& change : m_pending) {
        const auto durable = m_workers.find(change.worker);
        const auto [it, isFirst] = sessions.try_emplace(
            change.worker, durable == m_workers.end() ? std::nullopt : std::optional(durable->second));
        if (it->second) {
            --size;
            count -= accepted(change.worker, *it->second) ? 1 : 0;
        }
        it->second = change.session;
        if (it->second) {
            ++size;
            count += accepted(change.worker, *it->second) ? 1 : 0;
        }
        if (!isMajority(count, size))
            return false;
    }
    return true;
}

} // namespace lycheeledge
