// Search tree over the free capacity of the workers of a zone.
#pragma once

#include "../state/Resources.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace lycheeledge {

/**
 * @brief Segment tree whose inner nodes hold the largest amount of each resource below them.
 *
 * Updates cost O(log n). A search visits only subtrees whose largest amounts fit, and is exact.
 */
class FreeCapacityTree {
public:
    /** @brief Adds an entry that nothing fits in. @return its index. */
    std::size_t add();
    void set(std::size_t index, const Resources& free);
    /** @brief Makes an entry one that nothing fits in. */
    void exclude(std::size_t index);
    /** @brief First entry at or after `start` in which `size` fits. */
    std::optional<std::size_t> find(std::size_t start, const Resources& size) const;
    std::size_t size() const { return m_size; }

private:
    std::optional<std::size_t> find(
        std::size_t node, std::size_t low, std::size_t width, std::size_t start, const Resources& size) const;
    void grow();

    std::size_t m_size = 0;
    std::size_t m_width = 0; ///< number of leaves, a power of two
    std::vector<Resources> m_nodes; ///< the root is at 1, the leaves start at m_width
};

} // namespace lycheeledge
