// The job journal of a cell, kept in the platform's store.
#pragma once

#include "JobJournal.h"
#include "JournalCodec.h"
#include "JournalCompaction.h"
#include "Runtime.h"
#include "Store.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lycheeledge {

/** @brief Settings of a StoreJournal. */
struct StoreJournalSettings {
    Duration interval = std::chrono::milliseconds(50); ///< shortest time between two batches
    std::size_t maxValueBytes = 131072; ///< a batch ends before it exceeds this, unless it is a single record
    std::size_t maxRecordBytes = 1000000; ///< the store takes values of up to 1 MB
    Duration retryDelay = std::chrono::milliseconds(250); ///< between calls while the store fails
    std::size_t valuesPerRead = 8; ///< limits an answer of the store to about 1 MB
    std::size_t compactAbove = 64; ///< number of values above which the oldest are compacted
    std::size_t compactValues = 32; ///< values compacted in one transaction
    std::size_t maxCompactedBytes = 1000000; ///< in base64, stays under the gateway's 1.5 MB a call
    Duration retention = std::chrono::minutes(10); ///< finished jobs and removals are kept this long
};

/**
 * @brief Journal of one cell under one ownership epoch.
 *
 * Values are kept under `j/<cell>/<16 hex digits>`, and the list of them under `j/<cell>/index`. Every transaction
 * requires that the epoch record and the index are unchanged, so at most one change is in flight, and a transaction
 * that is delayed in the network has no effect once a later one was applied.
 */
class StoreJournal final : public JobJournal {
public:
    using LoadCallback = std::function<void(absl::StatusOr<std::vector<JournalRecord>>)>;

    /** @param epochRevision modification revision of `o/<cell>/epoch` as written by this owner. */
    StoreJournal(Runtime& runtime, Store& store, const JournalCodec& codec, CellId cell, Revision epochRevision,
        StoreJournalSettings settings = {});
    ~StoreJournal() override;

    /**
     * @brief Reads all records in order. Must have succeeded before the first append(). Waits while the store is down.
     * @param done receives `ABORTED` if another epoch is found, `DATA_LOSS` if the journal cannot be read.
     */
    void load(LoadCallback done);

    /** @brief Also fails with `RESOURCE_EXHAUSTED` for a record that is larger than a store value. */
    void append(JournalRecord record, std::function<void(absl::Status)> done) override;

    /** @brief Fails all appends that are not yet durable, and later ones, with `ABORTED`. */
    void abort();

    std::size_t valueCount() const { return m_values.size(); }

private:
    struct PendingRecord {
        JournalRecord record;
        std::size_t bytes = 0;
        std::function<void(absl::Status)> done;
    };
    /** @brief The transaction in flight. It is repeated unchanged until its result is known. */
    struct Step {
        StoreTransaction transaction;
        std::string proofKey; ///< holds `proofValue` exactly if the transaction was applied
        std::string proofValue;
        std::vector<PendingRecord> batch; ///< empty for a compaction
        JournalValues added;
        std::vector<std::uint64_t> removed;
    };

    std::string keyOf(std::uint64_t sequence) const;
    std::function<void()> guarded(std::function<void()> task);
    void retryLater(std::function<void()> task);

    void loadNext();
    void readIndex(const StoreSnapshot& snapshot);
    void readValues(const std::vector<std::uint64_t>& sequences, const StoreSnapshot& snapshot);
    void finishLoad(absl::Status status);
    bool epochChanged(const std::vector<StoreEntry>& epochRange) const;

    void scheduleWrite();
    void write();
    bool mayCompact() const;
    bool compact();
    bool compactValues(const std::vector<std::uint64_t>& window);
    std::string encode(const std::vector<TimedRecord>& records) const;
    void commitStep();
    void committed(const absl::StatusOr<StoreCommit>& result);
    void resolveStep();
    void resolved(const StoreSnapshot& snapshot);
    void finishStep(Revision revision);
    Step makeStep(JournalValues added, std::vector<std::uint64_t> removed);

    Runtime& m_runtime;
    Store& m_store;
    const JournalCodec& m_codec;
    const std::string m_prefix;
    const std::string m_indexKey;
    const std::string m_epochKey;
    const Revision m_epochRevision;
    const StoreJournalSettings m_settings;

    std::shared_ptr<StoreJournal*> m_self; ///< expires with this object; held weakly by callbacks
    bool m_aborted = false;
    bool m_writeScheduled = false;
    std::optional<TimePoint> m_lastWrite;
    Revision m_indexRevision = 0; ///< 0 while the journal has never been written
    std::uint64_t m_nextSequence = 1;
    JournalValues m_values; ///< durable values
    std::deque<PendingRecord> m_queue;
    std::optional<Step> m_step;
    std::uint64_t m_compactFrom = 0; ///< values below this were not worth compacting
    std::uint64_t m_compactAfter = 0; ///< no compaction is tried before this sequence number is reached

    LoadCallback m_loaded;
    std::set<std::uint64_t> m_toLoad;
};

} // namespace lycheeledge
