// Tasks that workers reported and whose work is not known yet.
#pragma once

#include "../state/Time.h"
#include "../state/Worker.h"
#include "WorkerTable.h"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <optional>
#include <vector>

namespace lycheeledge {

/** @brief What workers reported about a piece of work that was not submitted to this owner. */
struct UnclaimedWork {
    struct Running {
        TaskId id;
        WorkerSlot worker = 0;
    };
    struct Finished {
        FinishedTask task;
        WorkerSlot worker = 0;
    };

    std::vector<Running> running;
    std::vector<Finished> finished;
    bool lost = false; ///< a task of it was on a worker that was lost
};

/** @brief Reported tasks of unknown work, until they are claimed or forgotten. */
class UnclaimedTasks {
public:
    explicit UnclaimedTasks(Duration retention)
        : m_retention(retention)
    {
    }

    void addRunning(TimePoint now, const TaskId& task, WorkerSlot worker);
    void addFinished(TimePoint now, const FinishedTask& task, WorkerSlot worker);
    void addLost(TimePoint now, const TaskId& task);
    bool contains(const WorkId& id) const { return m_work.contains(id); }
    /** @brief Removes and returns what is known about a piece of work. */
    std::optional<UnclaimedWork> claim(const WorkId& id);
    /** @brief Forgets ended work that is too old. */
    void expire(TimePoint now);
    std::size_t size() const { return m_work.size(); }

private:
    UnclaimedWork& entry(TimePoint now, const WorkId& id);

    Duration m_retention;
    absl::flat_hash_map<WorkId, UnclaimedWork> m_work;
    std::deque<std::pair<TimePoint, WorkId>> m_byAge;
};

} // namespace lycheeledge
