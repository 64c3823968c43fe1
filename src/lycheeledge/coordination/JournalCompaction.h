// Selects the records of a journal that compaction must keep.
#pragma once

#include "../state/Time.h"
#include "JobJournal.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace lycheeledge {

struct TimedRecord {
    JournalRecord record;
    TimePoint writtenAt; ///< for records of earlier owners, the time of loading
    std::size_t bytes = 0; ///< size of the encoded record
};

/** @brief The records of each journal value, by sequence number. */
using JournalValues = std::map<std::uint64_t, std::vector<TimedRecord>>;

/**
 * @brief Selects the live records of the values in [first, last].
 *
 * Drops the records of finished jobs and their tasks if the end was written before `keepSince`, removals of workers
 * written before `keepSince`, and worker records superseded by a later record of the same worker. A record that ends a
 * job or removes a worker is kept while values before `first` hold records of the same job or worker: without it, a
 * later owner would recover the job as unfinished or the worker as present.
 */
std::vector<TimedRecord> liveRecords(
    const JournalValues& values, std::uint64_t first, std::uint64_t last, TimePoint keepSince);

} // namespace lycheeledge
