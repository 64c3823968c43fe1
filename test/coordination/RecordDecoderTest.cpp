// Tests of the decoders of store records, whose values any writer of the store may have left.

#include <lycheeledge/coordination/ConfigurationCodec.h>
#include <lycheeledge/coordination/EpochRecord.h>
#include <lycheeledge/coordination/MemberRecord.h>
#include <lycheeledge/coordination/OwnerTable.h>
#include <lycheeledge/coordination/Quorum.h>
#include <lycheeledge/coordination/RosterView.h>

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace lycheeledge;

namespace {

std::string repeated(const std::string& text, std::size_t count)
{
    std::string result;
    result.reserve(text.size() * count);
    for (std::size_t n = 0; n < count; ++n)
        result += text;
    return result;
}

/** @brief Objects that hold a deeply nested array or object, complete and cut off. */
std::vector<std::string> deeplyNestedRecords()
{
    constexpr std::size_t levels = 1000000; // deep enough to overflow the stack of a recursive parser
    const std::string arrays = repeated("[", levels);
    const std::string objects = repeated(R"({"a":)", levels);
    return { "{\"a\":" + arrays, "{\"a\":" + arrays + repeated("]", levels) + "}", objects,
        objects + "1" + repeated("}", levels) };
}

const std::string member = R"({"id":"m1","host":"10.0.0.1","port":7000,"zone":"a","incarnation":"5"})";
const std::string owner = R"({"epoch":3,"owner":"m1","incarnation":"5","host":"10.0.0.1","port":7000})";

} // namespace

TEST_CASE("A deeply nested record does not overflow the stack of its decoder", "[record-decoder]")
{
    for (const auto& record : deeplyNestedRecords()) {
        CHECK_FALSE(decodeMemberRecord(record).has_value());
        CHECK_FALSE(parseEpochRecord(record).ok());
        CHECK_FALSE(decodeQuorum(record).has_value());
        CHECK_FALSE(decodeEntity("c/team/t", record).has_value());
    }
}

TEST_CASE("A deeply nested roster record leaves the other members listed", "[record-decoder]")
{
    RosterView roster;
    for (const auto& record : deeplyNestedRecords()) {
        roster.update({ { "r/m0", record, 1 }, { "r/m1", member, 2 } }, { { "m/m1", "", 2 } }, TimePoint());
        CHECK(roster.members() == std::vector<MemberId> { MemberId("m1") });
    }
}

TEST_CASE("A deeply nested owner record leaves the other cells' owners known", "[record-decoder]")
{
    OwnerTable table;
    for (const auto& record : deeplyNestedRecords()) {
        table.setRecords({ { "o/c0/epoch", record, 1 }, { "o/c1/epoch", owner, 2 } });
        CHECK_FALSE(table.record(CellId("c0")).has_value());
        REQUIRE(table.record(CellId("c1")).has_value());
    }
}

TEST_CASE("A member or owner record with a port or number out of range is rejected", "[record-decoder]")
{
    REQUIRE(decodeMemberRecord(member).has_value());
    REQUIRE(parseEpochRecord(owner).ok());
    for (const char* number :
        { "65536", "99999", "-1", "7000.5", "1e300", "1e999", "18446744073709551616", "\"7000\"" }) {
        INFO(number);
        const auto replaced = [number](std::string text) { return text.replace(text.find("7000"), 4, number); };
        CHECK_FALSE(decodeMemberRecord(replaced(member)).has_value());
        CHECK_FALSE(parseEpochRecord(replaced(owner)).ok());
    }
}
