// Validation and edits of each operator call.

#include "OperatorCommands.h"

#include "Membership.h"
#include "SecretDigest.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace lycheeledge {

namespace {

    constexpr std::size_t maxIdBytes = 128;
    constexpr std::size_t minSecretBytes = 8;
    constexpr std::size_t maxSecretBytes = 256;

    // Ids are parts of store keys. Key ids must not contain dots because `<key id>.<secret>` is split at the first one.
    bool isValidId(const std::string& id, bool allowDots)
    {
        return !id.empty() && id.size() <= maxIdBytes
            && std::all_of(id.begin(), id.end(), [allowDots](unsigned char c) {
                   return absl::ascii_isalnum(c) || c == '-' || c == '_' || (allowDots && c == '.');
               });
    }

    bool isValidSecret(const std::string& secret)
    {
        return secret.size() >= minSecretBytes && secret.size() <= maxSecretBytes
            && std::all_of(secret.begin(), secret.end(), [](unsigned char c) { return absl::ascii_isgraph(c); });
    }

    // Canonical text of a call's parameters: the JSON of the entity without version and history.
    std::string canonicalParameters(std::string_view call, const ConfigurationValue& value)
    {
        return std::string(call)
            .append(" ")
            .append(configurationKey(value))
            .append(" ")
            .append(encodeEntity({ 0, value, {} }));
    }

} // namespace

void OperatorCommands::setTeam(const CommandOptions& options, const Team& team, Callback done)
{
    std::optional<Refusal> invalid;
    if (!isValidId(team.id.value(), true))
        invalid = Refusal { ErrorKind::InvalidArgument, "the team id is malformed", "team" };
    else if (!std::isfinite(team.share) || team.share <= 0)
        invalid = Refusal { ErrorKind::InvalidArgument, "the share must be a positive number", "share" };
    else if (team.upperLimit && team.upperLimit->hasNegative())
        invalid = Refusal { ErrorKind::InvalidArgument, "the upper limit must not be negative", "upperLimit" };
    if (invalid)
        return run(options, {}, {}, invalid, {}, std::move(done));
    run(
        options, teamKey(team.id), canonicalParameters("setTeam", team), invalid,
        [team](const ConfigurationEntity&) { return NewValue(team); }, std::move(done));
}

void OperatorCommands::deleteTeam(const CommandOptions& options, const TeamId& team, Callback done)
{
    const std::string key = teamKey(team);
    run(
        options, key, absl::StrCat("deleteTeam ", key), {},
        [](const ConfigurationEntity& current) -> std::variant<Refusal, NewValue> {
            if (!current.value)
                return Refusal { ErrorKind::NotFound, "the team does not exist", "team" };
            return NewValue();
        },
        std::move(done));
}

void OperatorCommands::createKey(const CommandOptions& options, const KeyId& id, const TeamId& team, KeyRole role,
    const std::string& secret, Callback done)
{
    std::optional<Refusal> invalid;
    if (!isValidId(id.value(), false))
        invalid = Refusal { ErrorKind::InvalidArgument, "the key id is malformed", "key" };
    else if (!isValidSecret(secret))
        invalid = Refusal { ErrorKind::InvalidArgument, "the secret must have 8 to 256 visible characters", "secret" };
    else if (team.empty() != (role == KeyRole::Operator))
        invalid = Refusal { ErrorKind::InvalidArgument, "a team is needed for callers' keys only", "team" };
    const Key keyWithoutSecret { id, team, role, {}, {}, false };
    run(
        options, keyKey(id), canonicalParameters("createKey", keyWithoutSecret), invalid,
        [this, keyWithoutSecret, secret](const ConfigurationEntity& current) -> std::variant<Refusal, NewValue> {
            if (current.value)
                return Refusal { ErrorKind::Conflict, "the key id is in use or was used before", "key" };
            if (auto refusal = keyWithoutSecret.team.empty() ? std::nullopt : checkTeam(keyWithoutSecret.team))
                return *refusal;
            Key key = keyWithoutSecret;
            key.salt = generateSalt();
            key.sha256 = secretDigest(key.salt, secret);
            return NewValue(key);
        },
        std::move(done),
        // The parameter digest excludes the secret, because an unsalted digest would allow guessing it.
        [secret](const ConfigurationEntity& current) {
            const auto* key = current.value ? std::get_if<Key>(&*current.value) : nullptr;
            return key && digestsEqual(secretDigest(key->salt, secret), key->sha256);
        });
}

void OperatorCommands::withdrawKey(const CommandOptions& options, const KeyId& id, Callback done)
{
    const std::string key = keyKey(id);
    run(
        options, key, absl::StrCat("withdrawKey ", key), {},
        [](const ConfigurationEntity& current) -> std::variant<Refusal, NewValue> {
            const auto* found = current.value ? std::get_if<Key>(&*current.value) : nullptr;
            if (!found)
                return Refusal { ErrorKind::NotFound, "the key does not exist", "key" };
            Key withdrawn = *found;
            withdrawn.withdrawn = true;
            return NewValue(withdrawn);
        },
        std::move(done));
}

void OperatorCommands::setQueue(const CommandOptions& options, const Queue& queue, Callback done)
{
    std::optional<Refusal> invalid;
    if (!isValidId(queue.id.value(), true))
        invalid = Refusal { ErrorKind::InvalidArgument, "the queue id is malformed", "queue" };
    run(
        options, queueKey(queue.id), canonicalParameters("setQueue", queue), invalid,
        [this, queue](const ConfigurationEntity&) -> std::variant<Refusal, NewValue> {
            if (auto refusal = checkTeam(queue.team))
                return *refusal;
            return NewValue(queue);
        },
        std::move(done));
}

void OperatorCommands::deleteQueue(const CommandOptions& options, const QueueId& queue, Callback done)
{
    const std::string key = queueKey(queue);
    run(
        options, key, absl::StrCat("deleteQueue ", key), {},
        [](const ConfigurationEntity& current) -> std::variant<Refusal, NewValue> {
            if (!current.value)
                return Refusal { ErrorKind::NotFound, "the queue does not exist", "queue" };
            return NewValue();
        },
        std::move(done));
}

void OperatorCommands::setPolicy(const CommandOptions& options, const KindPolicy& policy, Callback done)
{
    std::optional<Refusal> invalid;
    if (policy.maxAttempts == 0)
        invalid = Refusal { ErrorKind::InvalidArgument, "at least one attempt is needed", "maxAttempts" };
    run(
        options, policyKey(policy.kind), canonicalParameters("setPolicy", policy), invalid,
        [policy](const ConfigurationEntity&) { return NewValue(policy); }, std::move(done));
}

void OperatorCommands::drainVm(const CommandOptions& options, const VmId& vm, Callback done)
{
    std::optional<Refusal> invalid;
    if (!isValidId(vm.value(), true))
        invalid = Refusal { ErrorKind::InvalidArgument, "the VM id is malformed", "vm" };
    const std::string key = vmDrainKey(vm);
    run(
        options, key, absl::StrCat("drainVm ", key), invalid,
        [vm](const ConfigurationEntity&) { return NewValue(VmDrain { vm }); }, std::move(done));
}

void OperatorCommands::undrainVm(const CommandOptions& options, const VmId& vm, Callback done)
{
    const std::string key = vmDrainKey(vm);
    run(
        options, key, absl::StrCat("undrainVm ", key), {},
        [](const ConfigurationEntity& current) -> std::variant<Refusal, NewValue> {
            if (!current.value)
                return Refusal { ErrorKind::NotFound, "the VM is not drained", "vm" };
            return NewValue();
        },
        std::move(done));
}

std::optional<OperatorCommands::Refusal> OperatorCommands::checkTeam(const TeamId& team) const
{
    if (m_membership.configuration().teams.contains(team))
        return std::nullopt;
    return Refusal { ErrorKind::NotFound, "the team does not exist", "team" };
}

std::string OperatorCommands::generateSalt()
{
    std::string salt;
    for (int i = 0; i < 2; ++i)
        absl::StrAppend(&salt, absl::Hex(m_runtime.random(), absl::kZeroPad16));
    return salt;
}

} // namespace lycheeledge
