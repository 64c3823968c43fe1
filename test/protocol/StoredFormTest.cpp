// Tests that records and messages encoded by earlier builds are still read, and are written with the same bytes.
//
// A change of the order, type or number of encoded members would make a member unable to read the records of the
// owner before it, or the messages of a member of another build.

#include <lycheeledge/coordination/EpochRecord.h>
#include <lycheeledge/coordination/MemberRecord.h>
#include <lycheeledge/jobs/OwnerLease.h>
#include <lycheeledge/protocol/CerealRecordCodec.h>
#include <lycheeledge/protocol/JournalCodec.h>
#include <lycheeledge/protocol/PeerCodec.h>

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace lycheeledge;

namespace {

std::string hex(const std::string& buf)
{
    std::string result;
    for (const unsigned char c : buf)
        result += fmt::format("{:02x}", c);
    return result;
}

std::string bytes(const std::string& hexText)
{
    std::string result;
    for (std::size_t i = 0; i + 1 < hexText.size(); i += 2)
        result += static_cast<char>(std::stoi(hexText.substr(i, 2), nullptr, 16));
    return result;
}

Resources sampleResources() { return { 1500, 2048, 1, 2, 3 }; }

WorkSpec sampleWork()
{
    return { { TeamId("feed"), RequestId("r1") }, QueueId("q"), WorkKind::Batch, sampleResources(), 4, true, false,
        true, std::chrono::seconds(2), std::chrono::milliseconds(700), ZoneId("a"), 3, "payload" };
}

WorkResult sampleResult()
{
    return { { TeamId("feed"), RequestId("r1") }, RunState::Run, ErrorKind::TaskFailed, "failed", "body" };
}

TaskId sampleTask() { return { { TeamId("feed"), RequestId("r1") }, 5, 6 }; }

jobs::JobSpec sampleJob()
{
    const jobs::StepSpec first { 7, sampleResources(), std::chrono::milliseconds(250), {}, "label", "rack", "image", 8,
        9, std::chrono::milliseconds(40), true, false, true, false, true, false };
    const jobs::StepSpec second { 1, {}, std::chrono::seconds(1), { 0 }, "", "", "", 0, 0, {}, false, true, false, true,
        false, true };
    return { "payload", { first, second }, 10, 1785679414365, 60000 };
}

template <typename Decode, typename T>
void checkForm(const T& value, const std::string& encoded, Decode decode, const char* form)
{
    CHECK(hex(encoded) == form);
    const auto decoded = decode(bytes(form));
    REQUIRE(decoded.ok());
    CHECK(*decoded == value);
}

void checkMember(const jobs::MemberMessage& message, const char* form)
{
    checkForm(message, encodeMemberMessage(message), decodeMemberMessage, form);
}

void checkPeer(const PeerMessage& message, const char* form)
{
    checkForm(message, encodePeerMessage(message), decodePeerMessage, form);
}

void checkJournal(const JournalRecord& record, const char* form)
{
    const CerealJournalCodec codec;
    const std::vector<JournalRecord> records { record };
    checkForm(
        records, codec.encode(records), [&codec](const std::string& buf) { return codec.decode(buf); }, form);
}

} // namespace

TEST_CASE("Job records keep their encoded form", "[stored-form]")
{
    const CerealRecordCodec codec;
    const jobs::SubmissionRecord submission { jobs::AccountId("account"), "queue", sampleJob(), 1785679414000 };
    checkForm(
        submission, codec.encode(submission), [&codec](const std::string& buf) { return codec.decodeSubmission(buf); },
        "0107000000000000006163636f756e740500000000000000717565756507000000000000007061796c6f61640200000000000000"
        "07000000dc05000000000000000800000000000001000000000000000200000000000000030000000000000080b2e60e00000000"
        "000000000000000005000000000000006c6162656c04000000000000007261636b0500000000000000696d616765080000000900"
        "0000005a620200000000010001000100010000000000000000000000000000000000000000000000000000000000000000000000"
        "000000000000000000ca9a3b00000000010000000000000000000000000000000000000000000000000000000000000000000000"
        "000000000000000000000000000000000001000100010a0000005d84c9c29f01000060ea000000000000f082c9c29f010000");
    const jobs::TaskProgress task { 2, false, { 1001, 1003 }, "checkpoint" };
    const jobs::StepProgress step { { 5 }, false, { task } };
    const jobs::ProgressRecord progress { jobs::JobState::Running, jobs::AccountId("account"), "queue", 11, 12,
        { { 3, { step, { {}, true, {} } } } }, {}, {}, {}, {}, {} };
    checkForm(
        progress, codec.encode(progress), [&codec](const std::string& buf) { return codec.decodeProgress(buf); },
        "010107000000000000006163636f756e74050000000000000071756575650b000000000000000c00000001000000000000000300"
        "000002000000000000000100000000000000050000000000000000010000000000000002000000000200000000000000e9030000"
        "00000000eb030000000000000a00000000000000636865636b706f696e740000000000000000010000000000000000");
    const jobs::WorkerSetRecord workers { { { jobs::WorkerId("i-1"), "10.0.0.1:8", {} } } };
    checkForm(
        workers, codec.encode(workers), [&codec](const std::string& buf) { return codec.decodeWorkerSet(buf); },
        "0101000000000000000300000000000000692d310a0000000000000031302e302e302e313a38");
}

TEST_CASE("progress records with crash counts are read as they were written", "[stored-form]")
{
    const CerealRecordCodec codec;
    jobs::ProgressRecord progress;
    progress.state = jobs::JobState::Running;
    progress.crashCounts = { { 1, 0, 4, 1, 2 }, { 1, 1, 0, 0, 3 } };
    progress.crashTallies = { { 1, 0, 4, 1, 3, 2 } };
    const auto decoded = codec.decodeProgress(codec.encode(progress));
    REQUIRE(decoded.ok());
    CHECK(*decoded == progress);
}

TEST_CASE("progress records of jobs that ended with runs are read as they were written", "[stored-form]")
{
    const CerealRecordCodec codec;
    jobs::ProgressRecord progress;
    progress.state = jobs::JobState::Cancelled;
    progress.runsAtEnd = { .reserved = { 0, 2048, 0, 0, 0 }, .charged = { 1500, 2048, 0, 0, 0 } };
    const auto decoded = codec.decodeProgress(codec.encode(progress));
    REQUIRE(decoded.ok());
    CHECK(*decoded == progress);
}

TEST_CASE("progress records with many done tasks are read as they were written", "[stored-form]")
{
    const CerealRecordCodec codec;
    jobs::ProgressRecord progress;
    progress.state = jobs::JobState::Running;
    progress.doneTasks = { { 0, 1, std::string("\x01\x00\xff", 3) } };
    const auto decoded = codec.decodeProgress(codec.encode(progress));
    REQUIRE(decoded.ok());
    CHECK(*decoded == progress);
}

TEST_CASE("progress records with placements are read as they were written", "[stored-form]")
{
    const CerealRecordCodec codec;
    jobs::ProgressRecord progress;
    progress.state = jobs::JobState::Running;
    progress.placements = { { 0, 1, 4, 100001, jobs::WorkerId("i-1") }, { 2, 0, 0, 7, jobs::WorkerId("i-2") } };
    const auto decoded = codec.decodeProgress(codec.encode(progress));
    REQUIRE(decoded.ok());
    CHECK(*decoded == progress);
}

TEST_CASE(
    "the capacities of known workers are read as they were written, and those of others stay unknown", "[stored-form]")
{
    const CerealRecordCodec codec;
    jobs::WorkerSetRecord workers { { { jobs::WorkerId("i-1"), "10.0.0.1:8", sampleResources() } } };
    const std::string buf = codec.encodeCapacities(workers);
    workers.workers[0].largestCapacity = {};
    workers.workers.push_back({ jobs::WorkerId("i-2"), "10.0.0.2:8", {} });
    REQUIRE(codec.decodeCapacities(buf, workers).ok());
    CHECK(workers.workers[0].largestCapacity == sampleResources());
    CHECK(workers.workers[1].largestCapacity.isZero());
    CHECK_FALSE(codec.decodeCapacities("malformed", workers).ok());
}

TEST_CASE("Job states keep their encoded numbers", "[stored-form]")
{
    CHECK(static_cast<int>(jobs::JobState::Queued) == 0);
    CHECK(static_cast<int>(jobs::JobState::Running) == 1);
    CHECK(static_cast<int>(jobs::JobState::Completed) == 2);
    CHECK(static_cast<int>(jobs::JobState::Failed) == 3);
    CHECK(static_cast<int>(jobs::JobState::Cancelled) == 4);
}

TEST_CASE("Messages between members keep their encoded form", "[stored-form]")
{
    checkMember(jobs::Handshake { "front-1", 0.25 }, "0100000000070000000000000066726f6e742d31000000000000d03f");
    checkMember(jobs::OwnerStatus { 3, true, 0.5 }, "0101000000030000000000000001000000000000e03f");
    checkMember(jobs::CallMessage { 4, { jobs::CallVerb::Cancel, "host", "/path", "key", 3000, "body" } },
        "01020000000400000000000000020400000000000000686f737405000000000000002f7061746803000000000000006b6579b80b"
        "0000000000000400000000000000626f6479");
    checkMember(jobs::CallReply { 5, { jobs::ReplyKind::Refused, jobs::JobState::Failed, 6, 7, "reason" } },
        "0103000000050000000000000008030600000000000000070000000600000000000000726561736f6e");
    checkMember(jobs::AdmissionMessage { 8, { { jobs::JobId("job"), 1, 2 }, { jobs::WorkerId("i-1") } }, 900 },
        "0104000000080000000000000003000000000000006a6f62010000000200000001000000000000000300000000000000692d3184"
        "03000000000000");
    checkMember(jobs::AdmissionReply { 9, true, { { jobs::WorkerId("i-1"), "ticket" } }, "error" },
        "010500000009000000000000000101000000000000000300000000000000692d3106000000000000007469636b65740500000000"
        "0000006572726f72");
    checkMember(jobs::Ping { 10, true }, "01060000000a0000000000000001");
}

TEST_CASE("Reply kinds keep their encoded numbers", "[stored-form]")
{
    CHECK(static_cast<int>(jobs::ReplyKind::Accepted) == 0);
    CHECK(static_cast<int>(jobs::ReplyKind::State) == 1);
    CHECK(static_cast<int>(jobs::ReplyKind::Count) == 2);
    CHECK(static_cast<int>(jobs::ReplyKind::Cancelled) == 3);
    CHECK(static_cast<int>(jobs::ReplyKind::NoSuchJob) == 4);
    CHECK(static_cast<int>(jobs::ReplyKind::NoSuchQueue) == 5);
    CHECK(static_cast<int>(jobs::ReplyKind::Unauthorized) == 6);
    CHECK(static_cast<int>(jobs::ReplyKind::BadRequest) == 7);
    CHECK(static_cast<int>(jobs::ReplyKind::Refused) == 8);
    CHECK(static_cast<int>(jobs::ReplyKind::Unknown) == 9);
}

TEST_CASE("Owner records keep their text", "[stored-form]")
{
    const jobs::OwnerRecord owner { "front-1", 7, 8, "10.0.0.1", 7420, 9 };
    checkForm(
        owner, jobs::encodeOwner(owner), jobs::decodeOwner, "66726f6e742d31203720382031302e302e302e3120373432302039");
    const EpochRecord epoch { 5, MemberId("m1"), 6, { "127.0.0.1", 21201 }, 0 };
    checkForm(epoch, formatEpochRecord(epoch), parseEpochRecord,
        "7b2265706f6368223a352c226f776e6572223a226d31222c22696e6361726e6174696f6e223a2236222c22686f7374223a223132"
        "372e302e302e31222c22706f7274223a32313230317d");
    const MemberRecord member { MemberId("m1"), { "127.0.0.1", 21201 }, ZoneId("a"), 12 };
    const std::string text = R"({"id":"m1","host":"127.0.0.1","port":21201,"zone":"a","incarnation":"12"})";
    CHECK(encodeMemberRecord(member) == text);
    CHECK(decodeMemberRecord(text) == member);
}

TEST_CASE("Journal records keep their encoded form", "[stored-form]")
{
    checkJournal(JobSubmitted { sampleWork() },
        "010100000000000000000000000400000000000000666565640200000000000000723101000000000000007101000000dc050000"
        "00000000000800000000000001000000000000000200000000000000030000000000000004000000010001009435770000000000"
        "27b929000000000100000000000000610300000007000000000000007061796c6f6164");
    checkJournal(JobCancelled { { TeamId("feed"), RequestId("r1") } },
        "0101000000000000000100000004000000000000006665656402000000000000007231");
    checkJournal(TaskStarting { sampleTask() },
        "01010000000000000002000000040000000000000066656564020000000000000072310500000006000000");
    checkJournal(TaskEnded { sampleTask(), true },
        "0101000000000000000300000004000000000000006665656402000000000000007231050000000600000001");
    checkJournal(JobEnded { sampleResult() },
        "0101000000000000000400000004000000000000006665656402000000000000007231010000000c000000060000000000000066"
        "61696c65640400000000000000626f6479");
    checkJournal(
        WorkerJoined {
            { VmId("vm"), { "127.0.0.1", 22000 }, ZoneId("a"), RackId("r"), sampleResources(), true }, "s1" },
        "010100000000000000050000000200000000000000766d09000000000000003132372e302e302e31f05501000000000000006101"
        "0000000000000072dc05000000000000000800000000000001000000000000000200000000000000030000000000000001020000"
        "00000000007331");
    checkJournal(WorkerRemoved { VmId("vm"), { sampleTask() } },
        "010100000000000000060000000200000000000000766d0100000000000000040000000000000066656564020000000000000072"
        "310500000006000000");
}

TEST_CASE("Messages between entry processes keep their encoded form", "[stored-form]")
{
    const Gossip gossip { MemberId("m1"), 2, 3, 4, std::chrono::milliseconds(50), { { CellId("main"), 6, true } }, true,
        7, 8, { MemberId("m2") } };
    checkForm(gossip, encodeGossip(gossip), decodeGossip,
        "0102000000000000006d3102000000000000000300000000000000040000000000000080f0fa0200000000010000000000000004"
        "000000000000006d61696e06000000000000000101010000000000000002000000000000006d3207000000000000000800000000"
        "000000");
    checkPeer(SubmitMessage { 1, CellId("main"), sampleWork(), "00-trace" },
        "0100000000010000000000000004000000000000006d61696e040000000000000066656564020000000000000072310100000000"
        "0000007101000000dc05000000000000000800000000000001000000000000000200000000000000030000000000000004000000"
        "01000100943577000000000027b929000000000100000000000000610300000007000000000000007061796c6f61640800000000"
        "00000030302d7472616365");
    checkPeer(SubmitReply { 2, true, sampleResult() },
        "010100000002000000000000000104000000000000006665656402000000000000007231010000000c0000000600000000000000"
        "6661696c65640400000000000000626f6479");
    checkPeer(CancelMessage { 3, CellId("main"), { TeamId("feed"), RequestId("r1") } },
        "0102000000030000000000000004000000000000006d61696e04000000000000006665656402000000000000007231");
    checkPeer(StatusMessage { 4, CellId("main"), { TeamId("feed"), RequestId("r1") } },
        "0103000000040000000000000004000000000000006d61696e04000000000000006665656402000000000000007231");
    checkPeer(StatusReply { 5, false, true,
                  { { TeamId("feed"), RequestId("r1") }, WorkKind::Service, WorkPhase::SetAside, 1, 2, 3, "reason" } },
        "01040000000500000000000000000104000000000000006665656402000000000000007231020000000300000001000000020000"
        "00030000000600000000000000726561736f6e");
    checkPeer(OverviewMessage { 6, CellId("main") }, "0105000000060000000000000004000000000000006d61696e");
    checkPeer(OverviewReply { 7, true, "{}" }, "010600000007000000000000000102000000000000007b7d");
}
