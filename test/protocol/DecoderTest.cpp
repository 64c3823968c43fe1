// Tests of every JSON decoder with truncated, malformed and random input.

#include "../../standins/EtcdWire.h"
#include "../../standins/TaskPayload.h"
#include "support/FixedSeed.h"
#include "support/Mutation.h"

#include <lycheeledge/protocol/EtcdCodec.h>
#include <lycheeledge/protocol/HttpVmDirectory.h>
#include <lycheeledge/protocol/WorkerCodec.h>
#include <lycheeledge/transport/Hmac.h>

#include <catch2/catch.hpp>

#include <functional>
#include <string>
#include <vector>

using namespace lycheeledge;
using namespace lycheeledge::test;

namespace {

constexpr std::uint64_t seed = 20260901;

TaskId sampleTask() { return { { TeamId("feed"), RequestId("r\"1\n") }, 3, 2 }; }

FinishedTask sampleFinished(const std::string& body)
{
    return { sampleTask(), true, "", body.size(), sha256Hex(body), body };
}

LeaseRequest sampleLeaseRequest()
{
    return { CellId("central"), 7, "s1", std::chrono::seconds(3), std::chrono::seconds(15), 11, true };
}

WireLeaseReport sampleLeaseReport()
{
    WireLeaseReport result;
    result.report = { VmId("w0"), true, 7, "s1", { 32000, 131072, 2, 8, 64 }, { 1000, 10, 0, 1, 1 }, true,
        { { sampleTask(), { 1000, 1024, 0, 1, 1 }, { 500, 100, 0, 1, 1 } } }, {}, 12 };
    result.finished = { { 11, false, true, sampleFinished("") }, { 12, false, false, sampleFinished("answer") } };
    return result;
}

WireEvents sampleEvents()
{
    FinishedTask pending = sampleFinished("");
    pending.bodyLength = 100000;
    return { { { 3, false, false, sampleFinished(std::string("\0\xff", 2)) }, { 4, true, false, pending } }, 4 };
}

StartCommand sampleStart()
{
    return { sampleTask(), 7, "s1", { 1000, 1024, 0, 1, 1 }, std::string("\0\xffpayload", 9), "00-ab-cd-01" };
}

std::vector<WorkerDescription> sampleVms()
{
    return { { VmId("w0"), { "127.0.0.1", 7000 }, ZoneId("a"), RackId("a-0"), { 32000, 131072, 1, 8, 64 }, true } };
}

const std::string rangeAnswer = R"({"header":{"revision":"12"},"kvs":[{"key":"YQ==","mod_revision":"5",)"
                                R"("value":"Yg=="}],"count":"1"})";
const std::string readAnswer = R"({"header":{"revision":"12"},"succeeded":true,"responses":[{"response_range":)"
                               R"({"kvs":[{"key":"YQ==","mod_revision":5,"value":"Yg=="}]}},{"response_range":{}}]})";
const std::string commitAnswer = R"({"header":{"revision":"12"},"succeeded":true,"responses":[]})";
const std::string grantAnswer = R"({"header":{"revision":"12"},"ID":"7587","TTL":"6"})";
const std::string keepAliveAnswer = R"({"result":{"header":{"revision":"12"},"ID":"7587","TTL":"6"}})";
const std::string errorAnswer = R"({"error":"e","message":"etcdserver: e","code":5})";
const std::string transactionCall = R"({"compare":[{"target":"MOD","result":"EQUAL","key":"YQ==","mod_revision":"0"}],)"
                                    R"("success":[{"request_put":{"key":"YQ==","value":"Yg==","lease":"0"}},)"
                                    R"({"request_delete_range":{"key":"Yw==","range_end":"AA=="}}]})";

/** @brief A decoder with a valid input. The decoder returns whether it accepted its input. */
struct Subject {
    std::string name;
    std::string valid;
    std::function<bool(const std::string&)> accepts;
    bool alwaysAccepts = false;
};

template <typename Decode> std::function<bool(const std::string&)> accepting(Decode decode)
{
    return [decode](const std::string& text) { return decode(text).ok(); };
}

bool acceptsStoreCall(const std::string& path, const std::string& body)
{
    standin::StoreModel model;
    model.grant(TimePoint(std::chrono::hours(1)), 6, 1);
    standin::StoreCallKind kind = standin::StoreCallKind::Read;
    return handleStoreCall(model, path, body, TimePoint(std::chrono::hours(1)), kind).status == 200;
}

std::vector<Subject> subjects()
{
    const auto readTwo = [](const std::string& text) { return decodeReadTransaction(text, 2); };
    const auto error = [](const std::string& text) { return decodeEtcdError(text).message.size() < 10000; };
    const auto store
        = [](const char* path) { return [path](const std::string& text) { return acceptsStoreCall(path, text); }; };
    return {
        { "range answer", rangeAnswer, accepting(&decodeRange) },
        { "read answer", readAnswer, accepting(readTwo) },
        { "commit answer", commitAnswer, accepting(&decodeTransaction) },
        { "grant answer", grantAnswer, accepting(&decodeLeaseGrant) },
        { "keep-alive answer", keepAliveAnswer, accepting(&decodeKeepAlive) },
        { "store error", errorAnswer, error, true },
        { "VM list", encodeVmList(sampleVms()), accepting(&decodeVmList) },
        { "lease request", encodeLeaseRequest(sampleLeaseRequest()), accepting(&decodeLeaseRequest) },
        { "lease report", encodeLeaseReport(sampleLeaseReport()), accepting(&decodeLeaseReport) },
        { "start command", encodeStartCommand(sampleStart()), accepting(&decodeStartCommand) },
        { "act command", encodeActCommand({ sampleTask(), 7, "s1" }), accepting(&decodeActCommand) },
        { "command answer", encodeCommandAnswer({ true, "m" }), accepting(&decodeCommandAnswer) },
        { "events", encodeEvents(sampleEvents()), accepting(&decodeEvents) },
        { "task payload", R"({"runMs":5,"bodyBytes":7,"fail":false,"seed":3})", accepting(&standin::decodePayload) },
        { "transaction call", transactionCall, store("/v3/kv/txn") },
        { "range call", R"({"key":"YQ==","range_end":"Yg==","min_mod_revision":"3"})", store("/v3/kv/range") },
        { "grant call", R"({"TTL":"6"})", store("/v3/lease/grant") },
        { "keep-alive call", R"({"ID":"6"})", store("/v3/lease/keepalive") },
        { "revoke call", R"({"ID":"1"})", store("/v3/lease/revoke") },
    };
}

} // namespace

TEST_CASE("Messages of the worker protocol keep every field", "[decoder]")
{
    CHECK(*decodeLeaseRequest(encodeLeaseRequest(sampleLeaseRequest())) == sampleLeaseRequest());
    CHECK(*decodeLeaseReport(encodeLeaseReport(sampleLeaseReport())) == sampleLeaseReport());
    CHECK(*decodeEvents(encodeEvents(sampleEvents())) == sampleEvents());
    CHECK(*decodeStartCommand(encodeStartCommand(sampleStart())) == sampleStart());
    const ActCommand act { sampleTask(), 7, "s1" };
    CHECK(*decodeActCommand(encodeActCommand(act)) == act);
    const CommandAnswer answer { false, "over capacity" };
    CHECK(*decodeCommandAnswer(encodeCommandAnswer(answer)) == answer);
}

TEST_CASE("Every decoder accepts its message and refuses every truncation of it", "[decoder]")
{
    for (const auto& subject : subjects()) {
        INFO(subject.name);
        CHECK(subject.accepts(subject.valid));
        for (std::size_t n = 0; n < subject.valid.size() && !subject.alwaysAccepts; ++n)
            CHECK_FALSE(subject.accepts(subject.valid.substr(0, n)));
    }
}

TEST_CASE("Every decoder refuses other JSON values, trailing bytes and deep nesting", "[decoder]")
{
    // Deeper than the stack allows for a recursive parser.
    const std::string deep(2000000, '[');
    for (const auto& subject : subjects()) {
        if (subject.alwaysAccepts)
            continue;
        INFO(subject.name);
        for (const char* text : { "null", "1", "\"text\"", "[]", "[{}]", "{\"a\"}", "\xff" })
            CHECK_FALSE(subject.accepts(text));
        CHECK_FALSE(subject.accepts(subject.valid + "x"));
        CHECK_FALSE(subject.accepts(deep));
        CHECK_FALSE(subject.accepts("{\"a\":" + deep));
    }
}

TEST_CASE("No decoder fails on changed messages", "[decoder]")
{
    for (const auto& subject : subjects()) {
        checkWithSeed(subject.name, seed, 1000, [&subject] { subject.accepts(mutated(subject.valid)); });
    }
}

TEST_CASE("What a decoder accepts of a changed message can be encoded and decoded again", "[decoder]")
{
    checkWithSeed("lease report", seed, 1000, [] {
        const auto decoded = decodeLeaseReport(mutated(encodeLeaseReport(sampleLeaseReport())));
        if (decoded.ok())
            RC_ASSERT(*decodeLeaseReport(encodeLeaseReport(*decoded)) == *decoded);
    });
    checkWithSeed("events", seed, 1000, [] {
        const auto decoded = decodeEvents(mutated(encodeEvents(sampleEvents())));
        if (decoded.ok())
            RC_ASSERT(*decodeEvents(encodeEvents(*decoded)) == *decoded);
    });
    checkWithSeed("start command", seed, 1000, [] {
        const auto decoded = decodeStartCommand(mutated(encodeStartCommand(sampleStart())));
        if (decoded.ok())
            RC_ASSERT(*decodeStartCommand(encodeStartCommand(*decoded)) == *decoded);
    });
    checkWithSeed("VM list", seed, 1000, [] {
        const auto decoded = decodeVmList(mutated(encodeVmList(sampleVms())));
        if (decoded.ok())
            RC_ASSERT(*decodeVmList(encodeVmList(*decoded)) == *decoded);
    });
}

TEST_CASE("An answer with a changed byte does not match its digest", "[decoder]")
{
    checkWithSeed("digest", seed, 500, [] {
        const auto body = *rc::gen::nonEmpty<std::string>();
        FinishedTask task = sampleFinished(body);
        RC_ASSERT(checkBody(task).ok());
        const auto at = *rc::gen::inRange<std::size_t>(0, body.size());
        task.body[at] = static_cast<char>(task.body[at] ^ *rc::gen::inRange(1, 256));
        RC_ASSERT(absl::IsDataLoss(checkBody(task)));
        task.body = body.substr(0, at);
        RC_ASSERT(absl::IsDataLoss(checkBody(task)));
    });
}

TEST_CASE("A partial read of the store is refused", "[decoder]")
{
    CHECK_FALSE(decodeReadTransaction(readAnswer, 1).ok());
    CHECK_FALSE(decodeReadTransaction(readAnswer, 3).ok());
    CHECK_FALSE(decodeReadTransaction(R"({"header":{"revision":"12"},"responses":[]})", 0).ok());
    CHECK_FALSE(decodeRange(R"({"header":{"revision":"12"},"kvs":[],"more":true})").ok());
    CHECK_FALSE(decodeRange(R"({"header":{},"kvs":[]})").ok());
}

TEST_CASE("Sequence numbers of events must grow up to the last one", "[decoder]")
{
    WireEvents events = sampleEvents();
    events.lastSequence = 3;
    CHECK_FALSE(decodeEvents(encodeEvents(events)).ok());
    events = sampleEvents();
    events.finished[1].sequence = 3;
    CHECK_FALSE(decodeEvents(encodeEvents(events)).ok());
}

TEST_CASE("Durations and times to live out of range are refused", "[decoder]")
{
    CHECK_FALSE(decodeLeaseRequest(R"({"epoch":1,"controllerLeaseMs":9223372036854775807})").ok());
    CHECK_FALSE(decodeLeaseRequest(R"({"epoch":1,"controllerLeaseMs":-1})").ok());
    CHECK_FALSE(decodeLeaseRequest(R"({"epoch":-1})").ok());
    CHECK_FALSE(decodeKeepAlive(R"({"result":{"ID":"1","TTL":"9223372036854775807"}})").ok());
    CHECK(*decodeKeepAlive(R"({"result":{"ID":"1"}})") == Duration::zero());
    CHECK(*decodeKeepAlive(R"({"result":{"ID":"1","TTL":"-5"}})") == Duration::zero());
}
