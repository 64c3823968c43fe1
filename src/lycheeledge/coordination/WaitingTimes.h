// Quantiles of waiting times over one-minute windows.
#pragma once

#include "SchedulerOverview.h"

#include <array>
#include <memory>

namespace lycheeledge {

/** @brief Waiting times of one kind of work, estimated in constant memory. */
class WaitingTimes {
public:
    WaitingTimes();
    ~WaitingTimes();
    WaitingTimes(const WaitingTimes&) = delete;
    WaitingTimes& operator=(const WaitingTimes&) = delete;

    void add(TimePoint now, Duration waited);
    /** @brief Quantiles of the last complete window, or of the current one if there is none. */
    WaitingOverview overview() const;

private:
    struct Window;

    std::unique_ptr<Window> m_current;
    std::unique_ptr<Window> m_previous;
    TimePoint m_windowStart;
};

} // namespace lycheeledge
