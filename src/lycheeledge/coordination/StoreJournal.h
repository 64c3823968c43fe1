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
    Duration minWriteInterval = std::chrono::milliseconds(50); ///< minimum time between the starts of two batches
    std::size_t maxValueBytes = 131072; ///< limit of a batch, unless it is a single record
    std::size_t maxRecordBytes = 1000000; ///< the store accepts values of up to 1 MB
    Duration retryDelay = std::chrono::milliseconds(250); ///< between calls while the store is unavailable
    std::size_t valuesPerRead = 8; ///< limits a response of the store to about 1 MB
    std::size_t compactAbove = 64; ///< number of values above which old ones are compacted
    std::size_t compactValues = 32; ///< maximum number of values compacted in one transaction
    std::size_t maxCompactedBytes = 1000000; ///< base64-encoded, below the gateway's limit of 1.5 MB per call
    Duration retention = std::chrono::minutes(10); ///< of the records of finished jobs and of removed workers
};

/**
 * @brief Journal of one cell in one ownership epoch.
 *
 * Values are stored under `j/<cell>/<16 hex digits>`, and the list of their sequence numbers under `j/<cell>/index`.
 * Every transaction requires that the epoch record and the index are unchanged. At most one change is therefore in
 * flight, and a transaction delayed in the network has no effect once a later one has been applied.
 */
class StoreJournal final : public JobJournal {
public:
    using LoadCallback = std::function<void(absl::StatusOr<std::vector<JournalRecord>>)>;

    /** @param epochRevision modification revision of `o/<cell>/epoch` as written by this owner. */
    StoreJournal(Runtime& runtime, Store& store, const JournalCodec& codec, CellId cell, Revision epochRevision,
        StoreJournalSettings settings = {});
    ~StoreJournal() override;

    /**
     * @brief Reads all records in order; must succeed before the first append(). Retries while the store is down.
     * @param done receives `ABORTED` if the store holds another epoch, `DATA_LOSS` if a part of the journal is missing
     * or malformed.
     */
    void load(LoadCallback done);

    /** @brief See JobJournal. Also fails with `RESOURCE_EXHAUSTED` for a record larger than `maxRecordBytes`. */
    void append(JournalRecord record, std::function<void(absl::Status)> done) override;

    /** @brief Fails all appends that are not yet durable, and all later ones, with `ABORTED`. */
    void abort();

    std::size_t valueCount() const { return m_values.size(); }

private:
    struct PendingRecord {
        JournalRecord record;
        std::size_t bytes = 0;
        std::function<void(absl::Status)> done;
    };
    /** @brief The transaction in flight. It is retried unchanged until its result is known. */
    struct PendingWrite {
        StoreTransaction transaction;
        std::string markerKey; ///< the store holds `markerValue` here if and only if the transaction was applied
        std::string markerValue;
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
    bool compactWindow(const std::vector<std::uint64_t>& window);
    std::string encode(const std::vector<TimedRecord>& records) const;
    void commitPendingWrite();
    void commitCompleted(const absl::StatusOr<StoreCommit>& result);
    void resolvePendingWrite();
    void resolveCompleted(const StoreSnapshot& snapshot);
    void finishPendingWrite(Revision revision);
    PendingWrite makePendingWrite(JournalValues added, std::vector<std::uint64_t> removed);

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
    std::optional<PendingWrite> m_pendingWrite;
    std::uint64_t m_compactionStart = 0; ///< compaction would not pay for values with lower sequence numbers
    std::uint64_t m_nextCompactionSequence = 0; ///< no compaction before the journal reaches this sequence number

    LoadCallback m_loaded;
    std::set<std::uint64_t> m_toLoad;
};

} // namespace lycheeledge
