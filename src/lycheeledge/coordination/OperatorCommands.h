// Configuration changes requested by operators.
#pragma once

#include "../state/Configuration.h"
#include "../state/Outcome.h"
#include "ConfigurationCodec.h"
#include "Runtime.h"
#include "Store.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lycheeledge {

class Membership;

/** @brief Options of every mutating call. */
struct CommandOptions {
    std::string idempotencyKey; ///< repeating a call with the same key and parameters has no further effect
    std::optional<std::uint64_t> expectedVersion; ///< required version; 0 requires that the entity does not exist
};

/** @brief Whether a change was written to the store. */
enum class Stored { No, Yes, Unknown };

/** @brief Result of a mutating call. */
struct CommandResult {
    std::uint64_t version = 0; ///< version written by this change; on a conflict, the current version
    bool inForce = false; ///< every serving process uses a configuration that includes the change
    std::vector<MemberId> waitingFor; ///< members that may still serve with an older configuration
    Stored stored = Stored::No;
    ErrorKind error = ErrorKind::None;
    std::string message;
    std::string field; ///< invalid parameter, if any

    bool operator==(const CommandResult&) const = default;
    bool ok() const { return error == ErrorKind::None; }
};

/**
 * @brief Changes the configuration in the store by compare-and-swap, then waits until the change is in force.
 *
 * Each entity stores a history of the last 16 calls that changed it. A repeated call, or a call whose response from the
 * store was lost, finds its record there and returns the first result.
 */
class OperatorCommands {
public:
    using Callback = std::function<void(const CommandResult&)>;

    OperatorCommands(Runtime& runtime, Store& store, Membership& membership);
    OperatorCommands(const OperatorCommands&) = delete;
    OperatorCommands& operator=(const OperatorCommands&) = delete;

    void setTeam(const CommandOptions& options, const Team& team, Callback done);
    void deleteTeam(const CommandOptions& options, const TeamId& team, Callback done);
    /** @brief Creates a key. @param secret chosen by the operator; only a salted digest of it is stored. */
    void createKey(const CommandOptions& options, const KeyId& id, const TeamId& team, KeyRole role,
        const std::string& secret, Callback done);
    /** @brief Withdraws a key. Its id cannot be used again. */
    void withdrawKey(const CommandOptions& options, const KeyId& id, Callback done);
    void setQueue(const CommandOptions& options, const Queue& queue, Callback done);
    void deleteQueue(const CommandOptions& options, const QueueId& queue, Callback done);
    void setPolicy(const CommandOptions& options, const KindPolicy& policy, Callback done);
    /** @brief Marks a VM as draining: it gets no new work. */
    void drainVm(const CommandOptions& options, const VmId& vm, Callback done);
    void undrainVm(const CommandOptions& options, const VmId& vm, Callback done);

private:
    struct Refusal {
        ErrorKind error = ErrorKind::None;
        std::string message;
        std::string field;
    };
    using NewValue = std::optional<ConfigurationValue>; ///< an empty value deletes the entity
    using Edit = std::function<std::variant<Refusal, NewValue>(const ConfigurationEntity& current)>;
    /** @brief Compares parameters of a repeated call that are not part of the digest. */
    using ParametersMatch = std::function<bool(const ConfigurationEntity& current)>;
    struct Command;
    using CommandPtr = std::shared_ptr<Command>;

    void run(const CommandOptions& options, std::string key, const std::string& parameters,
        std::optional<Refusal> invalid, Edit edit, Callback done, ParametersMatch parametersMatch = {});
    void read(const CommandPtr& command);
    void readDone(const CommandPtr& command, const absl::StatusOr<StoreSnapshot>& result);
    void readFailed(const CommandPtr& command);
    bool resolveUnknownOutcome(const CommandPtr& command, const ConfigurationEntity& entity, Revision modRevision);
    void evaluate(const CommandPtr& command, const ConfigurationEntity& current, Revision modRevision);
    void commit(const CommandPtr& command, const ConfigurationEntity& next, Revision modRevision);
    void commitDone(const CommandPtr& command, std::uint64_t version, const absl::StatusOr<StoreCommit>& result);
    void retry(const CommandPtr& command);
    void expire(const CommandPtr& command);
    void stored(const CommandPtr& command, std::uint64_t version, Revision revision);
    void refuse(const CommandPtr& command, Refusal refusal, std::uint64_t version = 0);
    void finish(const CommandPtr& command, CommandResult result);
    std::optional<Refusal> checkTeam(const TeamId& team) const;
    std::string generateSalt();

    Runtime& m_runtime;
    Store& m_store;
    Membership& m_membership;
    std::shared_ptr<OperatorCommands*> m_alive = std::make_shared<OperatorCommands*>(this);
};

} // namespace lycheeledge
