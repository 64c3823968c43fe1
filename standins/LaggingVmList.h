// The platform's list of VMs, which shows every change late.
#pragma once

#include <lycheeledge/state/Worker.h>

#include <deque>
#include <map>
#include <utility>
#include <vector>

namespace lycheeledge::standin {

/** @brief VM list whose changes become visible after a fixed time. */
class LaggingVmList {
public:
    /** @param lag time until a change is visible. @param timeToLive VMs that do not report for so long are removed. */
    LaggingVmList(Duration lag, Duration timeToLive)
        : m_lag(lag)
        , m_timeToLive(timeToLive)
    {
    }

    void setLag(Duration lag) { m_lag = lag; }

    /** @brief Notes a report of a VM. */
    void report(TimePoint now, const WorkerDescription& vm)
    {
        m_reported[vm.id] = now;
        m_changes.push_back({ now + m_lag, vm, false });
    }

    void remove(TimePoint now, const VmId& id)
    {
        m_reported.erase(id);
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

    /** @brief Applies the changes that have become visible. */
    void advance(TimePoint now)
    {
        for (auto it = m_reported.begin(); it != m_reported.end();) {
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
    std::map<VmId, TimePoint> m_reported;
    std::map<VmId, WorkerDescription> m_visible;
    std::deque<Change> m_changes; // in the order in which they were made
};

} // namespace lycheeledge::standin
