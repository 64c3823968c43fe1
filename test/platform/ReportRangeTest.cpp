// Tests of numbers out of range in workers' reports.

#include <catch2/catch.hpp>

#include <platform/HttpWorkers.h>
#include <string>

using namespace lycheeledge;
using namespace lycheeledge::platform;

namespace {

jobs::PollReport reportWith(const std::string& percent)
{
    const auto result = decodePollReport(
        R"({"clockMs":5,"born":7,"runningTasks":[["5c0e7a21d94b36f8.0.1.17",2,"",)" + percent + R"(]],"finished":[]})");
    REQUIRE(result.ok());
    REQUIRE(result->running.size() == 1);
    return *result;
}

} // namespace

TEST_CASE("a worker's report with a clock out of range is not used", "[workers][range]")
{
    for (const char* number : { "-1", "1e300", "9223372036854775807", "18446744073709551615" }) {
        INFO(number);
        CHECK_FALSE(decodePollReport(std::string(R"({"clockMs":)") + number + R"(,"born":7})").ok());
        CHECK_FALSE(decodePollReport(std::string(R"({"clockMs":5,"born":)") + number + "}").ok());
    }
    CHECK(decodePollReport(R"({"clockMs":1700000000000,"born":1700000000000})").ok());
}

TEST_CASE("a task's progress out of range is limited to 0 to 100 percent", "[workers][range]")
{
    CHECK(reportWith("41.7").running[0].progressPercent == 41);
    for (const char* percent : { "-1", "-1e300", "-9223372036854775808" })
        CHECK(reportWith(percent).running[0].progressPercent == 0);
    for (const char* percent : { "101", "4294967297", "1e300", "18446744073709551615" })
        CHECK(reportWith(percent).running[0].progressPercent == 100);
}
