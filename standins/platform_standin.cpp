// Stand-in for the platform: its key-value store and its list of VMs, with fault controls.

#include "EtcdWire.h"
#include "LaggingVmList.h"
#include "StandinServer.h"

#include <lycheeledge/protocol/HttpVmDirectory.h>
#include <lycheeledge/transport/Url.h>

#include <absl/strings/str_cat.h>
#include <gflags/gflags.h>
#include <glog/logging.h>

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

DEFINE_string(address, "127.0.0.1", "IP number to listen on");
DEFINE_uint32(port, 2379, "port to listen on; 0 for any");
DEFINE_uint32(vm_lag_ms, 2000, "time until a change of a VM is listed");
DEFINE_uint32(vm_ttl_ms, 10000, "VMs that do not report for so long are removed");

namespace lycheeledge::standin {

namespace {

    /** @brief Faults set by `POST /faults`. Fields that a call does not name keep their values. */
    struct Faults {
        bool down = false; ///< answers 503 at once, without effect
        bool hang = false; ///< does not answer, without effect
        std::int64_t delayMs = 0; ///< answers late
        bool loseWriteAnswers = false; ///< carries writes out and does not answer
        std::set<std::string> cut; ///< values of `x-client` that get no answer, without effect
    };

    struct Counters {
        std::uint64_t reads = 0;
        std::uint64_t writes = 0;
        std::uint64_t listReads = 0;
        std::uint64_t faulted = 0; ///< calls without effect because of a fault
    };

    class Platform {
    public:
        explicit Platform(EventLoop& loop)
            : m_loop(loop)
            , m_vms(std::chrono::milliseconds(FLAGS_vm_lag_ms), std::chrono::milliseconds(FLAGS_vm_ttl_ms))
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
                handleFaulty(path, request, respond);
        }

    private:
        void handleFaulty(const std::string& path, const HttpRequest& request, const HttpServer::Respond& respond)
        {
            const auto client = request.headers.find("x-client");
            const std::string name = client == request.headers.end() ? "" : client->second;
            Counters& counters = m_counters[name];
            if (m_faults.hang || m_faults.cut.count(name) > 0) {
                ++counters.faulted;
                m_unanswered.push_back(respond);
                return;
            }
            if (m_faults.down) {
                ++counters.faulted;
                respond(errorResponse(503, "the store is down"));
                return;
            }
            bool write = false;
            const HttpResponse response = run(path, request, counters, write);
            if (write && m_faults.loseWriteAnswers) {
                m_unanswered.push_back(respond);
                return;
            }
            if (m_faults.delayMs <= 0)
                respond(response);
            else
                m_loop.after(std::chrono::milliseconds(m_faults.delayMs), [respond, response] { respond(response); });
        }

        HttpResponse run(const std::string& path, const HttpRequest& request, Counters& counters, bool& write)
        {
            if (path == "/v1/vms" && request.method == "GET") {
                ++counters.listReads;
                return jsonResponse(encodeVmList(m_vms.list(m_loop.now())));
            }
            if (request.method != "POST")
                return errorResponse(405, "method not allowed");
            StoreCallKind kind = StoreCallKind::Read;
            HttpResponse response = handleStoreCall(m_store, path, request.body, m_loop.now(), kind);
            write = kind == StoreCallKind::Write;
            ++(write ? counters.writes : counters.reads);
            return response;
        }

        HttpResponse reportVm(const std::string& body)
        {
            rapidjson::Document document;
            absl::Status status = parseJson(body, document);
            if (status.ok()) {
                const JsonFields fields(document, "report", status);
                if (fields.text("state") == "gone") {
                    m_vms.remove(m_loop.now(), VmId(fields.text("id")));
                    return jsonResponse("{}");
                }
            }
            const auto vms = decodeVmList(absl::StrCat("{\"vms\":[", body, "]}"));
            if (!vms.ok())
                return errorResponse(400, std::string(vms.status().message()));
            for (const auto& vm : *vms)
                m_vms.report(m_loop.now(), vm);
            return jsonResponse("{}");
        }

        HttpResponse setFaults(const std::string& body)
        {
            rapidjson::Document document;
            absl::Status status = parseJson(body, document);
            if (!status.ok())
                return errorResponse(400, std::string(status.message()));
            const JsonFields fields(document, "faults", status);
            Faults faults = m_faults;
            if (fields.has("down"))
                faults.down = fields.boolean("down");
            if (fields.has("hang"))
                faults.hang = fields.boolean("hang");
            if (fields.has("delayMs"))
                faults.delayMs = fields.amount("delayMs");
            if (fields.has("loseWriteAnswers"))
                faults.loseWriteAnswers = fields.boolean("loseWriteAnswers");
            if (fields.has("cut")) {
                faults.cut.clear();
                if (const auto it = document.FindMember("cut"); it->value.IsArray()) {
                    for (const auto& item : it->value.GetArray())
                        faults.cut.insert(item.IsString() ? item.GetString() : "");
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
            // Calls that a fault has left without an answer end with status 500 when they are dropped.
            if (!m_faults.hang && !m_faults.loseWriteAnswers && m_faults.cut.empty())
                m_unanswered.clear();
            LOG(INFO) << "[platform] Faults: " << body;
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
            for (const auto& name : m_faults.cut)
                writer.String(name.c_str());
            writer.EndArray();
            writer.EndObject();
            return jsonResponse({ buf.GetString(), buf.GetSize() });
        }

        static void writeCounters(JsonWriter& writer, const Counters& counters)
        {
            writeUnsigned(writer, "reads", counters.reads);
            writeUnsigned(writer, "writes", counters.writes);
            writeUnsigned(writer, "listReads", counters.listReads);
            writeUnsigned(writer, "faulted", counters.faulted);
        }

        HttpResponse showCounters() const
        {
            Counters total;
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

        EventLoop& m_loop;
        StoreModel m_store;
        LaggingVmList m_vms;
        Faults m_faults;
        std::map<std::string, Counters> m_counters;
        std::vector<HttpServer::Respond> m_unanswered;
    };

    int runPlatform()
    {
        EventLoop loop(1);
        Platform platform(loop);
        HttpServerSettings settings;
        settings.address = FLAGS_address;
        settings.port = static_cast<std::uint16_t>(FLAGS_port);
        settings.maxBodyBytes = 3 << 20;
        HttpServer server(settings, onLoop(loop, [&platform](const HttpRequest& request, const auto& respond) {
            platform.handle(request, respond);
        }));
        const auto port = server.start();
        if (!port.ok()) {
            LOG(ERROR) << "[platform] " << port.status().message();
            return 1;
        }
        LOG(INFO) << "[platform] Listening on " << FLAGS_address << ":" << *port << ".";
        stopOnSignals(loop);
        loop.run();
        server.stop();
        return 0;
    }

} // namespace

} // namespace lycheeledge::standin

int main(int argc, char** argv)
{
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return lycheeledge::standin::runPlatform();
}
