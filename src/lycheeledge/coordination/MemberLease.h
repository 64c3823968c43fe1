// Store lease and store records of this process.
#pragma once

#include "../state/Time.h"
#include "MemberRecord.h"
#include "MembershipTimes.h"
#include "RosterView.h"
#include "Runtime.h"
#include "Store.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lycheeledge {

/** @brief Holds the store lease of this process, its key `m/<id>` and its roster record `r/<id>`. */
class MemberLease {
public:
    /** @param written called after each successful write of the records. */
    MemberLease(Runtime& runtime, Store& store, const MemberRecord& self, const MembershipTimes& times,
        std::function<void()> written);
    ~MemberLease();
    MemberLease(const MemberLease&) = delete;
    MemberLease& operator=(const MemberLease&) = delete;

    /** @brief Starts renewing. The first lease is requested by the first checkRecords(). */
    void start();
    /** @brief Stops renewing, deletes the records and revokes the lease. @param done OK once that is done. */
    void release(std::function<void(absl::Status)> done);
    /** @brief Writes the records if a read that was issued at `issued` shows that one is missing. */
    void checkRecords(const RosterView& roster, bool leaseKeyPresent, TimePoint issued);

    /** @brief The lease; none if it may have ended. */
    std::optional<StoreLeaseId> current() const;
    /** @brief Earliest time at which the store may end the lease; none before the first lease. */
    std::optional<TimePoint> end() const { return m_leaseEnd; }
    /** @brief Whether a process started later with the same member id has replaced the roster record. */
    bool superseded() const { return m_superseded; }

private:
    void renewTick();
    void acquire();
    void renew();
    void writeRecords();
    void revoke(std::function<void(absl::Status)> done);

    Runtime& m_runtime;
    Store& m_store;
    const MemberRecord& m_self;
    const MembershipTimes& m_times;
    std::function<void()> m_written;
    const std::string m_rosterKey;
    const std::string m_leaseKey;

    bool m_running = false;
    bool m_superseded = false;
    bool m_acquiring = false;
    bool m_writing = false;
    Revision m_rosterRevision = 0; ///< modification revision of the roster record as last read; 0 if absent
    bool m_recordPresent = false; ///< the roster record of this incarnation exists
    std::optional<StoreLeaseId> m_lease;
    std::optional<TimePoint> m_leaseEnd; ///< earliest time at which the store may end the last lease
    TimePoint m_writtenAt; ///< when the last write of the records completed
    Runtime::TimerId m_timer = 0;
    std::shared_ptr<MemberLease*> m_alive = std::make_shared<MemberLease*>(this); ///< expires with this object
};

} // namespace lycheeledge
