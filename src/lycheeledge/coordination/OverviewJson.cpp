// JSON representation of a cell's scheduler overview.

#include "OverviewJson.h"

#include "JsonFields.h"

namespace lycheeledge {

namespace {

    using Writer = detail::JsonWriter;
    using detail::writeString;

    void writeUint(Writer& out, const char* name, std::uint64_t value)
    {
        out.Key(name);
        out.Uint64(value);
    }

    void writeDouble(Writer& out, const char* name, double value)
    {
        out.Key(name);
        out.Double(value);
    }

    void writeBool(Writer& out, const char* name, bool value)
    {
        out.Key(name);
        out.Bool(value);
    }

    void writeResources(Writer& out, const char* name, const Resources& value)
    {
        out.Key(name);
        out.StartObject();
        out.Key("cpu");
        out.Int64(value.milliCpu);
        out.Key("memoryMb");
        out.Int64(value.memoryMb);
        out.Key("accelerators");
        out.Int64(value.accelerators);
        out.Key("slots");
        out.Int64(value.slots);
        out.Key("connections");
        out.Int64(value.connections);
        out.EndObject();
    }

    double toMilliseconds(Duration value) { return std::chrono::duration<double, std::milli>(value).count(); }

    void writeTeam(Writer& out, const TeamOverview& value)
    {
        out.StartObject();
        writeString(out, "id", value.id.value());
        writeDouble(out, "share", value.share);
        writeDouble(out, "entitledPart", value.entitledPart);
        writeDouble(out, "usedPart", value.usedPart);
        writeResources(out, "usage", value.usage);
        if (value.upperLimit)
            writeResources(out, "upperLimit", *value.upperLimit);
        writeUint(out, "maxRunningTasks", value.maxRunningTasks);
        writeUint(out, "runningTasks", value.runningTasks);
        writeUint(out, "queued", value.queued);
        writeUint(out, "starts", value.starts);
        out.EndObject();
    }

    void writeWorker(Writer& out, const WorkerOverview& value)
    {
        out.StartObject();
        writeString(out, "id", value.id.value());
        writeString(out, "zone", value.zone.value());
        writeString(out, "rack", value.rack.value());
        writeResources(out, "capacity", value.capacity);
        writeResources(out, "reserved", value.reserved);
        writeResources(out, "used", value.used);
        writeUint(out, "tasks", value.tasks);
        writeBool(out, "available", value.available);
        writeBool(out, "reachable", value.reachable);
        writeBool(out, "quarantined", value.quarantined);
        writeBool(out, "drained", value.drained);
        writeBool(out, "leaving", value.leaving);
        out.EndObject();
    }

    const char* kindName(WorkKind kind)
    {
        switch (kind) {
        case WorkKind::Request:
            return "request";
        case WorkKind::Batch:
            return "batch";
        case WorkKind::Service:
            break;
        }
        return "service";
    }

    void writeWaitingTimes(Writer& out, const SchedulerOverview& overview)
    {
        out.Key("waitingMs");
        out.StartObject();
        for (const auto& [kind, value] : overview.waiting) {
            out.Key(kindName(kind));
            out.StartObject();
            writeUint(out, "count", value.count);
            writeDouble(out, "p50", toMilliseconds(value.p50));
            writeDouble(out, "p90", toMilliseconds(value.p90));
            writeDouble(out, "p99", toMilliseconds(value.p99));
            out.EndObject();
        }
        out.EndObject();
    }

    void writeCounters(Writer& out, const SchedulerOverview& overview)
    {
        writeUint(out, "pending", overview.pending);
        writeUint(out, "setAside", overview.setAside);
        writeUint(out, "missingWorkers", overview.missingWorkers);
        writeUint(out, "unclaimedTasks", overview.unclaimedTasks);
        writeUint(out, "starts", overview.starts);
        writeUint(out, "finished", overview.finished);
        writeUint(out, "retries", overview.retries);
        writeUint(out, "preemptions", overview.preemptions);
        out.Key("refusals");
        out.StartObject();
        for (const auto& [reason, n] : overview.refusals)
            writeUint(out, reason.c_str(), n);
        out.EndObject();
        if (overview.holder)
            writeString(out, "holder", overview.holder->team.value() + "/" + overview.holder->request.value());
    }

} // namespace

std::string overviewJson(const CellId& cell, Epoch epoch, const SchedulerOverview& overview)
{
    rapidjson::StringBuffer buf;
    Writer out(buf);
    out.StartObject();
    writeString(out, "cell", cell.value());
    writeUint(out, "epoch", epoch);
    writeBool(out, "active", overview.active);
    out.Key("teams");
    out.StartArray();
    for (const auto& value : overview.teams)
        writeTeam(out, value);
    out.EndArray();
    out.Key("workers");
    out.StartArray();
    for (const auto& value : overview.workers)
        writeWorker(out, value);
    out.EndArray();
    writeCounters(out, overview);
    writeWaitingTimes(out, overview);
    out.EndObject();
    return buf.GetString();
}

} // namespace lycheeledge
