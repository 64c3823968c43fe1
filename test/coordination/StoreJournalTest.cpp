// Tests of the job journal with a store that fails.

#include "support/FakeOwnershipStore.h"
#include "support/ManualRuntime.h"

#include <lycheeledge/coordination/EpochRecord.h>
#include <lycheeledge/coordination/JournalIndex.h>
#include <lycheeledge/coordination/StoreJournal.h>
#include <lycheeledge/protocol/JournalCodec.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>

using namespace lycheeledge;
using namespace lycheeledge::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

JournalRecord submitted(const std::string& request, std::size_t payload = 0)
{
    WorkSpec spec;
    spec.id = { TeamId("feed"), RequestId(request) };
    spec.payload = std::string(payload, 'x');
    return JobSubmitted { spec };
}

struct Fixture {
    ManualRuntime runtime;
    FakeOwnershipStore store { runtime };
    FakeStoreClient client { runtime, runtime, store };
    CerealJournalCodec codec;
    CellId cell { "central" };
    Revision epochRevision = 0;
    std::unique_ptr<StoreJournal> journal;
    std::vector<absl::Status> results;

    explicit Fixture(StoreJournalSettings settings = {}) { REQUIRE(takeOver(settings).ok()); }

    /** Writes the next epoch and returns the records that its owner loads. */
    absl::StatusOr<std::vector<JournalRecord>> takeOver(StoreJournalSettings settings = {})
    {
        epochRevision
            = store.commit({ { { ownerEpochKey(cell), epochRevision } }, { { ownerEpochKey(cell), "", {} } }, {} })
                  ->revision;
        journal = std::make_unique<StoreJournal>(runtime, client, codec, cell, epochRevision, settings);
        return load();
    }

    absl::StatusOr<std::vector<JournalRecord>> load()
    {
        absl::StatusOr<std::vector<JournalRecord>> loaded = absl::UnknownError("not answered");
        journal->load([&](auto records) { loaded = records; });
        runtime.advance(seconds(2));
        return loaded;
    }

    void append(JournalRecord record)
    {
        journal->append(std::move(record), [this](const absl::Status& status) { results.push_back(status); });
    }
};

} // namespace

TEST_CASE("The next owner loads all records in order", "[journal]")
{
    Fixture fixture;
    std::vector<JournalRecord> expected;
    for (int n = 0; n < 100; ++n) {
        expected.push_back(submitted(std::to_string(n)));
        fixture.append(expected.back());
        fixture.runtime.advance(milliseconds(20));
    }
    fixture.runtime.advance(seconds(1));
    REQUIRE(fixture.results.size() == 100);
    CHECK(fixture.journal->valueCount() > 20); // more than one read is needed
    const auto loaded = fixture.takeOver();
    REQUIRE(loaded.ok());
    CHECK(*loaded == expected);
}

TEST_CASE("A burst of records shares one value, and at most one value is written per interval", "[journal]")
{
    Fixture fixture;
    const int before = fixture.store.commits;
    for (int n = 0; n < 1000; ++n)
        fixture.append(submitted(std::to_string(n)));
    fixture.runtime.advance(milliseconds(40));
    CHECK(fixture.store.commits == before + 1);
    CHECK(fixture.results.size() == 1000);
    for (int n = 0; n < 1000; ++n) {
        fixture.append(submitted(std::to_string(n)));
        fixture.runtime.advance(milliseconds(1));
    }
    CHECK(fixture.store.commits <= before + 1 + 21);
}

TEST_CASE("A value stays within its size limit unless it holds a single record", "[journal]")
{
    Fixture fixture;
    for (int n = 0; n < 10; ++n)
        fixture.append(submitted(std::to_string(n), 50'000));
    fixture.append(submitted("large", 300'000));
    fixture.append(submitted("too large", 2'000'000));
    fixture.runtime.advance(seconds(1));
    REQUIRE(fixture.results.size() == 12);
    CHECK(std::count_if(fixture.results.begin(), fixture.results.end(), absl::IsResourceExhausted) == 1);
    CHECK(fixture.journal->valueCount() == 6);
    const auto values = fixture.store.read({ { "j/central/0", 0, false } });
    for (const auto& entry : values.ranges.at(0))
        CHECK((entry.value.size() <= 131072 || fixture.codec.decode(entry.value)->size() == 1));
}

TEST_CASE("Appends complete after the end of a store outage", "[journal]")
{
    Fixture fixture;
    fixture.store.isDown = true;
    fixture.append(submitted("a"));
    fixture.runtime.advance(seconds(60));
    CHECK(fixture.results.empty());
    fixture.store.isDown = false;
    fixture.runtime.advance(seconds(1));
    REQUIRE(fixture.results.size() == 1);
    CHECK(fixture.results[0].ok());
}

TEST_CASE("A write whose request or response is lost or delayed takes effect exactly once", "[journal]")
{
    const auto fault = GENERATE(CommitFault::LoseAnswer, CommitFault::LoseRequest, CommitFault::DelayRequest);
    Fixture fixture;
    fixture.client.faults = { fault };
    fixture.append(submitted("a"));
    fixture.runtime.advance(milliseconds(100));
    fixture.append(submitted("b"));
    fixture.runtime.advance(seconds(3));
    REQUIRE(fixture.results.size() == 2);
    CHECK(fixture.results[0].ok());
    CHECK(fixture.results[1].ok());
    const auto loaded = fixture.takeOver();
    REQUIRE(loaded.ok());
    CHECK(*loaded == std::vector<JournalRecord> { submitted("a"), submitted("b") });
}

TEST_CASE("A previous owner cannot append", "[journal]")
{
    Fixture fixture;
    const auto previous = std::move(fixture.journal);
    REQUIRE(fixture.takeOver().ok());
    std::vector<absl::StatusCode> codes;
    for (int n = 0; n < 2; ++n) {
        previous->append(submitted("late"), [&](const absl::Status& status) { codes.push_back(status.code()); });
        fixture.runtime.advance(seconds(1));
    }
    CHECK(codes == std::vector<absl::StatusCode>(2, absl::StatusCode::kAborted));
    CHECK(fixture.load()->empty());
}

TEST_CASE("A corrupt journal fails to load instead of being taken for an empty one", "[journal]")
{
    Fixture fixture;
    fixture.append(submitted("a"));
    fixture.runtime.advance(seconds(1));
    REQUIRE(fixture.store.commit({ {}, { { "j/central/0000000000000001", "?", {} } }, {} }).ok());
    CHECK(absl::IsDataLoss(fixture.takeOver().status()));
    REQUIRE(fixture.store.commit({ {}, {}, { "j/central/0000000000000001" } }).ok());
    CHECK(absl::IsDataLoss(fixture.takeOver().status()));
}

TEST_CASE("The journal index round-trips, and malformed text is rejected", "[journal]")
{
    const std::set<std::uint64_t> sequences { 1, 2, 3, 9, 0x1f0, 0x1f1 };
    CHECK(encodeJournalIndex(sequences) == "1-3,9,1f0-1f1");
    CHECK(*decodeJournalIndex(encodeJournalIndex(sequences)) == sequences);
    CHECK(decodeJournalIndex("")->empty());
    for (const char* text : { ",", "1-", "x", "3-1", "1-ffffffffffffffff", "1,,2" })
        CHECK_FALSE(decodeJournalIndex(text).ok());
}

TEST_CASE("A corrupt journal index neither hangs the process nor exhausts its memory", "[journal]")
{
    CHECK(decodeJournalIndex("fffffffffffffff0-ffffffffffffffff")->size() == 16);
    std::string manyRanges = "1-f0000";
    for (int i = 1; i < 200; ++i)
        manyRanges += "," + std::to_string(i) + "00000-" + std::to_string(i) + "f0000";
    CHECK_FALSE(decodeJournalIndex(manyRanges).ok());
}
