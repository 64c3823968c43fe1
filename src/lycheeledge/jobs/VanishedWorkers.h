// Runs that had just started on workers which then went out of reach.
//
// A crash and a partition look the same until the worker, or its successor at the same address, is heard from again.
#pragma once

#include "WorkerPort.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lycheeledge::jobs {

/** @brief An incarnation of a worker that went out of reach, and the runs that may have crashed it. */
struct VanishedWorker {
    WorkerId id;
    std::string address;
    std::int64_t incarnationStartUnixMs = 0; ///< 0 if it is known to have ended
    TimePoint heardAt; ///< when it last responded
    TimePoint leaseEnd; ///< from which its runs may have ended without a crash
    std::vector<RunKey> suspects; ///< known to have run there, but not for long enough to be cleared

    bool operator==(const VanishedWorker&) const = default;
};

/** @brief Incarnations whose end is unknown. */
class VanishedWorkers {
public:
    void add(VanishedWorker worker);
    /** @brief Removes the entry of this worker, or of an earlier one at its address. */
    std::optional<VanishedWorker> take(const WorkerId& id, const std::string& address);
    /** @brief Removes a task from the suspects of all workers. */
    void clear(const TaskKey& task);
    /** @brief Removes workers whose runs had ended before this time. */
    void expire(TimePoint before);
    void reset() { m_workers.clear(); }
    std::size_t size() const { return m_workers.size(); }

private:
    std::map<WorkerId, VanishedWorker> m_workers; ///< each with at least one suspect
};

/**
 * @brief Whether the worker crashed while it still held the lease of its runs.
 * @param successorStart latest time at which its next incarnation may have started.
 */
bool crashedUnderRuns(const VanishedWorker& worker, TimePoint successorStart);

} // namespace lycheeledge::jobs
