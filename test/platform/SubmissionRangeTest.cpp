// Tests of numbers out of range in clients' calls.

#include <catch2/catch.hpp>

#include <platform/Ingress.h>
#include <platform/Json.h>
#include <string>
#include <variant>
#include <vector>

using namespace lycheeledge;
using namespace lycheeledge::platform;
using std::chrono::hours;
using std::chrono::milliseconds;

namespace {

const std::string submission
    = R"({"spec":"text","repetitions":3,"startAtMs":1700000000000,"intervalMs":500,"steps":[{"count":4,"cpu":501,
        "memMb":256,"gpu":2,"estRuntimeMs":900,"targetMs":80,"antiAffinity":7,"mayMiss":1},{"count":1,"after":[0]}]})";

bool accepts(const std::string& from, const std::string& to)
{
    std::string text = submission;
    return Ingress().decode(text.replace(text.find(from), from.size(), to)).ok();
}

} // namespace

TEST_CASE("a submission with an amount out of range is refused", "[ingress][range]")
{
    REQUIRE(Ingress().decode(submission).ok());
    for (const std::string amount : { "-1", "-0.5", "1000000001", "9e18", "1e300", "9223372036854775807",
             "18446744073709551615", "\"500\"", "[]", "true" }) {
        INFO(amount);
        CHECK_FALSE(accepts(R"("cpu":501)", R"("cpu":)" + amount));
        CHECK_FALSE(accepts(R"("memMb":256)", R"("memMb":)" + amount));
        CHECK_FALSE(accepts(R"("gpu":2)", R"("gpu":)" + amount));
    }
    CHECK(accepts(R"("cpu":501)", R"("cpu":1000000000)"));
    CHECK(accepts(R"("cpu":501)", R"("cpu":null)"));
}

TEST_CASE("a submission with a count out of range is refused", "[ingress][range]")
{
    for (const std::string count : { "-1", "4294967296", "1e300", "9223372036854775807", "\"4\"" }) {
        INFO(count);
        CHECK_FALSE(accepts(R"("count":4)", R"("count":)" + count));
        CHECK_FALSE(accepts(R"("antiAffinity":7)", R"("antiAffinity":)" + count));
        CHECK_FALSE(accepts(R"("mayMiss":1)", R"("mayMiss":)" + count));
        CHECK_FALSE(accepts(R"("repetitions":3)", R"("repetitions":)" + count));
    }
}

TEST_CASE("a submission with a time out of range is refused", "[ingress][range]")
{
    for (const std::string time : { "-1", "1e18", "1e300", "9223372036854775807", "\"900\"" }) {
        INFO(time);
        CHECK_FALSE(accepts(R"("estRuntimeMs":900)", R"("estRuntimeMs":)" + time));
        CHECK_FALSE(accepts(R"("targetMs":80)", R"("targetMs":)" + time));
        CHECK_FALSE(accepts(R"("startAtMs":1700000000000)", R"("startAtMs":)" + time));
        CHECK_FALSE(accepts(R"("intervalMs":500)", R"("intervalMs":)" + time));
    }
    CHECK(accepts(R"("estRuntimeMs":900)", R"("estRuntimeMs":0.25)"));
    // The last occurrence would be due after the year 9999.
    CHECK_FALSE(accepts(R"("intervalMs":500)", R"("intervalMs":250000000000000)"));
}

TEST_CASE("a critical path that is too long to add up is refused", "[ingress][range]")
{
    const auto chain = [](std::uint32_t steps, Duration each) {
        std::string text = R"({"steps":[)";
        for (std::uint32_t n = 0; n < steps; ++n)
            text += (n > 0 ? R"(,{"count":1,"after":[)" + std::to_string(n - 1) + "]," : R"({"count":1,)")
                + R"("estRuntimeMs":)" + std::to_string(each / milliseconds(1)) + "}";
        return Ingress().decode(text + "]}");
    };
    CHECK(chain(1000, hours(8)).ok());
    CHECK(chain(3, hours(100 * 24)).ok());
    CHECK_FALSE(chain(4, hours(100 * 24)).ok());
    CHECK_FALSE(chain(1000, hours(100 * 24)).ok());
}

TEST_CASE("a job with more tasks than a member can hold is refused", "[ingress][range]")
{
    const auto decodes = [](const std::string& repetitions, const std::string& steps) {
        return Ingress().decode(R"({"repetitions":)" + repetitions + R"(,"steps":[)" + steps + "]}").ok();
    };
    CHECK(decodes("525600", R"({"count":10})")); // each minute for a year
    CHECK(decodes("4294967295", R"({"count":100000})"));
    CHECK_FALSE(decodes("4294967296", R"({"count":1})"));
    const std::string step = R"({"count":100000})";
    CHECK(decodes("0", step + "," + step + "," + step));
    CHECK_FALSE(decodes("0", step + "," + step + "," + step + R"(,{"count":1})"));
}

TEST_CASE("a stated timeout out of range counts as not stated or as the longest one", "[ingress][range]")
{
    const auto timeoutMs = [](const std::string& value) {
        return std::get<jobs::ClientCall>(
            Ingress().decodeCall(
                { .method = "GET", .target = "/", .headers = { { "x-deadline-ms", value } }, .body = {} }))
            .timeoutMs;
    };
    CHECK(timeoutMs("2500") == 2500);
    for (const char* value : { "-5", "-9223372036854775808", "9223372036854775808", "1e3", "" })
        CHECK(timeoutMs(value) == 0);
    jobs::ClientCall longest;
    longest.timeoutMs = timeoutMs("9223372036854775807");
    CHECK(replyDeadline(longest, TimePoint(hours(1))) > TimePoint(hours(2)));
}

// Guards against lists of dependencies that are kept, stored and visited once for each repetition of a number.
TEST_CASE("a repeated dependency counts once", "[ingress][range]")
{
    std::string text = R"({"steps":[{"count":1},{"count":1},{"count":1,"after":[1)";
    for (int n = 0; n < 100000; ++n)
        text += n % 2 == 0 ? ",0" : ",1";
    const auto spec = Ingress().decode(text + "]}]}");
    REQUIRE(spec.ok());
    CHECK(spec->steps[2].after == std::vector<std::uint32_t> { 1, 0 });
    CHECK(spec->steps[2].after.capacity() <= 2);
    CHECK_FALSE(Ingress().decode(R"({"steps":[{"count":1},{"count":1,"after":[0,0,1]}]})").ok());
}

// Guards against documents that occupy many times the memory of their text. A value has 24 bytes and at least two
// characters, and the allocator adds up to 64 KB.
TEST_CASE("a document occupies a small multiple of the memory of its text", "[ingress][range]")
{
    for (const std::string element : { "0,", "[],", "{},", R"("",)", R"({"":0},)", R"({"a":[]},)", R"("\u0000",)" }) {
        INFO(element);
        std::string text = R"({"steps":[)";
        while (text.size() < 262000)
            text += element;
        text.back() = ']';
        auto document = parseJsonObject(text + "}");
        REQUIRE(document.ok());
        CHECK(document->GetAllocator().Capacity() <= 13 * text.size());
    }
}
