// Order in which the ends that a worker listed are acknowledged.
#pragma once

#include <cstdint>
#include <map>

namespace lycheeledge::jobs {

/**
 * @brief Groups of ends of one worker that wait to be stored.
 *
 * An acknowledgement covers all ends up to its number, so a group counts only once all earlier groups are stored.
 */
class EndAcknowledgements {
public:
    /** @brief A report added ends up to this number. */
    void listed(std::uint64_t last) { m_groups[last] = false; }

    /** @brief The ends of a report are stored. @return number to acknowledge, 0 for none yet. */
    std::uint64_t stored(std::uint64_t last)
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

    void reset() { m_groups.clear(); }

private:
    std::map<std::uint64_t, bool> m_groups; ///< by the highest number; whether all of its ends are stored
};

} // namespace lycheeledge::jobs
