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
 * for urgent work. So questions wait here in order of priority, and slow ones may not occupy every relay.
 */
class AdmissionDesk {
public:
    struct Request {
        StepKey step;
        std::uint32_t priority = 0; ///< lower goes first
        AdmissionPolicy policy;
        /// Called when a relay is free. An empty list withdraws the question.
        std::function<std::vector<WorkerId>()> choose;
        std::function<void(const std::vector<WorkerId>& asked, const absl::StatusOr<std::vector<AdmissionGrant>>&)>
            done;
    };

    AdmissionDesk(Runtime& runtime, AdmissionPort& port);

    void addRelay(RelayId relay);
    void removeRelay(RelayId relay);
    void request(Request request);
    /** @brief Drops all questions that wait, without calling back. */
    void clear();

    std::size_t waiting() const { return m_waiting.size(); }
    std::size_t relays() const { return m_relays.size(); }
    std::uint64_t asked() const { return m_asked; }

private:
    using OrderKey = std::pair<std::uint32_t, std::uint64_t>; ///< priority, then age

    static bool isSlow(const Request& request);
    std::size_t maxSlow() const;
    std::optional<RelayId> idleRelay() const;
    void dispatch();
    void send(RelayId relay, Request request, std::vector<WorkerId> workers);

    struct Relay {
        bool busy = false;
        bool slow = false; ///< the question in progress is slow
        std::uint64_t session = 0; ///< tells apart relays under one id
        TimePoint idleSince;
    };

    Runtime& m_runtime;
    AdmissionPort& m_port;
    std::map<RelayId, Relay> m_relays;
    std::map<OrderKey, Request> m_waiting;
    std::uint64_t m_nextAge = 0;
    std::uint64_t m_nextSession = 1;
    std::uint64_t m_generation = 0; ///< answers to questions of before clear() are dropped
    std::uint64_t m_asked = 0;
};

} // namespace lycheeledge::jobs
