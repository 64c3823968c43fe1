// Search tree over the free capacity of the workers of a zone.
#pragma once

#include "../state/Resources.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace lycheeledge {

/**
 * @brief Segment tree whose inner nodes hold the element-wise maximum of the free capacity below them.
 *
 * An update takes O(log n). A search skips subtrees whose maximum does not fit, and misses no entry that fits.
 */
class FreeCapacityTree {
public:
    /** @brief Adds an entry without capacity, which no size fits into. @return its index. */
    std::size_t add();
    void set(std::size_t index, const Resources& free);
    /** @brief Removes all capacity from an entry, so that no size fits into it. */
    void exclude(std::size_t index);
    /** @brief First entry at or after `start` into which `size` fits. */
    std::optional<std::size_t> find(std::size_t start, const Resources& size) const;
    std::size_t size() const { return m_size; }

private:
    std::optional<std::size_t> find(
        std::size_t node, std::size_t low, std::size_t width, std::size_t start, const Resources& size) const;
    void grow();

    std::size_t m_size = 0;
    std::size_t m_leafCount = 0; ///< a power of two
    std::vector<Resources> m_nodes; ///< root at index 1, leaves from index m_leafCount
};

} // namespace lycheeledge
