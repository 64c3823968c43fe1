// Tests of HttpStore over loopback.

#include "support/Awaiter.h"

#include <lycheeledge/transport/HttpServer.h>
#include <lycheeledge/transport/Url.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <platform/HttpStore.h>
#include <string>
#include <vector>

using namespace lycheeledge;
using namespace lycheeledge::test;
using namespace std::chrono_literals;
using lycheeledge::platform::HttpStore;

namespace {

/** @brief Server of a store that lists sorted keys in pages of two, and client of it. */
struct Fixture {
    explicit Fixture(std::vector<std::string> sortedKeys)
        : keys(std::move(sortedKeys))
        , server({},
              [this](const HttpRequest& request, const HttpServer::Respond& respond) {
                  respond({ 200, {}, pageAfter(parseTarget(request.target)) });
              })
        , port(*server.start())
        , store(client, executor, "127.0.0.1:" + std::to_string(port))
    {
    }

    std::string pageAfter(const UrlTarget& target) const
    {
        const auto after = target.query.contains("after") ? target.query.at("after") : std::string();
        const auto first = std::upper_bound(keys.begin(), keys.end(), after);
        const auto count = std::min<std::ptrdiff_t>(2, keys.end() - first);
        std::string items;
        for (auto it = first; it != first + count; ++it)
            items += (items.empty() ? "" : ",") + (R"({"key":")" + *it + R"(","value":"dg==","rev":1})");
        return R"({"asOf":3,"items":[)" + items + R"(],"truncated":)"
            + (first + count != keys.end() ? "true}" : "false}");
    }

    absl::StatusOr<jobs::StorePage> list(const std::string& after)
    {
        std::optional<absl::StatusOr<jobs::StorePage>> result;
        store.list("servers/", after, 20s, [&result](const auto& page) { result = page; });
        executor.runOne();
        return *result;
    }

    std::vector<std::string> keys;
    TestExecutor executor;
    HttpServer server;
    std::uint16_t port;
    HttpClient client;
    HttpStore store;
};

} // namespace

TEST_CASE("a key with characters that end a URL does not end the list of the keys after it", "[store]")
{
    for (const char* key :
        { "servers/b c", "servers/b&x=1", "servers/b#c", "servers/b%25", "servers/b+c", "servers/b?" }) {
        INFO(key);
        Fixture fixture({ "servers/a", key, "servers/d", "servers/e" });
        const auto first = fixture.list("");
        REQUIRE(first.ok());
        CHECK(first->truncated);
        const auto second = fixture.list(first->entries.back().key);
        REQUIRE(second.ok());
        REQUIRE(second->entries.size() == 2);
        CHECK(second->entries.front().key == "servers/d");
        CHECK_FALSE(second->truncated);
    }
}

TEST_CASE("an entry whose value is not base64 has an empty value, and the others of its page hold", "[store]")
{
    TestExecutor executor;
    HttpServer server({}, [](const HttpRequest&, const HttpServer::Respond& respond) {
        respond({ 200, {},
            R"({"asOf":3,"items":[{"key":"servers/a","value":"!!","rev":1},{"key":"servers/b","value":"dg==","rev":2},
                {"key":"servers/c","value":7,"rev":1e300},{"key":"servers/d","rev":2},
                {"key":"servers/e","value":"dg==","rev":2}],"truncated":false})" });
    });
    const auto port = server.start();
    REQUIRE(port.ok());
    HttpClient client;
    HttpStore store(client, executor, "127.0.0.1:" + std::to_string(*port));
    std::optional<absl::StatusOr<jobs::StorePage>> result;
    store.list("servers/", "", 20s, [&result](const auto& page) { result = page; });
    executor.runOne();
    REQUIRE(result->ok());
    std::vector<std::string> values;
    for (const auto& entry : (*result)->entries)
        values.push_back(entry.value);
    CHECK(values == std::vector<std::string> { "", "v", "", "", "v" });
}
