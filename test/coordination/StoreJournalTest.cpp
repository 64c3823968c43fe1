// Tests of the job journal against a store with faults.

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

struct Bench {
    ManualRuntime runtime;
    FakeOwnershipStore store { runtime };
    FakeStoreClient client { runtime, runtime, store };
    CerealJournalCodec codec;
    CellId cell { "central" };
    Revision epochRevision = 0;
    std::unique_ptr<StoreJournal> journal;
    std::vector<absl::Status> results;

    explicit Bench(StoreJournalSettings settings = {}) { REQUIRE(takeOver(settings).ok()); }

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

TEST_CASE("A successor reads every record in order", "[journal]")
{
    Bench bench;
    std::vector<JournalRecord> expected;
    for (int n = 0; n < 100; ++n) {
        expected.push_back(submitted(std::to_string(n)));
        bench.append(expected.back());
        bench.runtime.advance(milliseconds(20));
    }
    bench.runtime.advance(seconds(1));
    REQUIRE(bench.results.size() == 100);
    CHECK(bench.journal->valueCount() > 20); // more than one step of reading
    const auto loaded = bench.takeOver();
    REQUIRE(loaded.ok());
    CHECK(*loaded == expected);
}

TEST_CASE("A burst is written in one value, and values are not written faster than the interval", "[journal]")
{
    Bench bench;
    const int before = bench.store.commits;
    for (int n = 0; n < 1000; ++n)
        bench.append(submitted(std::to_string(n)));
    bench.runtime.advance(milliseconds(40));
    CHECK(bench.store.commits == before + 1);
    CHECK(bench.results.size() == 1000);
    for (int n = 0; n < 1000; ++n) {
        bench.append(submitted(std::to_string(n)));
        bench.runtime.advance(milliseconds(1));
    }
    CHECK(bench.store.commits <= before + 1 + 21);
}

TEST_CASE("A value stays within its size limit unless it is one record", "[journal]")
{
    Bench bench;
    for (int n = 0; n < 10; ++n)
        bench.append(submitted(std::to_string(n), 50'000));
    bench.append(submitted("large", 300'000));
    bench.append(submitted("too large", 2'000'000));
    bench.runtime.advance(seconds(1));
    REQUIRE(bench.results.size() == 12);
    CHECK(std::count_if(bench.results.begin(), bench.results.end(), absl::IsResourceExhausted) == 1);
    CHECK(bench.journal->valueCount() == 6);
    const auto values = bench.store.read({ { "j/central/0", 0, false } });
    for (const auto& entry : values.ranges.at(0))
        CHECK((entry.value.size() <= 131072 || bench.codec.decode(entry.value)->size() == 1));
}

TEST_CASE("Appends wait for the end of a store outage", "[journal]")
{
    Bench bench;
    bench.store.isDown = true;
    bench.append(submitted("a"));
    bench.runtime.advance(seconds(60));
    CHECK(bench.results.empty());
    bench.store.isDown = false;
    bench.runtime.advance(seconds(1));
    REQUIRE(bench.results.size() == 1);
    CHECK(bench.results[0].ok());
}

TEST_CASE("A write whose answer or request is lost takes effect exactly once", "[journal]")
{
    const auto fault = GENERATE(CommitFault::LoseAnswer, CommitFault::LoseRequest, CommitFault::DelayRequest);
    Bench bench;
    bench.client.faults = { fault };
    bench.append(submitted("a"));
    bench.runtime.advance(milliseconds(100));
    bench.append(submitted("b"));
    bench.runtime.advance(seconds(3));
    REQUIRE(bench.results.size() == 2);
    CHECK(bench.results[0].ok());
    CHECK(bench.results[1].ok());
    const auto loaded = bench.takeOver();
    REQUIRE(loaded.ok());
    CHECK(*loaded == std::vector<JournalRecord> { submitted("a"), submitted("b") });
}

TEST_CASE("A former owner cannot append", "[journal]")
{
    Bench bench;
    const auto former = std::move(bench.journal);
    REQUIRE(bench.takeOver().ok());
    std::vector<absl::StatusCode> codes;
    for (int n = 0; n < 2; ++n) {
        former->append(submitted("late"), [&](const absl::Status& status) { codes.push_back(status.code()); });
        bench.runtime.advance(seconds(1));
    }
    CHECK(codes == std::vector<absl::StatusCode>(2, absl::StatusCode::kAborted));
    CHECK(bench.load()->empty());
}

TEST_CASE("A corrupt journal is not taken for an empty one", "[journal]")
{
    Bench bench;
    bench.append(submitted("a"));
    bench.runtime.advance(seconds(1));
    REQUIRE(bench.store.commit({ {}, { { "j/central/0000000000000001", "?", {} } }, {} }).ok());
    CHECK(absl::IsDataLoss(bench.takeOver().status()));
    REQUIRE(bench.store.commit({ {}, {}, { "j/central/0000000000000001" } }).ok());
    CHECK(absl::IsDataLoss(bench.takeOver().status()));
}

TEST_CASE("The journal index survives encoding, and malformed text is refused", "[journal]")
{
    const std::set<std::uint64_t> sequences { 1, 2, 3, 9, 0x1f0, 0x1f1 };
    CHECK(encodeJournalIndex(sequences) == "1-3,9,1f0-1f1");
    CHECK(*decodeJournalIndex(encodeJournalIndex(sequences)) == sequences);
    CHECK(decodeJournalIndex("")->empty());
    for (const char* text : { ",", "1-", "x", "3-1", "1-ffffffffffffffff", "1,,2" })
        CHECK_FALSE(decodeJournalIndex(text).ok());
}
