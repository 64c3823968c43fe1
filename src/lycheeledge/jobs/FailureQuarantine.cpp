// Finds workers that fail what they start, and keeps tasks away from them.

#include "FailureQuarantine.h"

#include <algorithm>

namespace lycheeledge::jobs {

bool FailureQuarantine::failed(const WorkerId& worker, const JobId& job, TimePoint now)
{
    State& state = m_states[worker];
    if (now - state.lastFailure > m_settings.window) {
        state.failedJobs.clear();
        state.length = {};
    }
    state.lastFailure = now;
    state.failedJobs.insert(job);
    const bool probationFailed = state.length > Duration::zero() && now >= state.until;
    if (!probationFailed && (state.failedJobs.size() < m_settings.failures || now < state.until))
        return false;
    begin(state, now);
    return true;
}

void FailureQuarantine::stalled(const WorkerId& worker, TimePoint now)
{
    State& state = m_states[worker];
    state.lastFailure = now;
    if (now >= state.until)
        begin(state, now);
}

void FailureQuarantine::begin(State& state, TimePoint now) const
{
    state.length
        = state.length == Duration::zero() ? m_settings.length : std::min(m_settings.maxLength, 2 * state.length);
    state.until = now + state.length;
}

void FailureQuarantine::succeeded(const WorkerId& worker) { m_states.erase(worker); }

bool FailureQuarantine::isQuarantined(const WorkerId& worker, TimePoint now) const
{
    const auto it = m_states.find(worker);
    return it != m_states.end() && now < it->second.until;
}

bool FailureQuarantine::isOnProbation(const WorkerId& worker) const
{
    const auto it = m_states.find(worker);
    return it != m_states.end() && it->second.length > Duration::zero();
}

} // namespace lycheeledge::jobs
