// Time-stamped record of what was sent, answered and run.
#pragma once

#include "Http.h"

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

class Record {
public:
    explicit Record(const std::string& file)
        : m_out(file)
        , m_begin(Clock::now())
    {
    }

    void line(const std::string& text)
    {
        const std::lock_guard lock(m_mutex);
        const auto ms = std::chrono::duration_cast<Milliseconds>(Clock::now() - m_begin).count();
        m_out << ms << " ms  " << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
    Clock::time_point m_begin;
};

} // namespace review
