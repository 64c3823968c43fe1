// Tests of numbers out of range in the operators' records.

#include <catch2/catch.hpp>

#include <platform/StoreRecords.h>
#include <string>

using namespace lycheeledge;
using namespace lycheeledge::jobs;
using namespace lycheeledge::platform;

namespace {

jobs::ClusterConfiguration configurationWith(const std::string& number)
{
    const auto result = StoreRecords().configuration({ "op/config",
        R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/q/","service":"pool","maxAttempts":)" + number
            + R"(,"stretch":)" + number + R"(,"targetLatencyMs":)" + number + R"(,"advice":{"decideMs":)" + number
            + R"(,"periodMs":)" + number + R"(,"validMs":)" + number + R"(}}],"limits":{"maxBodyBytes":)" + number
            + R"(},"tenants":[{"name":"t","apiKeys":["k"],"weight":)" + number + R"(,"upperLimit":{"cpu":)" + number
            + R"(,"memMb":)" + number + R"(,"gpu":)" + number + "}}]}",
        1 });
    REQUIRE(result.ok());
    return *result;
}

} // namespace

TEST_CASE("a number of the configuration that is out of range has its default", "[records][range]")
{
    for (const std::string number : { "-1", "-1e300", "1e300", "-9223372036854775808", "9223372036854775807" }) {
        INFO(number);
        const auto configuration = configurationWith(number);
        const auto& queue = configuration.queues.front();
        CHECK(queue.maxAttempts == 1);
        CHECK(queue.objectiveFactor == 1);
        CHECK(queue.latencyObjective == Duration::zero());
        REQUIRE(queue.admission);
        CHECK(*queue.admission == AdmissionPolicy {});
        CHECK(configuration.accounts.front().weight == 1);
        CHECK(configuration.maxBodyBytes == jobs::ClusterConfiguration().maxBodyBytes);
    }
    CHECK(configurationWith("1e300").accounts.front().upperLimit == Resources {}); // no limit
    CHECK(configurationWith("2").queues.front().objectiveFactor == 2);
}

TEST_CASE("a maintenance wave of a length out of range has none", "[records][range]")
{
    for (const char* number : { "-1", "1e300", "9223372036854775807", "1e16" }) {
        INFO(number);
        const auto wave = StoreRecords().wave(
            { "op/wave/3", std::string(R"({"wave":3,"machines":["m-1"],"durationS":)") + number + "}", 1 });
        REQUIRE(wave.ok());
        CHECK(wave->duration == Duration::zero());
    }
}
