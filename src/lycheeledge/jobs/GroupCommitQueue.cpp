// One sequence of group commits to the store.

#include "GroupCommitQueue.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace lycheeledge::jobs {

namespace {

    // New submissions are refused immediately once commits have failed for this long. Longer than the delay caused by
    // one lost response.
    constexpr Duration stallTimeout = std::chrono::milliseconds(1200);
    // A store that rejects all calls for this long counts as down; shorter rejections are rate limiting.
    constexpr Duration rejectTimeout = std::chrono::milliseconds(150);
    // Transaction entries not used by jobs: head condition, configuration condition, head record, worker set.
    constexpr std::size_t reservedEntries = 4;
    constexpr std::size_t maxEntriesPerJob = 2;

    void callAll(std::vector<std::function<void()>> callbacks)
    {
        for (auto& callback : callbacks) {
            if (callback)
                callback();
        }
    }

    std::size_t sizeOf(const StoreTransaction& transaction)
    {
        std::size_t n = 0;
        for (const auto& put : transaction.puts)
            n += put.key.size() + put.value.size();
        return n;
    }

} // namespace

GroupCommitQueue::GroupCommitQueue(Runtime& runtime, ClusterStore& store, const RecordCodec& codec, EventLog& log,
    std::string headKey, std::string configurationKey, LedgerKeys keys, const LedgerSettings& settings)
    : m_runtime(runtime)
    , m_store(store)
    , m_codec(codec)
    , m_log(log)
    , m_headKey(std::move(headKey))
    , m_configurationKey(std::move(configurationKey))
    , m_settings(settings)
    , m_keys(std::move(keys))
{
}

GroupCommitQueue::~GroupCommitQueue() { close(); }

void GroupCommitQueue::open(const std::string& headValue, Revision headRevision)
{
    close();
    m_open = true;
    m_sessionToken = std::make_shared<int>();
    m_headPrefix = headValue;
    m_sequence = 0;
    m_headRevision = headRevision;
    m_failingSince.reset();
    m_separateCommits = 0;
    m_lastCommitTime = {};
    schedule();
}

void GroupCommitQueue::close()
{
    m_open = false;
    m_sessionToken.reset();
    m_batch.reset();
    m_dirty.clear();
    m_storedCallbacks.clear();
    m_workers.reset();
    m_workersStored.clear();
    m_flushCallbacks.clear();
    if (m_timer)
        m_runtime.cancel(*m_timer);
    m_timer.reset();
}

void GroupCommitQueue::changed(const JobId& job, std::function<void()> stored)
{
    if (!m_open)
        return;
    const auto [it, added] = m_storedCallbacks.try_emplace(job);
    if (added)
        m_dirty.push_back(job);
    if (stored)
        it->second.push_back(std::move(stored));
    schedule();
}

void GroupCommitQueue::setWorkers(WorkerSetRecord workers, std::function<void()> stored)
{
    if (!m_open)
        return;
    m_workers = std::move(workers);
    m_workersStored.push_back(std::move(stored));
    schedule();
}

void GroupCommitQueue::whenFlushed(std::function<void()> done)
{
    if (!m_open || !isBusy())
        m_runtime.post(std::move(done));
    else if (!m_dirty.empty())
        m_storedCallbacks[m_dirty.back()].push_back(std::move(done)); // jobs are stored in queue order
    else
        m_flushCallbacks.push_back(std::move(done));
}

bool GroupCommitQueue::isCommitting(const JobId& job) const
{
    return m_batch && std::any_of(m_batch->entries.begin(), m_batch->entries.end(), [&job](const Entry& entry) {
        return entry.job == job;
    });
}

bool GroupCommitQueue::isStalled() const { return m_failingSince && m_runtime.now() - *m_failingSince > stallTimeout; }

void GroupCommitQueue::schedule()
{
    if (!m_open || m_batch || m_timer || (m_dirty.empty() && !m_workers && !m_failingSince))
        return;
    const Duration delay = std::max(Duration::zero(), Duration(m_nextCommit - m_runtime.now()));
    m_timer = m_runtime.after(delay, [this] {
        m_timer.reset();
        startCommit();
    });
}

void GroupCommitQueue::startCommit()
{
    if (!m_open || m_batch)
        return;
    Batch batch = buildBatch();
    // While commits fail, an empty commit is sent to detect when the store is available again; until then, submissions
    // are refused.
    if (batch.entries.empty() && !batch.writesWorkers && !m_failingSince) {
        callAll(std::exchange(m_flushCallbacks, {}));
        return;
    }
    m_batch = std::move(batch);
    m_batch->firstSent = m_runtime.now();
    send();
}

GroupCommitQueue::Batch GroupCommitQueue::buildBatch()
{
    Batch batch;
    auto& transaction = batch.transaction;
    if (m_workers) {
        batch.writesWorkers = true;
        batch.workersStored = std::exchange(m_workersStored, {});
        transaction.puts.push_back({ m_keys.workers, m_codec.encode(*m_workers), std::nullopt });
        transaction.puts.push_back({ m_keys.workerCapacities, m_codec.encodeCapacities(*m_workers), std::nullopt });
        m_workers.reset();
    }
    std::size_t n = reservedEntries + (batch.writesWorkers ? 1 : 0); // the capacities of the worker set
    const bool separate = m_separateCommits > 0;
    m_separateCommits -= separate ? 1 : 0;
    while (!m_dirty.empty() && n + maxEntriesPerJob <= m_settings.maxEntries
        && sizeOf(transaction) < m_settings.maxBatchBytes
        && !(separate && (batch.writesWorkers || !batch.entries.empty()))) {
        const JobId job = std::move(m_dirty.front());
        m_dirty.pop_front();
        auto waiting = m_storedCallbacks.extract(job);
        auto change = m_source->pendingChange(job);
        if (!change)
            continue;
        n += append(batch, job, *change);
        batch.entries.push_back({ job, *std::move(change), std::move(waiting.mapped()) });
    }
    batch.headValue = nextHeadValue();
    transaction.puts.push_back({ m_headKey, batch.headValue, std::nullopt });
    transaction.conditions.push_back({ m_headKey, m_headRevision });
    if (batch.checksConfiguration)
        transaction.conditions.push_back({ m_configurationKey, m_source->configurationRevision() });
    return batch;
}

std::size_t GroupCommitQueue::append(Batch& batch, const JobId& job, const JobChange& change) const
{
    auto& transaction = batch.transaction;
    const std::size_t before = transaction.puts.size() + transaction.deletes.size();
    const std::string submissionKey = m_keys.submissionPrefix + job.value();
    const std::string progressKey = m_keys.progressPrefix + job.value();
    if (change.submission) {
        transaction.puts.push_back({ submissionKey, m_codec.encode(*change.submission), std::nullopt });
        batch.checksConfiguration = true;
    }
    if (change.progress)
        transaction.puts.push_back({ progressKey, m_codec.encode(*change.progress), std::nullopt });
    if (change.eraseSubmission)
        transaction.deletes.push_back(submissionKey);
    if (change.eraseProgress)
        transaction.deletes.push_back(progressKey);
    return transaction.puts.size() + transaction.deletes.size() - before;
}

std::string GroupCommitQueue::nextHeadValue() { return absl::StrCat(m_headPrefix, "/", ++m_sequence); }

void GroupCommitQueue::send()
{
    m_nextCommit = m_runtime.now() + m_settings.commitInterval;
    m_store.commit(m_batch->transaction, m_settings.commitTimeout,
        [this, sentAt = m_runtime.now(), session = std::weak_ptr<int>(m_sessionToken)](
            const absl::StatusOr<CommitResult>& result) {
            if (!session.expired())
                handleResponse(sentAt, result);
        });
}

void GroupCommitQueue::handleResponse(TimePoint sentAt, const absl::StatusOr<CommitResult>& result)
{
    if (!result.ok()) {
        handleError(sentAt, result.status());
        return;
    }
    if (m_failingSince) {
        m_log.record("store_commit_recovered",
            { { "failing_ms", std::chrono::duration<double, std::milli>(m_runtime.now() - *m_failingSince).count() } });
        m_failingSince.reset();
    }
    if (result->applied)
        handleApplied(sentAt, result->revision);
    else
        handleConditionFailure(sentAt, *result);
}

void GroupCommitQueue::handleError(TimePoint sentAt, const absl::Status& status)
{
    // Earlier copies were refused as well, although their response may have been lost.
    if (absl::IsInvalidArgument(status)) {
        handleRefusal(status);
        return;
    }
    if (!m_failingSince) {
        m_failingSince = sentAt;
        m_log.record("store_commit_failing", { { "entries", m_batch->entries.size() }, { "error", status.message() } });
    }
    // Only UNAVAILABLE guarantees that the store did not execute the transaction.
    m_batch->maybeApplied = m_batch->maybeApplied || !absl::IsUnavailable(status);
    if (!m_batch->maybeApplied && m_runtime.now() - m_batch->firstSent > rejectTimeout) {
        rejectSubmissions();
        return;
    }
    m_timer = m_runtime.after(m_settings.retryPause, [this] {
        m_timer.reset();
        send();
    });
}

// The store has certainly applied nothing of this batch, so its submissions can be refused, and their clients learn
// that the jobs have not run. All other changes are queued again.
void GroupCommitQueue::rejectSubmissions()
{
    Batch batch = *std::exchange(m_batch, std::nullopt);
    std::vector<JobId> rejected;
    std::erase_if(batch.entries, [&rejected](const Entry& entry) {
        if (!entry.change.submission)
            return false;
        rejected.push_back(entry.job);
        return true;
    });
    requeue(std::move(batch));
    const std::weak_ptr<int> session = m_sessionToken;
    if (!rejected.empty())
        m_source->submissionsRejected(rejected);
    if (session.expired())
        return;
    m_nextCommit = m_runtime.now() + (m_dirty.empty() ? m_settings.probeInterval : m_settings.retryPause);
    schedule();
}

// The store will refuse this batch whenever it is sent. Its entries are sent one by one, which shows the one at fault.
void GroupCommitQueue::handleRefusal(const absl::Status& status)
{
    Batch batch = *std::exchange(m_batch, std::nullopt);
    const std::size_t parts = batch.entries.size() + (batch.writesWorkers ? 1 : 0);
    m_log.record("store_commit_refused",
        { { "entries", batch.entries.size() }, { "bytes", sizeOf(batch.transaction) },
            { "job", batch.entries.empty() ? std::string() : batch.entries.front().job.value() },
            { "error", status.message() } });
    m_nextCommit = m_runtime.now() + m_settings.retryPause;
    if (parts != 1 || batch.writesWorkers) {
        m_separateCommits = parts;
        requeue(std::move(batch));
        schedule();
        return;
    }
    Entry entry = std::move(batch.entries.front());
    const std::weak_ptr<int> session = m_sessionToken;
    if (entry.change.submission)
        m_source->submissionsRejected({ entry.job });
    else
        m_source->progressRefused(entry.job, std::move(entry.stored));
    if (!session.expired())
        schedule();
}

void GroupCommitQueue::handleApplied(TimePoint sentAt, Revision revision)
{
    m_headRevision = revision;
    m_lastCommit = sentAt;
    ++m_commits;
    const Batch batch = *std::exchange(m_batch, std::nullopt);
    m_lastCommitTime = m_runtime.now() - batch.firstSent;
    m_commitTimes.observe(m_lastCommitTime);
    const std::weak_ptr<int> session = m_sessionToken;
    for (const auto& entry : batch.entries) {
        m_source->changeStored(entry.job, entry.change);
        callAll(entry.stored);
        if (session.expired())
            return;
    }
    callAll(batch.workersStored);
    if (session.expired())
        return;
    callAll(std::exchange(m_flushCallbacks, {}));
    if (!session.expired())
        schedule();
}

void GroupCommitQueue::handleConditionFailure(TimePoint sentAt, const CommitResult& result)
{
    const auto head = std::find_if(result.current.begin(), result.current.end(),
        [this](const StoreEntry& entry) { return entry.key == m_headKey; });
    if (head != result.current.end() && head->value == m_batch->headValue) {
        handleApplied(sentAt, head->modRevision); // an earlier copy of this transaction was applied
        return;
    }
    if (head == result.current.end() || head->modRevision != m_headRevision) {
        m_log.record("ledger_lost",
            { { "expected_revision", m_headRevision },
                { "head", head == result.current.end() ? std::string() : head->value } });
        m_source->ledgerLost();
        return;
    }
    // The head record has the expected revision, so the configuration has changed. Late copies of this transaction fail
    // for the same reason.
    requeue(*std::exchange(m_batch, std::nullopt));
    const auto configuration = std::find_if(result.current.begin(), result.current.end(),
        [this](const StoreEntry& entry) { return entry.key == m_configurationKey; });
    const std::weak_ptr<int> session = m_sessionToken;
    if (configuration != result.current.end())
        m_source->configurationSuperseded(*configuration);
    if (!session.expired())
        schedule();
}

void GroupCommitQueue::requeue(Batch batch)
{
    for (auto it = batch.entries.rbegin(); it != batch.entries.rend(); ++it) {
        const auto [waiting, added] = m_storedCallbacks.try_emplace(it->job);
        if (added)
            m_dirty.push_front(it->job);
        waiting->second.insert(waiting->second.begin(), std::make_move_iterator(it->stored.begin()),
            std::make_move_iterator(it->stored.end()));
    }
    if (batch.writesWorkers && !m_workers) {
        // The only copy of the worker set is in the transaction.
        const auto workers = m_codec.decodeWorkerSet(batch.transaction.puts.front().value);
        if (workers.ok())
            m_workers = *workers;
    }
    m_workersStored.insert(m_workersStored.begin(), std::make_move_iterator(batch.workersStored.begin()),
        std::make_move_iterator(batch.workersStored.end()));
}

} // namespace lycheeledge::jobs
