// The job journal of a cell, kept in the platform's store.

#include "StoreJournal.h"

#include "JournalIndex.h"

#include <absl/strings/str_cat.h>
#include <glog/logging.h>

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace lycheeledge {

StoreJournal::StoreJournal(Runtime& runtime, Store& store, const JournalCodec& codec, CellId cell,
    Revision epochRevision, StoreJournalSettings settings)
    : m_runtime(runtime)
    , m_store(store)
    , m_codec(codec)
    , m_prefix(absl::StrCat("j/", cell.value(), "/"))
    , m_indexKey(m_prefix + "index")
    , m_epochKey(absl::StrCat("o/", cell.value(), "/epoch"))
    , m_epochRevision(epochRevision)
    , m_settings(settings)
    , m_self(std::make_shared<StoreJournal*>(this))
{
}

StoreJournal::~StoreJournal() = default;

std::string StoreJournal::keyOf(std::uint64_t sequence) const
{
    return absl::StrCat(m_prefix, absl::Hex(sequence, absl::kZeroPad16));
}

std::function<void()> StoreJournal::guarded(std::function<void()> task)
{
    return [self = std::weak_ptr<StoreJournal*>(m_self), task = std::move(task)] {
        if (!self.expired())
            task();
    };
}

void StoreJournal::retryLater(std::function<void()> task)
{
    m_runtime.after(m_settings.retryDelay, guarded(std::move(task)));
}

bool StoreJournal::epochChanged(const std::vector<StoreEntry>& epochRange) const
{
    return epochRange.empty() || epochRange.front().modRevision != m_epochRevision;
}

// Loading

void StoreJournal::load(LoadCallback done)
{
    m_loaded = std::move(done);
    std::vector<StoreRange> ranges { { m_epochKey, 0, true }, { m_indexKey, 0, true } };
    m_store.read(
        std::move(ranges), [this, self = std::weak_ptr<StoreJournal*>(m_self)](absl::StatusOr<StoreSnapshot> snapshot) {
            if (self.expired())
                return;
            if (snapshot.ok())
                readIndex(*snapshot);
            else
                retryLater([this] { load(std::move(m_loaded)); });
        });
}

void StoreJournal::readIndex(const StoreSnapshot& snapshot)
{
    if (epochChanged(snapshot.ranges.at(0)))
        return finishLoad(absl::AbortedError("another owner has taken over the cell"));
    if (!snapshot.ranges.at(1).empty()) {
        const StoreEntry& entry = snapshot.ranges[1].front();
        auto index = decodeJournalIndex(entry.value);
        if (!index.ok())
            return finishLoad(absl::DataLossError(index.status().message()));
        m_toLoad = *std::move(index);
        m_indexRevision = entry.modRevision;
    }
    loadNext();
}

void StoreJournal::loadNext()
{
    if (m_toLoad.empty())
        return finishLoad(absl::OkStatus());
    std::vector<std::uint64_t> sequences;
    std::vector<StoreRange> ranges { { m_epochKey, 0, true } };
    for (auto it = m_toLoad.begin(); it != m_toLoad.end() && sequences.size() < m_settings.valuesPerRead; ++it) {
        sequences.push_back(*it);
        ranges.push_back({ keyOf(*it), 0, true });
    }
    m_store.read(std::move(ranges),
        [this, self = std::weak_ptr<StoreJournal*>(m_self), sequences](absl::StatusOr<StoreSnapshot> snapshot) {
            if (self.expired())
                return;
            if (snapshot.ok())
                readValues(sequences, *snapshot);
            else
                retryLater([this] { loadNext(); });
        });
}

void StoreJournal::readValues(const std::vector<std::uint64_t>& sequences, const StoreSnapshot& snapshot)
{
    if (epochChanged(snapshot.ranges.at(0)))
        return finishLoad(absl::AbortedError("another owner has taken over the cell"));
    for (std::size_t i = 0; i < sequences.size(); ++i) {
        const auto& range = snapshot.ranges.at(i + 1);
        if (range.empty())
            return finishLoad(absl::DataLossError(absl::StrCat("journal value ", sequences[i], " is missing")));
        auto records = m_codec.decode(range.front().value);
        if (!records.ok())
            return finishLoad(
                absl::DataLossError(absl::StrCat("journal value ", sequences[i], ": ", records.status().message())));
        for (auto& record : *records) {
            const std::size_t bytes = m_codec.encode({ record }).size();
            m_values[sequences[i]].push_back({ std::move(record), m_runtime.now(), bytes });
        }
        m_toLoad.erase(sequences[i]);
    }
    loadNext();
}

void StoreJournal::finishLoad(absl::Status status)
{
    const LoadCallback done = std::move(m_loaded);
    if (!status.ok()) {
        LOG(ERROR) << "[journal] cannot load: " << status;
        abort();
        return done(std::move(status));
    }
    std::vector<JournalRecord> records;
    for (const auto& [sequence, value] : m_values) {
        for (const auto& timed : value)
            records.push_back(timed.record);
    }
    if (!m_values.empty())
        m_nextSequence = m_values.rbegin()->first + 1;
    LOG(INFO) << "[journal] loaded " << records.size() << " records from " << m_values.size() << " values";
    done(std::move(records));
}

// Appending

void StoreJournal::append(JournalRecord record, std::function<void(absl::Status)> done)
{
    const std::size_t bytes = m_codec.encode({ record }).size();
    if (m_aborted || bytes > m_settings.maxRecordBytes) {
        absl::Status status = m_aborted ? absl::AbortedError("this process no longer owns the cell")
                                        : absl::ResourceExhaustedError("record exceeds the size of a journal value");
        m_runtime.post([done = std::move(done), status = std::move(status)] { done(status); });
        return;
    }
    m_queue.push_back({ std::move(record), bytes, std::move(done) });
    scheduleWrite();
}

void StoreJournal::abort()
{
    if (m_aborted)
        return;
    m_aborted = true;
    std::vector<PendingRecord> pending;
    if (m_pendingWrite)
        std::move(m_pendingWrite->batch.begin(), m_pendingWrite->batch.end(), std::back_inserter(pending));
    m_pendingWrite.reset();
    std::move(m_queue.begin(), m_queue.end(), std::back_inserter(pending));
    m_queue.clear();
    for (auto& record : pending)
        m_runtime.post(
            [done = std::move(record.done)] { done(absl::AbortedError("this process no longer owns the cell")); });
}

void StoreJournal::scheduleWrite()
{
    if (m_pendingWrite || m_writeScheduled || m_aborted)
        return;
    m_writeScheduled = true;
    Duration delay {};
    if (m_lastWrite)
        delay = std::max(delay, *m_lastWrite + m_settings.minWriteInterval - m_runtime.now());
    auto task = guarded([this] {
        m_writeScheduled = false;
        write();
    });
    // Posted even without a delay, so that all records appended by one event share a batch.
    if (delay > Duration::zero())
        m_runtime.after(delay, std::move(task));
    else
        m_runtime.post(std::move(task));
}

void StoreJournal::write()
{
    if (m_pendingWrite || m_aborted)
        return;
    m_lastWrite = m_runtime.now();
    if (compact())
        return commitPendingWrite();
    if (m_queue.empty())
        return;
    std::vector<PendingRecord> batch;
    std::vector<TimedRecord> value;
    std::size_t bytes = 0;
    while (!m_queue.empty() && (batch.empty() || bytes + m_queue.front().bytes <= m_settings.maxValueBytes)) {
        bytes += m_queue.front().bytes;
        value.push_back({ m_queue.front().record, m_runtime.now(), m_queue.front().bytes });
        batch.push_back(std::move(m_queue.front()));
        m_queue.pop_front();
    }
    const std::uint64_t sequence = m_nextSequence++;
    m_pendingWrite = makePendingWrite({ { sequence, std::move(value) } }, {});
    m_pendingWrite->transaction.conditions.push_back({ keyOf(sequence), 0 });
    m_pendingWrite->markerKey = keyOf(sequence);
    m_pendingWrite->markerValue = m_pendingWrite->transaction.puts.front().value;
    m_pendingWrite->batch = std::move(batch);
    commitPendingWrite();
}

StoreJournal::PendingWrite StoreJournal::makePendingWrite(JournalValues added, std::vector<std::uint64_t> removed)
{
    PendingWrite pending;
    pending.transaction.conditions = { { m_epochKey, m_epochRevision }, { m_indexKey, m_indexRevision } };
    std::set<std::uint64_t> index;
    for (const auto& [sequence, value] : m_values)
        index.insert(sequence);
    for (const std::uint64_t sequence : removed) {
        index.erase(sequence);
        if (!added.contains(sequence))
            pending.transaction.deletes.push_back(keyOf(sequence));
    }
    for (const auto& [sequence, value] : added) {
        index.insert(sequence);
        pending.transaction.puts.push_back({ keyOf(sequence), encode(value), std::nullopt });
    }
    pending.transaction.puts.push_back({ m_indexKey, encodeJournalIndex(index), std::nullopt });
    pending.added = std::move(added);
    pending.removed = std::move(removed);
    return pending;
}

std::string StoreJournal::encode(const std::vector<TimedRecord>& records) const
{
    std::vector<JournalRecord> plain;
    plain.reserve(records.size());
    for (const auto& timed : records)
        plain.push_back(timed.record);
    return m_codec.encode(plain);
}

// Compaction

bool StoreJournal::mayCompact() const
{
    return m_values.size() > m_settings.compactAbove && m_nextSequence >= m_nextCompactionSequence;
}

bool StoreJournal::compact()
{
    while (mayCompact()) {
        std::vector<std::uint64_t> window;
        std::size_t bytes = 0;
        auto it = m_values.lower_bound(m_compactionStart);
        for (; it != m_values.end() && window.size() < m_settings.compactValues; ++it) {
            bytes = std::accumulate(it->second.begin(), it->second.end(), bytes,
                [](std::size_t sum, const TimedRecord& timed) { return sum + timed.bytes; });
            if (bytes > m_settings.maxCompactedBytes && !window.empty())
                break;
            window.push_back(it->first);
        }
        if (it == m_values.end()) {
            // No values are left: restart from the oldest once enough new values have been written.
            m_compactionStart = 0;
            m_nextCompactionSequence = m_nextSequence + m_settings.compactValues;
        } else if (compactWindow(window)) {
            return true;
        } else {
            m_compactionStart = window.back() + 1;
        }
    }
    return false;
}

bool StoreJournal::compactWindow(const std::vector<std::uint64_t>& window)
{
    const TimePoint keepSince = m_runtime.now() - m_settings.retention;
    auto live = liveRecords(m_values, window.front(), window.back(), keepSince);
    std::vector<std::vector<TimedRecord>> packed;
    std::size_t bytes = 0;
    for (auto& timed : live) {
        if (packed.empty() || bytes + timed.bytes > m_settings.maxValueBytes) {
            packed.emplace_back();
            bytes = 0;
        }
        bytes += timed.bytes;
        packed.back().push_back(std::move(timed));
    }
    // Skip the window unless at least half of its values are saved; otherwise the rewrite costs more than it saves.
    if (packed.size() > window.size() / 2)
        return false;
    // The new values reuse the last keys of the window, which keeps all records in order.
    JournalValues added;
    for (std::size_t i = 0; i < packed.size(); ++i)
        added[window[window.size() - packed.size() + i]] = std::move(packed[i]);
    m_pendingWrite = makePendingWrite(std::move(added), window);
    m_pendingWrite->markerKey = m_indexKey;
    m_pendingWrite->markerValue = m_pendingWrite->transaction.puts.back().value;
    return true;
}

void StoreJournal::commitPendingWrite()
{
    if (m_aborted)
        return;
    m_store.commit(m_pendingWrite->transaction,
        [this, self = std::weak_ptr<StoreJournal*>(m_self)](absl::StatusOr<StoreCommit> result) {
            if (!self.expired())
                commitCompleted(result);
        });
}

void StoreJournal::commitCompleted(const absl::StatusOr<StoreCommit>& result)
{
    if (m_aborted)
        return;
    if (result.ok() && result->applied)
        finishPendingWrite(result->revision);
    else if (absl::IsUnavailable(result.status()))
        retryLater([this] { commitPendingWrite(); });
    else
        // The conditions may also have failed because an earlier attempt, whose response was lost, was applied.
        resolvePendingWrite();
}

void StoreJournal::resolvePendingWrite()
{
    if (m_aborted)
        return;
    std::vector<StoreRange> ranges { { m_epochKey, 0, true }, { m_pendingWrite->markerKey, 0, true } };
    m_store.read(
        std::move(ranges), [this, self = std::weak_ptr<StoreJournal*>(m_self)](absl::StatusOr<StoreSnapshot> snapshot) {
            if (self.expired() || m_aborted)
                return;
            if (snapshot.ok())
                resolveCompleted(*snapshot);
            else
                retryLater([this] { resolvePendingWrite(); });
        });
}

void StoreJournal::resolveCompleted(const StoreSnapshot& snapshot)
{
    const auto& proof = snapshot.ranges.at(1);
    if (!proof.empty() && proof.front().value == m_pendingWrite->markerValue)
        return finishPendingWrite(proof.front().modRevision);
    if (epochChanged(snapshot.ranges.at(0))) {
        LOG(WARNING) << "[journal] another owner has taken over the cell";
        return abort();
    }
    retryLater([this] { commitPendingWrite(); });
}

void StoreJournal::finishPendingWrite(Revision revision)
{
    PendingWrite pending = *std::move(m_pendingWrite);
    m_pendingWrite.reset();
    m_indexRevision = revision;
    for (const std::uint64_t sequence : pending.removed)
        m_values.erase(sequence);
    for (auto& [sequence, value] : pending.added)
        m_values[sequence] = std::move(value);
    const std::weak_ptr<StoreJournal*> self = m_self;
    for (auto& record : pending.batch) {
        record.done(absl::OkStatus());
        if (self.expired())
            return;
    }
    if (!m_queue.empty() || mayCompact())
        scheduleWrite();
}

} // namespace lycheeledge
