// Runs that may be the cause if their worker crashes.

#include "CrashSuspects.h"

#include <algorithm>

namespace lycheeledge::jobs {

void CrashSuspects::add(const RunKey& run, bool repeated)
{
    const auto it = m_suspects.find(run.task);
    if (it != m_suspects.end())
        erase(it);
    m_suspects[run.task] = { .run = run.run, .aliveSinceMs = {}, .repeated = repeated };
    m_repeated += repeated ? 1 : 0;
}

void CrashSuspects::erase(Map::iterator it)
{
    m_repeated -= it->second.repeated ? 1 : 0;
    m_suspects.erase(it);
}

void CrashSuspects::clear(const RunKey& run)
{
    const auto it = m_suspects.find(run.task);
    if (it != m_suspects.end() && it->second.run <= run.run)
        erase(it);
}

bool CrashSuspects::alive(const RunKey& run, std::int64_t clockMs)
{
    const auto it = m_suspects.find(run.task);
    if (it == m_suspects.end() || it->second.run != run.run)
        return false;
    Suspect& suspect = it->second;
    if (!suspect.aliveSinceMs)
        suspect.aliveSinceMs = clockMs;
    if (std::chrono::milliseconds(clockMs - *suspect.aliveSinceMs) < m_aliveFor)
        return false;
    erase(it);
    return true;
}

std::vector<RunKey> CrashSuspects::take(const absl::flat_hash_set<RunKey>& survivors)
{
    std::vector<RunKey> result;
    for (auto it = m_suspects.begin(); it != m_suspects.end();) {
        const auto suspect = it++;
        const RunKey run { suspect->first, suspect->second.run };
        if (survivors.contains(run))
            continue;
        if (suspect->second.aliveSinceMs)
            result.push_back(run);
        erase(suspect);
    }
    std::sort(result.begin(), result.end());
    return result;
}

} // namespace lycheeledge::jobs
