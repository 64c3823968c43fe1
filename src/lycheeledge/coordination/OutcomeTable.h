// Outcomes of finished work, retained for repeated submissions.
#pragma once

#include "../state/Outcome.h"
#include "../state/Time.h"
#include "../state/Work.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <utility>

namespace lycheeledge {

/** @brief Outcome of a finished request or job. */
struct StoredOutcome {
    WorkResult result;
    WorkStatus status;
    std::uint32_t attempt = 0; ///< highest attempt number among the submissions of this ID
    bool accepted = false; ///< a job that was accepted; repeated submissions are answered with "accepted"
    TimePoint storedAt; ///< start of the retention time
};

/**
 * @brief Outcomes by work ID. Each expires after the retention time.
 *
 * Answer bodies have a separate size limit, since 10 min of large answers would not fit in memory. When it is exceeded,
 * the oldest bodies are dropped. Their outcomes then report that the work ran but that the answer is no longer
 * available.
 */
class OutcomeTable {
public:
    /** @param maxBodyBytes maximum total size of the retained bodies. */
    OutcomeTable(Duration retention, std::size_t maxBodyBytes)
        : m_retention(retention)
        , m_maxBodyBytes(maxBodyBytes)
    {
    }

    void store(StoredOutcome outcome);
    void erase(const WorkId& id);
    const StoredOutcome* find(const WorkId& id) const;
    /** @brief Removes outcomes older than the retention time. */
    void expire(TimePoint now);
    std::size_t size() const { return m_outcomes.size(); }
    std::size_t bodyBytes() const { return m_bodyBytes; }

private:
    using AgeQueue = std::deque<std::pair<TimePoint, WorkId>>;

    /// The outcome if it is still the one that was stored at that time.
    StoredOutcome* findIfCurrent(const AgeQueue::value_type& age);
    void dropOldestBody();

    Duration m_retention;
    std::size_t m_maxBodyBytes;
    std::size_t m_bodyBytes = 0; ///< total size of the bodies in `m_outcomes`
    absl::flat_hash_map<WorkId, StoredOutcome> m_outcomes;
    AgeQueue m_byAge; ///< oldest first; may contain IDs of removed outcomes
    AgeQueue m_bodiesByAge; ///< outcomes stored with a body, oldest first; may contain IDs of removed outcomes
};

} // namespace lycheeledge
