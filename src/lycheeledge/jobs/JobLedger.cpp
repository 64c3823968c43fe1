// Writes job changes to the store, distributed over several group commit queues.

#include "JobLedger.h"

#include <algorithm>
#include <utility>

namespace lycheeledge::jobs {

namespace {

    // A commit takes 13 ms while the store is healthy.
    constexpr Duration slowCommitThreshold = std::chrono::milliseconds(60);

} // namespace

JobLedger::JobLedger(Runtime& runtime, ClusterStore& store, const RecordCodec& codec, EventLog& log,
    const std::string& configurationKey, const LedgerSettings& settings)
    : m_settings(settings)
{
    for (std::size_t i = 0; i < ledgerCommitQueues; ++i)
        m_commitQueues.push_back(std::make_unique<GroupCommitQueue>(
            runtime, store, codec, log, headRecordKey(i), configurationKey, m_keys, settings));
}

void JobLedger::setSource(LedgerSource* source)
{
    for (auto& queue : m_commitQueues)
        queue->setSource(source);
}

void JobLedger::open(const std::string& headValue, Revision headRevision)
{
    for (auto& queue : m_commitQueues)
        queue->open(headValue, headRevision);
}

void JobLedger::close()
{
    for (auto& queue : m_commitQueues)
        queue->close();
}

bool JobLedger::isStoreSlow() const
{
    const GroupCommitQueue& first = *m_commitQueues.front();
    return std::max(first.commitAge(), first.lastCommitTime()) > slowCommitThreshold;
}

GroupCommitQueue& JobLedger::queueFor(const JobId& job)
{
    for (auto& queue : m_commitQueues) {
        if (queue->holds(job))
            return *queue;
    }
    const bool slow = isStoreSlow();
    for (auto& queue : m_commitQueues) {
        if (slow ? !queue->isBusy() : queue->waitingJobs() < m_settings.maxEntries)
            return *queue;
    }
    return **std::min_element(m_commitQueues.begin(), m_commitQueues.end(),
        [](const auto& a, const auto& b) { return a->waitingJobs() < b->waitingJobs(); });
}

void JobLedger::setWorkers(WorkerSetRecord workers, std::function<void()> stored)
{
    m_commitQueues.front()->setWorkers(std::move(workers), std::move(stored));
}

void JobLedger::whenFlushed(std::function<void()> done)
{
    const auto pending = std::make_shared<std::size_t>(m_commitQueues.size());
    for (auto& queue : m_commitQueues) {
        queue->whenFlushed([pending, done] {
            if (--*pending == 0)
                done();
        });
    }
}

bool JobLedger::isCommitting(const JobId& job) const
{
    return std::any_of(
        m_commitQueues.begin(), m_commitQueues.end(), [&job](const auto& queue) { return queue->isCommitting(job); });
}

bool JobLedger::isStalled() const
{
    const auto last = lastCommit();
    return std::any_of(m_commitQueues.begin(), m_commitQueues.end(),
        [&last](const auto& queue) { return queue->isStalled() && (!last || *last < *queue->failingSince()); });
}

std::optional<TimePoint> JobLedger::lastCommit() const
{
    std::optional<TimePoint> result;
    for (const auto& queue : m_commitQueues)
        result = std::max(result, queue->lastCommit()); // an empty optional compares less than any time
    return result;
}

std::uint64_t JobLedger::commits() const
{
    std::uint64_t n = 0;
    for (const auto& queue : m_commitQueues)
        n += queue->commits();
    return n;
}

LatencyHistogram JobLedger::commitTimes() const
{
    LatencyHistogram result;
    for (const auto& queue : m_commitQueues)
        result += queue->commitTimes();
    return result;
}

} // namespace lycheeledge::jobs
