// Selects the member that talks to a worker on the owner's behalf.
//
// Answers the load of hundreds of workers: an HTTP call costs the owner several times as much as its part of a batch to
// a member. Only VMs with a large processor share relay, near the worker if possible; few relays make large batches.
#pragma once

#include "../WorkerPort.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lycheeledge::jobs {

/** @brief A member that can talk to workers. */
struct RelayCandidate {
    std::uint64_t connection = 0;
    std::string member; ///< name, which is the same after a reconnect
    std::string dataCentre;
    double cpuShare = 0; ///< of its VM, in cores

    bool operator==(const RelayCandidate&) const = default;
};

/**
 * @brief Selects the connection for a worker, by rendezvous hashing weighted by processor share: when a member comes or
 * goes, only its own workers move.
 * @param dataCentre of the worker; empty if unknown.
 * @return nothing if there are no candidates.
 */
std::optional<std::uint64_t> selectRelay(
    const WorkerId& worker, const std::string& dataCentre, const std::vector<RelayCandidate>& candidates);

} // namespace lycheeledge::jobs
