// Counters, gauges, summaries and histograms, exposed in the Prometheus text format.

#include "Metrics.h"

// clang-format off
#include <sstream> // extended_p_square_quantile.hpp uses it without including it
// clang-format on

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>
#include <vector>

namespace lycheeledge {

namespace {

    namespace acc = boost::accumulators;

    constexpr std::array<double, 3> quantileProbabilities { 0.5, 0.9, 0.99 };

    // Up to this number of values, quantiles are exact. Boost's estimator starts with 2 n + 3 markers for n quantiles
    // and is inexact until it has seen many more values.
    constexpr std::size_t maxExactValues = 256;

    std::string sanitizeName(std::string_view name)
    {
        std::string valid(name);
        std::replace_if(
            valid.begin(), valid.end(),
            [](char c) {
                const bool isLetter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
                return !isLetter && !(c >= '0' && c <= '9') && c != '_' && c != ':';
            },
            '_');
        if (valid.empty() || (valid.front() >= '0' && valid.front() <= '9'))
            valid.insert(valid.begin(), '_');
        return valid;
    }

    std::string escape(std::string_view text)
    {
        std::string result;
        for (const char c : text) {
            if (c == '\\' || c == '"')
                result += '\\';
            if (c == '\n')
                result += "\\n";
            else
                result += c;
        }
        return result;
    }

    std::string renderLabels(const Metrics::Labels& labels)
    {
        std::string text;
        for (const auto& [name, value] : labels)
            text += fmt::format("{}{}=\"{}\"", text.empty() ? "" : ",", sanitizeName(name), escape(value));
        return text;
    }

    std::string inBraces(const std::string& labels) { return labels.empty() ? "" : "{" + labels + "}"; }

    void append(std::string& text, const std::string& name, const std::string& labels, const Counter& counter)
    {
        text += fmt::format("{}{} {}\n", name, inBraces(labels), counter.value());
    }

    void append(std::string& text, const std::string& name, const std::string& labels, const Gauge& gauge)
    {
        text += fmt::format("{}{} {}\n", name, inBraces(labels), gauge.value());
    }

    void append(std::string& text, const std::string& name, const std::string& labels, const Summary& summary)
    {
        const auto snapshot = summary.snapshot();
        const std::string prefix = labels.empty() ? "" : labels + ",";
        for (const auto& [quantile, value] : { std::pair { "0.5", snapshot.median }, std::pair { "0.9", snapshot.p90 },
                 std::pair { "0.99", snapshot.p99 }, std::pair { "1", snapshot.max } })
            text += fmt::format("{}{{{}quantile=\"{}\"}} {}\n", name, prefix, quantile, value);
        text += fmt::format("{}_sum{} {}\n", name, inBraces(labels), snapshot.sum);
        text += fmt::format("{}_count{} {}\n", name, inBraces(labels), snapshot.count);
    }

    void append(std::string& text, const std::string& name, const std::string& labels, const Histogram& histogram)
    {
        const LatencyHistogram value = histogram.value();
        const std::string prefix = labels.empty() ? "" : labels + ",";
        std::uint64_t n = 0; // buckets are cumulative
        for (std::size_t i = 0; i < LatencyHistogram::bounds.size(); ++i) {
            n += value.counts[i];
            text += fmt::format("{}_bucket{{{}le=\"{}\"}} {}\n", name, prefix, LatencyHistogram::bounds[i], n);
        }
        n += value.counts.back();
        text += fmt::format("{}_bucket{{{}le=\"+Inf\"}} {}\n", name, prefix, n);
        text += fmt::format("{}_sum{} {}\n", name, inBraces(labels), value.sum);
        text += fmt::format("{}_count{} {}\n", name, inBraces(labels), n);
    }

    constexpr std::array<std::string_view, 4> typeNames { "counter", "gauge", "summary", "histogram" };

} // namespace

// Boost's accumulators are copied during construction, with a member that is set only when a quantile is read.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"

struct Summary::Window {
    using Accumulators = acc::accumulator_set<double,
        acc::stats<acc::tag::extended_p_square_quantile, acc::tag::max, acc::tag::count>>;

    Window()
        : accumulators(acc::extended_p_square_probabilities = quantileProbabilities)
    {
    }

    void observe(double value)
    {
        accumulators(value);
        if (firstValues.size() < maxExactValues)
            firstValues.push_back(value);
    }

    double quantile(double probability) const
    {
        const auto count = acc::count(accumulators);
        if (count == 0)
            return 0;
        if (count > maxExactValues)
            return acc::quantile(accumulators, acc::quantile_probability = probability);
        std::vector<double> sorted(firstValues);
        const auto rank = static_cast<std::size_t>(std::ceil(probability * static_cast<double>(sorted.size())));
        const auto nth = sorted.begin() + static_cast<std::ptrdiff_t>(std::max<std::size_t>(rank, 1) - 1);
        std::nth_element(sorted.begin(), nth, sorted.end());
        return *nth;
    }

    double max() const { return acc::count(accumulators) == 0 ? 0 : acc::max(accumulators); }

    Accumulators accumulators;
    std::vector<double> firstValues; // the first maxExactValues values
};

Summary::Summary()
    : m_current(std::make_unique<Window>())
{
}

#pragma GCC diagnostic pop

Summary::~Summary() = default;

void Summary::observe(double value)
{
    // A single NaN or infinity would make the sum and all estimates unusable.
    if (!std::isfinite(value))
        return;
    const std::lock_guard lock(m_mutex);
    m_current->observe(value);
    ++m_count;
    m_sum += value;
}

void Summary::rotate()
{
    auto next = std::make_unique<Window>();
    const std::lock_guard lock(m_mutex);
    m_previous = std::exchange(m_current, std::move(next));
}

Summary::Snapshot Summary::snapshot() const
{
    const std::lock_guard lock(m_mutex);
    const auto& window = m_previous ? *m_previous : *m_current;
    return { m_count, m_sum, window.quantile(quantileProbabilities[0]), window.quantile(quantileProbabilities[1]),
        window.quantile(quantileProbabilities[2]), window.max() };
}

Metrics::Metrics(std::size_t maxSeries)
    : m_maxSeries(maxSeries)
{
}

template <typename Metric>
Metric& Metrics::findOrCreate(std::string_view name, std::string_view help, const Labels& labels, Metric& overflow)
{
    const std::string key = sanitizeName(name);
    const std::string text = renderLabels(labels);
    const std::lock_guard lock(m_mutex);
    auto family = m_families.find(key);
    if (family != m_families.end()) {
        const auto it = family->second.series.find(text);
        if (it != family->second.series.end()) {
            const auto* found = std::get_if<std::unique_ptr<Metric>>(&it->second);
            return found != nullptr ? **found : overflow;
        }
        if (!std::holds_alternative<std::unique_ptr<Metric>>(family->second.series.begin()->second))
            return overflow;
    }
    if (m_seriesCount >= m_maxSeries)
        return overflow;
    if (family == m_families.end())
        family = m_families.emplace(key, Family { std::string(help), {} }).first;
    ++m_seriesCount;
    const auto it = family->second.series.emplace(text, std::make_unique<Metric>()).first;
    return *std::get<std::unique_ptr<Metric>>(it->second);
}

Counter& Metrics::counter(std::string_view name, std::string_view help, const Labels& labels)
{
    return findOrCreate(name, help, labels, m_overflowCounter);
}

Gauge& Metrics::gauge(std::string_view name, std::string_view help, const Labels& labels)
{
    return findOrCreate(name, help, labels, m_overflowGauge);
}

Summary& Metrics::summary(std::string_view name, std::string_view help, const Labels& labels)
{
    return findOrCreate(name, help, labels, m_overflowSummary);
}

Histogram& Metrics::histogram(std::string_view name, std::string_view help, const Labels& labels)
{
    return findOrCreate(name, help, labels, m_overflowHistogram);
}

void Metrics::rotate()
{
    const std::lock_guard lock(m_mutex);
    for (auto& [name, family] : m_families) {
        for (auto& [labels, series] : family.series) {
            if (auto* summary = std::get_if<std::unique_ptr<Summary>>(&series))
                (*summary)->rotate();
        }
    }
}

std::string Metrics::toPrometheus() const
{
    std::string text;
    const std::lock_guard lock(m_mutex);
    for (const auto& [name, family] : m_families) {
        const auto type = typeNames.at(family.series.begin()->second.index());
        text += fmt::format("# HELP {} {}\n# TYPE {} {}\n", name, escape(family.help), name, type);
        for (const auto& it : family.series)
            std::visit([&, &key = name](const auto& metric) { append(text, key, it.first, *metric); }, it.second);
    }
    return text;
}

} // namespace lycheeledge
