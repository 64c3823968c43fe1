// The platform stand-in: key-value store and VM list, with fault injection.
#pragma once

#include "EtcdWire.h"
#include "LaggingVmList.h"
#include "StandinServer.h"

#include <lycheeledge/coordination/Runtime.h>
#include <lycheeledge/protocol/HttpVmDirectory.h>
#include <lycheeledge/transport/Url.h>

#include <absl/strings/str_cat.h>
#include <glog/logging.h>

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lycheeledge::standin {

/** @brief Faults set by `POST /faults`. Fields that are absent from a call keep their values. */
struct PlatformFaults {
    bool down = false; ///< calls have no effect and get status 503 at once
    bool hang = false; ///< calls have no effect and get no response
    std::int64_t delayMs = 0; ///< delay of responses
    bool loseWriteAnswers = false; ///< writes take effect and get no response
    /// Values of `x-client` whose calls have no effect and get no response; `cut` in the JSON form.
    std::set<std::string> disconnectedClients;
};

/** @brief Number of calls of one client. */
struct CallCounters {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t listReads = 0;
    std::uint64_t faulted = 0; ///< calls that had no effect because of a fault
};

/** @brief Serves the store, the VM list, the fault controls and the counters. Must be called on one thread. */
class Platform {
public:
    /** @param vmLag time until a change of a VM is listed. @param vmTimeToLive see LaggingVmList. */
    Platform(Runtime& runtime, Duration vmLag, Duration vmTimeToLive)
        : m_runtime(runtime)
        , m_vms(vmLag, vmTimeToLive)
    {
    }

    void handle(const HttpRequest& request, const HttpServer::Respond& respond)
    {
        const std::string path = parseTarget(request.target).path;
        if (path == "/faults")
            respond(request.method == "POST" ? setFaults(request.body) : showFaults());
        else if (path == "/counters")
            respond(showCounters());
        else if (path == "/v1/vms" && request.method == "POST")
            respond(reportVm(request.body));
        else
            handleWithFaults(path, request, respond);
    }

private:
    void handleWithFaults(const std::string& path, const HttpRequest& request, const HttpServer::Respond& respond)
    {
        const auto client = request.headers.find("x-client");
        const std::string name = client == request.headers.end() ? "" : client->second;
        CallCounters& counters = m_counters[name];
        if (m_faults.hang || m_faults.disconnectedClients.count(name) > 0) {
            ++counters.faulted;
            m_unanswered.push_back(respond);
            return;
        }
        if (m_faults.down) {
            ++counters.faulted;
            respond(errorResponse(503, "the store is down"));
            return;
        }
        bool isWrite = false;
        const HttpResponse response = execute(path, request, counters, isWrite);
        if (isWrite && m_faults.loseWriteAnswers) {
            m_unanswered.push_back(respond);
            return;
        }
        if (m_faults.delayMs <= 0)
            respond(response);
        else
            m_runtime.after(std::chrono::milliseconds(m_faults.delayMs), [respond, response] { respond(response); });
    }

    HttpResponse execute(const std::string& path, const HttpRequest& request, CallCounters& counters, bool& isWrite)
    {
        if (path == "/v1/vms" && request.method == "GET") {
            ++counters.listReads;
            return jsonResponse(encodeVmList(m_vms.list(m_runtime.now())));
        }
        if (request.method != "POST")
            return errorResponse(405, "method not allowed");
        StoreCallKind kind = StoreCallKind::Read;
        HttpResponse response = handleStoreCall(m_store, path, request.body, m_runtime.now(), kind);
        isWrite = kind == StoreCallKind::Write;
        ++(isWrite ? counters.writes : counters.reads);
        return response;
    }

    HttpResponse reportVm(const std::string& body)
    {
        rapidjson::Document document;
        absl::Status status = parseJson(body, document);
        if (status.ok()) {
            const JsonFields fields(document, "report", status);
            if (fields.text("state") == "gone") {
                m_vms.remove(m_runtime.now(), VmId(fields.text("id")));
                return jsonResponse("{}");
            }
        }
        const auto vms = decodeVmList(absl::StrCat("{\"vms\":[", body, "]}"));
        if (!vms.ok())
            return errorResponse(400, std::string(vms.status().message()));
        for (const auto& vm : *vms)
            m_vms.report(m_runtime.now(), vm);
        return jsonResponse("{}");
    }

    HttpResponse setFaults(const std::string& body)
    {
        rapidjson::Document document;
        absl::Status status = parseJson(body, document);
        if (!status.ok())
            return errorResponse(400, std::string(status.message()));
        const JsonFields fields(document, "faults", status);
        PlatformFaults faults = m_faults;
        if (fields.has("down"))
            faults.down = fields.boolean("down");
        if (fields.has("hang"))
            faults.hang = fields.boolean("hang");
        if (fields.has("delayMs"))
            faults.delayMs = fields.amount("delayMs");
        if (fields.has("loseWriteAnswers"))
            faults.loseWriteAnswers = fields.boolean("loseWriteAnswers");
        if (fields.has("cut")) {
            faults.disconnectedClients.clear();
            if (const auto it = document.FindMember("cut"); it->value.IsArray()) {
                for (const auto& item : it->value.GetArray())
                    faults.disconnectedClients.insert(item.IsString() ? item.GetString() : "");
            }
        }
        const bool dropLeases = fields.boolean("dropLeases");
        const std::int64_t lagMs = fields.has("vmLagMs") ? fields.amount("vmLagMs") : -1;
        if (!status.ok())
            return errorResponse(400, std::string(status.message()));
        m_faults = std::move(faults);
        if (lagMs >= 0)
            m_vms.setLag(std::chrono::milliseconds(lagMs));
        if (dropLeases)
            m_store.revokeAll();
        // Destroying the callback of an unanswered call sends status 500.
        if (!m_faults.hang && !m_faults.loseWriteAnswers && m_faults.disconnectedClients.empty())
            m_unanswered.clear();
        LOG(INFO) << "[platform] Faults set: " << body;
        return showFaults();
    }

    HttpResponse showFaults() const
    {
        rapidjson::StringBuffer buf;
        JsonWriter writer(buf);
        writer.StartObject();
        writeBoolean(writer, "down", m_faults.down);
        writeBoolean(writer, "hang", m_faults.hang);
        writeInteger(writer, "delayMs", m_faults.delayMs);
        writeBoolean(writer, "loseWriteAnswers", m_faults.loseWriteAnswers);
        writer.Key("cut");
        writer.StartArray();
        for (const auto& name : m_faults.disconnectedClients)
            writer.String(name.c_str());
        writer.EndArray();
        writer.EndObject();
        return jsonResponse({ buf.GetString(), buf.GetSize() });
    }

    static void writeCounters(JsonWriter& writer, const CallCounters& counters)
    {
        writeUnsigned(writer, "reads", counters.reads);
        writeUnsigned(writer, "writes", counters.writes);
        writeUnsigned(writer, "listReads", counters.listReads);
        writeUnsigned(writer, "faulted", counters.faulted);
    }

    HttpResponse showCounters() const
    {
        CallCounters total;
        for (const auto& [name, counters] : m_counters) {
            total.reads += counters.reads;
            total.writes += counters.writes;
            total.listReads += counters.listReads;
            total.faulted += counters.faulted;
        }
        rapidjson::StringBuffer buf;
        JsonWriter writer(buf);
        writer.StartObject();
        writeCounters(writer, total);
        writeInteger(writer, "revision", m_store.revision());
        writer.Key("clients");
        writer.StartObject();
        for (const auto& [name, counters] : m_counters) {
            writer.Key(name.c_str());
            writer.StartObject();
            writeCounters(writer, counters);
            writer.EndObject();
        }
        writer.EndObject();
        writer.EndObject();
        return jsonResponse({ buf.GetString(), buf.GetSize() });
    }

    Runtime& m_runtime;
    StoreModel m_store;
    LaggingVmList m_vms;
    PlatformFaults m_faults;
    std::map<std::string, CallCounters> m_counters; // by value of `x-client`
    std::vector<HttpServer::Respond> m_unanswered; // keeps the calls open that get no response
};

} // namespace lycheeledge::standin
