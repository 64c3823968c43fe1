// Outcomes of finished work, kept for callers that ask again.

#include "OutcomeTable.h"

namespace lycheeledge {

void OutcomeTable::keep(KeptOutcome outcome)
{
    const WorkId id = outcome.result.id;
    m_byAge.emplace_back(outcome.since, id);
    m_outcomes.insert_or_assign(id, std::move(outcome));
}

const KeptOutcome* OutcomeTable::find(const WorkId& id) const
{
    const auto it = m_outcomes.find(id);
    return it == m_outcomes.end() ? nullptr : &it->second;
}

void OutcomeTable::expire(TimePoint now)
{
    while (!m_byAge.empty() && m_byAge.front().first + m_retention <= now) {
        const auto it = m_outcomes.find(m_byAge.front().second);
        // An identity may have been kept again since.
        if (it != m_outcomes.end() && it->second.since == m_byAge.front().first)
            m_outcomes.erase(it);
        m_byAge.pop_front();
    }
}

} // namespace lycheeledge
