// Operators' changes of the configuration: parameters of each call.

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

    constexpr std::size_t idMax = 128;
    constexpr std::size_t secretMin = 8;
    constexpr std::size_t secretMax = 256;

    // Ids become parts of store keys, and key ids end at the first dot of `<key id>.<secret>`.
    bool validId(const std::string& id, bool dots)
    {
        return !id.empty() && id.size() <= idMax && std::all_of(id.begin(), id.end(), [dots](unsigned char c) {
            return absl::ascii_isalnum(c) || c == '-' || c == '_' || (dots && c == '.');
        });
    }

    bool validSecret(const std::string& secret)
    {
        return secret.size() >= secretMin && secret.size() <= secretMax
            && std::all_of(secret.begin(), secret.end(), [](unsigned char c) { return absl::ascii_isgraph(c); });
    }

    // The JSON form of the entity that the call alone determines; equal parameters give equal texts.
    std::string parametersOf(std::string_view call, const ConfigurationValue& value)
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
    if (!validId(team.id.value(), true))
        invalid = Refusal { ErrorKind::InvalidArgument, "the team id is malformed", "team" };
    else if (!std::isfinite(team.share) || team.share <= 0)
        invalid = Refusal { ErrorKind::InvalidArgument, "the share must be a positive number", "share" };
    else if (team.upperLimit && team.upperLimit->hasNegative())
        invalid = Refusal { ErrorKind::InvalidArgument, "the upper limit must not be negative", "upperLimit" };
    if (invalid)
        return run(options, {}, {}, invalid, {}, std::move(done));
    run(
        options, teamKey(team.id), parametersOf("setTeam", team), invalid,
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
    if (!validId(id.value(), false))
        invalid = Refusal { ErrorKind::InvalidArgument, "the key id is malformed", "key" };
    else if (!validSecret(secret))
        invalid = Refusal { ErrorKind::InvalidArgument, "the secret must have 8 to 256 visible characters", "secret" };
    else if (team.empty() != (role == KeyRole::Operator))
        invalid = Refusal { ErrorKind::InvalidArgument, "a team is needed for callers' keys only", "team" };
    const Key named { id, team, role, {}, {}, false };
    run(
        options, keyKey(id), parametersOf("createKey", named), invalid,
        [this, named, secret](const ConfigurationEntity& current) -> std::variant<Refusal, NewValue> {
            if (current.value)
                return Refusal { ErrorKind::Conflict, "the key id is in use or was used before", "key" };
            if (auto refusal = named.team.empty() ? std::nullopt : checkTeam(named.team))
                return *refusal;
            Key key = named;
            key.salt = makeSalt();
            key.sha256 = secretDigest(key.salt, secret);
            return NewValue(key);
        },
        std::move(done),
        // The digest of the parameters leaves the secret out, since an unsalted digest could be guessed.
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
    if (!validId(queue.id.value(), true))
        invalid = Refusal { ErrorKind::InvalidArgument, "the queue id is malformed", "queue" };
    run(
        options, queueKey(queue.id), parametersOf("setQueue", queue), invalid,
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
        options, policyKey(policy.kind), parametersOf("setPolicy", policy), invalid,
        [policy](const ConfigurationEntity&) { return NewValue(policy); }, std::move(done));
}

void OperatorCommands::drainVm(const CommandOptions& options, const VmId& vm, Callback done)
{
    std::optional<Refusal> invalid;
    if (!validId(vm.value(), true))
        invalid = Refusal { ErrorKind::InvalidArgument, "the VM id is malformed", "vm" };
    const std::string key = drainKey(vm);
    run(
        options, key, absl::StrCat("drainVm ", key), invalid,
        [vm](const ConfigurationEntity&) { return NewValue(DrainMark { vm }); }, std::move(done));
}

void OperatorCommands::undrainVm(const CommandOptions& options, const VmId& vm, Callback done)
{
    const std::string key = drainKey(vm);
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

std::string OperatorCommands::makeSalt()
{
    std::string salt;
    for (int i = 0; i < 2; ++i)
        absl::StrAppend(&salt, absl::Hex(m_runtime.random(), absl::kZeroPad16));
    return salt;
}

} // namespace lycheeledge
