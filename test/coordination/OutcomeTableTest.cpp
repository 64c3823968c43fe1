// Tests of the outcomes kept for callers that ask again.

#include <lycheeledge/coordination/OutcomeTable.h>

#include <catch2/catch.hpp>

#include <string>

using namespace lycheeledge;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 1h };

KeptOutcome outcome(const std::string& request, std::size_t bytes, TimePoint since = start)
{
    KeptOutcome kept;
    kept.result = { { TeamId("t"), RequestId(request) }, RunState::Run, ErrorKind::None, "", std::string(bytes, 'x') };
    kept.since = since;
    return kept;
}

const WorkResult& resultOf(const OutcomeTable& table, const std::string& request)
{
    const KeptOutcome* kept = table.find({ TeamId("t"), RequestId(request) });
    REQUIRE(kept != nullptr);
    return kept->result;
}

} // namespace

TEST_CASE("Large answers do not fill the memory, and a dropped one is never passed on short", "[outcomes]")
{
    OutcomeTable table(10min, 100);
    table.keep(outcome("a", 60));
    table.keep(outcome("b", 40));
    CHECK(resultOf(table, "a").ok());
    table.keep(outcome("c", 1));
    CHECK(table.bodyBytes() == 41);
    CHECK(resultOf(table, "a").error == ErrorKind::Truncated);
    CHECK(resultOf(table, "a").run == RunState::Run);
    CHECK(resultOf(table, "b").body.size() == 40);
}

TEST_CASE("The size of the bodies follows replaced, forgotten and expired outcomes", "[outcomes]")
{
    OutcomeTable table(10min, 1000);
    table.keep(outcome("a", 10));
    table.keep(outcome("a", 20, start + 1s));
    table.keep(outcome("b", 30, start + 2s));
    CHECK(table.bodyBytes() == 50);
    table.forget({ TeamId("t"), RequestId("b") });
    CHECK(table.bodyBytes() == 20);
    table.expire(start + 10min); // the first outcome of a is gone, the second stays
    CHECK(table.bodyBytes() == 20);
    table.expire(start + 11min);
    CHECK(table.bodyBytes() == 0);
    CHECK(table.size() == 0);
}
