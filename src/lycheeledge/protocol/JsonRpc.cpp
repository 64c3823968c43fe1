// JSON-RPC 2.0 requests and responses.

#include "JsonRpc.h"

#include "JsonObject.h"

#include <fmt/format.h>
#include <rapidjson/error/en.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <optional>
#include <set>
#include <utility>

namespace lycheeledge {

namespace {

    constexpr int parseErrorCode = -32700;
    constexpr int invalidRequestCode = -32600;
    constexpr int invalidParamsCode = -32602;
    constexpr int firstServerErrorCode = -32000; // JSON-RPC reserves -32099 to -32000 for server-defined errors

    constexpr std::size_t maxIdLength = 128;

    // The iterative parser keeps its state on the heap, so deeply nested input cannot overflow the stack.
    constexpr unsigned parseFlags = rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag;

    RpcErrorResponse makeFailure(std::string id, int code, ErrorKind kind, std::string message)
    {
        return { std::move(id), code, { kind, std::move(message), "", RunState::NotRun } };
    }

    bool isVersion2(const rapidjson::Value& root) { return detail::string(root, "jsonrpc") == "2.0"; }

    std::optional<std::string> readId(const rapidjson::Value& root)
    {
        const auto* id = detail::member(root, "id");
        if (id == nullptr || !(id->IsString() || id->IsInt64() || id->IsUint64()))
            return std::nullopt;
        if (id->IsString() && id->GetStringLength() > maxIdLength)
            return std::nullopt;
        return jsonText(*id);
    }

    /** @brief Checks for unknown and duplicate fields. @return an error message; empty if there are none. */
    std::string checkFields(const rapidjson::Value& root)
    {
        std::set<std::string_view> names;
        for (const auto& it : root.GetObject()) {
            const std::string_view name(it.name.GetString(), it.name.GetStringLength());
            if (name != "jsonrpc" && name != "id" && name != "method" && name != "params")
                return fmt::format("'{}' is an unknown field of a request", name);
            if (!names.insert(name).second)
                return fmt::format("'{}' appears twice", name);
        }
        return "";
    }

    std::variant<RpcRequest, RpcErrorResponse> readRequest(rapidjson::Document document)
    {
        if (document.IsArray())
            return makeFailure(
                "null", invalidRequestCode, ErrorKind::InvalidArgument, "batches of calls are not supported");
        if (!document.IsObject())
            return makeFailure("null", invalidRequestCode, ErrorKind::InvalidArgument, "a request must be an object");
        auto id = readId(document);
        if (!id)
            return makeFailure("null", invalidRequestCode, ErrorKind::InvalidArgument,
                fmt::format("'id' must be an integer or a string of at most {} bytes", maxIdLength));
        auto invalid = [&id](std::string message) {
            return makeFailure(*id, invalidRequestCode, ErrorKind::InvalidArgument, std::move(message));
        };
        if (!isVersion2(document))
            return invalid("'jsonrpc' must be \"2.0\"");
        if (auto message = checkFields(document); !message.empty())
            return invalid(std::move(message));
        RpcRequest request { *id, detail::string(document, "method"), {} };
        if (request.method.empty())
            return invalid("'method' must be a string");
        const auto it = document.FindMember("params");
        if (it == document.MemberEnd()) {
            request.params.SetObject();
            return request;
        }
        if (!it->value.IsObject())
            return invalid("'params' must be an object: parameters are passed by name");
        // Swapping makes `params` the root of the parsed document, which owns the strings, and so avoids a copy.
        rapidjson::Value params(std::move(it->value));
        static_cast<rapidjson::Value&>(document).Swap(params);
        request.params = std::move(document);
        return request;
    }

    ApiError readError(const rapidjson::Value& error)
    {
        ApiError result { ErrorKind::Internal, detail::string(error, "message"), "", RunState::Unknown };
        const auto* data = detail::member(error, "data");
        if (data != nullptr && data->IsObject()) {
            result.kind = errorKindFromString(detail::string(*data, "kind"));
            result.field = detail::string(*data, "field");
            result.run = runStateFromString(detail::string(*data, "run"));
        }
        return result;
    }

    RpcResponse unreadableResponse(std::string message)
    {
        return { "null", ApiError { ErrorKind::Truncated, std::move(message), "", RunState::Unknown } };
    }

} // namespace

std::variant<RpcRequest, RpcErrorResponse> parseRpcRequest(std::string_view body, std::size_t maxBytes)
{
    if (body.size() > maxBytes)
        return makeFailure("null", rpcCode(ErrorKind::TooLarge), ErrorKind::TooLarge,
            fmt::format("the body has {} bytes, at most {} are accepted", body.size(), maxBytes));
    // rapidjson treats a zero byte as the end of the text and would ignore everything after it.
    if (body.find('\0') != std::string_view::npos)
        return makeFailure("null", parseErrorCode, ErrorKind::InvalidArgument, "malformed JSON: zero byte");
    rapidjson::Document document;
    document.Parse<parseFlags>(body.data(), body.size());
    if (document.HasParseError())
        return makeFailure("null", parseErrorCode, ErrorKind::InvalidArgument,
            fmt::format("malformed JSON at byte {}: {}", document.GetErrorOffset(),
                rapidjson::GetParseError_En(document.GetParseError())));
    return readRequest(std::move(document));
}

RpcResponse parseRpcResponse(std::string_view body)
{
    rapidjson::Document document;
    document.Parse<parseFlags>(body.data(), body.size());
    if (document.HasParseError() || !document.IsObject() || !isVersion2(document))
        return unreadableResponse("the answer is no JSON-RPC response");
    const auto id = readId(document);
    const auto* error = detail::member(document, "error");
    if (error != nullptr && error->IsObject())
        return { id.value_or("null"), readError(*error) };
    const auto it = document.FindMember("result");
    if (it == document.MemberEnd() || !id)
        return unreadableResponse("the answer has neither a result nor an error");
    rapidjson::Value result(std::move(it->value));
    static_cast<rapidjson::Value&>(document).Swap(result);
    return { *id, std::move(document) };
}

std::string writeRpcRequest(std::string_view id, std::string_view method, std::string_view params)
{
    return fmt::format("{{\"jsonrpc\":\"2.0\",\"id\":{},\"method\":{},\"params\":{}}}", id, jsonString(method), params);
}

std::string writeRpcResult(std::string_view id, std::string_view result)
{
    return fmt::format("{{\"jsonrpc\":\"2.0\",\"id\":{},\"result\":{}}}", id, result);
}

std::string writeRpcError(std::string_view id, int code, const ApiError& error)
{
    detail::JsonBuilder builder;
    builder.begin().field("jsonrpc", "2.0").raw("id", id).key("error");
    builder.begin().field("code", code).field("message", error.message).key("data");
    builder.begin()
        .field("kind", toString(error.kind))
        .field("field", error.field)
        .field("run", toString(error.run))
        .end();
    return builder.end().end().text();
}

std::string writeRpcError(std::string_view id, const ApiError& error)
{
    return writeRpcError(id, rpcCode(error.kind), error);
}

int rpcCode(ErrorKind kind)
{
    return kind == ErrorKind::InvalidArgument ? invalidParamsCode : firstServerErrorCode - static_cast<int>(kind);
}

int httpStatus(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::None:
        return 200;
    case ErrorKind::InvalidArgument:
        return 400;
    case ErrorKind::TooLarge:
        return 413;
    case ErrorKind::Unauthenticated:
        return 401;
    case ErrorKind::WrongTeam:
        return 403;
    case ErrorKind::NotFound:
        return 404;
    case ErrorKind::Conflict:
        return 409;
    case ErrorKind::NeverFits:
        return 422;
    case ErrorKind::Overloaded:
        return 429;
    case ErrorKind::DeadlineExceeded:
        return 504;
    case ErrorKind::Cancelled:
        return 410;
    case ErrorKind::Unavailable:
        return 503;
    case ErrorKind::TaskFailed:
    case ErrorKind::WorkerLost:
    case ErrorKind::Truncated:
        return 502;
    case ErrorKind::Internal:
        break;
    }
    return 500;
}

std::string jsonString(std::string_view text) { return detail::quoted(text); }

std::string jsonText(const rapidjson::Value& value)
{
    rapidjson::StringBuffer buf;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buf);
    value.Accept(writer);
    return { buf.GetString(), buf.GetSize() };
}

} // namespace lycheeledge
