// JSON form of the overview of a cell.

#include "OverviewJson.h"

#include "JsonFields.h"

namespace lycheeledge {

namespace {

    using Writer = detail::JsonWriter;
    using detail::writeString;

    void number(Writer& out, const char* name, std::uint64_t value)
    {
        out.Key(name);
        out.Uint64(value);
    }

    void real(Writer& out, const char* name, double value)
    {
        out.Key(name);
        out.Double(value);
    }

    void flag(Writer& out, const char* name, bool value)
    {
        out.Key(name);
        out.Bool(value);
    }

    void resources(Writer& out, const char* name, const Resources& value)
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

    double milliseconds(Duration value) { return std::chrono::duration<double, std::milli>(value).count(); }

    void team(Writer& out, const TeamOverview& value)
    {
        out.StartObject();
        writeString(out, "id", value.id.value());
        real(out, "share", value.share);
        real(out, "entitledPart", value.entitledPart);
        real(out, "usedPart", value.usedPart);
        resources(out, "usage", value.usage);
        if (value.upperLimit)
            resources(out, "upperLimit", *value.upperLimit);
        number(out, "maxRunningTasks", value.maxRunningTasks);
        number(out, "runningTasks", value.runningTasks);
        number(out, "queued", value.queued);
        number(out, "starts", value.starts);
        out.EndObject();
    }

    void worker(Writer& out, const WorkerOverview& value)
    {
        out.StartObject();
        writeString(out, "id", value.id.value());
        writeString(out, "zone", value.zone.value());
        writeString(out, "rack", value.rack.value());
        resources(out, "capacity", value.capacity);
        resources(out, "reserved", value.reserved);
        resources(out, "used", value.used);
        number(out, "tasks", value.tasks);
        flag(out, "available", value.available);
        flag(out, "reachable", value.reachable);
        flag(out, "quarantined", value.quarantined);
        flag(out, "drained", value.drained);
        flag(out, "leaving", value.leaving);
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

    void waiting(Writer& out, const SchedulerOverview& overview)
    {
        out.Key("waitingMs");
        out.StartObject();
        for (const auto& [kind, value] : overview.waiting) {
            out.Key(kindName(kind));
            out.StartObject();
            number(out, "count", value.count);
            real(out, "p50", milliseconds(value.p50));
            real(out, "p90", milliseconds(value.p90));
            real(out, "p99", milliseconds(value.p99));
            out.EndObject();
        }
        out.EndObject();
    }

    void counters(Writer& out, const SchedulerOverview& overview)
    {
        number(out, "pending", overview.pending);
        number(out, "setAside", overview.setAside);
        number(out, "missingWorkers", overview.missingWorkers);
        number(out, "unclaimedTasks", overview.unclaimedTasks);
        number(out, "starts", overview.starts);
        number(out, "finished", overview.finished);
        number(out, "retries", overview.retries);
        number(out, "preemptions", overview.preemptions);
        out.Key("refusals");
        out.StartObject();
        for (const auto& [reason, n] : overview.refusals)
            number(out, reason.c_str(), n);
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
    number(out, "epoch", epoch);
    flag(out, "active", overview.active);
    out.Key("teams");
    out.StartArray();
    for (const auto& value : overview.teams)
        team(out, value);
    out.EndArray();
    out.Key("workers");
    out.StartArray();
    for (const auto& value : overview.workers)
        worker(out, value);
    out.EndArray();
    counters(out, overview);
    waiting(out, overview);
    out.EndObject();
    return buf.GetString();
}

} // namespace lycheeledge
