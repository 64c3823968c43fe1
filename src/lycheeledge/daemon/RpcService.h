// Executes validated calls of callers and operators on the coordination thread.
#pragma once

#include "../coordination/Authenticator.h"
#include "../coordination/CellController.h"
#include "../coordination/Membership.h"
#include "../coordination/OperatorCommands.h"
#include "../coordination/RequestRouter.h"
#include "../protocol/ApiCodec.h"
#include "../protocol/JsonRpc.h"
#include "Telemetry.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace lycheeledge {

/** @brief A validated call with its key and trace context. */
struct RpcCall {
    RpcRequest request;
    std::string key; ///< `<key id>.<secret>`; empty for none
    std::string traceparent; ///< W3C trace context; RpcService::call() replaces it with that of the call's own span
};

/** @brief The result of a call as JSON text, or an error. */
using RpcOutcome = std::variant<std::string, ApiError>;

/** @brief Authenticates calls and dispatches them by method. */
class RpcService {
public:
    using Done = std::function<void(RpcOutcome)>;

    RpcService(Runtime& runtime, Telemetry& telemetry, Membership& membership, const Authenticator& authenticator,
        OperatorCommands& commands, RequestRouter& router, const CellController& cell);

    /** @param call must have been accepted by ApiSchema. @param done called exactly once. */
    void call(const std::shared_ptr<RpcCall>& call, const Done& done);
    /** @brief Refuses new work during a planned stop; the error says that it was not run. */
    void stopAccepting() { m_stopping = true; }

private:
    using Handler = void (RpcService::*)(const RpcCall&, const Done&);
    struct Method {
        Handler handler;
        bool requiresOperator;
    };

    static const std::map<std::string, Method, std::less<>>& methods();

    void submitWork(const RpcCall& call, const Done& done);
    void cancelWork(const RpcCall& call, const Done& done);
    void queryWork(const RpcCall& call, const Done& done);
    void setTeam(const RpcCall& call, const Done& done);
    void deleteTeam(const RpcCall& call, const Done& done);
    void getTeam(const RpcCall& call, const Done& done);
    void listTeams(const RpcCall& call, const Done& done);
    void createKey(const RpcCall& call, const Done& done);
    void withdrawKey(const RpcCall& call, const Done& done);
    void listKeys(const RpcCall& call, const Done& done);
    void setQueue(const RpcCall& call, const Done& done);
    void deleteQueue(const RpcCall& call, const Done& done);
    void listQueues(const RpcCall& call, const Done& done);
    void setPolicy(const RpcCall& call, const Done& done);
    void listPolicies(const RpcCall& call, const Done& done);
    void drainVm(const RpcCall& call, const Done& done);
    void listVms(const RpcCall& call, const Done& done);
    void cellOverview(const RpcCall& call, const Done& done);
    void processStatus(const RpcCall& call, const Done& done);

    Revision version(const std::string& storeKey) const;
    /** @brief Wraps `done` so that the call is counted, and its span ended, when it is answered. */
    Done withTelemetry(const ObservedCall& call, const TeamId& team, const Done& done);
    bool authorizeQuery(const RpcCall& call, const Done& done) const;

    Runtime& m_runtime;
    Telemetry& m_telemetry;
    Membership& m_membership;
    const Authenticator& m_authenticator;
    OperatorCommands& m_commands;
    RequestRouter& m_router;
    const CellController& m_cell;
    bool m_stopping = false;
};

} // namespace lycheeledge
