// Authentication of keys and authorization of submissions.

#include "Authenticator.h"

#include "Membership.h"
#include "SecretDigest.h"

#include <utility>

namespace lycheeledge {

namespace {

    // Unknown keys are compared with this one, so that the response time does not reveal whether a key exists.
    const Key& placeholderKey()
    {
        static const Key key { KeyId(), TeamId(), KeyRole::Caller, std::string(32, '0'), std::string(64, '0'), true };
        return key;
    }

    AuthenticationResult refuse(ErrorKind error, std::string message)
    {
        return { error, std::move(message), Identity {} };
    }

    SubmitAuthorization refuseSubmit(ErrorKind error, std::string message, std::string field)
    {
        return { error, std::move(message), std::move(field), TeamId(), false };
    }

} // namespace

Authenticator::Authenticator(const Membership& membership, std::optional<Key> bootstrapKey)
    : m_membership(membership)
    , m_bootstrapKey(std::move(bootstrapKey))
{
}

const Key* Authenticator::findKey(const KeyId& id) const
{
    if (m_bootstrapKey && m_bootstrapKey->id == id)
        return &*m_bootstrapKey;
    const auto& keys = m_membership.configuration().keys;
    const auto it = keys.find(id);
    return it == keys.end() ? nullptr : &it->second;
}

AuthenticationResult Authenticator::authenticate(std::string_view key) const
{
    if (!m_membership.isFresh())
        return refuse(ErrorKind::Unavailable, "the configuration of this process is not current");
    const auto dot = key.find('.');
    const bool wellFormed = dot != std::string_view::npos;
    const Key* found = wellFormed ? findKey(KeyId(std::string(key.substr(0, dot)))) : nullptr;
    const Key& candidate = found ? *found : placeholderKey();
    const std::string_view secret = wellFormed ? key.substr(dot + 1) : key;
    const bool matches = digestsEqual(secretDigest(candidate.salt, secret), candidate.sha256);
    if (!found || !matches || candidate.withdrawn)
        return refuse(ErrorKind::Unauthenticated, "the key is unknown or withdrawn");
    return { ErrorKind::None, {}, { candidate.id, candidate.role, candidate.team } };
}

AuthenticationResult Authenticator::authenticateOperator(std::string_view key) const
{
    auto result = authenticate(key);
    if (result.ok() && result.identity.role != KeyRole::Operator)
        return refuse(ErrorKind::WrongTeam, "the key does not belong to an operator");
    return result;
}

SubmitAuthorization Authenticator::authorizeSubmit(std::string_view key, const WorkSpec& spec) const
{
    if (!m_membership.isFresh())
        return refuseSubmit(ErrorKind::Unavailable, "the configuration of this process is not current", {});
    Identity identity;
    if (!key.empty()) {
        auto result = authenticate(key);
        if (!result.ok())
            return refuseSubmit(result.error, std::move(result.message), {});
        identity = std::move(result.identity);
    }
    const auto& configuration = m_membership.configuration();
    TeamId team = identity.team;
    bool openQueue = false;
    if (!spec.queue.empty()) {
        const auto it = configuration.queues.find(spec.queue);
        if (it == configuration.queues.end())
            return refuseSubmit(ErrorKind::NotFound, "the queue does not exist", "queue");
        openQueue = it->second.openToAll;
        if (openQueue)
            team = it->second.team;
        else if (!team.empty() && it->second.team != team)
            return refuseSubmit(ErrorKind::WrongTeam, "the queue belongs to another team", "queue");
    }
    if (!openQueue && key.empty())
        return refuseSubmit(ErrorKind::Unauthenticated, "a key is required", {});
    if (team.empty())
        return refuseSubmit(ErrorKind::WrongTeam, "an operator's key submits no work", {});
    if (spec.id.team != team && !(openQueue && spec.id.team == identity.team))
        return refuseSubmit(ErrorKind::WrongTeam, "the work is for another team", "team");
    if (!configuration.teams.contains(team))
        return refuseSubmit(ErrorKind::NotFound, "the team does not exist", "team");
    return { ErrorKind::None, {}, {}, team, identity.team != team };
}

} // namespace lycheeledge
