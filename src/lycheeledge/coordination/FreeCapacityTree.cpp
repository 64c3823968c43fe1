// Search tree over the free capacity of the workers of a zone.

#include "FreeCapacityTree.h"

#include <algorithm>

namespace lycheeledge {

namespace {

    constexpr Resources noCapacity { -1, -1, -1, -1, -1 };

    Resources elementwiseMax(const Resources& a, const Resources& b)
    {
        return { std::max(a.milliCpu, b.milliCpu), std::max(a.memoryMb, b.memoryMb),
            std::max(a.accelerators, b.accelerators), std::max(a.slots, b.slots),
            std::max(a.connections, b.connections) };
    }

} // namespace

std::size_t FreeCapacityTree::add()
{
    if (m_size == m_leafCount)
        grow();
    return m_size++;
}

void FreeCapacityTree::grow()
{
    const std::size_t width = std::max<std::size_t>(16, m_leafCount * 2);
    std::vector<Resources> nodes(width * 2, noCapacity);
    std::copy_n(m_nodes.begin() + static_cast<std::ptrdiff_t>(m_leafCount), m_size,
        nodes.begin() + static_cast<std::ptrdiff_t>(width));
    for (std::size_t n = width - 1; n > 0; --n)
        nodes[n] = elementwiseMax(nodes[2 * n], nodes[2 * n + 1]);
    m_nodes = std::move(nodes);
    m_leafCount = width;
}

void FreeCapacityTree::set(std::size_t index, const Resources& free)
{
    std::size_t n = m_leafCount + index;
    m_nodes[n] = free;
    for (n /= 2; n > 0; n /= 2) {
        const Resources value = elementwiseMax(m_nodes[2 * n], m_nodes[2 * n + 1]);
        if (value == m_nodes[n])
            return;
        m_nodes[n] = value;
    }
}

void FreeCapacityTree::exclude(std::size_t index) { set(index, noCapacity); }

std::optional<std::size_t> FreeCapacityTree::find(std::size_t start, const Resources& size) const
{
    return start < m_size ? find(1, 0, m_leafCount, start, size) : std::nullopt;
}

std::optional<std::size_t> FreeCapacityTree::find(
    std::size_t node, std::size_t low, std::size_t width, std::size_t start, const Resources& size) const
{
    if (low + width <= start || !size.fitsIn(m_nodes[node]))
        return std::nullopt;
    if (width == 1)
        return low;
    if (const auto found = find(2 * node, low, width / 2, start, size))
        return found;
    return find(2 * node + 1, low + width / 2, width / 2, start, size);
}

} // namespace lycheeledge
