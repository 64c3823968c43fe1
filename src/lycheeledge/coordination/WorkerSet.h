// The journalled set of a cell's workers, and the majority test over it.
#pragma once

#include "JobJournal.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lycheeledge {

/**
 * @brief Workers, with their sessions, that count towards the majority of an owner.
 *
 * While changes are being journalled, it is unknown which of them a later owner would recover. A majority is therefore
 * required of the durable set and of the set after each pending change. Any majorities of two sets that differ by one
 * worker have a worker in common; this does not hold for sets that differ by more.
 */
class WorkerSet {
public:
    /** @brief A worker that joins with a session, or that is removed. */
    struct Change {
        VmId worker;
        std::optional<std::string> session; ///< none for a removal
    };
    using Accepted = std::function<bool(const VmId& worker, const std::string& session)>;

    /** @brief Applies the worker records of a recovered journal. */
    void recover(const std::vector<JournalRecord>& records);

    /** @brief Records a change whose journal entry is not yet durable. */
    void beginChange(Change change) { m_pending.push_back(std::move(change)); }
    /** @brief Applies the oldest pending change, whose journal entry has become durable. */
    void finishChange();

    /** @brief Whether the durable set holds the worker with this session and no change of it is pending. */
    bool contains(const VmId& worker, const std::string& session) const;
    /** @brief Whether the worker is in the durable set, with any session. */
    bool contains(const VmId& worker) const { return m_workers.contains(worker); }
    /** @brief Whether a change of the worker is pending. */
    bool isChanging(const VmId& worker) const;

    /** @brief Whether more than half of every possible set has accepted. An empty set needs no acceptance. */
    bool hasMajority(const Accepted& accepted) const;

    /** @brief Durable workers and their sessions. */
    const std::map<VmId, std::string>& workers() const { return m_workers; }

private:
    void apply(const Change& change);

    std::map<VmId, std::string> m_workers;
    std::deque<Change> m_pending; ///< in journal order
};

} // namespace lycheeledge
