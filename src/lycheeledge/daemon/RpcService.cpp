// Executes validated calls of callers and operators on the coordination thread.

#include "RpcService.h"

#include "../coordination/ConfigurationCodec.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <utility>
#include <vector>

namespace lycheeledge {

namespace {

    // The caller's connection stays open until the reply, so the handler timeout of the HTTP server must be larger.
    constexpr Duration maxRequestDeadline = std::chrono::minutes(10);

    std::string stringParam(const RpcCall& call, const char* name)
    {
        const auto it = call.request.params.FindMember(name);
        return it == call.request.params.MemberEnd() ? std::string() : std::string(it->value.GetString());
    }

    CommandOptions commandOptions(const RpcCall& call)
    {
        const ChangeHeader header = decodeChangeHeader(call.request.params);
        CommandOptions options;
        options.idempotencyKey = header.idempotencyKey;
        if (header.expectedVersion)
            options.expectedVersion = static_cast<std::uint64_t>(*header.expectedVersion);
        return options;
    }

    RunState toRunState(Stored stored)
    {
        switch (stored) {
        case Stored::No:
            return RunState::NotRun;
        case Stored::Yes:
            return RunState::Run;
        case Stored::Unknown:
            break;
        }
        return RunState::Unknown;
    }

    OperatorCommands::Callback replyWithChange(const RpcService::Done& done)
    {
        return [done](const CommandResult& result) {
            if (!result.ok()) {
                done(ApiError { result.error, result.message, result.field, toRunState(result.stored) });
                return;
            }
            ChangeResult change;
            change.version = static_cast<Revision>(result.version);
            change.inForce = result.inForce;
            change.waitingFor = result.waitingFor;
            done(encodeChange(change));
        };
    }

    std::function<void(absl::StatusOr<std::optional<WorkStatus>>)> replyWithStatus(const RpcService::Done& done)
    {
        return [done](const absl::StatusOr<std::optional<WorkStatus>>& status) {
            if (!status.ok())
                done(ApiError { ErrorKind::Unavailable, std::string(status.status().message()), "", RunState::NotRun });
            else if (!*status)
                done(ApiError { ErrorKind::NotFound, "no such work, or it ended more than 10 min ago", "/requestId",
                    RunState::NotRun });
            else
                done(encodeWorkStatus(**status));
        };
    }

    // Work that another team submits to an open queue gets a request id of its own, so that the submitter cannot attach
    // to work of the owning team by guessing a request id. '@' is not allowed in a caller's request id.
    RequestId openQueueRequestId(const WorkSpec& spec)
    {
        return RequestId("open@" + spec.queue.value() + "@" + spec.id.request.value());
    }

} // namespace

RpcService::RpcService(Runtime& runtime, Telemetry& telemetry, Membership& membership,
    const Authenticator& authenticator, OperatorCommands& commands, RequestRouter& router, const CellController& cell)
    : m_runtime(runtime)
    , m_telemetry(telemetry)
    , m_membership(membership)
    , m_authenticator(authenticator)
    , m_commands(commands)
    , m_router(router)
    , m_cell(cell)
{
}

const std::map<std::string, RpcService::Method, std::less<>>& RpcService::methods()
{
    static const std::map<std::string, Method, std::less<>> handlers {
        { "work.submit", { &RpcService::submitWork, false } },
        { "work.cancel", { &RpcService::cancelWork, false } },
        { "work.status", { &RpcService::queryWork, false } },
        { "team.set", { &RpcService::setTeam, true } },
        { "team.delete", { &RpcService::deleteTeam, true } },
        { "team.get", { &RpcService::getTeam, true } },
        { "team.list", { &RpcService::listTeams, true } },
        { "key.create", { &RpcService::createKey, true } },
        { "key.withdraw", { &RpcService::withdrawKey, true } },
        { "key.list", { &RpcService::listKeys, true } },
        { "queue.set", { &RpcService::setQueue, true } },
        { "queue.delete", { &RpcService::deleteQueue, true } },
        { "queue.list", { &RpcService::listQueues, true } },
        { "policy.set", { &RpcService::setPolicy, true } },
        { "policy.list", { &RpcService::listPolicies, true } },
        { "vm.drain", { &RpcService::drainVm, true } },
        { "vm.list", { &RpcService::listVms, true } },
        { "cell.overview", { &RpcService::cellOverview, true } },
        { "process.status", { &RpcService::processStatus, true } },
    };
    return handlers;
}

void RpcService::call(const std::shared_ptr<RpcCall>& call, const Done& done)
{
    const auto observedCall = m_telemetry.calls().begin(call->request.method, call->traceparent, m_runtime.now());
    call->traceparent = formatTraceparent(observedCall.context);
    const Done reply = withTelemetry(observedCall, TeamId(stringParam(*call, "team")), done);
    const auto it = methods().find(call->request.method);
    if (it == methods().end()) {
        reply(ApiError { ErrorKind::NotFound, "no such method", "", RunState::NotRun });
        return;
    }
    if (it->second.requiresOperator) {
        const auto operatorKey = m_authenticator.authenticateOperator(call->key);
        if (!operatorKey.ok()) {
            reply(ApiError { operatorKey.error, operatorKey.message, "", RunState::NotRun });
            return;
        }
    }
    (this->*it->second.handler)(*call, reply);
}

RpcService::Done RpcService::withTelemetry(const ObservedCall& call, const TeamId& team, const Done& done)
{
    return [this, call, team, done](const RpcOutcome& outcome) {
        const auto* error = std::get_if<ApiError>(&outcome);
        m_telemetry.calls().end(call, error ? error->kind : ErrorKind::None, team, m_runtime.now());
        done(outcome);
    };
}

void RpcService::submitWork(const RpcCall& call, const Done& done)
{
    if (m_stopping) {
        done(ApiError { ErrorKind::Unavailable, "this process is stopping", "", RunState::NotRun });
        return;
    }
    WorkSpec spec;
    if (const auto error = decodeWorkSpec(call.request.params, spec)) {
        done(*error);
        return;
    }
    if (spec.kind == WorkKind::Request && spec.deadline > maxRequestDeadline) {
        done(ApiError { ErrorKind::InvalidArgument, "the deadline of a request is at most 600000 ms", "/deadlineMs",
            RunState::NotRun });
        return;
    }
    const auto authorization = m_authenticator.authorizeSubmit(call.key, spec);
    if (!authorization.ok()) {
        done(ApiError { authorization.error, authorization.message, authorization.field, RunState::NotRun });
        return;
    }
    const WorkId callerWorkId = spec.id;
    if (authorization.viaOpenQueue)
        spec.id.request = openQueueRequestId(spec);
    spec.id.team = authorization.team;
    m_router.submit(std::move(spec), call.traceparent, [done, callerWorkId](WorkResult result) {
        result.id = callerWorkId;
        if (result.ok())
            done(encodeWorkResult(result));
        else
            done(toApiError(result));
    });
}

bool RpcService::authorizeQuery(const RpcCall& call, const Done& done) const
{
    const auto identity = m_authenticator.authenticate(call.key);
    if (!identity.ok()) {
        done(ApiError { identity.error, identity.message, "", RunState::NotRun });
        return false;
    }
    const bool allowed = identity.identity.role == KeyRole::Operator
        || identity.identity.team == decodeWorkId(call.request.params).team;
    if (!allowed)
        done(ApiError { ErrorKind::WrongTeam, "the key belongs to another team", "/team", RunState::NotRun });
    return allowed;
}

void RpcService::cancelWork(const RpcCall& call, const Done& done)
{
    if (authorizeQuery(call, done))
        m_router.cancel(decodeWorkId(call.request.params), replyWithStatus(done));
}

void RpcService::queryWork(const RpcCall& call, const Done& done)
{
    if (authorizeQuery(call, done))
        m_router.status(decodeWorkId(call.request.params), replyWithStatus(done));
}

void RpcService::setTeam(const RpcCall& call, const Done& done)
{
    m_commands.setTeam(commandOptions(call), decodeTeam(call.request.params), replyWithChange(done));
}

void RpcService::deleteTeam(const RpcCall& call, const Done& done)
{
    m_commands.deleteTeam(commandOptions(call), TeamId(stringParam(call, "id")), replyWithChange(done));
}

Revision RpcService::version(const std::string& storeKey) const
{
    return static_cast<Revision>(m_membership.versionOf(storeKey));
}

void RpcService::getTeam(const RpcCall& call, const Done& done)
{
    const auto& teams = m_membership.configuration().teams;
    const auto it = teams.find(TeamId(stringParam(call, "id")));
    if (it == teams.end())
        done(ApiError { ErrorKind::NotFound, "no such team", "/id", RunState::NotRun });
    else
        done(encodeTeam(it->second, version(teamKey(it->first))));
}

void RpcService::listTeams(const RpcCall&, const Done& done)
{
    std::vector<std::string> elements;
    for (const auto& [id, team] : m_membership.configuration().teams)
        elements.push_back(encodeTeam(team, version(teamKey(id))));
    done(encodeList(elements));
}

void RpcService::createKey(const RpcCall& call, const Done& done)
{
    // Only id, team and role are used; createKey() salts and hashes the secret.
    Key key;
    if (const auto error = decodeKey(call.request.params, "", key)) {
        done(*error);
        return;
    }
    m_commands.createKey(
        commandOptions(call), key.id, key.team, key.role, stringParam(call, "secret"), replyWithChange(done));
}

void RpcService::withdrawKey(const RpcCall& call, const Done& done)
{
    m_commands.withdrawKey(commandOptions(call), KeyId(stringParam(call, "id")), replyWithChange(done));
}

void RpcService::listKeys(const RpcCall&, const Done& done)
{
    std::vector<std::string> elements;
    for (const auto& [id, key] : m_membership.configuration().keys)
        elements.push_back(encodeKey(key, version(keyKey(id))));
    done(encodeList(elements));
}

void RpcService::setQueue(const RpcCall& call, const Done& done)
{
    m_commands.setQueue(commandOptions(call), decodeQueue(call.request.params), replyWithChange(done));
}

void RpcService::deleteQueue(const RpcCall& call, const Done& done)
{
    m_commands.deleteQueue(commandOptions(call), QueueId(stringParam(call, "id")), replyWithChange(done));
}

void RpcService::listQueues(const RpcCall&, const Done& done)
{
    std::vector<std::string> elements;
    for (const auto& [id, queue] : m_membership.configuration().queues)
        elements.push_back(encodeQueue(queue, version(queueKey(id))));
    done(encodeList(elements));
}

void RpcService::setPolicy(const RpcCall& call, const Done& done)
{
    m_commands.setPolicy(commandOptions(call), decodePolicy(call.request.params), replyWithChange(done));
}

void RpcService::listPolicies(const RpcCall&, const Done& done)
{
    std::vector<std::string> elements;
    for (const auto& [kind, policy] : m_membership.configuration().policies)
        elements.push_back(encodePolicy(policy, version(policyKey(kind))));
    done(encodeList(elements));
}

void RpcService::drainVm(const RpcCall& call, const Done& done)
{
    const VmId vm(stringParam(call, "id"));
    const auto it = call.request.params.FindMember("drained");
    if (it == call.request.params.MemberEnd() || it->value.GetBool())
        m_commands.drainVm(commandOptions(call), vm, replyWithChange(done));
    else
        m_commands.undrainVm(commandOptions(call), vm, replyWithChange(done));
}

void RpcService::listVms(const RpcCall&, const Done& done)
{
    std::vector<std::string> elements;
    for (const auto& [vm, drained] : m_membership.configuration().drained)
        elements.push_back(encodeVm(vm, drained, version(vmDrainKey(vm))));
    done(encodeList(elements));
}

void RpcService::cellOverview(const RpcCall&, const Done& done)
{
    m_router.overview([done](const absl::StatusOr<std::string>& json) {
        if (json.ok())
            done(*json);
        else
            done(ApiError { ErrorKind::Unavailable, std::string(json.status().message()), "", RunState::NotRun });
    });
}

void RpcService::processStatus(const RpcCall&, const Done& done)
{
    const auto milliseconds = [](Duration value) { return static_cast<double>(value.count()) / 1e6; };
    rapidjson::StringBuffer buf;
    rapidjson::Writer<rapidjson::StringBuffer> out(buf);
    out.StartObject();
    out.Key("member");
    out.String(m_membership.self().id.value().c_str());
    out.Key("zone");
    out.String(m_membership.self().zone.value().c_str());
    out.Key("configurationRevision");
    out.Int64(m_membership.configuration().revision);
    out.Key("fresh");
    out.Bool(m_membership.isFresh());
    out.Key("storeReachable");
    out.Bool(m_membership.storeReachable());
    out.Key("storeContactAgeMs");
    out.Double(milliseconds(m_membership.storeContactAge()));
    out.Key("ownsCell");
    out.Bool(m_cell.isActive());
    out.Key("pendingSubmissions");
    out.Uint64(m_router.pendingSubmissions());
    out.Key("liveMembers");
    out.StartArray();
    for (const MemberId& member : m_membership.liveMembers())
        out.String(member.value().c_str());
    out.EndArray();
    out.EndObject();
    done(std::string(buf.GetString()));
}

} // namespace lycheeledge
