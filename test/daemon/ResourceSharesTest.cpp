// Tests of the division of memory and descriptors among the listeners.

#include <lycheeledge/daemon/ResourceShares.h>

#include <catch2/catch.hpp>

using namespace lycheeledge;

// Guards against listeners that together use more than the VM has: a listener without descriptors stops accepting.
TEST_CASE("The shares of the listeners fit in the VM", "[resource-shares]")
{
    for (const std::size_t memoryMb : { 1, 40, 64, 120, 260, 4096 }) {
        for (const std::size_t descriptors : { 300, 400, 1024, 3075, 100000 }) {
            const auto shares = divideResources(memoryMb << 20, descriptors);
            CHECK(shares.ingress.connections + shares.readiness.connections + shares.metrics.connections
                    + shares.members.connections
                <= descriptors - 200);
            CHECK(shares.ingress.connections >= 16);
            CHECK(shares.readiness.connections >= 4);
            const std::size_t bytes
                = shares.ingress.bytes + shares.readiness.bytes + shares.metrics.bytes + shares.members.bytes;
            if (memoryMb >= 64)
                CHECK(bytes <= (memoryMb << 20) / 3);
            if (memoryMb >= 64)
                CHECK(bytes + shares.workBytes <= (memoryMb << 20) * 2 / 3);
            CHECK(shares.workBytes >= std::size_t { 8 } << 20);
            // Holds the largest body in progress in half of it.
            CHECK(shares.ingress.bytes >= std::size_t { 4 } * 262144);
        }
    }
}

TEST_CASE("Without limits of the VM, the shares are those of a large one", "[resource-shares]")
{
    const auto shares = divideResources(0, 0);
    CHECK(shares.ingress.connections == 3000);
    CHECK(shares.members.connections == 3800);
}
