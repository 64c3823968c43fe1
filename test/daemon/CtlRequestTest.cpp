// Tests of the parameters that lycheectl builds from its flags.

#include "../../apps/CtlRequest.h"

#include <lycheeledge/protocol/ApiSchema.h>
#include <lycheeledge/protocol/JsonRpc.h>

#include <catch2/catch.hpp>

using namespace lycheeledge;
using namespace lycheeledge::ctl;

namespace {

const ApiSchema& api()
{
    static const ApiSchema schema;
    return schema;
}

struct Built {
    std::string params;
    std::vector<std::string> unused;
};

/** @brief Builds the parameters of a method with these flags set, as name and value. */
Built build(const std::string& method, const std::vector<std::pair<const char*, const char*>>& flags)
{
    const gflags::FlagSaver saver; // restores all flags at the end
    for (const auto& [name, value] : flags)
        REQUIRE_FALSE(gflags::SetCommandLineOption(name, value).empty());
    ParamsBuilder builder(*api().description(method));
    builder.takeFlags();
    auto unused = builder.unusedFlags();
    return { jsonText(builder.take()), std::move(unused) };
}

} // namespace

TEST_CASE("Flags become parameters of the right type, and only those that were given", "[ctl]")
{
    const auto built = build("work.submit",
        { { "team", "feed" }, { "request_id", "r1" }, { "kind", "batch" }, { "cpu", "500" }, { "memory_mb", "0" },
            { "all_together", "true" }, { "tasks", "3" }, { "payload", "a \"b\"" } });
    CHECK(built.params
        == R"({"team":"feed","requestId":"r1","kind":"batch","size":{"cpu":500,"memoryMb":0},"tasks":3,)"
           R"("allTogether":true,"payload":"a \"b\""})");
    CHECK(built.unused.empty());
}

TEST_CASE("Limits have flags of their own", "[ctl]")
{
    const auto built = build("team.set", { { "id", "feed" }, { "share", "2.5" }, { "limit_cpu", "4000" } });
    CHECK(built.params == R"({"id":"feed","share":2.5,"upperLimit":{"cpu":4000}})");
}

TEST_CASE("A flag that the command does not take is named", "[ctl]")
{
    CHECK(build("team.list", { { "share", "2" }, { "json", "true" } }).unused == std::vector<std::string> { "share" });
    CHECK(build("team.set", { { "id", "x" }, { "cpu", "2" } }).unused == std::vector<std::string> { "cpu" });
}

TEST_CASE("Every parameter of every method has a flag", "[ctl]")
{
    for (const auto& method : api().methods()) {
        for (const auto& param : (*api().description(method))["params"].GetArray()) {
            const std::string name = param["name"].GetString();
            INFO(method << " " << name);
            gflags::CommandLineFlagInfo info;
            const bool isSize = name == "size" || name == "upperLimit";
            CHECK((isSize || gflags::GetCommandLineFlagInfo(flagName(name).c_str(), &info)));
        }
    }
}
