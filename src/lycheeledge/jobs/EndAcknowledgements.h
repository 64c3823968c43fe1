// Order in which task ends reported by a worker are acknowledged.
#pragma once

#include <cstdint>
#include <map>

namespace lycheeledge::jobs {

/**
 * @brief Groups of task ends, reported by one worker, that are waiting to be stored.
 *
 * An acknowledgement covers all ends up to its sequence number, so a group is acknowledged only once all earlier groups
 * are stored.
 */
class EndAcknowledgements {
public:
    /** @brief Adds a group: a report listed new ends up to this sequence number. */
    void addGroup(std::uint64_t last) { m_groups[last] = false; }

    /** @brief Marks a group as stored. @return sequence number to acknowledge, or 0 if there is none yet. */
    std::uint64_t markStored(std::uint64_t last)
    {
        const auto it = m_groups.find(last);
        if (it == m_groups.end())
            return 0;
        it->second = true;
        std::uint64_t acknowledged = 0;
        while (!m_groups.empty() && m_groups.begin()->second) {
            acknowledged = m_groups.begin()->first;
            m_groups.erase(m_groups.begin());
        }
        return acknowledged;
    }

    /** @brief Whether all ends that were added are stored. */
    bool isEmpty() const { return m_groups.empty(); }

    void reset() { m_groups.clear(); }

private:
    std::map<std::uint64_t, bool> m_groups; ///< highest sequence number -> whether all ends of the group are stored
};

} // namespace lycheeledge::jobs
