// Tests of the configuration in force and of its JSON form.

#include <lycheeledge/coordination/ConfigurationCache.h>

#include <catch2/catch.hpp>

using namespace lycheeledge;

namespace {

StoreEntry teamEntry(double share, Revision revision, std::uint64_t version)
{
    const Team team { TeamId("feed"), share, Resources { 1000, 2000, 1, 2, 3 }, 7 };
    return { "c/team/feed", encodeEntity({ version, team, { { "k", "d", version } } }), revision };
}

} // namespace

TEST_CASE("Every kind of entity keeps its fields in JSON", "[configuration]")
{
    const std::vector<ConfigurationValue> values {
        Team { TeamId("feed"), 2.5, Resources { 1, 2, 3, 4, 5 }, 6 },
        Team { TeamId("feed"), 1, std::nullopt, 0 },
        Key { KeyId("k"), TeamId("feed"), KeyRole::Caller, "aa", "bb", true },
        Key { KeyId("o"), TeamId(), KeyRole::Operator, "aa", "bb", false },
        Queue { QueueId("q"), TeamId("feed"), true },
        KindPolicy { WorkKind::Service, 5, true, 77 },
        DrainMark { VmId("vm-1") },
    };
    for (const auto& value : values) {
        const ConfigurationEntity entity { 3, value, { { "call", "digest", 3 } } };
        CHECK(decodeEntity(configurationKey(value), encodeEntity(entity)) == entity);
    }
    const ConfigurationEntity tombstone { 4, std::nullopt, {} };
    CHECK(decodeEntity("c/team/feed", encodeEntity(tombstone)) == tombstone);
}

TEST_CASE("An older revision of an entity does not replace a newer one", "[configuration]")
{
    ConfigurationCache cache;
    CHECK(cache.apply({ teamEntry(2, 10, 2) }));
    CHECK_FALSE(cache.apply({ teamEntry(1, 9, 1) }));
    CHECK_FALSE(cache.apply({ teamEntry(3, 10, 2) }));
    CHECK(cache.configuration().teams.at(TeamId("feed")).share == 2);
    CHECK(cache.revision() == 10);
}

TEST_CASE("A deleted entity does not come back with a late read", "[configuration]")
{
    ConfigurationCache cache;
    cache.apply({ teamEntry(2, 10, 1) });
    CHECK(cache.apply({ { "c/team/feed", encodeEntity({ 2, std::nullopt, {} }), 12 } }));
    CHECK_FALSE(cache.apply({ teamEntry(2, 10, 1) }));
    CHECK(cache.configuration().teams.empty());
}

TEST_CASE("A malformed entity leaves the previous value in force", "[configuration]")
{
    ConfigurationCache cache;
    cache.apply({ teamEntry(2, 10, 1) });
    const std::vector<std::string> malformed { "", "{", "[]", "{\"version\":1,\"history\":[]}",
        "{\"version\":1,\"history\":[],\"value\":{\"share\":-1,\"maxRunningTasks\":0}}",
        "{\"version\":1,\"history\":[],\"value\":{\"share\":\"x\",\"maxRunningTasks\":0}}" };
    Revision revision = 11;
    for (const auto& json : malformed) {
        CHECK_FALSE(cache.apply({ { "c/team/feed", json, revision } }));
        CHECK(cache.configuration().teams.at(TeamId("feed")).share == 2);
        CHECK(cache.revision() == revision++); // otherwise every later read would return it again
    }
    CHECK_FALSE(cache.apply({ { "c/unknown/x", "{}", 90 } }));
}
