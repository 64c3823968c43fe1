// Tests of HttpVmDirectory.

#include "support/Awaiter.h"

#include <lycheeledge/protocol/HttpVmDirectory.h>
#include <lycheeledge/transport/HttpServer.h>

#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <vector>

using namespace lycheeledge;
using namespace lycheeledge::test;

namespace {

constexpr const char* sampleList = R"({"vms":[
    {"id":"w0","host":"127.0.0.1","port":7000,"zone":"a","rack":"a-0","state":"live",
     "capacity":{"milliCpu":32000,"memoryMb":131072,"accelerators":1,"slots":8,"connections":64}},
    {"id":"w1","host":"127.0.0.1","port":7001,"zone":"b","rack":"b-0","state":"leaving","future":true,
     "capacity":{"milliCpu":1000}}]})";

std::vector<WorkerDescription> sampleVms()
{
    return {
        { VmId("w0"), { "127.0.0.1", 7000 }, ZoneId("a"), RackId("a-0"), { 32000, 131072, 1, 8, 64 }, false },
        { VmId("w1"), { "127.0.0.1", 7001 }, ZoneId("b"), RackId("b-0"), { 1000, 0, 0, 0, 0 }, true },
    };
}

absl::StatusOr<std::vector<WorkerDescription>> listFrom(const HttpResponse& response)
{
    TestExecutor executor;
    HttpServer server({}, [&response](const HttpRequest& request, const HttpServer::Respond& respond) {
        respond(request.target == "/v1/vms" && request.method == "GET" ? response : HttpResponse { 404, {}, "" });
    });
    const auto port = server.start();
    REQUIRE(port.ok());
    HttpClient client;
    VmDirectorySettings settings;
    settings.url = "http://127.0.0.1:" + std::to_string(*port) + "/v1/vms";
    settings.timeout = std::chrono::seconds(20);
    HttpVmDirectory directory(client, executor, settings);
    std::optional<absl::StatusOr<std::vector<WorkerDescription>>> result;
    directory.list([&result](auto list) { result = std::move(list); });
    executor.runOne();
    return *result;
}

std::vector<WorkerDescription> decodeOrEmpty(const std::string& body)
{
    return decodeVmList(body).value_or(std::vector<WorkerDescription>());
}

} // namespace

TEST_CASE("The VM list round-trips with every field", "[vm-directory]")
{
    const auto list = listFrom({ 200, {}, sampleList });
    REQUIRE(list.ok());
    CHECK(*list == sampleVms());
    CHECK(*decodeVmList(encodeVmList(sampleVms())) == sampleVms());
}

TEST_CASE("An invalid list is an error and never an empty fleet", "[vm-directory]")
{
    CHECK(absl::IsUnavailable(listFrom({ 500, {}, sampleList }).status()));
    CHECK(absl::IsUnavailable(listFrom({ 200, {}, "" }).status()));
    CHECK(absl::IsUnavailable(listFrom({ 200, {}, "{}" }).status()));
    CHECK(absl::IsUnavailable(listFrom({ 200, {}, R"({"vms":{}})" }).status()));
    CHECK(absl::IsUnavailable(listFrom({ 200, {}, R"({"vms":[{"id":"w0"}]})" }).status()));
}

TEST_CASE("A VM with invalid values is left out, and the others of its list hold", "[vm-directory]")
{
    const auto replaced = [](const std::string& from, const std::string& to) {
        std::string text = sampleList;
        return text.replace(text.find(from), from.size(), to);
    };
    const std::vector<WorkerDescription> others { sampleVms()[1] };
    const auto isLeftOut
        = [&](const std::string& from, const std::string& to) { return decodeOrEmpty(replaced(from, to)) == others; };
    CHECK(decodeOrEmpty(replaced("\"w0\"", "\"w2\"")).size() == 2);
    for (const char* id : { "\"\"", "7", "{}", "\"w\\r\\n0\"", "\"w\xff\"" })
        CHECK(isLeftOut("\"w0\"", id));
    for (const char* host :
        { "\"\"", "7", "\"127.0.0.1:80\"", "\"127.0.0.1/a?\"", "\"a b\"", "\"a@b\"", "\"a\\r\\nb\"" })
        CHECK(isLeftOut("\"127.0.0.1\"", host));
    for (const char* port : { "0", "65536", "70000", "99999", "-1", "7000.5", "1e300", "1e999", "-1e999",
             "18446744073709551616", "\"x\"", "{}" })
        CHECK(isLeftOut("7000", port));
    CHECK(isLeftOut("\"live\"", "\"dead\""));
    for (const char* name : { "\"\xff\"", "7", "[[]]" }) {
        CHECK(isLeftOut("\"a-0\"", name));
        CHECK(isLeftOut("\"a\"", name));
    }
    for (const char* amount : { "-1", "1.5", "1e300", "1e999", "1000000001", "9223372036854775807", "\"x\"", "[]" }) {
        CHECK(isLeftOut("32000", amount));
        CHECK(isLeftOut("131072", amount));
        CHECK(isLeftOut("64", amount));
    }
    CHECK(isLeftOut(R"("capacity":{)", R"("capacity":7,"c":{)"));
    CHECK(decodeOrEmpty(R"({"vms":[7,null,"w0",[],)" + encodeVm(others[0]) + "]}") == others);
}

TEST_CASE("An id that occurs twice names no VM, and the others of the list hold", "[vm-directory]")
{
    const std::string w0 = encodeVm(sampleVms()[0]);
    const std::string w1 = encodeVm(sampleVms()[1]);
    const std::vector<WorkerDescription> others { sampleVms()[1] };
    CHECK(decodeOrEmpty(R"({"vms":[)" + w0 + "," + w1 + "," + w0 + "]}") == others);
    CHECK(decodeOrEmpty(R"({"vms":[)" + w0 + "," + w0 + "," + w0 + "," + w1 + "]}") == others);
    CHECK_FALSE(decodeVmList(R"({"vms":[)" + w0 + "," + w0 + "]}").ok());
}

TEST_CASE("A list without any valid VM is an error", "[vm-directory]")
{
    CHECK_FALSE(decodeVmList(R"({"vms":[7]})").ok());
    CHECK_FALSE(
        decodeVmList(R"({"vms":[{"id":"w0","host":"127.0.0.1","port":99999,"state":"live","capacity":{}}]})").ok());
    CHECK(decodeVmList(R"({"vms":[]})").ok());
}

TEST_CASE("A VM with a deeply nested field does not keep the others from being read", "[vm-directory]")
{
    for (const std::size_t levels : { std::size_t { 65 }, std::size_t { 1000000 } }) {
        std::string deep(levels, '[');
        deep += std::string(levels, ']');
        std::string text = sampleList;
        text.replace(text.find("\"a-0\""), 5, deep);
        const auto list = decodeVmList(text);
        REQUIRE(list.ok());
        CHECK(*list == std::vector<WorkerDescription> { sampleVms()[1] });
    }
}

TEST_CASE("Changes of the VMs are followed while one of the list is invalid", "[vm-directory]")
{
    const std::string invalid
        = R"({"id":"w9","host":"127.0.0.1","port":99999,"state":"live","capacity":{"milliCpu":1e999}})";
    auto vms = sampleVms();
    for (int n = 0; n < 3; ++n) {
        std::string text = R"({"vms":[)" + invalid;
        for (const auto& vm : vms)
            text += "," + encodeVm(vm);
        const auto list = listFrom({ 200, {}, text + "]}" });
        REQUIRE(list.ok());
        CHECK(*list == vms);
        vms[0].address.port = static_cast<std::uint16_t>(8000 + n);
        vms[1].leaving = !vms[1].leaving;
        vms.push_back({ VmId("v" + std::to_string(n)), { "127.0.0.1", 9000 }, ZoneId("a"), RackId(), {}, false });
    }
}
