// VM list of the platform stand-in, in which changes become visible after a delay.
#pragma once

#include <lycheeledge/state/Worker.h>

#include <deque>
#include <map>
#include <utility>
#include <vector>

namespace lycheeledge::standin {

/** @brief VM list whose changes become visible after a configurable time, in the order in which they were made. */
class LaggingVmList {
public:
    /**
     * @param lag time until a change is visible.
     * @param timeToLive time without a report after which a VM is removed.
     */
    LaggingVmList(Duration lag, Duration timeToLive)
        : m_lag(lag)
        , m_timeToLive(timeToLive)
    {
    }

    /** @brief Sets the lag of later changes. */
    void setLag(Duration lag) { m_lag = lag; }

    /** @brief Records a report of a VM. */
    void report(TimePoint now, const WorkerDescription& vm)
    {
        m_lastReport[vm.id] = now;
        m_changes.push_back({ now + m_lag, vm, false });
    }

    void remove(TimePoint now, const VmId& id)
    {
        m_lastReport.erase(id);
        WorkerDescription vm;
        vm.id = id;
        m_changes.push_back({ now + m_lag, vm, true });
    }

    std::vector<WorkerDescription> list(TimePoint now)
    {
        advance(now);
        std::vector<WorkerDescription> result;
        result.reserve(m_visible.size());
        for (const auto& [id, vm] : m_visible)
            result.push_back(vm);
        return result;
    }

    /** @brief Removes VMs that stopped reporting, and applies the changes that have become visible. */
    void advance(TimePoint now)
    {
        for (auto it = m_lastReport.begin(); it != m_lastReport.end();) {
            const auto current = it++;
            if (current->second + m_timeToLive <= now)
                remove(now, VmId(current->first));
        }
        while (!m_changes.empty() && m_changes.front().visibleAt <= now) {
            const Change& change = m_changes.front();
            if (change.removed)
                m_visible.erase(change.vm.id);
            else
                m_visible[change.vm.id] = change.vm;
            m_changes.pop_front();
        }
    }

private:
    struct Change {
        TimePoint visibleAt;
        WorkerDescription vm;
        bool removed = false;
    };

    Duration m_lag;
    Duration m_timeToLive;
    std::map<VmId, TimePoint> m_lastReport;
    std::map<VmId, WorkerDescription> m_visible;
    std::deque<Change> m_changes; // not yet visible, in the order in which they were made
};

} // namespace lycheeledge::standin
