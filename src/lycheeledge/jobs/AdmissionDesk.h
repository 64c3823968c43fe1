// Questions to the admission service, spread over the VMs that may call it.
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

/** @brief Which workers may run a step? */
struct AdmissionQuestion {
    StepKey step;
    std::vector<WorkerId> workers;

    bool operator==(const AdmissionQuestion&) const = default;
};

struct AdmissionGrant {
    WorkerId worker;
    std::string ticket;

    bool operator==(const AdmissionGrant&) const = default;
};

/** @brief A VM that can call the admission service: this one (0) or another member. */
using RelayId = std::uint64_t;

/** @brief Calls the admission service from a VM. Each callback is called once, on the coordination thread. */
class AdmissionPort {
public:
    using Done = std::function<void(absl::StatusOr<std::vector<AdmissionGrant>>)>;

    virtual ~AdmissionPort() = default;
    virtual void ask(RelayId relay, const AdmissionQuestion& question, Duration timeout, Done done) = 0;
};

/**
 * @brief Assigns questions to relays, one at a time each.
 *
 * The service handles one call at a time for each calling VM, and a call for batch work takes 20 times as long as one
 * for urgent work. So nothing queues at the service: who asks first is decided when a relay is free, and slow
 * questions may not occupy every relay.
 */
class AdmissionDesk {
public:
    using Answered = std::function<void(const absl::StatusOr<std::vector<AdmissionGrant>>&)>;

    AdmissionDesk(Runtime& runtime, AdmissionPort& port);

    /** @param callback called when a relay has become free. */
    void onFree(std::function<void()> callback) { m_onFree = std::move(callback); }
    void addRelay(RelayId relay);
    void removeRelay(RelayId relay);
    /** @brief Whether a question of a queue with this policy can be asked now. */
    bool isFree(const AdmissionPolicy& policy) const;
    /** @brief Asks; requires isFree(). */
    void ask(AdmissionQuestion question, const AdmissionPolicy& policy, Answered answered);
    /** @brief Drops the questions in progress, without calling back. */
    void clear();

    std::size_t inProgress() const;
    std::size_t relays() const { return m_relays.size(); }

private:
    struct Relay {
        bool busy = false;
        bool slow = false; ///< the question in progress is slow
        std::uint64_t session = 0; ///< tells apart relays under one id
        TimePoint idleSince;
    };

    std::size_t maxSlow() const;
    std::map<RelayId, Relay>::const_iterator idleRelay() const;

    Runtime& m_runtime;
    AdmissionPort& m_port;
    std::function<void()> m_onFree;
    std::map<RelayId, Relay> m_relays;
    std::uint64_t m_nextSession = 1;
    std::uint64_t m_generation = 0; ///< answers to questions of before clear() are dropped
};

} // namespace lycheeledge::jobs
