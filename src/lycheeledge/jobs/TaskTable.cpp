// The tasks of a step, by index.

#include "TaskTable.h"

#include <algorithm>

namespace lycheeledge::jobs {

namespace detail {

    void setBit(std::string& bits, std::uint32_t index)
    {
        bits.resize(std::max<std::size_t>(bits.size(), index / 8 + 1));
        bits[index / 8] = static_cast<char>(static_cast<unsigned char>(bits[index / 8]) | (1U << (index % 8)));
    }

    bool hasBit(const std::string& bits, std::uint32_t index)
    {
        return index / 8 < bits.size() && (static_cast<unsigned char>(bits[index / 8]) & (1U << (index % 8))) != 0;
    }

} // namespace detail

namespace {

    const Task waitingTask {};

    Task makeDoneTask()
    {
        Task task;
        task.phase = TaskPhase::Done;
        return task;
    }

    const Task doneTask = makeDoneTask();

} // namespace

const Task& TaskTable::operator[](std::uint32_t index) const
{
    const auto it = m_states.find(index);
    if (it != m_states.end())
        return it->second;
    return detail::hasBit(m_doneBits, index) ? doneTask : waitingTask;
}

Task* TaskTable::find(std::uint32_t index)
{
    if (index >= m_size || detail::hasBit(m_doneBits, index))
        return nullptr;
    return &m_states[index];
}

bool TaskTable::markDone(std::uint32_t index)
{
    if (isDone(index))
        return false;
    const auto it = m_states.find(index);
    if (it != m_states.end()) {
        it->second.phase = TaskPhase::Done;
        return true;
    }
    detail::setBit(m_doneBits, index);
    ++m_doneBitCount;
    return true;
}

void TaskTable::markAllDone()
{
    for (std::uint32_t i = 0; i < m_size; ++i)
        markDone(i);
}

void TaskTable::eraseDone()
{
    for (auto it = m_states.begin(); it != m_states.end();) {
        if (it->second.phase != TaskPhase::Done) {
            ++it;
            continue;
        }
        detail::setBit(m_doneBits, it->first);
        ++m_doneBitCount;
        it = m_states.erase(it);
    }
}

std::uint32_t TaskTable::untouched() const
{
    return m_size - static_cast<std::uint32_t>(m_states.size()) - m_doneBitCount;
}

std::vector<std::uint32_t> TaskTable::untouchedTasks(std::size_t limit) const
{
    std::vector<std::uint32_t> result;
    limit = std::min<std::size_t>(limit, untouched());
    result.reserve(limit);
    auto state = m_states.begin();
    for (std::uint32_t i = 0; result.size() < limit; ++i) {
        if (state != m_states.end() && state->first == i)
            ++state;
        else if (!detail::hasBit(m_doneBits, i))
            result.push_back(i);
    }
    return result;
}

} // namespace lycheeledge::jobs
