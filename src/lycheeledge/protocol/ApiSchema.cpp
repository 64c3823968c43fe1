// API methods for callers and operators, as described by schema/api.json.

#include "ApiSchema.h"

#include "ApiSchemaText.h"

#include <fmt/format.h>

#include <utility>

namespace lycheeledge {

namespace {

    bool isFlagSet(const rapidjson::Value& object, const char* name)
    {
        const auto it = object.FindMember(name);
        return it != object.MemberEnd() && it->value.IsTrue();
    }

    ApiError invalidArgument(std::string_view root, const SchemaViolation& violation)
    {
        const std::string_view field = violation.field.empty() ? root : std::string_view(violation.field);
        return { ErrorKind::InvalidArgument, fmt::format("{} {}", field, violation.message), violation.field,
            RunState::NotRun };
    }

} // namespace

ApiSchema::ApiSchema()
{
    m_schema.Parse(apiSchemaText.data(), apiSchemaText.size());
    for (const auto& method : m_schema["methods"].GetArray()) {
        m_methods.emplace(method["name"].GetString(),
            Method { JsonSchema(paramsSchema(method)), JsonSchema(resultSchema(method)), &method,
                std::string_view(method["x-role"].GetString()) == "operator", isFlagSet(method, "x-mutating") });
    }
}

std::vector<std::string> ApiSchema::methods() const
{
    std::vector<std::string> names;
    names.reserve(m_methods.size());
    for (const auto& [name, method] : m_methods)
        names.push_back(name);
    return names;
}

bool ApiSchema::hasMethod(std::string_view method) const { return find(method) != nullptr; }

bool ApiSchema::isForOperators(std::string_view method) const
{
    const auto* found = find(method);
    return found == nullptr || found->forOperators;
}

bool ApiSchema::isMutating(std::string_view method) const
{
    const auto* found = find(method);
    return found != nullptr && found->mutating;
}

const rapidjson::Value* ApiSchema::description(std::string_view method) const
{
    const auto* found = find(method);
    return found != nullptr ? found->description : nullptr;
}

std::optional<RpcErrorResponse> ApiSchema::check(const RpcRequest& request) const
{
    auto error = checkParams(request.method, request.params);
    if (!error)
        return std::nullopt;
    const int code = error->kind == ErrorKind::NotFound ? methodNotFoundCode : rpcCode(error->kind);
    return RpcErrorResponse { request.id, code, std::move(*error) };
}

std::optional<ApiError> ApiSchema::checkParams(std::string_view method, const rapidjson::Value& params) const
{
    const auto* found = find(method);
    if (found == nullptr)
        return ApiError { ErrorKind::NotFound, fmt::format("method '{}' does not exist", method), "",
            RunState::NotRun };
    const auto violation = found->params.check(params);
    return violation ? std::make_optional(invalidArgument("params", *violation)) : std::nullopt;
}

std::optional<ApiError> ApiSchema::checkResult(std::string_view method, const rapidjson::Value& result) const
{
    const auto* found = find(method);
    if (found == nullptr)
        return ApiError { ErrorKind::NotFound, fmt::format("method '{}' does not exist", method), "",
            RunState::NotRun };
    const auto violation = found->result.check(result);
    return violation ? std::make_optional(invalidArgument("result", *violation)) : std::nullopt;
}

const ApiSchema::Method* ApiSchema::find(std::string_view method) const
{
    const auto it = m_methods.find(method);
    return it == m_methods.end() ? nullptr : &it->second;
}

// JSON-RPC parameters are passed by name, so the content descriptors become properties of a single object schema.
rapidjson::Document ApiSchema::paramsSchema(const rapidjson::Value& method) const
{
    rapidjson::Document schema(rapidjson::kObjectType);
    auto& allocator = schema.GetAllocator();
    rapidjson::Value properties(rapidjson::kObjectType);
    rapidjson::Value required(rapidjson::kArrayType);
    for (const auto& param : method["params"].GetArray()) {
        rapidjson::Value name(param["name"], allocator);
        if (isFlagSet(param, "required"))
            required.PushBack(rapidjson::Value(name, allocator), allocator);
        properties.AddMember(name, rapidjson::Value(param["schema"], allocator), allocator);
    }
    schema.AddMember("type", "object", allocator);
    schema.AddMember("additionalProperties", false, allocator);
    schema.AddMember("properties", properties, allocator);
    schema.AddMember("required", required, allocator);
    schema.AddMember("components", rapidjson::Value(m_schema["components"], allocator), allocator);
    return schema;
}

rapidjson::Document ApiSchema::resultSchema(const rapidjson::Value& method) const
{
    rapidjson::Document schema;
    auto& allocator = schema.GetAllocator();
    const auto& result = method["result"]["schema"];
    const auto it = result.FindMember("$ref");
    if (it == result.MemberEnd()) {
        schema.CopyFrom(result, allocator);
    } else {
        // rapidjson does not resolve a $ref at the root of a schema, so the referenced component is copied.
        const std::string_view path = it->value.GetString();
        const std::string name(path.substr(path.rfind('/') + 1));
        schema.CopyFrom(m_schema["components"]["schemas"][name.c_str()], allocator);
    }
    schema.AddMember("components", rapidjson::Value(m_schema["components"], allocator), allocator);
    return schema;
}

} // namespace lycheeledge
