// Stored form of submissions beyond the rate, and the rate in the configuration.

#include <lycheeledge/protocol/CerealRecordCodec.h>

#include <catch2/catch.hpp>

#include <platform/StoreRecords.h>

using namespace lycheeledge;
using namespace lycheeledge::jobs;

TEST_CASE("only a submission beyond the rate has another form than earlier builds read", "[rate][stored-form]")
{
    // Guards against jobs that are unreadable to members of an earlier build during a rolling upgrade. The form of
    // earlier builds ends with the accept time; StoredFormTest.cpp has its bytes.
    const CerealRecordCodec codec;
    SubmissionRecord record { AccountId("a"), "queue", {}, 0x0102030405060708 };
    const std::string within = codec.encode(record);
    CHECK(within.ends_with("\x08\x07\x06\x05\x04\x03\x02\x01"));
    CHECK(*codec.decodeSubmission(within) == record);
    record.beyondRate = true;
    const std::string beyond = codec.encode(record);
    CHECK(beyond == within + '\x01');
    CHECK(*codec.decodeSubmission(beyond) == record);
    CHECK_FALSE(codec.decodeSubmission(beyond + '\x01').ok());
}

TEST_CASE("an account has a rate only where the configuration states a valid weight", "[rate][records]")
{
    const auto rateOf = [](const std::string& weight) {
        const auto result = platform::StoreRecords().configuration(
            { "op/config", R"({"version":1,"tenants":[{"name":"t","apiKeys":["k"])" + weight + "}]}", 1 });
        REQUIRE(result.ok());
        return result->accounts.at(0).submissionsPerSecond;
    };
    CHECK(rateOf(R"(,"weight":12)") == 12.0);
    CHECK(rateOf(R"(,"weight":0.25)") == 0.25);
    CHECK(rateOf(R"(,"weight":0)") == 0.0);
    CHECK(rateOf(R"(,"weight":1e9)") == 1e9);
    for (const std::string none :
        { "", R"(,"weight":-1)", R"(,"weight":1e10)", R"(,"weight":"12")", R"(,"weight":null)" })
        CHECK_FALSE(rateOf(none).has_value());
    // Guards against accounts that are ordered by a rate although the process does not ask for it.
    const auto off = platform::StoreRecords(false).configuration(
        { "op/config", R"({"version":1,"tenants":[{"name":"t","apiKeys":["k"],"weight":12}]})", 1 });
    REQUIRE(off.ok());
    CHECK(off->accounts.at(0).weight == 12);
    CHECK_FALSE(off->accounts.at(0).submissionsPerSecond.has_value());
}
