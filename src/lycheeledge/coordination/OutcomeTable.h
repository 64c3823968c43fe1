// Outcomes of finished work, kept for callers that ask again.
#pragma once

#include "../state/Outcome.h"
#include "../state/Time.h"
#include "../state/Work.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>

namespace lycheeledge {

/** @brief A finished piece of work. */
struct KeptOutcome {
    WorkResult result; ///< final result
    WorkStatus status;
    std::uint32_t attempt = 0; ///< highest sending of the identity that was answered
    bool accepted = false; ///< a job that was accepted; its submitters are told so
    TimePoint since;
};

/** @brief Outcomes by identity. Each is forgotten when its time has passed. */
class OutcomeTable {
public:
    explicit OutcomeTable(Duration retention)
        : m_retention(retention)
    {
    }

    void keep(KeptOutcome outcome);
    void forget(const WorkId& id) { m_outcomes.erase(id); }
    const KeptOutcome* find(const WorkId& id) const;
    /** @brief Drops what is too old. */
    void expire(TimePoint now);
    std::size_t size() const { return m_outcomes.size(); }

private:
    Duration m_retention;
    absl::flat_hash_map<WorkId, KeptOutcome> m_outcomes;
    std::deque<std::pair<TimePoint, WorkId>> m_byAge;
};

} // namespace lycheeledge
