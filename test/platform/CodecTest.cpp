// Tests of the platform's codecs: client requests, store records, worker and VM lists. Their input is untrusted.

#include "support/Property.h"

#include <catch2/catch.hpp>

#include <platform/HttpVms.h>
#include <platform/HttpWorkers.h>
#include <platform/Ingress.h>
#include <platform/PlatformSettings.h>
#include <platform/StoreRecords.h>

using namespace lycheeledge;
using namespace lycheeledge::jobs;
using namespace lycheeledge::platform;
using std::chrono::milliseconds;

namespace {

jobs::ClientCall decodeCall(HttpRequest request)
{
    return std::get<jobs::ClientCall>(Ingress().decodeCall(std::move(request)));
}

StoreEntry entry(const std::string& key, const std::string& value) { return { key, value, 7 }; }

const std::string workerJson = R"({"service":"pool","addr":"10.1.0.1:80","zone":"north","version":"v1","slots":8,
    "state":"ready","coldLeftMs":0,"capacity":{"cpu":32000,"memMb":131072,"gpu":0},"labels":["a","r1-3"],"seq":4,
    "born":1700000000000})";

} // namespace

TEST_CASE("a client request is decoded", "[ingress]")
{
    const auto call = decodeCall({ .method = "POST",
        .target = "/queue/0123456789abcdef?x=1",
        .headers = { { "host", "a.example:80" }, { "authorization", "Bearer key" }, { "x-deadline-ms", "2500" } },
        .body = "{}" });
    CHECK(call.verb == jobs::CallVerb::Submit);
    CHECK(call.host == "a.example");
    CHECK(call.path == "/queue/0123456789abcdef");
    CHECK(call.key == "key");
    CHECK(call.timeoutMs == 2500);
    CHECK(std::holds_alternative<HttpResponse>(
        Ingress().decodeCall({ .method = "PUT", .target = "/", .headers = {}, .body = {} })));
}

TEST_CASE("a submission is decoded, with defaults for absent fields", "[ingress]")
{
    const auto spec = Ingress().decode(
        R"({"spec":"text","steps":[{"count":4,"cpu":500,"memMb":256,"estRuntimeMs":900,"affinity":"r1-3"},
            {"count":2,"cpu":2000,"after":[0],"checkpointing":true,"gang":true,"mayMiss":1,"targetMs":80}],
            "repetitions":3,"startAtMs":1700000000000,"intervalMs":500})");
    REQUIRE(spec.ok());
    REQUIRE(spec->steps.size() == 2);
    CHECK(spec->payload == "text");
    CHECK(spec->steps[0].request.milliCpu == 500);
    CHECK(spec->steps[0].estimatedRunTime == milliseconds(900));
    CHECK(spec->steps[0].preferredRack == "r1-3");
    CHECK_FALSE(spec->steps[0].gang);
    CHECK(spec->steps[1].after == std::vector<std::uint32_t> { 0 });
    CHECK(spec->steps[1].maxUnavailable == 1);
    CHECK(spec->steps[1].latencyTarget == milliseconds(80));
    CHECK(spec->occurrenceCount() == 3);
}

TEST_CASE("malformed submissions are rejected", "[ingress]")
{
    const Ingress ingress;
    for (const char* text :
        { "", "[]", "{", R"({"steps":[]})", R"({"steps":[{"count":0}]})", R"({"steps":[{"cpu":5}]})",
            R"({"steps":[{"count":1,"after":[0]}]})", R"({"steps":[{"count":1,"after":[-1]}]})",
            R"({"steps":[{"count":1,"cpu":-5}]})", R"({"steps":[{"count":1000000000}]})" })
        CHECK_FALSE(ingress.decode(text).ok());
    CHECK_FALSE(ingress.decode(R"({"spec":")" + std::string(4001, 'x') + R"(","steps":[{"count":1}]})").ok());
    // Deep nesting must not overflow the stack.
    CHECK_FALSE(ingress.decode(std::string(100000, '[')).ok());
}

TEST_CASE("replies are encoded with the HTTP statuses that clients expect", "[ingress]")
{
    const Ingress ingress;
    const auto encode = [&ingress](jobs::ReplyKind kind) {
        return ingress.encodeReply({ .kind = kind, .retryAfterS = 2, .reason = "why" });
    };
    CHECK(encode(jobs::ReplyKind::Accepted).status == 200);
    CHECK(encode(jobs::ReplyKind::NoSuchJob).status == 410);
    CHECK(encode(jobs::ReplyKind::NoSuchQueue).status == 404);
    CHECK(encode(jobs::ReplyKind::Unauthorized).status == 401);
    CHECK(encode(jobs::ReplyKind::BadRequest).status == 400);
    CHECK(encode(jobs::ReplyKind::Unknown).status == 504);
    const auto refused = encode(jobs::ReplyKind::Refused);
    CHECK(refused.status == 503);
    CHECK(refused.headers.at("Retry-After") == "2");
    CHECK(ingress.encodeReply({ .kind = jobs::ReplyKind::State, .state = jobs::JobState::Completed, .reason = {} }).body
        == R"({"state":"completed"})");
    CHECK(ingress.encodeReply({ .kind = jobs::ReplyKind::Count, .count = 12, .reason = {} }).body
        == R"({"waitingCount":12})");
}

TEST_CASE("a worker's entry is decoded", "[records]")
{
    const auto worker = StoreRecords().worker(entry("servers/i-1", workerJson));
    REQUIRE(worker.ok());
    CHECK(worker->id.value() == "i-1");
    CHECK(worker->capacity.milliCpu == 32000);
    CHECK(worker->rack == "r1-3");
    CHECK(worker->incarnationStartUnixMs == 1700000000000);
    CHECK_FALSE(worker->draining);
}

TEST_CASE("malformed worker entries are rejected", "[records]")
{
    const StoreRecords records;
    const auto acceptsReplaced = [&records](const std::string& from, const std::string& to) {
        std::string text = workerJson;
        text.replace(text.find(from), from.size(), to);
        return records.worker(entry("servers/i-1", text)).ok();
    };
    CHECK_FALSE(acceptsReplaced(R"("state":"ready")", R"("state":"sleeping")"));
    CHECK_FALSE(acceptsReplaced(R"("state":"ready")", R"("state":5)"));
    CHECK_FALSE(acceptsReplaced(R"("addr":"10.1.0.1:80")", R"("addr":17)"));
    CHECK_FALSE(acceptsReplaced(R"("capacity":{"cpu":32000,"memMb":131072,"gpu":0})", R"("capacity":3)"));
    CHECK_FALSE(records.worker(entry("servers/i-1", "\xff\xfe bytes")).ok());
    CHECK_FALSE(records.worker(entry("servers/i-1", "")).ok());
}

TEST_CASE("a configuration is decoded", "[records]")
{
    const auto configuration = StoreRecords().configuration(entry("op/config",
        R"({"version":7,"routes":[{"name":"r-1","host":"a.example","prefix":"/q/","targetLatencyMs":1200,"priority":2,
            "service":"pool","maxAttempts":2,"stretch":2.2,"advice":{"decideMs":400.0,"periodMs":5.7,"validMs":2500}},
            {"name":"r-2","host":"a.example","prefix":"/q/long/","service":"pool","noAuth":true}],
            "services":[{"name":"pool","admissionCheck":false}],"limits":{"maxBodyBytes":1000},
            "tenants":[{"name":"t","apiKeys":["k"],"weight":12,"upperLimit":{"cpu":100,"memMb":200,"gpu":0}}]})"));
    REQUIRE(configuration.ok());
    CHECK(configuration->revision == 7);
    const auto* queue = configuration->queueOf("a.example", "/q/1");
    REQUIRE(queue != nullptr);
    CHECK(queue->name == "r-1");
    CHECK(queue->admission->perCall == milliseconds(400));
    CHECK(queue->admission->validity == milliseconds(2500));
    CHECK(configuration->queueOf("a.example", "/q/long/1")->name == "r-2");
    CHECK(configuration->queueOf("b.example", "/q/1") == nullptr);
    REQUIRE(configuration->accountOfKey("k") != nullptr);
    CHECK(configuration->accountOfKey("k")->upperLimit.milliCpu == 100);
    CHECK(configuration->accountOfKey("") == nullptr);
}

TEST_CASE("a worker's lists are decoded, skipping malformed rows", "[workers]")
{
    const auto report = decodePollReport(
        R"({"clockMs":482113,"born":1700000000000,
            "runningTasks":[["5c0e7a21d94b36f8.0.1.17",2,"save",41,12.5],["bad",1,"",0],7,[]],
            "finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],[59,"5c0e7a21d94b36f8.0.1.8",1,"vanished",""]]})");
    REQUIRE(report.ok());
    CHECK(report->clockMs == 482113);
    CHECK(report->incarnationStartUnixMs == 1700000000000);
    REQUIRE(report->running.size() == 1);
    CHECK(report->running[0].run == jobs::RunKey { { jobs::JobId("5c0e7a21d94b36f8"), 0, 1, 17 }, 2 });
    CHECK(report->running[0].progressPercent == 41);
    CHECK(report->running[0].usage == 12.5);
    REQUIRE(report->ended.size() == 1);
    CHECK(report->ended[0].sequence == 58);
    CHECK(report->ended[0].kind == jobs::EndKind::Done);
    CHECK_FALSE(decodePollReport("nothing").ok());
}

TEST_CASE("decoders accept arbitrary bytes without crashing", "[fuzz]")
{
    const Ingress ingress;
    const StoreRecords records;
    CHECK(test::holds("platform decoders survive any bytes", 20261204, 500, [&](const std::string& text) {
        // Half of the inputs start with a prefix of valid JSON, so that the decoders get beyond the first byte.
        for (const std::string& bytes : { text, workerJson.substr(0, text.size() * 7 % workerJson.size()) + text }) {
            (void)ingress.decode(bytes);
            (void)records.worker(entry("servers/i-1", bytes));
            (void)records.configuration(entry("op/config", bytes));
            (void)decodePollReport(bytes);
            (void)decodeTaskName(bytes);
            (void)parsePlatformSettings(bytes);
        }
    }));
}

TEST_CASE("task names are unchanged by encoding and decoding", "[workers]")
{
    const jobs::TaskKey key { jobs::JobId("5c0e7a21d94b36f8"), 3, 1, 17 };
    const auto decoded = decodeTaskName(encodeTaskName(key));
    REQUIRE(decoded.ok());
    CHECK(*decoded == key);
}

TEST_CASE("a page of the list of VMs is decoded, skipping malformed rows", "[platform]")
{
    const auto page = decodeVmPage(R"({"machines":[
        {"machine":"m-1","pool":"p","state":"up","labels":["a","r1"],"id":"i-1"},
        {"machine":"m-2","state":"upkeep","id":""}, {"state":"up"}, 7,
        {"machine":"m-3","state":"surprising","id":"i-3"}],"nextToken":"t"})");
    REQUIRE(page.ok());
    CHECK(page->next == "t");
    const std::vector<VmRecord> expected { { VmId("m-1"), VmState::Up, WorkerId("i-1") },
        { VmId("m-2"), VmState::InMaintenance, WorkerId() }, { VmId("m-3"), VmState::Down, WorkerId("i-3") } };
    CHECK(page->vms == expected);
    CHECK(decodeVmPage(R"({"machines":[],"nextToken":null})")->next.empty());
    CHECK_FALSE(decodeVmPage("{}").ok());
}

TEST_CASE("responses to a maintenance order are mapped to outcomes", "[platform]")
{
    CHECK(decodeMaintenanceOutcome(200, "{}") == MaintenanceOutcome::Begun);
    CHECK(decodeMaintenanceOutcome(409, R"({"reason":"fence"})") == MaintenanceOutcome::Fenced);
    CHECK(decodeMaintenanceOutcome(409, R"({"reason":"busy"})") == MaintenanceOutcome::Busy);
    CHECK(decodeMaintenanceOutcome(409, R"({"reason":"wave"})") == MaintenanceOutcome::NotInWave);
    CHECK(decodeMaintenanceOutcome(400, "") == MaintenanceOutcome::NoSuchVm);
    CHECK(decodeMaintenanceOutcome(429, "") == MaintenanceOutcome::Rejected);
    CHECK(decodeMaintenanceOutcome(502, "") == MaintenanceOutcome::Unknown);
}

TEST_CASE("a maintenance wave is decoded, and its state encoded", "[platform]")
{
    const StoreRecords records;
    const auto wave = records.wave({ .key = "op/wave/3",
        .value = R"({"wave":3,"machines":["m-1","m-2"],"durationS":20,"upperLimit":2})",
        .modRevision = 9 });
    REQUIRE(wave.ok());
    CHECK(*wave
        == MaintenanceWave {
            .number = 3, .vms = { VmId("m-1"), VmId("m-2") }, .duration = std::chrono::seconds(20), .maxDown = 2 });
    CHECK_FALSE(records.wave({ .key = "op/wave/4", .value = R"({"machines":[]})", .modRevision = 9 }).ok());
    CHECK(records.waveStateKey(3) == "status/wave/3");
    CHECK(records.waveState(false) == R"({"state":"running"})");
    CHECK(records.waveState(true) == R"({"state":"completed"})");
}

TEST_CASE("requests to evacuate a data centre are within the operators' records", "[platform]")
{
    // The owner's watch has the prefix of all operators' records, and would miss others.
    const StoreRecords records;
    CHECK(records.evacuationPrefix() == "op/evacuate/");
    CHECK(records.evacuationPrefix().starts_with(records.operatorPrefix()));
}
