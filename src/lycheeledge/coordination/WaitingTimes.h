// Quantiles of waiting times over a sliding window.
#pragma once

#include "SchedulerOverview.h"

#include <array>
#include <memory>

namespace lycheeledge {

/** @brief Waiting times of one kind of work. Needs constant memory. */
class WaitingTimes {
public:
    WaitingTimes();
    ~WaitingTimes();
    WaitingTimes(const WaitingTimes&) = delete;
    WaitingTimes& operator=(const WaitingTimes&) = delete;

    void add(TimePoint now, Duration waited);
    /** @brief Quantiles of the last full minute, or of the current one if there is none. */
    WaitingOverview overview() const;

private:
    struct Window;

    std::unique_ptr<Window> m_current;
    std::unique_ptr<Window> m_previous;
    TimePoint m_windowStart;
};

} // namespace lycheeledge
