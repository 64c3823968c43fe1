// Builds the parameters of a call from the flags, as described by the API schema.
#pragma once

#include "CtlFlags.h"

#include <rapidjson/document.h>

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lycheeledge::ctl {

/** @brief Collects the parameters of one call and records which flags were used. */
class ParamsBuilder {
public:
    explicit ParamsBuilder(const rapidjson::Value& method)
        : m_method(method)
    {
        m_params.SetObject();
    }

    /** @brief Sets a parameter that does not come from a flag. */
    void set(const char* name, const std::string& text)
    {
        auto& allocator = m_params.GetAllocator();
        if (m_params.HasMember(name))
            m_params[name].SetString(text.c_str(), allocator);
        else
            m_params.AddMember(rapidjson::Value(name, allocator), rapidjson::Value(text.c_str(), allocator), allocator);
    }

    /** @brief Adds all parameters of the method whose flags were given. */
    void addFlags()
    {
        for (const auto& param : m_method["params"].GetArray()) {
            const std::string name = param["name"].GetString();
            if (name == "size")
                addResourceFlags(name, "");
            else if (name == "upperLimit")
                addResourceFlags(name, "limit_");
            else
                addFlag(m_params, name, flagName(name));
        }
    }

    bool hasParameter(std::string_view name) const
    {
        for (const auto& param : m_method["params"].GetArray()) {
            if (name == param["name"].GetString())
                return true;
        }
        return false;
    }

    /** @brief Flags that were given but set no parameter of the method. */
    std::vector<std::string> unusedFlags() const
    {
        static const std::set<std::string> generalFlags { "server", "key", "json", "timeout_ms", "call_timeout_ms" };
        std::vector<std::string> unused;
        for (const auto& flag : ctlFlags()) {
            if (!flag.is_default && !generalFlags.contains(flag.name) && !m_used.contains(flag.name))
                unused.push_back(flag.name);
        }
        return unused;
    }

    rapidjson::Document take() { return std::move(m_params); }

private:
    // Resource amounts are nested in one parameter, but each has its own flag.
    void addResourceFlags(const std::string& name, const std::string& prefix)
    {
        rapidjson::Value amounts(rapidjson::kObjectType);
        for (const std::string amount : { "cpu", "memoryMb", "accelerators", "slots", "connections" })
            addFlag(amounts, amount, prefix + flagName(amount));
        auto& allocator = m_params.GetAllocator();
        if (!amounts.ObjectEmpty())
            m_params.AddMember(rapidjson::Value(name.c_str(), allocator), amounts, allocator);
    }

    void addFlag(rapidjson::Value& object, const std::string& name, const std::string& flag)
    {
        gflags::CommandLineFlagInfo info;
        if (!gflags::GetCommandLineFlagInfo(flag.c_str(), &info) || info.is_default)
            return;
        m_used.insert(flag);
        auto& allocator = m_params.GetAllocator();
        rapidjson::Value value;
        if (info.type == "bool")
            value.SetBool(info.current_value == "true");
        else if (info.type == "int64")
            value.SetInt64(std::stoll(info.current_value));
        else if (info.type == "double")
            value.SetDouble(std::stod(info.current_value));
        else
            value.SetString(info.current_value.c_str(), allocator);
        object.AddMember(rapidjson::Value(name.c_str(), allocator), value, allocator);
    }

    const rapidjson::Value& m_method;
    rapidjson::Document m_params;
    std::set<std::string> m_used;
};

} // namespace lycheeledge::ctl
