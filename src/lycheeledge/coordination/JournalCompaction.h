// Decides which records of a journal are still needed.
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
    TimePoint writtenAt; ///< time of loading for records of earlier owners
    std::size_t bytes = 0; ///< size of the encoded record
};

/** @brief Records of each value of a journal, by sequence number. */
using JournalValues = std::map<std::uint64_t, std::vector<TimedRecord>>;

/**
 * @brief Selects the live records of the values in [first, last].
 *
 * Dropped are finished jobs with their tasks, and removals of workers, once they were written before `keepSince`, and
 * worker records that a later record of the same worker supersedes. The record that ends a job or removes a worker is
 * kept while values before `first` have records that it ends; without it they would come back to life.
 */
std::vector<TimedRecord> liveRecords(
    const JournalValues& values, std::uint64_t first, std::uint64_t last, TimePoint keepSince);

} // namespace lycheeledge
