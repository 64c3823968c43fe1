// Tests of entries of the platform's worker list that another writer left: no worker comes of them, and the others
// hold.

#include "support/JobCluster.h"

#include <catch2/catch.hpp>

#include <functional>
#include <platform/StoreRecords.h>
#include <string>
#include <vector>

using namespace lycheeledge;
using namespace lycheeledge::jobs;
using namespace lycheeledge::test;
using lycheeledge::platform::StoreRecords;
using std::chrono::seconds;

namespace {

std::string addressOf(const std::string& id) { return "10.1.0." + id.substr(1) + ":80"; }

std::string entryOf(const std::string& id, std::int64_t milliCpu)
{
    return R"({"service":"pool","addr":")" + addressOf(id) + R"(","zone":"north","state":"ready","capacity":{"cpu":)"
        + std::to_string(milliCpu) + R"(,"memMb":100000,"gpu":0},"labels":["a","r1"],"born":1700000000000})";
}

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

std::string nested(const std::string& open, const std::string& close, std::size_t levels)
{
    std::string result;
    for (std::size_t n = 0; n < levels; ++n)
        result += open;
    result += "1";
    for (std::size_t n = 0; n < levels; ++n)
        result += close;
    return result;
}

/** @brief Values of an entry that name no worker to use. */
std::vector<std::string> invalidEntries(const std::string& id)
{
    constexpr std::size_t levels = 500000; // deep enough to overflow the stack of a recursive parser or destructor
    const std::string good = entryOf(id, 4000);
    std::vector<std::string> result { "", "\xff\xfe", "[]", "{", nested("[", "]", levels),
        nested(R"({"a":)", "}", levels), std::string(5000000, '['),
        replaced(good, R"("labels":)", R"("more":)" + nested("[", "]", levels) + R"(,"labels":)") };
    for (const char* address : { "", "10.1.0.9", "10.1.0.9:", ":80", "10.1.0.9:0", "10.1.0.9:65536", "10.1.0.9:99999",
             "10.1.0.9:-1", "10.1.0.9:+80", "10.1.0.9:8x", "10.1.0.9:1e2", "10.1.0.9:80:80", "10.1.0.9 :80",
             "10.1.0.9: 80", "10.1.0.9:80/", "10.1.0.9:80?a=", "10.1.0.9:80#", "a@10.1.0.9:80", "10.1.0.9/a:80",
             "10.1.0.9\\r\\nx: y:80", "10.1.0.9\\u0000:80", "http://10.1.0.9:80", "10.1.0.256:80", "10.1.0:80",
             "localhost:80", "w9.example:80", "[::1:80", "[10.1.0.9]:80", "::1:80" })
        result.push_back(replaced(good, addressOf(id), address));
    for (const char* amount : { "-1", "-9e18", "9e18", "9223372036854775807", "18446744073709551615", "1e300", "1e999",
             "\"4000\"", "null", "[4000]", "1000000001" }) {
        result.push_back(replaced(good, R"("cpu":4000)", std::string(R"("cpu":)") + amount));
        result.push_back(replaced(good, R"("memMb":100000)", std::string(R"("memMb":)") + amount));
        result.push_back(replaced(good, R"("gpu":0)", std::string(R"("gpu":)") + amount));
    }
    for (const char* born : { "-1", "1.5", "1e300", "9223372036854775807", "\"1700000000000\"", "{}" })
        result.push_back(replaced(good, "1700000000000", born));
    return result;
}

/** @brief Cluster whose worker entries are decoded by StoreRecords. */
struct Fixture {
    JobCluster cluster { 2 };

    Fixture()
    {
        cluster.records.decodeWorker = [this](const StoreEntry& entry) {
            const std::string id = entry.key.substr(cluster.records.workerPrefix().size());
            return StoreRecords().worker({ StoreRecords().workerPrefix() + id, entry.value, entry.modRevision });
        };
    }
    void put(const std::string& id, const std::string& value)
    {
        cluster.store.put(cluster.records.workerPrefix() + id, value);
    }
    void addWorker(const std::string& id)
    {
        cluster.workers.add(id, capacityOf(4000));
        put(id, entryOf(id, 4000));
    }
    bool completes(std::uint64_t job, std::uint32_t tasks)
    {
        return cluster.submit("m0", "batch", job, { .payload = {}, .steps = { simpleStep(tasks, 1000) } })
            && cluster.waitForState(job, "batch", JobState::Completed);
    }
};

} // namespace

TEST_CASE("an invalid entry names no worker", "[records][invalid-entries]")
{
    REQUIRE(StoreRecords().worker({ "servers/w9", entryOf("w9", 4000), 1 }).ok());
    for (const auto& value : invalidEntries("w9")) {
        INFO(value.substr(0, 200));
        CHECK_FALSE(StoreRecords().worker({ "servers/w9", value, 1 }).ok());
    }
}

TEST_CASE("an entry whose id cannot be sent in a header names no worker", "[records][invalid-entries]")
{
    const std::string good = entryOf("w9", 4000);
    for (const char* key :
        { "", "servers", "servers/", "servers/w\r\nx-fence-token: 9", "servers/w\t9", "servers/w\x7f" }) {
        INFO(key);
        CHECK_FALSE(StoreRecords().worker({ key, good, 1 }).ok());
    }
    for (const std::string& id : { std::string("w-9_a.b:c~"), std::string("w 9"), std::string(192, 'w') })
        CHECK(StoreRecords().worker({ "servers/" + id, good, 1 }).ok());
}

TEST_CASE("an address of either IP version names a worker", "[records][invalid-entries]")
{
    for (const char* address : { "10.1.0.1:80", "127.0.0.1:65535", "10.1.0.1:1", "[::1]:80", "[fd00::1:2]:8080" }) {
        const auto worker
            = StoreRecords().worker({ "servers/w9", replaced(entryOf("w9", 4000), addressOf("w9"), address), 1 });
        REQUIRE(worker.ok());
        CHECK(worker->address == address);
    }
}

TEST_CASE("one invalid entry among the workers leaves the others in use, and later changes of them are followed",
    "[invalid-entries]")
{
    std::uint64_t n = 0;
    for (const auto& value : invalidEntries("w9")) {
        INFO(value.substr(0, 200));
        Fixture fixture;
        auto& cluster = fixture.cluster;
        cluster.workers.add("w9", capacityOf(4000));
        cluster.workers.setDisconnected("w9", true);
        fixture.addWorker("w1");
        fixture.addWorker("w2");
        fixture.put("w9", value);
        cluster.advance(seconds(2));
        CHECK(fixture.completes(++n, 8));
        fixture.addWorker("w3");
        cluster.unregisterWorker("w1");
        cluster.advance(seconds(2));
        CHECK(fixture.completes(++n, 8));
        CHECK(cluster.workers.runsOn("w9") == 0);
        CHECK(cluster.log.counts["worker_joined"] == 3);
        CHECK(cluster.log.counts["worker_entry_unreadable"] == 1);
        CHECK(cluster.workers.violations().empty());
    }
}

TEST_CASE("an entry that is invalid for a while keeps the runs of its worker", "[invalid-entries]")
{
    Fixture fixture;
    auto& cluster = fixture.cluster;
    cluster.workers.runTime = [](const TaskKey&) { return seconds(8); };
    fixture.addWorker("w1");
    fixture.addWorker("w2");
    cluster.advance(seconds(2));
    REQUIRE(cluster.submit("m0", "batch", 1, { .payload = {}, .steps = { simpleStep(8, 1000) } }));
    REQUIRE(cluster.waitFor([&] { return cluster.workers.running() == 8; }));
    fixture.put("w1", replaced(entryOf("w1", 4000), ":80", ":99999"));
    cluster.advance(seconds(3));
    CHECK(cluster.workers.running() == 8);
    fixture.put("w1", entryOf("w1", 4000));
    CHECK(cluster.waitForState(1, "batch", JobState::Completed));
    CHECK(cluster.workers.starts().size() == 8);
    CHECK(fixture.completes(2, 8));
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("workers of the largest capacity that is accepted can be added up", "[invalid-entries]")
{
    Fixture fixture;
    for (const char* id : { "w1", "w2", "w3" }) {
        fixture.cluster.workers.add(id, capacityOf(4000));
        fixture.put(id, entryOf(id, 1000000000));
    }
    fixture.cluster.advance(seconds(2));
    CHECK(fixture.completes(1, 8));
}
