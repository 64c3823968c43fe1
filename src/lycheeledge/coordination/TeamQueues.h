// Queues of a team, one for each kind of work and urgency.
#pragma once

#include "WorkItem.h"

#include <array>
#include <cstddef>
#include <list>

namespace lycheeledge {

/** @brief First-come-first-served queues. Insertion and removal cost O(1). */
class TeamQueues {
public:
    /** @brief Number of queues. Urgent work comes first, and short work before long work. */
    static constexpr std::size_t classCount = 6;
    static constexpr std::size_t urgentClassCount = 3;

    static std::size_t classOf(const WorkSpec& spec);

    void pushBack(WorkItem& item);
    /** @brief Puts back work that was accepted before that in the queue. */
    void pushFront(WorkItem& item);
    /** @brief Does nothing if `item` is not queued. */
    void remove(WorkItem& item);
    const std::list<WorkItem*>& queue(std::size_t index) const { return m_queues[index]; }
    std::size_t size() const { return m_size; }
    /** @brief Number of queued items of a kind. */
    std::size_t size(WorkKind kind) const;
    bool hasUrgent() const;

private:
    std::array<std::list<WorkItem*>, classCount> m_queues;
    std::size_t m_size = 0;
};

} // namespace lycheeledge
