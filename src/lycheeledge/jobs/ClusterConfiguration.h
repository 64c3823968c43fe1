// The operators' configuration: queues and client accounts.
#pragma once

#include "JobSpec.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheeledge::jobs {

/** @brief Cost and validity of the admission service's decisions for one queue. */
struct AdmissionPolicy {
    Duration perCall {};
    Duration perWorker {};
    Duration validity {}; ///< of a ticket

    bool operator==(const AdmissionPolicy&) const = default;
};

/** @brief A queue: where submissions enter, which pool runs them and what they aim for. */
struct QueuePolicy {
    std::string name;
    std::string host;
    std::string prefix; ///< of the path
    std::string pool; ///< workers that run its tasks
    std::uint32_t priority = 0; ///< 0 goes first
    std::uint32_t maxAttempts = 1; ///< failed ends of one task until the job fails
    double stretch = 1; ///< objective, as a multiple of the longest chain of work
    Duration latencyObjective {}; ///< added to the stretched chain
    bool openToAll = false; ///< needs no key
    std::optional<AdmissionPolicy> admission;

    bool operator==(const QueuePolicy&) const = default;
};

struct ClientAccount {
    AccountId id;
    std::vector<std::string> keys;
    double weight = 1; ///< share when the fleet is full
    Resources upperLimit; ///< an amount of 0 means no limit

    bool operator==(const ClientAccount&) const = default;
};

/** @brief One version of the configuration, as stored. */
struct ClusterConfiguration {
    std::int64_t version = 0;
    Revision revision = 0; ///< store revision of this version
    std::vector<QueuePolicy> queues;
    std::vector<ClientAccount> accounts;
    std::size_t maxBodyBytes = 262144; ///< of a client's call; default of the platform's examples

    bool operator==(const ClusterConfiguration&) const = default;

    /** @brief Queue of the longest prefix that fits; nullptr if there is none. */
    const QueuePolicy* queueOf(std::string_view host, std::string_view path) const;
    const QueuePolicy* queueNamed(std::string_view name) const;
    const ClientAccount* accountOfKey(std::string_view key) const;
    const ClientAccount* account(const AccountId& id) const;
};

} // namespace lycheeledge::jobs
