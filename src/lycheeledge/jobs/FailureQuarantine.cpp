// Detects workers on which tasks keep failing, and excludes them from placement for some time.

#include "FailureQuarantine.h"

#include <algorithm>

namespace lycheeledge::jobs {

bool FailureQuarantine::recordFailure(const WorkerId& worker, const JobId& job, TimePoint now)
{
    State& state = m_states[worker];
    if (now - state.lastFailure > m_settings.failureWindow) {
        state.failedJobs.clear();
        state.duration = {};
    }
    state.lastFailure = now;
    state.failedJobs.insert(job);
    const bool probationFailed = state.duration > Duration::zero() && now >= state.until;
    if (!probationFailed && (state.failedJobs.size() < m_settings.failureThreshold || now < state.until))
        return false;
    startQuarantine(state, now);
    return true;
}

void FailureQuarantine::recordStall(const WorkerId& worker, TimePoint now)
{
    State& state = m_states[worker];
    state.lastFailure = now;
    if (now >= state.until)
        startQuarantine(state, now);
}

void FailureQuarantine::startQuarantine(State& state, TimePoint now) const
{
    state.duration = state.duration == Duration::zero() ? m_settings.initialDuration
                                                        : std::min(m_settings.maxDuration, 2 * state.duration);
    state.until = now + state.duration;
}

void FailureQuarantine::recordSuccess(const WorkerId& worker) { m_states.erase(worker); }

bool FailureQuarantine::isQuarantined(const WorkerId& worker, TimePoint now) const
{
    const auto it = m_states.find(worker);
    return it != m_states.end() && now < it->second.until;
}

bool FailureQuarantine::hasRecentFailure(const WorkerId& worker, TimePoint now) const
{
    const auto it = m_states.find(worker);
    return it != m_states.end() && now - it->second.lastFailure < m_settings.initialDuration;
}

bool FailureQuarantine::isOnProbation(const WorkerId& worker) const
{
    const auto it = m_states.find(worker);
    return it != m_states.end() && it->second.duration > Duration::zero();
}

} // namespace lycheeledge::jobs
