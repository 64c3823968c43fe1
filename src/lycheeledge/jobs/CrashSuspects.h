// Runs that may be the cause if their worker crashes.
//
// A task that crashes its worker does so soon after its start. A run that has been alive for a while is cleared, so
// that the many tasks that a crashed worker ran do not all count as the cause.
#pragma once

#include "JobSpec.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace lycheeledge::jobs {

/** @brief Runs of one incarnation of a worker that have not been alive there for long enough. */
class CrashSuspects {
public:
    /** @param aliveFor time after which a running task is cleared. */
    explicit CrashSuspects(Duration aliveFor = std::chrono::milliseconds(250))
        : m_aliveFor(aliveFor)
    {
    }

    /**
     * @brief A start order was sent, or a run of another owner was found.
     * @param repeated a worker crashed under the task before.
     */
    void add(const RunKey& run, bool repeated);
    /** @brief The run has ended, or the worker refused to start it. */
    void clear(const RunKey& run);
    /**
     * @brief The run exists.
     * @param clockMs the worker's clock; the times of one worker are compared.
     * @return whether it has now been alive for long enough.
     */
    bool alive(const RunKey& run, std::int64_t clockMs);
    bool hasRepeated() const { return m_repeated > 0; }
    bool isEmpty() const { return m_suspects.empty(); }
    /**
     * @brief Removes all runs except the survivors, because the incarnation has ended.
     * @return those that are known to have existed there. An order without a response may never have arrived.
     */
    std::vector<RunKey> take(const absl::flat_hash_set<RunKey>& survivors = {});

private:
    struct Suspect {
        RunNumber run = 0;
        std::optional<std::int64_t> aliveSinceMs; ///< worker's clock when the run was first known to exist
        bool repeated = false;
    };
    using Map = absl::flat_hash_map<TaskKey, Suspect>;

    void erase(Map::iterator it);

    Duration m_aliveFor;
    Map m_suspects;
    std::size_t m_repeated = 0; ///< number of suspects that are repeated
};

} // namespace lycheeledge::jobs
