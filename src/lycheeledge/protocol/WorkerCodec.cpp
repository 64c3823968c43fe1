// JSON encoding of the worker protocol.

#include "WorkerCodec.h"

#include "../transport/Hmac.h"
#include "StateJson.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace lycheeledge {

namespace {

    using std::chrono::milliseconds;

    // Leases last seconds; this limit prevents overflow in the conversion to nanoseconds.
    constexpr std::int64_t maxLeaseMs = 24LL * 3600 * 1000;

    template <typename Write> std::string encode(Write write)
    {
        rapidjson::StringBuffer buf;
        JsonWriter writer(buf);
        writer.StartObject();
        write(writer);
        writer.EndObject();
        return { buf.GetString(), buf.GetSize() };
    }

    template <typename T, typename Read> absl::StatusOr<T> decode(const std::string& body, Read read)
    {
        rapidjson::Document document;
        absl::Status status = parseJson(body, document);
        if (!status.ok())
            return status;
        T result = read(JsonFields(document, "message", status));
        if (!status.ok())
            return status;
        return result;
    }

    std::int64_t toMs(Duration duration) { return std::chrono::ceil<milliseconds>(duration).count(); }

    Duration readMs(const JsonFields& fields, const char* name)
    {
        const std::int64_t ms = fields.amount(name);
        if (ms <= maxLeaseMs)
            return milliseconds(ms);
        fields.fail(name, "is out of range");
        return {};
    }

    void writeFinished(JsonWriter& writer, const WireFinishedTask& finished)
    {
        const FinishedTask& task = finished.task;
        writer.StartObject();
        writeUnsigned(writer, "sequence", finished.sequence);
        writeTaskId(writer, "task", task.id);
        writeBoolean(writer, "succeeded", task.succeeded);
        writeText(writer, "message", task.message);
        writeUnsigned(writer, "bodyLength", task.bodyLength);
        writeText(writer, "bodySha256", task.bodySha256);
        if (finished.acknowledged)
            writeBoolean(writer, "acknowledged", true);
        else if (finished.bodyPending)
            writeBoolean(writer, "bodyPending", true);
        else if (!task.body.empty())
            writeBase64(writer, "body", task.body);
        writer.EndObject();
    }

    void writeFinishedList(JsonWriter& writer, const char* name, const std::vector<WireFinishedTask>& list)
    {
        writer.Key(name);
        writer.StartArray();
        for (const auto& finished : list)
            writeFinished(writer, finished);
        writer.EndArray();
    }

    WireFinishedTask readFinished(const JsonFields& fields)
    {
        WireFinishedTask result;
        result.sequence = fields.uint64("sequence");
        result.bodyPending = fields.boolean("bodyPending");
        result.acknowledged = fields.boolean("acknowledged");
        result.task.id = readTaskId(fields.object("task"));
        result.task.succeeded = fields.boolean("succeeded");
        result.task.message = fields.optionalText("message");
        result.task.bodyLength = fields.uint64("bodyLength");
        result.task.bodySha256 = fields.optionalText("bodySha256");
        result.task.body = fields.base64("body");
        return result;
    }

    std::vector<WireFinishedTask> readFinishedList(const JsonFields& fields, const char* name)
    {
        std::vector<WireFinishedTask> result;
        fields.each(name, [&result](const JsonFields& item) { result.push_back(readFinished(item)); });
        return result;
    }

    /**
     * @brief Requires that sequence numbers increase and that none exceeds `lastSequence`. Otherwise an acknowledgement
     * could cover tasks whose results were not received.
     */
    void checkSequences(
        const JsonFields& fields, const std::vector<WireFinishedTask>& finished, std::uint64_t lastSequence)
    {
        std::uint64_t previous = 0;
        for (const auto& item : finished) {
            if (item.sequence <= previous)
                fields.fail("sequence", "does not grow");
            previous = item.sequence;
        }
        if (previous > lastSequence)
            fields.fail("lastSequence", "is smaller than that of a task");
    }

} // namespace

std::string encodeLeaseRequest(const LeaseRequest& request)
{
    return encode([&request](JsonWriter& writer) {
        writeText(writer, "cell", request.cell.value());
        writeUnsigned(writer, "epoch", request.epoch);
        writeText(writer, "session", request.session);
        writeInteger(writer, "controllerLeaseMs", toMs(request.controllerLease));
        writeInteger(writer, "taskLeaseMs", toMs(request.taskLease));
        writeUnsigned(writer, "acknowledged", request.acknowledged);
        writeBoolean(writer, "fullReport", request.fullReport);
    });
}

std::string encodeLeaseReport(const WireLeaseReport& report)
{
    const LeaseReport& value = report.report;
    return encode([&](JsonWriter& writer) {
        writeText(writer, "worker", value.worker.value());
        writeBoolean(writer, "accepted", value.accepted);
        writeUnsigned(writer, "highestEpoch", value.highestEpoch);
        writeText(writer, "session", value.session);
        writeResources(writer, "capacity", value.capacity);
        writeResources(writer, "used", value.used);
        writeBoolean(writer, "full", value.full);
        writer.Key("running");
        writer.StartArray();
        for (const auto& task : value.running) {
            writer.StartObject();
            writeTaskId(writer, "task", task.id);
            writeResources(writer, "reserved", task.reserved);
            writeResources(writer, "used", task.used);
            writer.EndObject();
        }
        writer.EndArray();
        writeFinishedList(writer, "finished", report.finished);
        writeUnsigned(writer, "lastSequence", value.lastSequence);
    });
}

std::string encodeStartCommand(const StartCommand& command)
{
    return encode([&command](JsonWriter& writer) {
        writeTaskId(writer, "task", command.id);
        writeUnsigned(writer, "epoch", command.epoch);
        writeText(writer, "session", command.session);
        writeResources(writer, "size", command.size);
        writeBase64(writer, "payload", command.payload);
        if (!command.traceparent.empty())
            writeText(writer, "traceparent", command.traceparent);
    });
}

std::string encodeTaskActionCommand(const TaskActionCommand& command)
{
    return encode([&command](JsonWriter& writer) {
        writeTaskId(writer, "task", command.id);
        writeUnsigned(writer, "epoch", command.epoch);
        writeText(writer, "session", command.session);
    });
}

std::string encodeCommandResponse(const CommandResponse& response)
{
    return encode([&response](JsonWriter& writer) {
        writeText(writer, "outcome", response.accepted ? "accepted" : "refused");
        writeText(writer, "message", response.message);
    });
}

std::string encodeEvents(const WireEvents& events)
{
    return encode([&events](JsonWriter& writer) {
        writeFinishedList(writer, "events", events.finished);
        writeUnsigned(writer, "lastSequence", events.lastSequence);
    });
}

absl::StatusOr<LeaseRequest> decodeLeaseRequest(const std::string& body)
{
    return decode<LeaseRequest>(body, [](const JsonFields& fields) {
        LeaseRequest result;
        result.cell = CellId(fields.optionalText("cell"));
        result.epoch = fields.uint64("epoch");
        result.session = fields.optionalText("session");
        result.controllerLease = readMs(fields, "controllerLeaseMs");
        result.taskLease = readMs(fields, "taskLeaseMs");
        result.acknowledged = fields.uint64("acknowledged");
        result.fullReport = fields.boolean("fullReport");
        return result;
    });
}

absl::StatusOr<WireLeaseReport> decodeLeaseReport(const std::string& body)
{
    return decode<WireLeaseReport>(body, [](const JsonFields& fields) {
        WireLeaseReport result;
        LeaseReport& report = result.report;
        report.worker = VmId(fields.text("worker"));
        if (!fields.has("accepted"))
            fields.fail("accepted", "is missing");
        report.accepted = fields.boolean("accepted");
        report.highestEpoch = fields.uint64("highestEpoch");
        report.session = fields.text("session");
        report.capacity = readResources(fields.object("capacity"));
        report.used = readResources(fields.object("used"));
        report.full = fields.boolean("full");
        fields.each("running", [&report](const JsonFields& item) {
            report.running.push_back({ readTaskId(item.object("task")), readResources(item.object("reserved")),
                readResources(item.object("used")) });
        });
        result.finished = readFinishedList(fields, "finished");
        report.lastSequence = fields.uint64("lastSequence");
        checkSequences(fields, result.finished, report.lastSequence);
        return result;
    });
}

absl::StatusOr<StartCommand> decodeStartCommand(const std::string& body)
{
    return decode<StartCommand>(body, [](const JsonFields& fields) {
        StartCommand result;
        result.id = readTaskId(fields.object("task"));
        result.epoch = fields.uint64("epoch");
        result.session = fields.text("session");
        result.size = readResources(fields.object("size"));
        result.payload = fields.base64("payload");
        result.traceparent = fields.optionalText("traceparent");
        return result;
    });
}

absl::StatusOr<TaskActionCommand> decodeTaskActionCommand(const std::string& body)
{
    return decode<TaskActionCommand>(body, [](const JsonFields& fields) {
        return TaskActionCommand { readTaskId(fields.object("task")), fields.uint64("epoch"), fields.text("session") };
    });
}

absl::StatusOr<CommandResponse> decodeCommandResponse(const std::string& body)
{
    return decode<CommandResponse>(body, [](const JsonFields& fields) {
        const std::string outcome = fields.text("outcome");
        if (outcome != "accepted" && outcome != "refused")
            fields.fail("outcome", "is neither accepted nor refused");
        return CommandResponse { outcome == "accepted", fields.optionalText("message") };
    });
}

absl::StatusOr<WireEvents> decodeEvents(const std::string& body)
{
    return decode<WireEvents>(body, [](const JsonFields& fields) {
        WireEvents result;
        if (!fields.has("lastSequence"))
            fields.fail("lastSequence", "is missing");
        result.lastSequence = fields.uint64("lastSequence");
        result.finished = readFinishedList(fields, "events");
        checkSequences(fields, result.finished, result.lastSequence);
        return result;
    });
}

absl::Status verifyTaskResult(const FinishedTask& task)
{
    if (task.body.size() != task.bodyLength)
        return absl::DataLossError(
            absl::StrCat("answer has ", task.body.size(), " bytes instead of ", task.bodyLength));
    if (task.bodyLength == 0 && task.bodySha256.empty())
        return absl::OkStatus();
    if (sha256Hex({ task.body.data(), task.body.size() }) != task.bodySha256)
        return absl::DataLossError("the digest of the answer does not match");
    return absl::OkStatus();
}

} // namespace lycheeledge
