// Cluster configuration set by the operators: queues and client accounts.
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

/** @brief Call duration and ticket validity of the admission service for one queue. */
struct AdmissionPolicy {
    Duration perCall {};
    Duration perWorker {};
    Duration validity {}; ///< how long a ticket is valid

    bool operator==(const AdmissionPolicy&) const = default;
};

/** @brief A queue: its URL, the pool that runs its jobs, and their priority and latency objective. */
struct QueuePolicy {
    std::string name;
    std::string host;
    std::string prefix; ///< of the URL path
    std::string pool; ///< worker pool that runs its tasks
    std::uint32_t priority = 0; ///< 0 is the highest
    std::uint32_t maxAttempts = 1; ///< number of failed runs of one task at which the job fails
    double objectiveFactor = 1; ///< objective, as a multiple of the job's critical path
    Duration latencyObjective {}; ///< added to the stretched critical path
    bool openToAll = false; ///< accepts submissions without a key
    std::optional<AdmissionPolicy> admission;

    bool operator==(const QueuePolicy&) const = default;

    /** @brief Whether its tasks are short and are spread over the least loaded workers. */
    bool isUrgent() const { return priority == 0; }
};

/** @brief Time from the release of a job until its objective: its stretched critical path and the queue's latency. */
Duration objectiveOf(const JobSpec& spec, const QueuePolicy& queue);

struct ClientAccount {
    AccountId id;
    std::vector<std::string> keys;
    double weight = 1; ///< relative share when the fleet is full
    Resources upperLimit; ///< 0 means no limit for a resource
    std::optional<double> submissionsPerSecond; ///< rate that it is entitled to (see SubmissionRate); empty: any

    bool operator==(const ClientAccount&) const = default;
};

/** @brief One stored version of the configuration. */
struct ClusterConfiguration {
    std::int64_t version = 0;
    Revision revision = 0; ///< store revision of this version
    std::vector<QueuePolicy> queues;
    std::vector<ClientAccount> accounts;
    std::size_t maxBodyBytes = 262144; ///< of a client call; default taken from the platform's examples

    bool operator==(const ClusterConfiguration&) const = default;

    /** @brief Queue with the longest matching path prefix; nullptr if none matches. */
    const QueuePolicy* queueOf(std::string_view host, std::string_view path) const;
    const QueuePolicy* queueNamed(std::string_view name) const;
    const ClientAccount* accountOfKey(std::string_view key) const;
    const ClientAccount* account(const AccountId& id) const;
};

} // namespace lycheeledge::jobs
