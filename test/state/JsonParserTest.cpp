// Tests of the JSON parser.

#include <lycheeledge/state/JsonParser.h>

#include <catch2/catch.hpp>

#include <string>

using namespace lycheeledge::detail;

namespace {

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

bool parses(const std::string& text)
{
    rapidjson::Document document;
    const bool ok = !parseJson(document, text).IsError();
    CHECK((ok || document.IsNull()));
    return ok;
}

std::size_t depthOf(const std::string& text)
{
    rapidjson::Document document;
    REQUIRE_FALSE(parseJson(document, text, DeepValues::Replace).IsError());
    std::size_t depth = 0;
    const rapidjson::Value* value = &document;
    for (; value->IsArray() || value->IsObject(); ++depth)
        value = value->IsArray() ? &(*value)[0] : &value->MemberBegin()->value;
    CHECK((value->IsFalse() || value->GetInt() == 1));
    return depth;
}

} // namespace

TEST_CASE("Nesting beyond the limit is an error however deep it is", "[json]")
{
    CHECK(parses(nested("[", "]", maxJsonDepth)));
    CHECK(parses(nested(R"({"a":)", "}", maxJsonDepth)));
    for (const std::size_t levels : { maxJsonDepth + 1, std::size_t { 5000000 } }) {
        CHECK_FALSE(parses(nested("[", "]", levels)));
        CHECK_FALSE(parses(nested(R"({"a":)", "}", levels)));
    }
}

TEST_CASE("Deep values that are replaced neither overflow the stack nor are kept", "[json]")
{
    for (const std::size_t levels : { std::size_t { 1 }, maxJsonDepth - 1 }) {
        CHECK(depthOf(nested("[", "]", levels)) == levels);
        CHECK(depthOf(nested(R"({"a":)", "}", levels)) == levels);
    }
    for (const std::size_t levels : { maxJsonDepth + 1, std::size_t { 5000000 } }) {
        CHECK(depthOf(nested("[", "]", levels)) == maxJsonDepth);
        CHECK(depthOf(nested(R"({"a":)", "}", levels)) == maxJsonDepth);
        CHECK_FALSE(parses(nested("[", "", levels)));
        CHECK_FALSE(parses(nested(R"({"a":)", "", levels)));
    }
}

TEST_CASE("What follows a value that is too deep is read", "[json]")
{
    rapidjson::Document document;
    const std::string deep = nested(R"([{"a":)", R"(,"b":[1,"x",null]},[]])", maxJsonDepth);
    const std::string text = R"({"first":)" + deep + R"(,"second":)" + deep + R"(,"third":3})";
    REQUIRE_FALSE(parseJson(document, text, DeepValues::Replace).IsError());
    CHECK(document.MemberCount() == 3);
    CHECK(document["second"].IsArray());
    CHECK(document["third"].GetInt() == 3);
}

TEST_CASE("Values side by side do not count as nested", "[json]")
{
    std::string text = "[";
    for (std::size_t n = 0; n < 10 * maxJsonDepth; ++n)
        text += R"([[{"a":[]}]],)";
    CHECK(parses(text + "0]"));
}

TEST_CASE("Every kind of value is parsed", "[json]")
{
    rapidjson::Document document;
    const auto result = parseJson(document,
        R"({"n":null,"b":[true,false],"i":[-1,1,-9223372036854775808,18446744073709551615],"d":1.5,"s":"a\u00e9"})");
    REQUIRE_FALSE(result.IsError());
    CHECK(document["n"].IsNull());
    CHECK(document["b"][0].IsTrue());
    CHECK(document["i"][0].GetInt() == -1);
    CHECK(document["i"][2].IsInt64());
    CHECK(document["i"][3].IsUint64());
    CHECK(document["d"].GetDouble() == 1.5);
    CHECK(document["s"].GetStringLength() == 3);
}

TEST_CASE("Malformed text is an error at its offset", "[json]")
{
    rapidjson::Document document;
    CHECK(parseJson(document, "[1, x]").Offset() == 4);
    for (const char* text : { "", " ", "[", "1e999", "\"\xff\"", "\"\\ud800\"", "{} x" }) {
        INFO(text);
        CHECK_FALSE(parses(text));
    }
}

TEST_CASE("Only numbers beyond the range of a double are replaced", "[json]")
{
    CHECK(replaceHugeNumbers(R"({"a":1e999,"b":[-1E+400,1e308,-0.5],"c":"1e999","d\"1e999":true,"e":1e-999})")
        == R"({"a":false,"b":[false,1e308,-0.5],"c":"1e999","d\"1e999":true,"e":1e-999})");
    CHECK(replaceHugeNumbers(std::string(400, '9')) == "false");
    for (const char* text : { "", "-", "\"", "\"a\\", "\"a\\\"1e999", "1.2.3", "1e", "--1e999" })
        CHECK(replaceHugeNumbers(text) == text);
}
