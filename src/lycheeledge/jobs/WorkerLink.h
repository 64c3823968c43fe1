// Connection to one worker: renews its lease and reads what runs and ended there.
#pragma once

#include "../coordination/Runtime.h"
#include "WorkerPort.h"

#include <functional>
#include <memory>
#include <optional>

namespace lycheeledge::jobs {

struct WorkerLinkSettings {
    /// Granted with each look and order. Longer than the takeover by another owner, so that running tasks survive it;
    /// short, because tasks of a lost worker are started elsewhere only after it.
    Duration lease = std::chrono::milliseconds(5000);
    Duration lookWait = std::chrono::milliseconds(800); ///< bounds the time until a silent worker is noticed
    /// Beyond the wait. Healthy workers answer in 20 ms, but a busy owner reads answers late: a timeout then costs a
    /// new connection, which makes it busier.
    Duration lookTimeout = std::chrono::milliseconds(1500);
    Duration retryPause = std::chrono::milliseconds(200); ///< between looks at an unreachable worker
    /// Longest pause until ends are stored and can be acknowledged. A slow store takes 300 ms; later ends are seen only
    /// by the next look.
    Duration acknowledgementWait = std::chrono::milliseconds(200);
    double clockSlowdown = 0.02; ///< a worker's clock may run this much slower than ours (platform's statement)
};

/** @brief Learns of a worker's reports, on the coordination thread. */
class WorkerLinkListener {
public:
    virtual ~WorkerLinkListener() = default;

    /** @param sentAt when the look was sent: what had been confirmed before then is in the report. */
    virtual void workerReported(const WorkerId& worker, const LookReport& report, TimePoint sentAt) = 0;
    virtual void workerReachabilityChanged(const WorkerId& worker, bool reachable) = 0;
    /** @brief The life that was meant has ended: everything that ran there has ended, too. */
    virtual void workerIncarnationEnded(const WorkerId& worker) = 0;
    /** @brief The worker has accepted a higher epoch. */
    virtual void workerFenced(const WorkerId& worker) = 0;
};

/** @brief Keeps one look in progress at a worker. */
class WorkerLink {
public:
    /** @param ordersAllowed whether this process may still act as the owner. */
    WorkerLink(Runtime& runtime, WorkerPort& port, WorkerLinkListener& listener, WorkerTarget target, Epoch epoch,
        std::function<bool()> ordersAllowed, WorkerLinkSettings settings = {});
    ~WorkerLink();
    WorkerLink(const WorkerLink&) = delete;
    WorkerLink& operator=(const WorkerLink&) = delete;

    void begin();
    /** @brief Ends up to this number are stored; the worker may forget them. */
    void acknowledge(std::uint64_t sequence);
    /** @brief Starts counting ends anew, after the worker began another life under its id. */
    void resetEnds();
    /** @brief Lease for an order that is sent now, on the worker's clock; nothing before its first report. */
    std::optional<std::int64_t> leaseForOrder();
    /** @brief When everything that runs on the worker has certainly ended, if no order reaches it any more. */
    TimePoint leaseExpiry() const { return m_leaseExpiry; }
    /** @brief Notes the worker's clock from the response to an order. */
    void noteClock(std::optional<std::int64_t> clockMs);
    /** @brief An order got no response: looks at once instead of waiting for the look in progress. */
    void suspect();

    bool isReachable() const { return m_reachable; }
    /** @brief Whether the last order or look got no response. */
    bool isSuspect() const { return m_failures > 0; }
    const WorkerTarget& target() const { return m_target; }

private:
    void look();
    void looked(std::uint64_t attempt, TimePoint sentAt, const LookResult& result);
    void failed(OrderOutcome outcome);
    void scheduleLook(Duration delay);
    void setReachable(bool reachable);

    Runtime& m_runtime;
    WorkerPort& m_port;
    WorkerLinkListener& m_listener;
    WorkerTarget m_target;
    Epoch m_epoch;
    std::function<bool()> m_ordersAllowed;
    WorkerLinkSettings m_settings;
    std::uint64_t m_attempt = 0; ///< of the look in progress; responses to earlier ones are ignored
    std::uint64_t m_acknowledged = 0;
    std::uint64_t m_listed = 0; ///< highest number of an end that the worker listed
    int m_failures = 0; ///< looks in a row without a response
    bool m_reachable = false;
    bool m_looking = false;
    std::optional<Runtime::TimerId> m_timer;
    std::optional<std::int64_t> m_clockMs; ///< the worker's clock at m_clockAt, or a little before
    TimePoint m_clockAt;
    TimePoint m_leaseExpiry;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< expires with this object
};

} // namespace lycheeledge::jobs
