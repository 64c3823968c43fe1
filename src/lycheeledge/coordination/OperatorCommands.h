// Operators' changes of the configuration.
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
    std::string idempotencyKey; ///< repeated calls with the same key and parameters change nothing more
    std::optional<std::uint64_t> expectedVersion; ///< the call fails if the entity has another; 0 for no entity
};

/** @brief Whether a change is in the store. */
enum class Stored { No, Yes, Unknown };

/** @brief Result of a mutating call. */
struct CommandResult {
    std::uint64_t version = 0; ///< version that resulted from this change; on a conflict the current one
    bool inForce = false; ///< no process that serves uses an older configuration
    std::vector<MemberId> waitingFor; ///< members that may still serve with an older configuration
    Stored stored = Stored::No;
    ErrorKind error = ErrorKind::None;
    std::string message;
    std::string field; ///< parameter at fault, if any

    bool operator==(const CommandResult&) const = default;
    bool ok() const { return error == ErrorKind::None; }
};

/**
 * @brief Changes the configuration in the store by compare-and-swap, then waits until the change is in force.
 *
 * Each entity keeps its last 16 calls. A repeated call finds its record there and returns the first result; so does a
 * call whose answer from the store was lost.
 */
class OperatorCommands {
public:
    using Callback = std::function<void(const CommandResult&)>;

    OperatorCommands(Runtime& runtime, Store& store, Membership& membership);
    OperatorCommands(const OperatorCommands&) = delete;
    OperatorCommands& operator=(const OperatorCommands&) = delete;

    void setTeam(const CommandOptions& options, const Team& team, Callback done);
    void deleteTeam(const CommandOptions& options, const TeamId& team, Callback done);
    /** @brief Creates a key. @param secret chosen by the caller; only a salted digest of it is stored. */
    void createKey(const CommandOptions& options, const KeyId& id, const TeamId& team, KeyRole role,
        const std::string& secret, Callback done);
    /** @brief Withdraws a key. Its id cannot be used again. */
    void withdrawKey(const CommandOptions& options, const KeyId& id, Callback done);
    void setQueue(const CommandOptions& options, const Queue& queue, Callback done);
    void deleteQueue(const CommandOptions& options, const QueueId& queue, Callback done);
    void setPolicy(const CommandOptions& options, const KindPolicy& policy, Callback done);
    /** @brief Marks a VM, so that it gets no new work. */
    void drainVm(const CommandOptions& options, const VmId& vm, Callback done);
    void undrainVm(const CommandOptions& options, const VmId& vm, Callback done);

private:
    struct Refusal {
        ErrorKind error = ErrorKind::None;
        std::string message;
        std::string field;
    };
    using NewValue = std::optional<ConfigurationValue>; ///< none deletes the entity
    using Edit = std::function<std::variant<Refusal, NewValue>(const ConfigurationEntity& current)>;
    /** @brief Whether a repeated call has the parameters of the first, beyond their digest. */
    using SameParameters = std::function<bool(const ConfigurationEntity& current)>;
    struct Command;
    using CommandPtr = std::shared_ptr<Command>;

    void run(const CommandOptions& options, std::string key, const std::string& parameters,
        std::optional<Refusal> invalid, Edit edit, Callback done, SameParameters sameParameters = {});
    void read(const CommandPtr& command);
    void readDone(const CommandPtr& command, const absl::StatusOr<StoreSnapshot>& result);
    void readFailed(const CommandPtr& command);
    bool resolveLostAnswer(const CommandPtr& command, const ConfigurationEntity& entity, Revision modRevision);
    void evaluate(const CommandPtr& command, const ConfigurationEntity& current, Revision modRevision);
    void commit(const CommandPtr& command, const ConfigurationEntity& next, Revision modRevision);
    void commitDone(const CommandPtr& command, std::uint64_t version, const absl::StatusOr<StoreCommit>& result);
    void retry(const CommandPtr& command);
    void expire(const CommandPtr& command);
    void stored(const CommandPtr& command, std::uint64_t version, Revision revision);
    void refuse(const CommandPtr& command, Refusal refusal, std::uint64_t version = 0);
    void finish(const CommandPtr& command, CommandResult result);
    std::optional<Refusal> checkTeam(const TeamId& team) const;
    std::string makeSalt();

    Runtime& m_runtime;
    Store& m_store;
    Membership& m_membership;
    std::shared_ptr<OperatorCommands*> m_alive = std::make_shared<OperatorCommands*>(this);
};

} // namespace lycheeledge
