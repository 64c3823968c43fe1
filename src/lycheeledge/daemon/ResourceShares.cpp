// Division of a process's memory and descriptors among its listeners.

#include "ResourceShares.h"

#include <algorithm>

namespace lycheeledge {

namespace {

    constexpr std::size_t mebibyte = 1 << 20;
    // An idle process uses 16 MB. The other half is for decoding one request.
    constexpr std::size_t processBytes = 32 * mebibyte;
    constexpr std::size_t minRequestBytes = 6 * mebibyte;
    constexpr std::size_t maxRequestBytes = 256 * mebibyte;
    constexpr std::size_t minWorkBytes = 8 * mebibyte;
    // The next owner, which may be a VM of 120 MB, has to hold what this one has accepted.
    constexpr std::size_t maxWorkBytes = 48 * mebibyte;
    // RESTinio's connection with its 4 KB read buffer, timer and socket, and the kernel's socket.
    constexpr std::size_t bytesPerConnection = 16 << 10;
    // Descriptors of the log, of libraries and of files, as the platform counts them.
    constexpr std::size_t fileDescriptors = 200;
    // 16 connections to each of the store, the admission service and the VM provider, and 4 to each of 128 workers;
    // above 128 workers, members make the calls.
    constexpr std::size_t maxOutgoing = 3 * 16 + 4 * 128;
    constexpr std::size_t minDescriptors = 64;
    // A load balancer has few connections to each of these.
    constexpr std::size_t maxReadinessConnections = 64;
    constexpr std::size_t maxMetricsConnections = 16;
    constexpr std::size_t minConnections = 4;
    // The limits where the platform names none.
    constexpr std::size_t defaultIngressConnections = 3000;
    constexpr std::size_t defaultMemberConnections = 3800; // one from each member

} // namespace

ResourceShares divideResources(std::size_t memoryBytes, std::size_t maxDescriptors)
{
    ResourceShares result;
    const std::size_t free = memoryBytes > processBytes ? memoryBytes - processBytes : 0;
    // A third: memory that is freed in other sizes than it is allocated again is not available at once.
    const std::size_t bytes
        = memoryBytes == 0 ? maxRequestBytes : std::clamp(free / 3, minRequestBytes, maxRequestBytes);
    result.workBytes = memoryBytes == 0 ? maxWorkBytes : std::clamp(free / 3, minWorkBytes, maxWorkBytes);
    result.readiness.bytes = bytes / 16;
    result.metrics.bytes = bytes / 16;
    result.members.bytes = bytes / 4;
    result.ingress.bytes = bytes - result.readiness.bytes - result.metrics.bytes - result.members.bytes;

    result.readiness.connections = maxReadinessConnections;
    result.metrics.connections = maxMetricsConnections;
    result.ingress.connections = defaultIngressConnections;
    result.members.connections = defaultMemberConnections;
    if (maxDescriptors != 0) {
        const std::size_t sockets
            = maxDescriptors > fileDescriptors + minDescriptors ? maxDescriptors - fileDescriptors : minDescriptors;
        result.readiness.connections = std::clamp(sockets / 16, minConnections, maxReadinessConnections);
        result.metrics.connections = std::clamp(sockets / 16, minConnections, maxMetricsConnections);
        const std::size_t outgoing = std::min(sockets / 4, maxOutgoing);
        const std::size_t incoming = sockets - outgoing - result.readiness.connections - result.metrics.connections;
        result.ingress.connections = std::min(incoming / 2, defaultIngressConnections);
        result.members.connections = std::min(incoming - incoming / 2, defaultMemberConnections);
    }
    if (memoryBytes != 0) {
        const std::size_t affordable = std::max(memoryBytes / 4 / bytesPerConnection, minDescriptors);
        result.ingress.connections = std::min(result.ingress.connections, affordable);
    }
    return result;
}

} // namespace lycheeledge
