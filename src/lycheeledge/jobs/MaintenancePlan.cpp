// Decides which VMs of a maintenance wave to drain and which to take down next.

#include "MaintenancePlan.h"

#include <algorithm>
#include <utility>

namespace lycheeledge::jobs {

namespace {

    // Bounds of the time in which tasks may end by themselves. Within them, it follows from the deadline of the wave.
    constexpr Duration minDrainTimeout = std::chrono::milliseconds(300);
    constexpr Duration maxDrainTimeout = std::chrono::seconds(5);
    // Time per round for orders, the lag of the VM list and the restart of the worker.
    constexpr Duration roundOverhead = std::chrono::milliseconds(1500);

    /** @brief Whether the VM may be down for this wave. */
    bool mayBeDown(const WaveVm& vm)
    {
        if (vm.phase == MaintenancePhase::Done)
            return false;
        return vm.phase == MaintenancePhase::OrderPending || vm.phase == MaintenancePhase::Down || vm.orderUnanswered
            || vm.state == VmState::InMaintenance; // an earlier owner may have ordered it
    }

} // namespace

Duration drainTimeout(const MaintenanceWave& wave, Duration maintenanceDuration)
{
    const auto vms = static_cast<Duration::rep>(std::max<std::size_t>(wave.vms.size(), 1));
    const auto atATime = static_cast<Duration::rep>(std::max<std::size_t>(wave.maxDown, 1));
    const Duration roundTime = wave.duration * atATime / vms; // time for each round of VMs
    return std::clamp(roundTime - maintenanceDuration - roundOverhead, minDrainTimeout, maxDrainTimeout);
}

MaintenanceActions planMaintenance(const MaintenanceWave& wave, const std::map<VmId, WaveVm>& vms, TimePoint now)
{
    MaintenanceActions result;
    auto down = static_cast<std::size_t>(
        std::count_if(vms.begin(), vms.end(), [](const auto& it) { return mayBeDown(it.second); }));
    std::size_t draining = 0;
    for (const auto& [id, vm] : vms) {
        if (vm.phase != MaintenancePhase::Draining)
            continue;
        const bool drained = vm.runs == 0 && now >= vm.earliestOrder;
        if (drained && (mayBeDown(vm) || down < wave.maxDown)) {
            result.order.push_back(id);
            down += mayBeDown(vm) ? 0 : 1;
        } else if (!vm.orderUnanswered)
            ++draining;
    }
    std::vector<std::pair<std::size_t, VmId>> pending;
    for (const auto& [id, vm] : vms) {
        // A VM that is not listed was removed, which the response to an order confirms.
        if (vm.phase == MaintenancePhase::Pending && (vm.state == VmState::Up || !vm.listed))
            pending.emplace_back(vm.runs, id);
    }
    std::sort(pending.begin(), pending.end());
    for (const auto& [runs, id] : pending) {
        if (draining >= wave.maxDown)
            break;
        result.drain.push_back(id);
        ++draining;
    }
    return result;
}

} // namespace lycheeledge::jobs
