// lycheeledged stays within its limits and its machine, whatever clients send.

#include "../../standins/Platform.h"
#include "../../standins/SimulatedWorker.h"
#include "ProcessTest.h"
#include "support/TestCertificate.h"

#include <fmt/format.h>

using namespace lycheeledge;
using namespace lycheeledge::test;

namespace {

constexpr std::size_t maxConnections = 600;
constexpr std::size_t maxFds = 1000;
// The smallest VMs have 120 MB, and the platform keeps 200 descriptors for files.
constexpr Bounds machine { .memoryKb = std::size_t { 120 } * 1000 * 1000 / 1024, .descriptors = maxFds - 200 };
// The operator's key of examples/settings-a.jsonc.
constexpr const char* operatorKey = "bootstrap.replace-this-secret";
constexpr const char* callerKey = "feed-1.secret-of-the-caller";

/** @brief One process with stand-ins of the platform and of one worker. */
class DaemonCluster {
public:
    DaemonCluster()
        : m_platform(m_loop, Duration::zero(), std::chrono::hours(1))
        , m_platformServer(standinServer(),
              standin::onLoop(m_loop,
                  [this](const HttpRequest& request, const auto& respond) { m_platform.handle(request, respond); }))
        , m_worker(m_loop, describeWorker(), "w1-session")
    {
        const auto platformPort = m_platformServer.start().value();
        m_worker.start().value();
        m_platform.handle({ "POST", "/v1/vms", {}, encodeVm(m_worker.description()) }, [](const HttpResponse&) {});
        m_thread = std::make_unique<LoopThread>(m_loop);
        const auto ports = freePorts(2);
        listen = ports[0];
        peer = ports[1];
        const std::string platformUrl = fmt::format("http://127.0.0.1:{}", platformPort);
        std::ofstream(m_directory.file("settings")) << fmt::format(R"({{
            "member": {{ "id": "e1", "zone": "z1" }},
            "listen": {{ "address": "127.0.0.1", "port": {} }},
            "peer": {{ "address": "127.0.0.1", "port": {} }},
            "cell": {{ "id": "main", "zones": ["z1"] }},
            "platform": {{ "storeUrl": "{}", "vmListUrl": "{}/v1/vms" }},
            "clusterSecret": "secret-of-the-tests-with-32-bytes-or-more",
            "bootstrapKey": {{ "salt": "5f1d8a3c9b7e2046",
                "sha256": "dc4114dbc92e111a5d5ebae27d9f80af1ab188b121805196e1caf2547c2758bf" }},
            "limits": {{ "maxBodyBytes": {}, "maxConnections": {} }} }})",
            listen, peer, platformUrl, platformUrl, legalBodyBytes, maxConnections);
        m_process = std::make_unique<ChildProcess>(
            std::vector<std::string> { LYCHEELEDGED, "--settings=" + m_directory.file("settings"), "--seed=1" },
            m_directory.file("log"), maxFds);
        const bool serves = eventually([this] {
            return succeeds(operatorKey, "team.set", R"({"id":"feed","share":1,"idempotencyKey":"t1"})")
                && succeeds(operatorKey, "key.create",
                    R"({"id":"feed-1","team":"feed","secret":"secret-of-the-caller","idempotencyKey":"k1"})");
        });
        if (!serves || !runsJob()) {
            UNSCOPED_INFO(m_process->logEnd());
            FAIL("the process does not serve");
        }
    }

    DaemonCluster(const DaemonCluster&) = delete;
    DaemonCluster& operator=(const DaemonCluster&) = delete;

    ChildProcess& process() { return *m_process; }

    bool answers() const
    {
        return callOnce({ "GET", fmt::format("http://127.0.0.1:{}/readyz", listen), {}, "" }).status == 200;
    }

    /** @brief The call returns the outcome of the task, so it succeeds only after the worker has run it. */
    bool runsJob()
    {
        const std::string params = fmt::format(
            R"({{"team":"feed","requestId":"r{}","kind":"request","size":{{"cpu":100}},"repeatable":true,)"
            R"("payload":"{{\"runMs\":10}}"}})",
            ++m_lastJob);
        return eventually([&] { return succeeds(callerKey, "work.submit", params); });
    }

    std::uint16_t listen = 0;
    std::uint16_t peer = 0;

private:
    static WorkerDescription describeWorker()
    {
        WorkerDescription result;
        result.id = VmId("w1");
        result.address = { "127.0.0.1", 0 };
        result.zone = ZoneId("z1");
        result.rack = RackId("r1");
        result.capacity = { 64000, 64000, 0, 64, 64 };
        return result;
    }

    bool succeeds(const char* key, const char* method, const std::string& params) const
    {
        return callOnce(
                   { "POST", fmt::format("http://127.0.0.1:{}/rpc", listen),
                       { { "content-type", "application/json" }, { "authorization", std::string("Bearer ") + key } },
                       fmt::format(R"({{"jsonrpc":"2.0","id":1,"method":"{}","params":{}}})", method, params) })
                   .status
            == 200;
    }

    TemporaryDirectory m_directory;
    EventLoop m_loop { 1 };
    standin::Platform m_platform;
    HttpServer m_platformServer;
    standin::SimulatedWorker m_worker;
    std::unique_ptr<LoopThread> m_thread;
    std::unique_ptr<ChildProcess> m_process; // ends first
    std::uint64_t m_lastJob = 0;
};

} // namespace

// Guards against buffering the bodies of all connections at once, which together exceed the memory.
TEST_CASE("Daemon: bodies of legal size that stop just before their end", "[processes]")
{
    struct Case {
        const char* path;
        std::size_t pieceBytes;
        bool chunked;
    };
    const auto it = GENERATE(Case { "/rpc", 1 << 20, false }, Case { "/rpc", 1000, false },
        Case { "/rpc", 1 << 20, true }, Case { "/none", 1 << 20, false }, Case { "/readyz", 1000, true });
    INFO(it.path << ", pieces of " << it.pieceBytes << (it.chunked ? ", chunked" : ""));
    DaemonCluster cluster;
    const std::string body = plainBody(legalBodyBytes);
    const auto texts
        = it.chunked ? mostlyUnfinished(chunkedPostOf(it.path, body), 8) : mostlyUnfinished(postOf(it.path, body), 1);
    // Below maxConnections, so that only the memory is short.
    checkCrowd(cluster, { cluster.listen, 550, it.pieceBytes }, texts, machine);
}

// Guards against reading bodies over the limit to their end before they are refused.
TEST_CASE("Daemon: bodies over the limit", "[processes]")
{
    struct Case {
        std::size_t connections;
        std::size_t bytes;
        bool chunked;
    };
    const auto it = GENERATE(Case { 250, 1200000, false }, Case { 250, 1200000, true }, Case { 20, 16000000, false });
    INFO(it.bytes << " bytes" << (it.chunked ? ", chunked" : ""));
    DaemonCluster cluster;
    const std::string body = plainBody(it.bytes);
    const auto texts
        = it.chunked ? mostlyUnfinished(chunkedPostOf("/rpc", body), 8) : mostlyUnfinished(postOf("/rpc", body), 1);
    checkCrowd(cluster, { cluster.listen, it.connections }, texts, machine);
}

// Guards against keeping header fields without a limit of their number.
TEST_CASE("Daemon: requests with very many short fields", "[processes]")
{
    DaemonCluster cluster;
    const auto texts = mostlyUnfinished(postOf("/rpc", "{}", repeated("a: b\r\n", 5000)), 4);
    checkCrowd(cluster, { cluster.listen, 400 }, texts, machine);
}

// Guards against decoders that need many times the memory of a legal body.
TEST_CASE("Daemon: legal bodies with very many small parts", "[processes]")
{
    struct Case {
        const char* name;
        const char* item;
        const char* end;
    };
    const auto it = GENERATE(Case { "fields", R"(,"a":0)", "}}" }, Case { "arrays", R"(,"a":[[],[],[],[]])", "}}" });
    INFO(it.name);
    DaemonCluster cluster;
    const std::string body = jsonOf(
        R"({"jsonrpc":"2.0","id":1,"method":"work.submit","params":{"team":"feed")", it.item, it.end, legalBodyBytes);
    checkCrowd(cluster, { cluster.listen, 100 }, same(postOf("/rpc", body)), machine);
}

// Guards against keeping responses that are not read, and against handling all requests of a connection at once.
TEST_CASE("Daemon: pipelined requests whose responses are not read", "[processes]")
{
    const std::string path = GENERATE("/rpc", "/none", "/readyz", "/metrics");
    INFO(path);
    DaemonCluster cluster;
    const std::string request = path == "/rpc" ? postOf(path, R"({"jsonrpc":"2.0","id":1,"method":"team.list"})")
                                               : "GET " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n";
    checkCrowd(cluster, { cluster.listen, 40 }, same(repeated(request, 2000)), machine);
}

// Guards against idle connections that keep ordinary clients out once they have reached maxConnections.
TEST_CASE("Daemon: more connections than the limit, which stop in the middle of the header", "[processes]")
{
    DaemonCluster cluster;
    const std::string request = postOf("/rpc", "{}");
    checkCrowd(cluster, { cluster.listen, maxConnections + 100 }, same(request.substr(0, request.size() / 2)), machine);
}

// Guards against connections that occupy the process by making little progress at a time.
TEST_CASE("Daemon: connections that send and read slowly", "[processes]")
{
    DaemonCluster cluster;
    const auto texts = mostlyUnfinished(repeated(postOf("/none", plainBody(1000)), 4), 1);
    checkCrowd(cluster, { cluster.listen, 300, 16, true }, texts, machine);
}

// Guards against buffering frames of strangers, who can connect to the members' port.
TEST_CASE("Daemon: unfinished frames at the members' port", "[processes]")
{
    DaemonCluster cluster;
    std::string frame("\x01\x00\x00\x00", 4);
    frame.append(16000000, 'x');
    checkCrowd(cluster, { cluster.peer, 16 }, same(frame), machine);
}
