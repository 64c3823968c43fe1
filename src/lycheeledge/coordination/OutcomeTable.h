// Outcomes of finished work, kept for callers that ask again.
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

/** @brief A finished piece of work. */
struct KeptOutcome {
    WorkResult result; ///< final result
    WorkStatus status;
    std::uint32_t attempt = 0; ///< highest sending of the identity that was answered
    bool accepted = false; ///< a job that was accepted; its submitters are told so
    TimePoint since;
};

/**
 * @brief Outcomes by identity. Each is forgotten when its time has passed.
 *
 * The bodies of answers have a limit of their own, since 10 min of large answers would not fit in memory. Beyond it the
 * oldest bodies are dropped, and their outcomes tell that the work ran but that its answer is no longer kept.
 */
class OutcomeTable {
public:
    /** @param maxBodyBytes total size of the bodies kept. */
    OutcomeTable(Duration retention, std::size_t maxBodyBytes)
        : m_retention(retention)
        , m_maxBodyBytes(maxBodyBytes)
    {
    }

    void keep(KeptOutcome outcome);
    void forget(const WorkId& id);
    const KeptOutcome* find(const WorkId& id) const;
    /** @brief Drops what is too old. */
    void expire(TimePoint now);
    std::size_t size() const { return m_outcomes.size(); }
    std::size_t bodyBytes() const { return m_bodyBytes; }

private:
    using Ages = std::deque<std::pair<TimePoint, WorkId>>;

    KeptOutcome* findAged(const Ages::value_type& age);
    void dropOldestBody();

    Duration m_retention;
    std::size_t m_maxBodyBytes;
    std::size_t m_bodyBytes = 0; ///< total size of the bodies in m_outcomes
    absl::flat_hash_map<WorkId, KeptOutcome> m_outcomes;
    Ages m_byAge;
    Ages m_bodies; ///< outcomes with a body, oldest first; may name some that are gone
};

} // namespace lycheeledge
