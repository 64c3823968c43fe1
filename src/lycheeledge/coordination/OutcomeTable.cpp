// Outcomes of finished work, kept for callers that ask again.

#include "OutcomeTable.h"

namespace lycheeledge {

void OutcomeTable::keep(KeptOutcome outcome)
{
    const WorkId id = outcome.result.id;
    forget(id);
    m_byAge.emplace_back(outcome.since, id);
    if (!outcome.result.body.empty()) {
        m_bodies.emplace_back(outcome.since, id);
        m_bodyBytes += outcome.result.body.size();
    }
    m_outcomes.emplace(id, std::move(outcome));
    while (m_bodyBytes > m_maxBodyBytes)
        dropOldestBody();
}

void OutcomeTable::forget(const WorkId& id)
{
    const auto it = m_outcomes.find(id);
    if (it == m_outcomes.end())
        return;
    m_bodyBytes -= it->second.result.body.size();
    m_outcomes.erase(it);
}

const KeptOutcome* OutcomeTable::find(const WorkId& id) const
{
    const auto it = m_outcomes.find(id);
    return it == m_outcomes.end() ? nullptr : &it->second;
}

void OutcomeTable::expire(TimePoint now)
{
    while (!m_byAge.empty() && m_byAge.front().first + m_retention <= now) {
        if (findAged(m_byAge.front()))
            forget(m_byAge.front().second);
        m_byAge.pop_front();
    }
    while (!m_bodies.empty() && m_bodies.front().first + m_retention <= now)
        m_bodies.pop_front();
}

// An identity may have been kept again since.
KeptOutcome* OutcomeTable::findAged(const Ages::value_type& age)
{
    const auto it = m_outcomes.find(age.second);
    return it != m_outcomes.end() && it->second.since == age.first ? &it->second : nullptr;
}

void OutcomeTable::dropOldestBody()
{
    if (KeptOutcome* outcome = findAged(m_bodies.front())) {
        WorkResult& result = outcome->result;
        m_bodyBytes -= result.body.size();
        result = { result.id, result.run, ErrorKind::Truncated, "the work ran, but its answer is no longer kept", {} };
    }
    m_bodies.pop_front();
}

} // namespace lycheeledge
