// Interface to the platform's list of live and leaving VMs.
#pragma once

#include "../state/Worker.h"

#include <absl/status/statusor.h>

#include <functional>
#include <vector>

namespace lycheeledge {

/** @brief The platform's list of worker VMs. The list lags behind: a VM missing from it may still be running. */
class VmDirectory {
public:
    using Callback = std::function<void(absl::StatusOr<std::vector<WorkerDescription>>)>;

    virtual ~VmDirectory() = default;

    /** @brief Reads the list. Errors: `UNAVAILABLE`, `DEADLINE_EXCEEDED`. */
    virtual void list(Callback done) = 0;
};

} // namespace lycheeledge
