// Queues of a team, one for each combination of work kind and urgency.

#include "TeamQueues.h"

namespace lycheeledge {

namespace {

    std::size_t kindRank(WorkKind kind)
    {
        switch (kind) {
        case WorkKind::Request:
            return 0;
        case WorkKind::Service:
            return 1;
        case WorkKind::Batch:
            break;
        }
        return 2;
    }

} // namespace

std::size_t TeamQueues::classOf(const WorkSpec& spec)
{
    return kindRank(spec.kind) + (spec.urgent ? 0 : urgentClassCount);
}

void TeamQueues::pushBack(WorkItem& item)
{
    auto& queue = m_queues[classOf(item.spec)];
    item.queuePosition = queue.insert(queue.end(), &item);
    item.queued = true;
    ++m_size;
}

void TeamQueues::pushFront(WorkItem& item)
{
    auto& queue = m_queues[classOf(item.spec)];
    item.queuePosition = queue.insert(queue.begin(), &item);
    item.queued = true;
    ++m_size;
}

void TeamQueues::remove(WorkItem& item)
{
    if (!item.queued)
        return;
    m_queues[classOf(item.spec)].erase(item.queuePosition);
    item.queued = false;
    --m_size;
}

std::size_t TeamQueues::size(WorkKind kind) const
{
    return m_queues[kindRank(kind)].size() + m_queues[kindRank(kind) + urgentClassCount].size();
}

bool TeamQueues::hasUrgent() const
{
    for (std::size_t i = 0; i < urgentClassCount; ++i) {
        if (!m_queues[i].empty())
            return true;
    }
    return false;
}

} // namespace lycheeledge
