// Queues of a team, one for each combination of work kind and urgency.
#pragma once

#include "WorkItem.h"

#include <array>
#include <cstddef>
#include <list>

namespace lycheeledge {

/** @brief FIFO queues with insertion and removal in O(1). */
class TeamQueues {
public:
    /** @brief Number of queues, in order of priority: urgent before other work; then requests, services, batch jobs. */
    static constexpr std::size_t classCount = 6;
    static constexpr std::size_t urgentClassCount = 3;

    static std::size_t classOf(const WorkSpec& spec);

    void pushBack(WorkItem& item);
    /** @brief Returns work to the front of its queue, for example for a retry. */
    void pushFront(WorkItem& item);
    /** @brief Does nothing if `item` is not queued. */
    void remove(WorkItem& item);
    const std::list<WorkItem*>& queue(std::size_t index) const { return m_queues[index]; }
    std::size_t size() const { return m_size; }
    /** @brief Number of queued items of a kind, urgent or not. */
    std::size_t size(WorkKind kind) const;
    bool hasUrgent() const;

private:
    std::array<std::list<WorkItem*>, classCount> m_queues;
    std::size_t m_size = 0;
};

} // namespace lycheeledge
