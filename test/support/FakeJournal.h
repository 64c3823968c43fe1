// Journal that keeps its records in memory.
#pragma once

#include <lycheeledge/coordination/JobJournal.h>
#include <lycheeledge/coordination/Runtime.h>

#include <deque>
#include <functional>
#include <utility>
#include <vector>

namespace lycheeledge::test {

class FakeJournal final : public JobJournal {
public:
    explicit FakeJournal(Runtime& runtime)
        : m_runtime(runtime)
    {
    }

    std::vector<JournalRecord> records; ///< durable ones
    bool isDown = false; ///< appends wait until flush()
    bool isAborted = false;

    void append(JournalRecord record, std::function<void(absl::Status)> done) override
    {
        m_waiting.emplace_back(std::move(record), std::move(done));
        if (!isDown)
            flush();
    }

    void flush()
    {
        isDown = false;
        for (auto& [record, done] : std::exchange(m_waiting, {})) {
            if (!isAborted)
                records.push_back(std::move(record));
            m_runtime.after(std::chrono::milliseconds(5),
                [done = std::move(done), status = isAborted ? absl::AbortedError("") : absl::OkStatus()] {
                    done(status);
                });
        }
    }

private:
    Runtime& m_runtime;
    std::deque<std::pair<JournalRecord, std::function<void(absl::Status)>>> m_waiting;
};

} // namespace lycheeledge::test
