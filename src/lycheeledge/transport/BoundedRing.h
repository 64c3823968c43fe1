// Bounded queue between threads.
#pragma once

#include <boost/circular_buffer.hpp>

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>

namespace lycheeledge {

/** @brief Multi-producer, multi-consumer queue of fixed capacity. A full queue rejects elements without blocking. */
template <typename T> class BoundedRing {
public:
    /** @param capacity maximum number of elements. */
    explicit BoundedRing(std::size_t capacity)
        : m_elements(capacity)
    {
    }

    /** @brief Appends an element. @return false if the queue is full or closed; the element is then discarded. */
    bool tryPush(T element)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_closed || m_elements.full())
                return false;
            m_elements.push_back(std::move(element));
        }
        m_available.notify_one();
        return true;
    }

    /**
     * @brief Removes the oldest element, waiting for one until `deadline`.
     * @return nullopt on timeout, or if the queue is closed and empty.
     */
    std::optional<T> popUntil(std::chrono::steady_clock::time_point deadline)
    {
        std::unique_lock lock(m_mutex);
        m_available.wait_until(lock, deadline, [this] { return m_closed || !m_elements.empty(); });
        if (m_elements.empty())
            return std::nullopt;
        std::optional<T> element(std::move(m_elements.front()));
        m_elements.pop_front();
        return element;
    }

    /** @brief Makes the queue reject further elements and wakes all consumers. */
    void close()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_closed = true;
        }
        m_available.notify_all();
    }

    std::size_t size() const
    {
        const std::lock_guard lock(m_mutex);
        return m_elements.size();
    }

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_available;
    boost::circular_buffer<T> m_elements;
    bool m_closed = false;
};

} // namespace lycheeledge
