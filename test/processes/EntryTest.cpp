// lycheeledge-entry stays within the machine that its settings state, whatever clients send.

#include "ProcessTest.h"
#include "support/PlatformStandin.h"
#include "support/TestCertificate.h"

#include <fmt/format.h>

#include <atomic>

using namespace lycheeledge;
using namespace lycheeledge::test;

namespace {

constexpr std::size_t memoryMb = 64;
constexpr std::size_t maxFds = 1000;
// The platform keeps 200 of a VM's descriptors for files, of which the process opens none.
constexpr Bounds machine { .memoryKb = memoryMb * 1000 * 1000 / 1024, .descriptors = maxFds - 200 };

/** @brief One process with stand-ins of the store and of one worker. */
class EntryCluster {
public:
    explicit EntryCluster(std::size_t initialMemoryMb = memoryMb)
        : m_store(m_loop)
        , m_worker(m_loop)
        , m_storeServer(standinServer(),
              standin::onLoop(m_loop,
                  [this](const HttpRequest& request, const auto& respond) { m_store.handle(request, respond); }))
        , m_workerServer(standinServer(),
              standin::onLoop(m_loop,
                  [this](const HttpRequest& request, const auto& respond) { m_worker.handle(request, respond); }))
    {
        m_storePort = m_storeServer.start().value();
        const auto workerPort = m_workerServer.start().value();
        // Jobs of the second queue wait, because its pool has no worker.
        m_store.put("op/config",
            R"({"version":1,"tenants":[],"limits":{},"routes":[)"
            R"({"name":"jobs","host":"127.0.0.1","prefix":"/jobs/","service":"pool","noAuth":true,
                "priority":1,"maxAttempts":3},
                {"name":"parked","host":"127.0.0.1","prefix":"/parked/","service":"none","noAuth":true,"priority":2,
                "maxAttempts":3}]})");
        m_store.put("servers/w1",
            fmt::format(R"({{"addr":"127.0.0.1:{}","zone":"z1","service":"pool","state":"ready","labels":[],)"
                        R"("capacity":{{"cpu":64000,"memMb":64000,"gpu":0}}}})",
                workerPort));
        m_thread = std::make_unique<LoopThread>(m_loop);
        const auto ports = freePorts(4);
        front = ports[0];
        ready = ports[1];
        metrics = ports[2];
        peer = ports[3];
        startProcess(initialMemoryMb);
        if (!runsJob()) {
            UNSCOPED_INFO(m_process->logEnd());
            FAIL("the process does not serve");
        }
    }

    EntryCluster(const EntryCluster&) = delete;
    EntryCluster& operator=(const EntryCluster&) = delete;

    ChildProcess& process() { return *m_process; }

    /** @brief Stops the process as planned, and starts another one on a VM with this memory. */
    void replaceProcess(std::size_t nextMemoryMb)
    {
        m_process->requestStop();
        REQUIRE(eventually([&] { return !m_process->isAlive(); }));
        startProcess(nextMemoryMb);
    }

    bool answers() const
    {
        return callOnce({ "GET", fmt::format("http://127.0.0.1:{}/jobs/", front), {}, "" }).status == 200;
    }

    bool runsJob()
    {
        const std::string url = fmt::format("http://127.0.0.1:{}/jobs/{:016x}", front, ++m_lastJob);
        const std::size_t startsBefore = m_worker.starts();
        const std::string body = R"({"spec":"x","steps":[{"count":1,"cpu":100,"memMb":10,"estRuntimeMs":10}]})";
        return eventually([&] {
            return callOnce({ "POST", url, {}, body }).status == 200;
        }) && eventually([&] {
            return callOnce({ "GET", url, {}, "" }).body.find("\"completed\"") != std::string::npos;
        }) && m_worker.starts() > startsBefore;
    }

    std::uint16_t front = 0;
    std::uint16_t ready = 0;
    std::uint16_t metrics = 0;
    std::uint16_t peer = 0;

private:
    void startProcess(std::size_t ownMemoryMb)
    {
        std::ofstream(m_directory.file("settings"))
            << fmt::format("node=e1\nip=127.0.0.1\nzone=z1\nlisten.front=127.0.0.1:{}\nlisten.ready=127.0.0.1:{}\n"
                           "internalPorts={}\nplatform.addr=127.0.0.1:{}\nlimits.memoryMb={}\nlimits.maxFds={}\n",
                   front, ready, peer, m_storePort, ownMemoryMb, maxFds);
        m_process = std::make_unique<ChildProcess>(
            std::vector<std::string> { LYCHEELEDGE_ENTRY, "--settings=" + m_directory.file("settings"), "--seed=1",
                fmt::format("--metrics_port={}", metrics) },
            m_directory.file("log"), maxFds);
    }

    TemporaryDirectory m_directory;
    std::uint16_t m_storePort = 0;
    EventLoop m_loop { 1 };
    StoreStandin m_store;
    WorkerStandin m_worker;
    HttpServer m_storeServer;
    HttpServer m_workerServer;
    std::unique_ptr<LoopThread> m_thread;
    std::unique_ptr<ChildProcess> m_process; // ends first
    std::uint64_t m_lastJob = 0;
};

/** @brief A listener of the process and a path there. */
struct Target {
    const char* name;
    std::uint16_t EntryCluster::*port;
    const char* path;
};
const Target route { "a queue", &EntryCluster::front, "/jobs/00000000000000ff" };
const Target noRoute { "a path without a queue", &EntryCluster::front, "/none" };
const Target readiness { "the readiness address", &EntryCluster::ready, "/v1/ready" };
const Target metricsPage { "the metrics address", &EntryCluster::metrics, "/metrics" };

} // namespace

// Guards against buffering the bodies of all connections at once, which together exceed the memory.
TEST_CASE("Entry: bodies of legal size that stop just before their end", "[processes]")
{
    struct Case {
        Target target;
        std::size_t pieceBytes;
        bool chunked;
    };
    const auto it = GENERATE(Case { route, 1 << 20, false }, Case { route, 1000, false }, Case { route, 1 << 20, true },
        Case { noRoute, 1 << 20, false }, Case { readiness, 1 << 20, true }, Case { metricsPage, 1000, false });
    INFO(it.target.name << ", pieces of " << it.pieceBytes << (it.chunked ? ", chunked" : ""));
    EntryCluster cluster;
    const std::string body = plainBody(legalBodyBytes);
    const auto texts = it.chunked ? mostlyUnfinished(chunkedPostOf(it.target.path, body), 8)
                                  : mostlyUnfinished(postOf(it.target.path, body), 1);
    checkCrowd(cluster, { cluster.*it.target.port, 400, it.pieceBytes }, texts, machine);
}

// Guards against reading bodies over the limit to their end before they are refused.
TEST_CASE("Entry: bodies over the limit", "[processes]")
{
    struct Case {
        std::size_t connections;
        std::size_t bytes;
        bool chunked;
    };
    const auto it = GENERATE(Case { 100, 1200000, false }, Case { 100, 1200000, true }, Case { 20, 16000000, false });
    INFO(it.bytes << " bytes" << (it.chunked ? ", chunked" : ""));
    EntryCluster cluster;
    const std::string body = plainBody(it.bytes);
    const auto texts = it.chunked ? mostlyUnfinished(chunkedPostOf(route.path, body), 8)
                                  : mostlyUnfinished(postOf(route.path, body), 1);
    checkCrowd(cluster, { cluster.front, it.connections }, texts, machine);
}

// Guards against keeping header fields without a limit of their number.
TEST_CASE("Entry: requests with very many short fields", "[processes]")
{
    EntryCluster cluster;
    const auto texts = mostlyUnfinished(postOf(route.path, "{}", repeated("a: b\r\n", 5000)), 4);
    checkCrowd(cluster, { cluster.front, 400 }, texts, machine);
}

// Guards against decoders that need many times the memory of a legal body.
TEST_CASE("Entry: legal bodies with very many small parts", "[processes]")
{
    struct Case {
        const char* name;
        const char* begin;
        std::string item;
        const char* end;
    };
    // Long enough that the body has fewer than the 1,000 steps that a job may have.
    const std::string name(250, 'n');
    const auto it = GENERATE_COPY(Case { "fields", R"({"steps":[{"count":1}])", R"(,"a":0)", "}" },
        Case { "arrays", R"({"steps":[{"count":1}],"a":[0)", ",[]", "]}" },
        Case { "steps with names", R"({"steps":[{"count":1})", R"(,{"count":1,"image":")" + name + R"("})", "]}" },
        Case { "dependencies", R"({"steps":[{"count":1},{"count":1,"after":[0)", ",0", "]}]}" });
    INFO(it.name);
    EntryCluster cluster;
    const std::string body = jsonOf(it.begin, it.item, it.end, legalBodyBytes);
    // Job ids are shared by all queues; those of runsJob() count from 1.
    constexpr std::uint64_t firstParked = 0x1000;
    checkCrowd(
        cluster, { cluster.front, 24 },
        [&body](std::size_t n) {
            return std::make_shared<const std::string>(postOf(fmt::format("/parked/{:016x}", firstParked + n), body));
        },
        machine);
}

// Guards against keeping responses that are not read, and against handling all requests of a connection at once.
TEST_CASE("Entry: pipelined requests whose responses are not read", "[processes]")
{
    const auto it = GENERATE(Target { "a queue", &EntryCluster::front, "/jobs/" }, noRoute, readiness, metricsPage);
    INFO(it.name);
    EntryCluster cluster;
    const std::string request = fmt::format("GET {} HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n", it.path);
    checkCrowd(cluster, { cluster.*it.port, 40 }, same(repeated(request, 2000)), machine);
}

// Guards against using all descriptors for idle connections, so that neither clients nor the store can be reached.
TEST_CASE("Entry: connections that stop in the middle of the header", "[processes]")
{
    const auto it = GENERATE(route, readiness, metricsPage);
    INFO(it.name);
    EntryCluster cluster;
    const std::string request = postOf(it.path, "{}");
    checkCrowd(cluster, { cluster.*it.port, 1200 }, same(request.substr(0, request.size() / 2)), machine);
}

// Guards against connections that occupy the process by making little progress at a time.
TEST_CASE("Entry: connections that send and read slowly", "[processes]")
{
    EntryCluster cluster;
    const auto texts = mostlyUnfinished(repeated(postOf(noRoute.path, plainBody(1000)), 4), 1);
    checkCrowd(cluster, { cluster.front, 300, 16, true }, texts, machine);
}

// Guards against buffering frames of strangers, who can connect to the members' port.
TEST_CASE("Entry: unfinished frames at the members' port", "[processes]")
{
    EntryCluster cluster;
    const std::string frame = std::string("\x00\x3f\xff\xff", 4) + std::string(4000000, 'x');
    checkCrowd(cluster, { cluster.peer, 30 }, same(frame), machine);
}

// Guards against memory for each task that waits: of four such jobs, it exceeded the machine's of every owner in turn.
TEST_CASE("Entry: accepted jobs with many waiting tasks", "[processes]")
{
    EntryCluster cluster;
    const std::string step = R"({"count":100000,"cpu":16000,"memMb":1000,"estRuntimeMs":3000)";
    const std::string body
        = R"({"spec":"x","steps":[)" + step + "}," + step + R"(,"after":[0]},)" + step + R"(,"after":[1]}]})";
    for (int n = 0; n < 6; ++n) {
        INFO("job " << n);
        const std::string path = fmt::format("/{}/{:016x}", n % 2 == 0 ? "parked" : "jobs", 0xb0 + n);
        CHECK(callOnce({ "POST", fmt::format("http://127.0.0.1:{}{}", cluster.front, path), {}, body }).status == 200);
    }
    CHECK(cluster.runsJob());
    CHECK(cluster.process().isAlive());
    CHECK(cluster.process().peakMemoryKb() <= machine.memoryKb);
}

namespace {

struct SubmissionCounts {
    std::atomic<int> accepted = 0;
    std::atomic<int> refused = 0; ///< for the memory of accepted jobs
    std::atomic<int> other = 0;
};

std::string parkedJob(const EntryCluster& cluster, int client, int n)
{
    return fmt::format("http://127.0.0.1:{}/parked/{:08x}{:08x}", cluster.front, client + 1, n);
}

/** @brief Submits jobs that wait, with the longest payload, from 16 clients until 16 submissions are refused. */
void submitParkedJobs(const EntryCluster& cluster, int jobsOfClient, SubmissionCounts& counts)
{
    constexpr int clients = 16;
    const std::string body = R"({"spec":")" + std::string(3990, 'x')
        + R"(","steps":[{"count":1,"cpu":100,"memMb":10,"estRuntimeMs":10}]})";
    std::vector<std::thread> threads;
    threads.reserve(clients);
    for (int client = 0; client < clients; ++client) {
        threads.emplace_back([&, client] {
            for (int n = 0; n < jobsOfClient && counts.refused < clients; ++n) {
                const auto response = callOnce({ "POST", parkedJob(cluster, client, n), {}, body });
                if (response.status == 200)
                    ++counts.accepted;
                else if (response.status == 503 && response.body.find("accepted work") != std::string::npos)
                    ++counts.refused;
                else
                    ++counts.other;
            }
        });
    }
    for (auto& it : threads)
        it.join();
}

} // namespace

// Guards against accepted work without a bound: the payloads of waiting jobs exceeded the memory, whoever owned them.
TEST_CASE("Entry: accepted jobs with long payloads", "[processes]")
{
    EntryCluster cluster;
    SubmissionCounts counts;
    submitParkedJobs(cluster, 700, counts); // together the memory of the machine without the idle process
    INFO(counts.accepted << " accepted, " << counts.refused << " refused, " << counts.other << " other answers");
    CHECK(counts.accepted > 500);
    CHECK(counts.refused > 0);
    CHECK(counts.other == 0);
    // Room for other work as soon as some of it has ended.
    for (int n = 0; n < 20; ++n)
        CHECK(callOnce({ "DELETE", parkedJob(cluster, 0, n), {}, "" }).status == 200);
    CHECK(cluster.runsJob());
    CHECK(cluster.process().isAlive());
    CHECK(cluster.process().peakMemoryKb() <= machine.memoryKb);
}

// Guards against a next owner on a smaller VM that exceeds its memory by reading what was accepted.
TEST_CASE("Entry: a smaller machine takes over accepted jobs with long payloads", "[processes]")
{
    EntryCluster cluster(512);
    SubmissionCounts counts;
    submitParkedJobs(cluster, 280, counts);
    INFO(counts.accepted << " accepted, " << counts.refused << " refused, " << counts.other << " other answers");
    CHECK(counts.accepted == 4480);
    cluster.replaceProcess(memoryMb);
    const bool isServed = eventually([&] {
        return callOnce({ "GET", parkedJob(cluster, 15, 279), {}, "" }).body.find("\"queued\"") != std::string::npos;
    });
    UNSCOPED_INFO(cluster.process().logEnd());
    REQUIRE(isServed);
    std::this_thread::sleep_for(std::chrono::seconds(1));
    CHECK(cluster.process().isAlive());
    CHECK(cluster.process().peakMemoryKb() <= machine.memoryKb);
}
