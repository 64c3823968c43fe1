// Connection to one worker: polls it to renew its lease and to read its running and ended tasks.
#pragma once

#include "../coordination/Runtime.h"
#include "WorkerPort.h"

#include <functional>
#include <memory>
#include <optional>

namespace lycheeledge::jobs {

struct WorkerLinkSettings {
    /// Granted with each poll and order. Longer than a takeover by another owner, so that running tasks survive it;
    /// short, because tasks of a lost worker are started elsewhere only after it has expired.
    Duration lease = std::chrono::milliseconds(5000);
    Duration pollWait = std::chrono::milliseconds(800); ///< limits the time until an unresponsive worker is noticed
    /// Added to the wait. Healthy workers respond in 20 ms, but a busy owner reads responses late; a timeout would then
    /// cost a new connection and increase its load.
    Duration pollTimeout = std::chrono::milliseconds(1500);
    Duration retryPause = std::chrono::milliseconds(200); ///< between polls of an unreachable worker
    /// Maximum delay of the next poll while ends are not yet stored and acknowledged. A slow store takes 300 ms; ends
    /// that occur meanwhile are seen only by the next poll.
    Duration acknowledgementWait = std::chrono::milliseconds(200);
    /// Fraction by which a worker's clock may run slower than this process's clock, as stated by the platform.
    double clockSlowdown = 0.02;
    /// Longest lease that a worker accepts (limit of the platform).
    Duration maxLease = std::chrono::seconds(10);
};

/** @brief Receives a worker's reports and state changes, on the coordination thread. */
class WorkerLinkListener {
public:
    virtual ~WorkerLinkListener() = default;

    /** @param sentAt when the poll was sent; the report includes everything confirmed before then. */
    virtual void workerReported(const WorkerId& worker, const PollReport& report, TimePoint sentAt) = 0;
    virtual void workerReachabilityChanged(const WorkerId& worker, bool reachable) = 0;
    /** @brief The addressed incarnation of the worker has ended, and with it every task that ran there. */
    virtual void workerIncarnationEnded(const WorkerId& worker) = 0;
    /** @brief The worker has accepted a higher epoch. */
    virtual void workerFenced(const WorkerId& worker) = 0;
};

/** @brief Polls one worker continuously, with one request in progress at a time. */
class WorkerLink {
public:
    /**
     * @param fencingToken of the polls.
     * @param ordersEnd returns until when this process may act as the owner, as far as is known. No lease lasts longer.
     */
    WorkerLink(Runtime& runtime, WorkerPort& port, WorkerLinkListener& listener, WorkerTarget target,
        Epoch fencingToken, std::function<TimePoint()> ordersEnd, WorkerLinkSettings settings = {});
    ~WorkerLink();
    WorkerLink(const WorkerLink&) = delete;
    WorkerLink& operator=(const WorkerLink&) = delete;

    void begin();
    /** @brief Acknowledges ends up to this sequence number: they are stored, and the worker may discard them. */
    void acknowledge(std::uint64_t sequence);
    /**
     * @brief Forgets what is known of the worker after it restarted under the same id, and polls it at once. The
     * response to a poll in progress is ignored.
     */
    void resetForNewIncarnation(Epoch fencingToken);
    /**
     * @brief Polls the worker at once under a higher fencing token, because it may have restarted. Until it answers,
     * the poll only reads.
     */
    void raiseFencingToken(Epoch fencingToken);
    /**
     * @brief Counts the longest lease from now on: the worker may have received orders that name a time of the clock of
     * an earlier incarnation, which may be far ahead of its own.
     */
    void assumeLongestLease();
    /**
     * @brief End of the lease for an order sent now, on the worker's clock; `nullopt` until its clock is known, and if
     * the lease would be over.
     */
    std::optional<std::int64_t> extendLeaseForOrder();
    /** @brief Time at which all tasks on the worker have certainly ended, unless further orders reach it. */
    TimePoint leaseExpiry() const { return m_leaseExpiry; }
    /** @brief Time from which the tasks on the worker may have ended, as no longer lease was granted to them. */
    TimePoint grantedLeaseEnd() const { return m_grantedLeaseEnd; }
    /** @brief When the worker last gave its clock; zero before that. */
    TimePoint heardAt() const { return m_clockAt; }
    /**
     * @brief Records the worker's clock as given in the response to an order that was sent at this time.
     * @return false if the clock has gone back, so that another incarnation has answered.
     */
    bool recordClock(std::optional<std::int64_t> clockMs, TimePoint sentAt);
    /** @brief Polls immediately, without waiting for the poll in progress, because an order got no response. */
    void pollNow();

    bool isReachable() const { return m_reachable; }
    /** @brief Whether the last order or poll got no response. */
    bool isSuspect() const { return m_failures > 0; }
    const WorkerTarget& target() const { return m_target; }
    /** @brief Polls the worker at another address. Until it answers there, it counts as suspect. */
    void setAddress(const std::string& address);
    /** @brief Applies to the calls from now on. */
    void setDataCentre(const std::string& dataCentre) { m_target.dataCentre = dataCentre; }

private:
    void poll();
    void pollAnew();
    void handlePollResult(
        std::uint64_t attempt, TimePoint sentAt, std::uint64_t acknowledged, const PollResult& result);
    void handlePollFailure(OrderOutcome outcome);
    void schedulePoll(Duration delay);
    void setReachable(bool reachable);
    Duration longestTime(Duration workerTime) const;
    /** @brief Longest time on the worker's clock that certainly passes within `time`. */
    Duration shortestTime(Duration time) const;
    /** @brief Whether the ownership has not been confirmed for so long that a lease granted now ends early. */
    bool isLeaseLimited() const;
    void setClock(std::int64_t clockMs);

    Runtime& m_runtime;
    WorkerPort& m_port;
    WorkerLinkListener& m_listener;
    WorkerTarget m_target;
    Epoch m_fencingToken;
    std::function<TimePoint()> m_ordersEnd;
    WorkerLinkSettings m_settings;
    std::uint64_t m_attempt = 0; ///< number of the poll in progress; responses to earlier polls are ignored
    std::uint64_t m_acknowledgedEnd = 0;
    std::uint64_t m_forgottenEnd = 0; ///< last end whose acknowledgement the worker has answered
    std::uint64_t m_lastListedEnd = 0; ///< highest sequence number of an end that the worker reported
    int m_failures = 0; ///< consecutive polls without a response
    bool m_reachable = false;
    bool m_polling = false;
    bool m_restarted = false; ///< no response from the current incarnation yet, which replaced an earlier one
    std::optional<Runtime::TimerId> m_timer;
    std::optional<std::int64_t> m_clockMs; ///< the worker's clock at m_clockAt, or slightly earlier
    TimePoint m_clockAt;
    TimePoint m_leaseExpiry;
    TimePoint m_grantedLeaseEnd;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< expires with this object
};

} // namespace lycheeledge::jobs
