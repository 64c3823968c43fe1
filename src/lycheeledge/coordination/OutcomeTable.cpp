// Outcomes of finished work, retained for repeated submissions.

#include "OutcomeTable.h"

namespace lycheeledge {

void OutcomeTable::store(StoredOutcome outcome)
{
    const WorkId id = outcome.result.id;
    erase(id);
    m_byAge.emplace_back(outcome.storedAt, id);
    if (!outcome.result.body.empty()) {
        m_bodiesByAge.emplace_back(outcome.storedAt, id);
        m_bodyBytes += outcome.result.body.size();
    }
    m_outcomes.emplace(id, std::move(outcome));
    while (m_bodyBytes > m_maxBodyBytes)
        dropOldestBody();
}

void OutcomeTable::erase(const WorkId& id)
{
    const auto it = m_outcomes.find(id);
    if (it == m_outcomes.end())
        return;
    m_bodyBytes -= it->second.result.body.size();
    m_outcomes.erase(it);
}

const StoredOutcome* OutcomeTable::find(const WorkId& id) const
{
    const auto it = m_outcomes.find(id);
    return it == m_outcomes.end() ? nullptr : &it->second;
}

void OutcomeTable::expire(TimePoint now)
{
    while (!m_byAge.empty() && m_byAge.front().first + m_retention <= now) {
        if (findIfCurrent(m_byAge.front()))
            erase(m_byAge.front().second);
        m_byAge.pop_front();
    }
    while (!m_bodiesByAge.empty() && m_bodiesByAge.front().first + m_retention <= now)
        m_bodiesByAge.pop_front();
}

// Another outcome with the same ID may have been stored later.
StoredOutcome* OutcomeTable::findIfCurrent(const AgeQueue::value_type& age)
{
    const auto it = m_outcomes.find(age.second);
    return it != m_outcomes.end() && it->second.storedAt == age.first ? &it->second : nullptr;
}

void OutcomeTable::dropOldestBody()
{
    if (StoredOutcome* outcome = findIfCurrent(m_bodiesByAge.front())) {
        WorkResult& result = outcome->result;
        m_bodyBytes -= result.body.size();
        result = { result.id, result.run, ErrorKind::Truncated, "the work ran, but its answer is no longer kept", {} };
    }
    m_bodiesByAge.pop_front();
}

} // namespace lycheeledge
