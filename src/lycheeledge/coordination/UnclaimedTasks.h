// Tasks reported by workers for work that has not been submitted to this owner.
#pragma once

#include "../state/Time.h"
#include "../state/Worker.h"
#include "WorkerTable.h"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <optional>
#include <vector>

namespace lycheeledge {

/** @brief Reported tasks of one request or job that has not been submitted to this owner. */
struct UnclaimedWork {
    struct Running {
        TaskId id;
        WorkerIndex worker = 0;
    };
    struct Finished {
        FinishedTask task;
        WorkerIndex worker = 0;
    };

    std::vector<Running> running;
    std::vector<Finished> finished;
    bool lost = false; ///< a task of this work was on a worker that was lost
    TimePoint changedAt; ///< time of the last report of one of its tasks; the retention time starts anew
};

/** @brief Reported tasks of unknown work, kept until the work is submitted or recovered, or the retention time ends. */
class UnclaimedTasks {
public:
    explicit UnclaimedTasks(Duration retention)
        : m_retention(retention)
    {
    }

    void addRunning(TimePoint now, const TaskId& task, WorkerIndex worker);
    void addFinished(TimePoint now, const FinishedTask& task, WorkerIndex worker);
    void addLost(TimePoint now, const TaskId& task);
    bool contains(const WorkId& id) const { return m_work.contains(id); }
    /** @brief Removes and returns the reported tasks of a request or job. */
    std::optional<UnclaimedWork> claim(const WorkId& id);
    /** @brief Removes work without running tasks that is older than the retention time. */
    void expire(TimePoint now);
    std::size_t size() const { return m_work.size(); }

private:
    UnclaimedWork& workFor(TimePoint now, const WorkId& id);

    Duration m_retention;
    absl::flat_hash_map<WorkId, UnclaimedWork> m_work;
    std::deque<std::pair<TimePoint, WorkId>> m_byAge;
};

} // namespace lycheeledge
