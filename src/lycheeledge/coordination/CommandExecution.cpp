// Execution of operators' configuration changes: compare-and-swap, lost responses, waiting until a change is in force.

#include "Membership.h"
#include "OperatorCommands.h"
#include "SecretDigest.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace lycheeledge {

namespace {

    constexpr std::size_t maxHistoryEntries = 16;
    constexpr std::size_t maxIdempotencyKeyBytes = 128; // each history entry contains the key
    constexpr Duration callTimeout = std::chrono::seconds(10);
    constexpr Duration initialBackoff = std::chrono::milliseconds(10);
    constexpr Duration maxBackoff = std::chrono::milliseconds(500);

    const CommandRecord* findRecord(const ConfigurationEntity& entity, const std::string& idempotencyKey)
    {
        const auto it = std::find_if(entity.history.begin(), entity.history.end(),
            [&](const CommandRecord& record) { return record.idempotencyKey == idempotencyKey; });
        return it == entity.history.end() ? nullptr : &*it;
    }

} // namespace

/** @brief A call in progress. */
struct OperatorCommands::Command {
    std::string key; ///< store key of the entity
    std::string idempotencyKey;
    std::string parameterDigest;
    std::optional<std::uint64_t> expectedVersion;
    Edit edit;
    ParametersMatch parametersMatch;
    Callback done; ///< empty once the caller has been answered
    Runtime::TimerId timer = 0;
    Duration backoff = initialBackoff;

    bool committing = false; ///< a write is in progress
    bool maybeStored = false; ///< a write with a lost response may have been applied, or may still be
    Revision baseRevision = 0; ///< modification revision of the entity that the last write requires
    std::uint64_t baseVersion = 0; ///< version of the entity that the last write replaces
};

OperatorCommands::OperatorCommands(Runtime& runtime, Store& store, Membership& membership)
    : m_runtime(runtime)
    , m_store(store)
    , m_membership(membership)
{
}

void OperatorCommands::run(const CommandOptions& options, std::string key, const std::string& parameters,
    std::optional<Refusal> invalid, Edit edit, Callback done, ParametersMatch parametersMatch)
{
    const std::size_t n = options.idempotencyKey.size();
    if (!invalid && (n == 0 || n > maxIdempotencyKeyBytes))
        invalid
            = Refusal { ErrorKind::InvalidArgument, "the idempotency key must have 1 to 128 bytes", "idempotencyKey" };
    auto command = std::make_shared<Command>();
    command->key = std::move(key);
    command->idempotencyKey = options.idempotencyKey;
    command->parameterDigest = sha256OfText(parameters);
    command->expectedVersion = options.expectedVersion;
    command->edit = std::move(edit);
    command->parametersMatch = std::move(parametersMatch);
    command->done = std::move(done);
    const std::weak_ptr<OperatorCommands*> alive = m_alive;
    if (invalid) {
        m_runtime.post([this, alive, command, refusal = *invalid] {
            if (!alive.expired())
                refuse(command, refusal);
        });
        return;
    }
    command->timer = m_runtime.after(callTimeout, [this, alive, command] {
        if (!alive.expired())
            expire(command);
    });
    read(command);
}

void OperatorCommands::read(const CommandPtr& command)
{
    const std::weak_ptr<OperatorCommands*> alive = m_alive;
    m_store.read({ { command->key, 0, true } }, [this, alive, command](const absl::StatusOr<StoreSnapshot>& result) {
        if (!alive.expired() && command->done)
            readDone(command, result);
    });
}

void OperatorCommands::readDone(const CommandPtr& command, const absl::StatusOr<StoreSnapshot>& result)
{
    if (!result.ok() || result->ranges.size() != 1)
        return readFailed(command);
    ConfigurationEntity entity;
    Revision modRevision = 0;
    if (!result->ranges[0].empty()) {
        const auto& entry = result->ranges[0].front();
        modRevision = entry.modRevision;
        auto decoded = decodeEntity(entry.key, entry.value);
        if (!decoded) {
            LOG(ERROR) << "[membership] malformed entity " << entry.key << " at revision " << modRevision;
            return refuse(command, { ErrorKind::Internal, "the stored entity is malformed", {} });
        }
        entity = std::move(*decoded);
    }
    if (const auto* record = findRecord(entity, command->idempotencyKey)) {
        const bool same = record->parameterDigest == command->parameterDigest
            && (!command->parametersMatch || command->parametersMatch(entity));
        if (same)
            return stored(command, record->version, modRevision);
        return refuse(command,
            { ErrorKind::Conflict, "the idempotency key was used with other parameters", "idempotencyKey" },
            entity.version);
    }
    if (resolveUnknownOutcome(command, entity, modRevision))
        evaluate(command, entity, modRevision);
}

void OperatorCommands::readFailed(const CommandPtr& command)
{
    if (command->maybeStored)
        return retry(command);
    refuse(command, { ErrorKind::Unavailable, "the store is unavailable; the change is not stored", {} });
}

bool OperatorCommands::resolveUnknownOutcome(
    const CommandPtr& command, const ConfigurationEntity& entity, Revision modRevision)
{
    if (!command->maybeStored || modRevision == command->baseRevision)
        return true; // repeating the write with the same condition applies it at most once
    if (entity.version >= command->baseVersion + maxHistoryEntries) {
        // The record of this call may have been evicted from the history.
        expire(command);
        return false;
    }
    command->maybeStored = false; // the write's condition can no longer hold
    return true;
}

void OperatorCommands::evaluate(const CommandPtr& command, const ConfigurationEntity& current, Revision modRevision)
{
    const std::uint64_t visibleVersion = current.value ? current.version : 0;
    if (command->expectedVersion && *command->expectedVersion != visibleVersion
        && *command->expectedVersion != current.version) {
        return refuse(command,
            { ErrorKind::Conflict, "the entity has another version than expected", "expectedVersion" },
            current.version);
    }
    auto edited = command->edit(current);
    if (auto* refusal = std::get_if<Refusal>(&edited))
        return refuse(command, std::move(*refusal), current.version);
    ConfigurationEntity next = current;
    next.version = current.version + 1;
    next.value = std::get<NewValue>(std::move(edited));
    next.history.push_back({ command->idempotencyKey, command->parameterDigest, next.version });
    if (next.history.size() > maxHistoryEntries)
        next.history.erase(next.history.begin(), next.history.end() - maxHistoryEntries);
    command->baseRevision = modRevision;
    command->baseVersion = current.version;
    commit(command, next, modRevision);
}

void OperatorCommands::commit(const CommandPtr& command, const ConfigurationEntity& next, Revision modRevision)
{
    StoreTransaction transaction;
    transaction.conditions.push_back({ command->key, modRevision });
    transaction.puts.push_back({ command->key, encodeEntity(next), std::nullopt });
    command->committing = true;
    const std::weak_ptr<OperatorCommands*> alive = m_alive;
    m_store.commit(std::move(transaction),
        [this, alive, command, version = next.version](const absl::StatusOr<StoreCommit>& result) {
            if (!alive.expired() && command->done)
                commitDone(command, version, result);
        });
}

void OperatorCommands::commitDone(
    const CommandPtr& command, std::uint64_t version, const absl::StatusOr<StoreCommit>& result)
{
    command->committing = false;
    if (result.ok() && result->applied)
        return stored(command, version, result->revision);
    if (absl::IsResourceExhausted(result.status()) && !command->maybeStored)
        return refuse(command, { ErrorKind::TooLarge, "the entity is too large", {} });
    if (absl::IsUnavailable(result.status()) && !command->maybeStored)
        return readFailed(command);
    if (!result.ok() && !absl::IsUnavailable(result.status()))
        command->maybeStored = true;
    retry(command);
}

void OperatorCommands::retry(const CommandPtr& command)
{
    const Duration jitter(static_cast<Duration::rep>(m_runtime.random() % command->backoff.count()));
    const Duration wait = command->backoff / 2 + jitter;
    command->backoff = std::min(command->backoff * 2, maxBackoff);
    const std::weak_ptr<OperatorCommands*> alive = m_alive;
    m_runtime.after(wait, [this, alive, command] {
        if (!alive.expired() && command->done)
            read(command);
    });
}

void OperatorCommands::expire(const CommandPtr& command)
{
    CommandResult result;
    result.error = ErrorKind::Unavailable;
    if (command->maybeStored || command->committing) {
        result.stored = Stored::Unknown;
        result.message = "the change may be stored; repeat the call with the same idempotency key";
    } else {
        result.message = "the store did not answer in time; the change is not stored";
    }
    finish(command, std::move(result));
}

void OperatorCommands::stored(const CommandPtr& command, std::uint64_t version, Revision revision)
{
    m_runtime.cancel(command->timer);
    const std::weak_ptr<OperatorCommands*> alive = m_alive;
    m_membership.whenInForce(revision, [this, alive, command, version](const InForceResult& inForce) {
        if (alive.expired())
            return;
        CommandResult result;
        result.version = version;
        result.inForce = inForce.inForce;
        result.waitingFor = inForce.waitingFor;
        result.stored = Stored::Yes;
        finish(command, std::move(result));
    });
}

void OperatorCommands::refuse(const CommandPtr& command, Refusal refusal, std::uint64_t version)
{
    CommandResult result;
    result.version = version;
    result.error = refusal.error;
    result.message = std::move(refusal.message);
    result.field = std::move(refusal.field);
    result.stored = command->maybeStored ? Stored::Unknown : Stored::No;
    finish(command, std::move(result));
}

void OperatorCommands::finish(const CommandPtr& command, CommandResult result)
{
    m_runtime.cancel(command->timer);
    if (const auto done = std::exchange(command->done, {}))
        done(result);
}

} // namespace lycheeledge
