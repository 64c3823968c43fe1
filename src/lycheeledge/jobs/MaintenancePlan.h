// Decides which VMs of a maintenance wave to drain and which to take down next.
//
// A wave limits the number of VMs that are down at a time and has a deadline, and tasks must leave a VM before it goes
// down. To save time on a busy fleet, the next VMs drain while the previous ones are down.
#pragma once

#include "VmPort.h"

#include <map>
#include <optional>
#include <vector>

namespace lycheeledge::jobs {

enum class MaintenancePhase {
    Pending,
    Draining, ///< receives no new tasks; its tasks end or move
    OrderPending, ///< an order was sent and has not been answered; counts as down
    Down, ///< the maintenance has begun, and the VM is not yet back
    Done, ///< back in service, or removed
};

/**
 * @brief One VM of a wave.
 *
 * The maintenance has begun once an order of this wave is answered, or the list shows the VM in maintenance and no
 * other wave names it. Another worker on the VM tells nothing: one that crashed returns under another id, too.
 */
struct WaveVm {
    MaintenancePhase phase = MaintenancePhase::Pending;
    VmState state = VmState::Down; ///< as last listed
    bool listed = true; ///< in the last list
    WorkerId worker; ///< as last listed
    WorkerId drainedWorker; ///< worker that was drained for the maintenance, and ends when it begins
    std::size_t runs = 0; ///< number of runs on the worker
    TimePoint since; ///< when the phase began
    bool orderUnanswered = false; ///< an order may have been executed, or may be later; counts as down
    TimePoint earliestOrder; ///< no order before this time

    bool operator==(const WaveVm&) const = default;
};

/** @brief Actions to take next. */
struct MaintenanceActions {
    std::vector<VmId> drain; ///< VMs to start draining
    std::vector<VmId> order; ///< VMs to order maintenance for

    bool operator==(const MaintenanceActions&) const = default;
};

/** @param maintenanceDuration how long a VM is down. @return how long to wait for tasks to end by themselves. */
Duration drainTimeout(const MaintenanceWave& wave, Duration maintenanceDuration);

/** @brief Decides the next drains and orders, within the limit on VMs that are down. */
MaintenanceActions planMaintenance(const MaintenanceWave& wave, const std::map<VmId, WaveVm>& vms, TimePoint now);

} // namespace lycheeledge::jobs
