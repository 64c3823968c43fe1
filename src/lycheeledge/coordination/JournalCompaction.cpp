// Selects the records of a journal that compaction must keep.

#include "JournalCompaction.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <utility>

namespace lycheeledge {

namespace {

    using Position = std::pair<std::uint64_t, std::size_t>; // sequence number, and index within the value

    const WorkId& workOf(const JobSubmitted& record) { return record.spec.id; }
    const WorkId& workOf(const JobCancelled& record) { return record.id; }
    const WorkId& workOf(const TaskStarting& record) { return record.id.work; }
    const WorkId& workOf(const TaskEnded& record) { return record.id.work; }
    const WorkId& workOf(const JobEnded& record) { return record.result.id; }
    const VmId& workerOf(const WorkerJoined& record) { return record.worker.id; }
    const VmId& workerOf(const WorkerRemoved& record) { return record.worker; }

    /** Index over all records of a journal, which decides whether a single record is live. */
    class JournalSummary {
    public:
        JournalSummary(const JournalValues& values, std::uint64_t first, TimePoint keepSince)
            : m_first(first)
            , m_keepSince(keepSince)
        {
            for (const auto& value : values) {
                for (std::size_t i = 0; i < value.second.size(); ++i) {
                    const TimedRecord& timed = value.second[i];
                    const Position position { value.first, i };
                    std::visit([&](const auto& record) { add(record, position, timed.writtenAt); }, timed.record);
                }
            }
        }

        template <typename T> bool isLive(const T& record, Position position, TimePoint /*writtenAt*/) const
        {
            const auto it = m_expiredJobEnds.find(workOf(record));
            return it == m_expiredJobEnds.end() || it->second < position;
        }
        bool isLive(const JobEnded& record, Position /*position*/, TimePoint writtenAt) const
        {
            return writtenAt >= m_keepSince || m_jobsBeforeFirst.contains(workOf(record));
        }
        bool isLive(const WorkerJoined& record, Position position, TimePoint /*writtenAt*/) const
        {
            return m_lastWorkerRecord.at(workerOf(record)) == position;
        }
        bool isLive(const WorkerRemoved& record, Position /*position*/, TimePoint writtenAt) const
        {
            return writtenAt >= m_keepSince || m_workersBeforeFirst.contains(workerOf(record));
        }

    private:
        template <typename T> void add(const T& record, Position position, TimePoint /*writtenAt*/)
        {
            addJob(record, position);
        }
        void add(const JobEnded& record, Position position, TimePoint writtenAt)
        {
            addJob(record, position);
            if (writtenAt < m_keepSince)
                m_expiredJobEnds[workOf(record)] = position;
        }
        void add(const WorkerJoined& record, Position position, TimePoint /*writtenAt*/)
        {
            addWorker(record, position);
        }
        void add(const WorkerRemoved& record, Position position, TimePoint /*writtenAt*/)
        {
            addWorker(record, position);
        }
        template <typename T> void addJob(const T& record, Position position)
        {
            if (position.first < m_first)
                m_jobsBeforeFirst.insert(workOf(record));
        }
        template <typename T> void addWorker(const T& record, Position position)
        {
            m_lastWorkerRecord[workerOf(record)] = position;
            if (position.first < m_first)
                m_workersBeforeFirst.insert(workerOf(record));
        }

        std::uint64_t m_first;
        TimePoint m_keepSince;
        absl::flat_hash_map<WorkId, Position> m_expiredJobEnds; ///< last end of each job, if before `m_keepSince`
        absl::flat_hash_map<VmId, Position> m_lastWorkerRecord;
        absl::flat_hash_set<WorkId> m_jobsBeforeFirst; ///< jobs with records before the selected values
        absl::flat_hash_set<VmId> m_workersBeforeFirst;
    };

} // namespace

std::vector<TimedRecord> liveRecords(
    const JournalValues& values, std::uint64_t first, std::uint64_t last, TimePoint keepSince)
{
    const JournalSummary summary(values, first, keepSince);
    std::vector<TimedRecord> live;
    for (auto it = values.lower_bound(first); it != values.end() && it->first <= last; ++it) {
        for (std::size_t i = 0; i < it->second.size(); ++i) {
            const TimedRecord& timed = it->second[i];
            const bool isLive = std::visit(
                [&](const auto& record) {
                    return summary.isLive(record, { it->first, i }, timed.writtenAt);
                },
                timed.record);
            if (isLive)
                live.push_back(timed);
        }
    }
    return live;
}

} // namespace lycheeledge
