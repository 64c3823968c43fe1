// API methods for callers and operators, as described by schema/api.json.
#pragma once

#include "ApiError.h"
#include "JsonRpc.h"
#include "JsonSchema.h"

#include <rapidjson/document.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheeledge {

/** @brief Validates API calls against the schema. Thread-safe. */
class ApiSchema {
public:
    /** @brief Compiles the schema embedded in the program. */
    ApiSchema();

    /** @brief Names of all methods, sorted. */
    std::vector<std::string> methods() const;
    bool hasMethod(std::string_view method) const;
    /** @brief Whether the method requires an operator's key; true for an unknown method. */
    bool isForOperators(std::string_view method) const;
    /** @brief Whether the method changes the configuration; false for an unknown method. */
    bool isMutating(std::string_view method) const;
    /** @brief Method object in the schema; nullptr for an unknown method. */
    const rapidjson::Value* description(std::string_view method) const;

    /** @brief Checks method and parameters of a call. @return the error response to send if they are invalid. */
    std::optional<RpcErrorResponse> check(const RpcRequest& request) const;
    /** @brief Checks parameters. @return nothing if the method exists and the parameters are valid. */
    std::optional<ApiError> checkParams(std::string_view method, const rapidjson::Value& params) const;
    /** @brief Checks a result. Used by tests and clients. */
    std::optional<ApiError> checkResult(std::string_view method, const rapidjson::Value& result) const;

private:
    struct Method {
        JsonSchema params;
        JsonSchema result;
        const rapidjson::Value* description; ///< in m_schema
        bool forOperators;
        bool mutating;
    };

    const Method* find(std::string_view method) const;
    rapidjson::Document paramsSchema(const rapidjson::Value& method) const;
    rapidjson::Document resultSchema(const rapidjson::Value& method) const;

    rapidjson::Document m_schema;
    std::map<std::string, Method, std::less<>> m_methods;
};

} // namespace lycheeledge
