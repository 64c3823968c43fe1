// Counters, gauges, summaries and histograms, exposed in the Prometheus text format.
#pragma once

#include "../state/LatencyHistogram.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <variant>

namespace lycheeledge {

/** @brief Number of events since the process started. */
class Counter {
public:
    void add(std::uint64_t n = 1) { m_value.fetch_add(n, std::memory_order_relaxed); }
    std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value { 0 };
};

/** @brief A value that can increase and decrease. */
class Gauge {
public:
    void set(double value) { m_value.store(value, std::memory_order_relaxed); }
    double value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<double> m_value { 0 };
};

/** @brief Holds the latest copy of a LatencyHistogram that another component maintains. */
class Histogram {
public:
    void set(const LatencyHistogram& value)
    {
        const std::lock_guard lock(m_mutex);
        m_value = value;
    }
    LatencyHistogram value() const
    {
        const std::lock_guard lock(m_mutex);
        return m_value;
    }

private:
    mutable std::mutex m_mutex;
    LatencyHistogram m_value;
};

/** @brief Count, sum and quantiles of a value; quantiles are computed over windows. */
class Summary {
public:
    struct Snapshot {
        std::uint64_t count = 0; ///< since the process started
        double sum = 0; ///< since the process started
        // Quantiles and maximum are of the last full window, or of the current one before the first rotation.
        double median = 0;
        double p90 = 0;
        double p99 = 0;
        double max = 0;

        bool operator==(const Snapshot&) const = default;
    };

    Summary();
    ~Summary();

    void observe(double value);
    /** @brief Starts a new window. Quantiles of a window without values are 0. */
    void rotate();
    Snapshot snapshot() const;

private:
    struct Window;

    mutable std::mutex m_mutex;
    std::unique_ptr<Window> m_current;
    std::unique_ptr<Window> m_previous; // null before the first rotation
    std::uint64_t m_count = 0;
    double m_sum = 0;
};

/**
 * @brief All metrics of a process. Thread-safe.
 *
 * Returned references stay valid for the lifetime of this object; code on a hot path should keep them.
 */
class Metrics {
public:
    using Labels = std::map<std::string, std::string>;

    /** @param maxSeries largest number of label sets over all metrics; further ones are accepted but not exposed. */
    explicit Metrics(std::size_t maxSeries = 10000);

    /**
     * @brief Returns the metric; creates it on first use.
     * @param name letters, digits, `_` and `:`; other characters are replaced by `_`.
     * @param help one line; only the first one given for a name is used.
     */
    Counter& counter(std::string_view name, std::string_view help, const Labels& labels = {});
    Gauge& gauge(std::string_view name, std::string_view help, const Labels& labels = {});
    Summary& summary(std::string_view name, std::string_view help, const Labels& labels = {});
    Histogram& histogram(std::string_view name, std::string_view help, const Labels& labels = {});

    /** @brief Starts a new window of all summaries. Telemetry calls it once a minute. */
    void rotate();
    /** @brief Renders all metrics in the Prometheus text format, version 0.0.4. */
    std::string toPrometheus() const;

private:
    using Series = std::variant<std::unique_ptr<Counter>, std::unique_ptr<Gauge>, std::unique_ptr<Summary>,
        std::unique_ptr<Histogram>>;
    struct Family {
        std::string help;
        std::map<std::string, Series> series; // by rendered labels without braces
    };

    template <typename Metric>
    Metric& findOrCreate(std::string_view name, std::string_view help, const Labels& labels, Metric& overflow);

    std::size_t m_maxSeries;
    mutable std::mutex m_mutex; // guards the maps, not the metrics in them
    std::map<std::string, Family> m_families;
    std::size_t m_seriesCount = 0;
    // Returned instead of a new series beyond m_maxSeries, or for a name that is already used with another type.
    Counter m_overflowCounter;
    Gauge m_overflowGauge;
    Summary m_overflowSummary;
    Histogram m_overflowHistogram;
};

} // namespace lycheeledge
