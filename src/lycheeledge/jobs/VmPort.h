// Port to the provider of the workers' VMs: lists the VMs and starts planned maintenance.
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
    VmId vm; ///< stays the same when the worker on the VM changes
    VmState state = VmState::Down;
    WorkerId worker; ///< worker on the VM; empty if none

    bool operator==(const VmRecord&) const = default;
};

struct VmPage {
    std::vector<VmRecord> vms;
    std::string next; ///< token of the next page; empty on the last page

    bool operator==(const VmPage&) const = default;
};

/** @brief Operator request to put each of these VMs through maintenance, a few at a time. */
struct MaintenanceWave {
    std::uint64_t number = 0;
    std::vector<VmId> vms;
    Duration duration {}; ///< planned for the whole wave
    std::size_t maxDown = 1; ///< maximum number of VMs of the wave in maintenance at a time

    bool operator==(const MaintenanceWave&) const = default;
};

struct MaintenanceOrder {
    VmId vm;
    std::uint64_t wave = 0;
    std::string holder; ///< member that sends the order
    Epoch epoch = 0; ///< fencing token

    bool operator==(const MaintenanceOrder&) const = default;
};

enum class MaintenanceOutcome {
    Begun, ///< started now or earlier in this wave
    Fenced, ///< an order with a higher epoch has been given for this VM
    Busy, ///< the VM is not up or is leaving
    NotInWave,
    NoSuchVm,
    Rejected, ///< not executed
    Unknown, ///< no response; may have been executed, or may be executed later
};

/** @brief Calls the VM provider. Each callback is called once, on the coordination thread. */
class VmPort {
public:
    virtual ~VmPort() = default;

    /** @param page token of the page; empty for the first page. */
    virtual void list(const std::string& page, Duration timeout, std::function<void(absl::StatusOr<VmPage>)> done) = 0;
    virtual void beginMaintenance(
        const MaintenanceOrder& order, Duration timeout, std::function<void(MaintenanceOutcome)> done)
        = 0;
};

} // namespace lycheeledge::jobs
