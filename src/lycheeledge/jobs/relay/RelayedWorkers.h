// The owner's access to the workers: through members on large fleets, directly otherwise.
//
// A relayed call has the same outcomes as a direct one. An order whose member got lost has the outcome Unknown, since
// the member may have sent it; a poll is repeated on another way.
#pragma once

#include "../../coordination/Runtime.h"
#include "../EventLog.h"
#include "../MemberMessages.h"
#include "../WorkerPort.h"
#include "RelaySelection.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lycheeledge::jobs {

struct RelaySettings {
    /// Fleets up to this size need no relays: the owner's own calls to them cost less than a tenth of a core.
    std::size_t maxDirectWorkers = 128;
    Duration batchDelay = std::chrono::milliseconds(2); ///< how long a call waits for others to the same member
    std::size_t maxBatchCalls = 64; ///< a full batch is sent immediately
    /// Calls in progress through one member; further ones are made directly.
    std::size_t maxCallsPerMember = 1000;
    /// Added to the timeout of a relayed call: twice the delay between data centres and of the batches.
    Duration timeoutMargin = std::chrono::milliseconds(100);
    Duration checkInterval = std::chrono::milliseconds(100); ///< of timeouts and silent members
    /// A member from which nothing has arrived for this long is not used: two offers, plus a delay.
    Duration silenceLimit = std::chrono::milliseconds(900);
    /// After a relayed call to a worker has failed, the worker is called directly for this long.
    Duration detourTime = std::chrono::seconds(3);
};

/** @brief Counters since the start of the process. */
struct RelayCounters {
    std::uint64_t relayedCalls = 0;
    std::uint64_t directCalls = 0;
    std::uint64_t batches = 0;
    std::uint64_t repeatedPolls = 0; ///< repeated on another way because their member got lost
    std::uint64_t silences = 0; ///< members that were found silent

    bool operator==(const RelayCounters&) const = default;
};

class RelayedWorkers final : public WorkerPort {
public:
    RelayedWorkers(
        Runtime& runtime, WorkerPort& direct, MemberPort& members, EventLog& log, RelaySettings settings = {});

    /** @param count returns the number of workers of the fleet. */
    void setWorkerCount(std::function<std::size_t()> count) { m_workerCount = std::move(count); }
    /** @param cpuShare of the member's VM, in cores. It is used once it has sent an offer. */
    void addMember(MemberConnection connection, const std::string& member, double cpuShare);
    void removeMember(MemberConnection connection);
    void received(MemberConnection connection, const RelayOffer& offer);
    void received(MemberConnection connection, const WorkerReplyBatch& batch);
    /** @brief Drops all members and calls, without invoking callbacks, because the ownership has ended. */
    void clear();

    const RelayCounters& counters() const { return m_counters; }
    std::size_t callsInProgress() const { return m_pending.size(); }
    /** @brief Number of members that are used as relays, if the fleet is large enough. */
    std::size_t usableMembers() const { return candidates().size(); }

    // WorkerPort
    void start(const WorkerTarget& to, const StartOrder& order, Duration timeout,
        std::function<void(OrderResult)> done) override;
    void stop(const WorkerTarget& to, const StopOrder& order, Duration timeout,
        std::function<void(OrderResult)> done) override;
    void pace(const WorkerTarget& to, const PaceOrder& order, Duration timeout,
        std::function<void(OrderResult)> done) override;
    void poll(const WorkerTarget& to, const PollRequest& request, Duration timeout,
        std::function<void(PollResult)> done) override;

private:
    using OrderDone = std::function<void(OrderResult)>;
    using PollDone = std::function<void(PollResult)>;

    struct Member {
        std::string name;
        std::string dataCentre;
        double cpuShare = 0;
        bool offered = false;
        bool silent = false; ///< not used until it is heard from again
        std::int64_t clockMs = 0; ///< its clock at lastReceivedAt, or slightly earlier
        TimePoint lastReceivedAt;
        std::size_t callsInProgress = 0;
        std::vector<WorkerCall> batch; ///< not sent yet
    };
    struct Pending {
        MemberConnection member = 0;
        WorkerTarget target;
        WorkerRequest request;
        Duration timeout {}; ///< as given by the caller
        TimePoint sentAt;
        TimePoint deadline;
        std::variant<OrderDone, PollDone> done;
    };

    /** @brief Relays the call if possible. @return whether it was relayed. */
    bool relay(const WorkerTarget& to, const WorkerRequest& request, Duration timeout, Duration total,
        std::variant<OrderDone, PollDone> done);
    std::optional<MemberConnection> relayFor(const WorkerTarget& to);
    std::vector<RelayCandidate> candidates() const;
    void heard(Member& member, std::int64_t clockMs);
    void markSilent(Member& member);
    void membersChanged() { m_assigned.clear(); }
    void scheduleFlush();
    void flush(MemberConnection connection, Member& member);
    void check();
    void repeatPolls(const std::function<bool(const Pending&)>& affected);
    void finish(std::uint64_t id, const WorkerReply& reply);

    Runtime& m_runtime;
    WorkerPort& m_direct;
    MemberPort& m_port;
    EventLog& m_log;
    RelaySettings m_settings;
    std::function<std::size_t()> m_workerCount = [] { return std::size_t(0); };
    std::map<MemberConnection, Member> m_members;
    std::map<std::uint64_t, Pending> m_pending; ///< by call id
    std::uint64_t m_nextCall = 0;
    absl::flat_hash_map<WorkerId, MemberConnection> m_assigned; ///< selections under the present members
    absl::flat_hash_map<WorkerId, TimePoint> m_detours; ///< workers that are called directly until then
    std::optional<Runtime::TimerId> m_flushTimer;
    std::optional<Runtime::TimerId> m_checkTimer;
    RelayCounters m_counters;
};

} // namespace lycheeledge::jobs
