// Port to the provider of the workers' VMs: their list, and planned maintenance.
#pragma once

#include "JobSpec.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace lycheeledge::jobs {

enum class VmState { Up, Moving, InMaintenance, Down };

struct VmRecord {
    VmId vm; ///< stays while workers on it come and go
    VmState state = VmState::Down;
    WorkerId worker; ///< that runs on it; empty if none does

    bool operator==(const VmRecord&) const = default;
};

struct VmPage {
    std::vector<VmRecord> vms;
    std::string next; ///< of the following page; empty after the last one

    bool operator==(const VmPage&) const = default;
};

/** @brief An operator's request: each of these VMs goes through maintenance, a few at a time. */
struct MaintenanceWave {
    std::uint64_t number = 0;
    std::vector<VmId> vms;
    Duration duration {}; ///< for the whole wave
    std::size_t maxDown = 1; ///< VMs of the wave in maintenance at a time

    bool operator==(const MaintenanceWave&) const = default;
};

struct MaintenanceOrder {
    VmId vm;
    std::uint64_t wave = 0;
    std::string holder; ///< member that gives the order
    Epoch epoch = 0; ///< fencing token

    bool operator==(const MaintenanceOrder&) const = default;
};

enum class MaintenanceOutcome {
    Begun, ///< now, or earlier in this wave
    Fenced, ///< a higher epoch has given orders for this VM
    Busy, ///< the VM is not up, or leaves
    NotInWave,
    NoSuchVm,
    Rejected, ///< nothing was done
    Unknown, ///< no response; may have been executed, or may be executed later
};

/** @brief Calls the provider. Each callback is called once, on the coordination thread. */
class VmPort {
public:
    virtual ~VmPort() = default;

    /** @param page empty for the first one. */
    virtual void list(const std::string& page, Duration timeout, std::function<void(absl::StatusOr<VmPage>)> done) = 0;
    virtual void beginMaintenance(
        const MaintenanceOrder& order, Duration timeout, std::function<void(MaintenanceOutcome)> done)
        = 0;
};

} // namespace lycheeledge::jobs
