// Configuration set by operators: teams, keys, queues, policies and drained VMs.
#pragma once

#include "Ids.h"
#include "Resources.h"
#include "Time.h"
#include "Work.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace lycheeledge {

/** @brief A team with its share and upper limit. */
struct Team {
    TeamId id;
    double share = 1.0; ///< weight, relative to the other teams; > 0
    std::optional<Resources> upperLimit; ///< across the whole fleet; none for unlimited
    std::uint32_t maxRunningTasks = 0; ///< across the whole fleet; 0 for unlimited

    bool operator==(const Team&) const = default;
};

/** @brief Role that a key grants. */
enum class KeyRole { Caller, Operator };

/** @brief A key. Only a salted digest of its secret is stored. */
struct Key {
    KeyId id;
    TeamId team; ///< empty for operators' keys
    KeyRole role = KeyRole::Caller;
    std::string salt; ///< in hexadecimal
    std::string sha256; ///< SHA-256 digest of salt and secret, in hexadecimal
    bool withdrawn = false;

    bool operator==(const Key&) const = default;
};

/** @brief A queue. Work in a queue counts towards the usage of its team. */
struct Queue {
    QueueId id;
    TeamId team;
    bool openToAll = false; ///< accepts work without a key of the team

    bool operator==(const Queue&) const = default;
};

/** @brief Policy for one kind of work. */
struct KindPolicy {
    WorkKind kind = WorkKind::Request;
    std::uint32_t maxAttempts = 3;
    bool preemptible = false;
    std::uint32_t maxQueuedPerTeam = 10000;

    bool operator==(const KindPolicy&) const = default;
};

/** @brief All configuration entities in effect at a revision. */
struct Configuration {
    Revision revision = 0; ///< highest modification revision among the entities
    std::map<TeamId, Team> teams;
    std::map<KeyId, Key> keys;
    std::map<QueueId, Queue> queues;
    std::map<WorkKind, KindPolicy> policies;
    std::map<VmId, bool> drained; ///< whether new tasks are kept off a VM; a missing VM is not drained

    bool operator==(const Configuration&) const = default;
};

} // namespace lycheeledge
