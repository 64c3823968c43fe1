// Quantiles of waiting times over one-minute windows.

#include "WaitingTimes.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>

namespace lycheeledge {

namespace accumulators = boost::accumulators;

namespace {

    using Quantiles = accumulators::accumulator_set<double,
        accumulators::stats<accumulators::tag::count, accumulators::tag::extended_p_square>>;

    constexpr std::array<double, 5> probabilities { 0.1, 0.5, 0.9, 0.99, 0.999 };
    constexpr Duration windowLength = std::chrono::minutes(1);

} // namespace

struct WaitingTimes::Window {
    Quantiles quantiles { accumulators::extended_p_square_probabilities = probabilities };

    WaitingOverview overview() const
    {
        const auto values = accumulators::extended_p_square(quantiles);
        auto at = [&](std::size_t i) {
            return Duration(static_cast<Duration::rep>(std::max(values[static_cast<std::ptrdiff_t>(i)], 0.0)));
        };
        const auto n = accumulators::count(quantiles);
        return n == 0 ? WaitingOverview {} : WaitingOverview { n, at(1), at(2), at(3) };
    }
};

WaitingTimes::WaitingTimes()
    : m_current(std::make_unique<Window>())
{
}

WaitingTimes::~WaitingTimes() = default;

void WaitingTimes::add(TimePoint now, Duration waited)
{
    if (now - m_windowStart >= windowLength) {
        const bool gap = now - m_windowStart >= 2 * windowLength;
        m_previous = gap ? nullptr : std::move(m_current);
        m_current = std::make_unique<Window>();
        m_windowStart = now;
    }
    m_current->quantiles(static_cast<double>(waited.count()));
}

WaitingOverview WaitingTimes::overview() const { return (m_previous ? *m_previous : *m_current).overview(); }

} // namespace lycheeledge
