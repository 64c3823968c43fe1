// Measured run times of tasks as a multiple of their clients' estimates.

#include "RunTimeRatios.h"

#include <algorithm>
#include <chrono>

namespace lycheeledge::jobs {

namespace {

    constexpr Duration defaultEstimate = std::chrono::milliseconds(100);
    constexpr Duration maxEstimate = std::chrono::minutes(10);
    constexpr double minRatio = 1.0 / 8;
    constexpr double maxRatio = 8;
    constexpr Duration retention = std::chrono::seconds(60);
    constexpr std::uint32_t minRuns = 3;
    // The first runs are averaged evenly. Three tasks in a hundred take seven times as long; a lower gain would need
    // too many runs to follow a change of the load.
    constexpr double minGain = 0.1;

} // namespace

Duration boundedEstimate(Duration estimate)
{
    return estimate <= Duration::zero() ? defaultEstimate : std::min(estimate, maxEstimate);
}

void RunTimeRatios::record(
    const std::string& pool, const std::string& image, Duration estimate, const MeasuredRun& run, TimePoint now)
{
    std::erase_if(m_entries, [now](const auto& it) { return now - it.second.recordedAt > retention; });
    const auto key = std::pair(pool, image);
    if (!m_entries.contains(key) && m_entries.size() >= maxKeys)
        m_entries.erase(std::min_element(m_entries.begin(), m_entries.end(),
            [](const auto& a, const auto& b) { return a.second.usedAt < b.second.usedAt; }));
    Entry& entry = m_entries[key];
    const double measured = static_cast<double>(run.runTime.count());
    const double ratio
        = std::clamp(measured / static_cast<double>(boundedEstimate(estimate).count()), minRatio, maxRatio);
    ++entry.runs;
    entry.ratio += std::max(minGain, 1.0 / entry.runs) * (ratio - entry.ratio);
    entry.recordedAt = now;
    entry.usedAt = ++m_uses;
}

double RunTimeRatios::ratio(const std::string& pool, const std::string& image, TimePoint now) const
{
    const auto it = m_entries.find(std::pair(pool, image));
    if (it == m_entries.end() || it->second.runs < minRuns || now - it->second.recordedAt > retention)
        return 1;
    it->second.usedAt = ++m_uses;
    return it->second.ratio;
}

Duration RunTimeRatios::expected(
    const std::string& pool, const std::string& image, Duration estimate, TimePoint now) const
{
    const auto bounded = static_cast<double>(boundedEstimate(estimate).count());
    return Duration(static_cast<Duration::rep>(bounded * ratio(pool, image, now)));
}

} // namespace lycheeledge::jobs
