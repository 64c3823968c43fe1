// Division of a process's memory and descriptors among its listeners.
#pragma once

#include <cstddef>

namespace lycheeledge {

/** @brief Limits of one listener. */
struct ListenerShare {
    std::size_t bytes = 0; ///< memory for unfinished requests and unsent responses
    std::size_t connections = 0;

    bool operator==(const ListenerShare&) const = default;
};

struct ResourceShares {
    ListenerShare ingress;
    ListenerShare readiness;
    ListenerShare metrics;
    std::size_t workBytes = 0; ///< memory of accepted jobs; 0 if not limited
    ListenerShare members; ///< for members whose connection is not confirmed yet, and for all members' connections

    bool operator==(const ResourceShares&) const = default;
};

/**
 * @brief Derives the limit of accepted work, and those of the listeners, so that none of them can use up what another
 * one needs.
 * @param memoryBytes memory of the VM; 0 if not limited. @param maxDescriptors of the process; 0 if not limited.
 */
ResourceShares divideResources(std::size_t memoryBytes, std::size_t maxDescriptors);

} // namespace lycheeledge
