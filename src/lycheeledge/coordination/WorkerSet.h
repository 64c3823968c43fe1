// The journalled set of a cell's workers, and its majority.
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
 * While changes are being journalled, it is unknown which of them a successor would find. A majority must therefore
 * hold for the durable set and after each of the pending changes: two sets that differ by one worker have a worker in
 * common in any two majorities, sets that differ by more need not.
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

    /** @brief Notes a change that is being journalled. */
    void beginChange(Change change) { m_pending.push_back(std::move(change)); }
    /** @brief Applies the oldest pending change, which has become durable. */
    void finishChange();

    /** @brief Whether the worker's session is durable and not about to be removed. */
    bool contains(const VmId& worker, const std::string& session) const;
    /** @brief Whether the worker is in the durable set, with any session. */
    bool contains(const VmId& worker) const { return m_workers.contains(worker); }
    /** @brief Whether a change of the worker is being journalled. */
    bool isChanging(const VmId& worker) const;

    /** @brief Whether more than half of every possible set accepted. An empty set needs no acceptance. */
    bool hasMajority(const Accepted& accepted) const;

    /** @brief Durable workers and their sessions. */
    const std::map<VmId, std::string>& workers() const { return m_workers; }

private:
    void apply(const Change& change);

    std::map<VmId, std::string> m_workers;
    std::deque<Change> m_pending; ///< in the order of the journal
};

} // namespace lycheeledge
