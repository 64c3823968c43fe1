// Distributes calls to the admission service over the VMs that may call it.
#pragma once

#include "../coordination/Runtime.h"
#include "ClusterConfiguration.h"

#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lycheeledge::jobs {

/** @brief Request to the admission service: which of these workers may run the step. */
struct AdmissionRequest {
    StepKey step;
    std::vector<WorkerId> workers;

    bool operator==(const AdmissionRequest&) const = default;
};

struct AdmissionGrant {
    WorkerId worker;
    std::string ticket;

    bool operator==(const AdmissionGrant&) const = default;
};

/// A ticket must stay valid until the order that carries it has arrived.
inline constexpr Duration minTicketValidity = std::chrono::milliseconds(60);

/** @brief A VM that can call the admission service: this one (0) or another member. */
using RelayId = std::uint64_t;

/** @brief Calls the admission service from a VM. Each callback runs exactly once, on the coordination thread. */
class AdmissionPort {
public:
    using Done = std::function<void(absl::StatusOr<std::vector<AdmissionGrant>>)>;

    virtual ~AdmissionPort() = default;
    virtual void call(RelayId relay, const AdmissionRequest& request, Duration timeout, Done done) = 0;
};

/**
 * @brief Assigns admission calls to relays, one at a time per relay.
 *
 * The service handles one call at a time for each calling VM, and a call for batch work takes 20 times as long as one
 * for urgent work. Calls therefore never queue at the service: the next call is chosen when a relay becomes free, and
 * slow calls may not occupy all of several relays.
 */
class AdmissionDispatcher {
public:
    using Callback = std::function<void(const absl::StatusOr<std::vector<AdmissionGrant>>&)>;

    AdmissionDispatcher(Runtime& runtime, AdmissionPort& port);

    /** @param callback called whenever a relay becomes free. */
    void onRelayFree(std::function<void()> callback) { m_onRelayFree = std::move(callback); }
    void addRelay(RelayId relay);
    void removeRelay(RelayId relay);
    /** @brief Whether a relay is free for a call of a queue with this policy. */
    bool hasFreeRelay(const AdmissionPolicy& policy) const;
    /** @brief Calls the service through a free relay. Requires hasFreeRelay(). */
    void call(AdmissionRequest request, const AdmissionPolicy& policy, Callback callback);
    /** @brief Drops the calls in progress, without invoking their callbacks. */
    void clear();

    std::size_t inProgress() const;
    /** @brief Number of relays that calls for overdue steps may occupy at a time, so that no backlog starves a step. */
    std::size_t overdueRelays() const;
    /** @brief Number of relays that further calls for overdue long-running steps may occupy at a time. */
    std::size_t longRunningRelays() const;
    std::size_t relays() const { return m_relays.size(); }

private:
    struct Relay {
        bool busy = false;
        bool slow = false; ///< the call in progress is slow
        std::uint64_t session = 0; ///< distinguishes successive relays with the same id
        TimePoint idleSince;
    };

    std::size_t maxSlowCalls() const;
    std::map<RelayId, Relay>::const_iterator idleRelay() const;

    Runtime& m_runtime;
    AdmissionPort& m_port;
    std::function<void()> m_onRelayFree;
    std::map<RelayId, Relay> m_relays;
    std::uint64_t m_nextSession = 1;
    std::uint64_t m_generation = 0; ///< incremented by clear(), so that replies to earlier calls are ignored
};

} // namespace lycheeledge::jobs
