// The data centres that operators have asked to evacuate.

#include "Evacuations.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace lycheeledge::jobs {

Evacuations::Evacuations(std::vector<std::string> dataCentres)
    : m_dataCentres(std::move(dataCentres))
{
}

bool Evacuations::isValid(const std::string& dataCentre) const
{
    // Workers whose data centre is unknown have an empty name.
    if (dataCentre.empty())
        return false;
    return m_dataCentres.empty()
        || std::find(m_dataCentres.begin(), m_dataCentres.end(), dataCentre) != m_dataCentres.end();
}

bool Evacuations::apply(const EvacuationChange& change)
{
    return change.revision > m_listedAt && isValid(change.dataCentre) && set(change);
}

bool Evacuations::set(const EvacuationChange& change)
{
    State& state = m_states[change.dataCentre];
    if (change.revision <= state.revision)
        return false;
    state.revision = change.revision;
    if (std::exchange(state.requested, change.requested) == change.requested)
        return false;
    m_requested = change.requested ? m_requested + 1 : m_requested - 1;
    return true;
}

std::vector<EvacuationChange> Evacuations::replace(const std::vector<EvacuationRequest>& requests, Revision asOf)
{
    std::vector<EvacuationChange> changes;
    if (asOf < m_listedAt)
        return changes;
    std::set<std::string> listed;
    for (const auto& request : requests) {
        if (!isValid(request.dataCentre))
            continue;
        listed.insert(request.dataCentre);
        const EvacuationChange change { request.dataCentre, request.revision, true };
        if (set(change))
            changes.push_back(change);
    }
    m_listedAt = asOf;
    for (auto it = m_states.begin(); it != m_states.end();) {
        auto& [name, state] = *it;
        if (state.requested && state.revision <= asOf && !listed.contains(name)) {
            state.requested = false;
            --m_requested;
            changes.push_back({ name, asOf, false });
        }
        it = !state.requested && state.revision <= asOf ? m_states.erase(it) : std::next(it);
    }
    return changes;
}

bool Evacuations::contains(const std::string& dataCentre) const
{
    if (m_requested == 0)
        return false;
    const auto it = m_states.find(dataCentre);
    return it != m_states.end() && it->second.requested;
}

void Evacuations::clear()
{
    m_states.clear();
    m_listedAt = 0;
    m_requested = 0;
}

} // namespace lycheeledge::jobs
