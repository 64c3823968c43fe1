// JSON-RPC 2.0 requests and responses.
#pragma once

#include "ApiError.h"

#include <rapidjson/document.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

namespace lycheeledge {

/** @brief A parsed request. */
struct RpcRequest {
    std::string id = "null"; ///< JSON text of a string or number, echoed in the response
    std::string method;
    rapidjson::Document params; ///< always an object
};

/** @brief Error response to an invalid request. */
struct RpcErrorResponse {
    std::string id = "null"; ///< JSON text of the request's id; null if it could not be read
    int code = 0; ///< JSON-RPC error code
    ApiError error;
};

/** @brief A parsed response. */
struct RpcResponse {
    std::string id = "null";
    std::variant<rapidjson::Document, ApiError> outcome;

    bool ok() const { return outcome.index() == 0; }
    const rapidjson::Document& result() const { return std::get<0>(outcome); }
    const ApiError& error() const { return std::get<1>(outcome); }
};

/** @brief Parses a request body. Batches and notifications are rejected. @param maxBytes size limit of the body. */
std::variant<RpcRequest, RpcErrorResponse> parseRpcRequest(std::string_view body, std::size_t maxBytes);

/**
 * @brief Parses a response body.
 * @return an error of kind `Truncated` with run state `Unknown` if the body is not a JSON-RPC response.
 */
RpcResponse parseRpcResponse(std::string_view body);

/** @param id JSON text. @param params JSON text of an object. */
std::string writeRpcRequest(std::string_view id, std::string_view method, std::string_view params);
/** @param id JSON text. @param result JSON text. */
std::string writeRpcResult(std::string_view id, std::string_view result);
std::string writeRpcError(std::string_view id, int code, const ApiError& error);
std::string writeRpcError(std::string_view id, const ApiError& error);

/** @brief JSON-RPC error code for a method that does not exist. */
constexpr int methodNotFoundCode = -32601;

/** @brief JSON-RPC error code for a kind of error. */
int rpcCode(ErrorKind kind);
/** @brief HTTP status for a kind of error. */
int httpStatus(ErrorKind kind);

/** @brief Text as a quoted and escaped JSON string. */
std::string jsonString(std::string_view text);
/** @brief JSON text of a value. */
std::string jsonText(const rapidjson::Value& value);

} // namespace lycheeledge
