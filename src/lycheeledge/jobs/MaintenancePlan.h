// Decides which VMs of a maintenance wave are drained, and which go down next.
//
// Answers a wave over a busy fleet: at most so many VMs may be down at a time, tasks that run there must move first,
// and the wave has a deadline. The next VMs drain while the ones before them are down.
#pragma once

#include "VmPort.h"

#include <map>
#include <optional>
#include <vector>

namespace lycheeledge::jobs {

enum class MaintenancePhase {
    Pending,
    Draining, ///< gets no new task; its tasks end or move
    Ordering, ///< an order is on its way, or its fate is not known: counts as down
    Down, ///< maintenance has begun; the VM is not back yet
    Done, ///< back, or gone for good
};

/** @brief One VM of a wave. */
struct WaveVm {
    MaintenancePhase phase = MaintenancePhase::Pending;
    VmState state = VmState::Down; ///< as last listed
    WorkerId worker; ///< as last listed
    WorkerId drained; ///< worker that runs there no more once maintenance has begun
    std::size_t runs = 0; ///< on the worker
    TimePoint since; ///< when the phase began

    bool operator==(const WaveVm&) const = default;
};

/** @brief What to do next. */
struct MaintenanceActions {
    std::vector<VmId> drain; ///< begin to drain these
    std::vector<VmId> order; ///< begin maintenance of these

    bool operator==(const MaintenanceActions&) const = default;
};

/** @param maintenanceTime that a VM is down. @return how long to wait for tasks to end by themselves. */
Duration drainPatience(const MaintenanceWave& wave, Duration maintenanceTime);

MaintenanceActions planMaintenance(const MaintenanceWave& wave, const std::map<VmId, WaveVm>& vms);

} // namespace lycheeledge::jobs
