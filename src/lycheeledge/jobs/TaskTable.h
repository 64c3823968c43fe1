// The tasks of a step, by index.
#pragma once

#include "Task.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lycheeledge::jobs {

/**
 * @brief State of the tasks of a step. A step may have 100,000 tasks, of which few run at a time, so its memory grows
 * with the tasks that have started: the others have no state of their own, and done tasks keep one bit each.
 */
class TaskTable {
public:
    using States = std::map<std::uint32_t, Task>; ///< ordered, and entries stay in place when others are added

    TaskTable() = default;
    explicit TaskTable(std::uint32_t size)
        : m_size(size)
    {
    }

    std::uint32_t size() const { return m_size; }
    const Task& operator[](std::uint32_t index) const;
    /**
     * @brief Gives the task a state of its own, which stays in place until it is erased.
     * @return `nullptr` if the task does not exist, or is done and its state was erased.
     */
    Task* find(std::uint32_t index);
    /** @brief Tasks with a state of their own. */
    const States& states() const { return m_states; }
    States& states() { return m_states; }

    bool isDone(std::uint32_t index) const { return (*this)[index].phase == TaskPhase::Done; }
    /** @return whether it was not done before. */
    bool markDone(std::uint32_t index);
    void markAllDone();
    /** @brief Replaces the state of done tasks by a bit each. */
    void eraseDone();
    /** @brief Bit `index % 8` of byte `index / 8` is set for each done task without a state of its own. */
    const std::string& doneBits() const { return m_doneBits; }

    /** @brief Number of waiting tasks without a state of their own. */
    std::uint32_t untouched() const;
    /** @brief The first of them, at most `limit`, in ascending order. */
    std::vector<std::uint32_t> untouchedTasks(std::size_t limit) const;

private:
    std::uint32_t m_size = 0;
    States m_states;
    std::string m_doneBits; ///< disjoint from the keys of `m_states`; as long as its last set bit needs at least
    std::uint32_t m_doneBitCount = 0;
};

namespace detail {

    void setBit(std::string& bits, std::uint32_t index);
    bool hasBit(const std::string& bits, std::uint32_t index);

} // namespace detail

} // namespace lycheeledge::jobs
