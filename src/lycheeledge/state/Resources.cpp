// Arithmetic on resource amounts.

#include "Resources.h"

#include <algorithm>

namespace lycheeledge {

Resources Resources::operator+(const Resources& other) const
{
    return { milliCpu + other.milliCpu, memoryMb + other.memoryMb, accelerators + other.accelerators,
        slots + other.slots, connections + other.connections };
}

Resources Resources::operator-(const Resources& other) const { return *this + other * -1; }

Resources Resources::operator*(std::int64_t n) const
{
    return { milliCpu * n, memoryMb * n, accelerators * n, slots * n, connections * n };
}

bool Resources::fitsIn(const Resources& capacity) const
{
    return milliCpu <= capacity.milliCpu && memoryMb <= capacity.memoryMb && accelerators <= capacity.accelerators
        && slots <= capacity.slots && connections <= capacity.connections;
}

bool Resources::hasNegative() const
{
    return milliCpu < 0 || memoryMb < 0 || accelerators < 0 || slots < 0 || connections < 0;
}

double Resources::dominantShare(const Resources& total) const
{
    auto ratio = [](std::int64_t amount, std::int64_t totalAmount) {
        return totalAmount > 0 ? static_cast<double>(amount) / static_cast<double>(totalAmount) : 0.0;
    };
    return std::max({ ratio(milliCpu, total.milliCpu), ratio(memoryMb, total.memoryMb),
        ratio(accelerators, total.accelerators), ratio(slots, total.slots), ratio(connections, total.connections) });
}

Resources lowest(const Resources& a, const Resources& b)
{
    return { std::min(a.milliCpu, b.milliCpu), std::min(a.memoryMb, b.memoryMb),
        std::min(a.accelerators, b.accelerators), std::min(a.slots, b.slots), std::min(a.connections, b.connections) };
}

Resources highest(const Resources& a, const Resources& b)
{
    return { std::max(a.milliCpu, b.milliCpu), std::max(a.memoryMb, b.memoryMb),
        std::max(a.accelerators, b.accelerators), std::max(a.slots, b.slots), std::max(a.connections, b.connections) };
}

} // namespace lycheeledge
