// The project's own program as processes, and calls of a client.
#pragma once

#include "executor.h"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <memory>
#include <random>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace sim {

/** @brief Whether the disruption of the case happens. */
inline bool trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/** @brief A loopback network of this run's own, so that the fixed ports of the program are free. */
inline std::string loopback(int host)
{
    static const int net = [] {
        std::random_device random;
        return static_cast<int>(random() % 60000) + 1000;
    }();
    return "127." + std::to_string(net / 250 + 1) + "." + std::to_string(net % 250 + 1) + "." + std::to_string(host);
}

inline int freePort(const std::string& ip)
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = addressOf(ip, 0);
    socklen_t n = sizeof address;
    bind(fd, reinterpret_cast<sockaddr*>(&address), n);
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &n);
    close(fd);
    return ntohs(address.sin_port);
}

/** @brief What the settings file says of each machine. */
struct MachineLimits {
    std::string cpuShare = "0.25";
    std::string memoryMb = "260";
    std::string linkMbps = "1000.0";
};
inline MachineLimits machineLimits;

/** @brief One machine with the program of the deploy file, started from the root of the repository. */
class Entry {
public:
    Entry(std::string name, std::string ip, const std::string& folder, const std::string& storeAddress,
        const std::string& cloudAddress = {}, const std::string& adviceAddress = {})
        : m_name(std::move(name))
        , ip(std::move(ip))
        , m_settings(folder + "/" + m_name + ".conf")
        , m_log(folder + "/" + m_name + ".log")
    {
        front = freePort(this->ip);
        ready = freePort(this->ip);
        std::ofstream out(m_settings);
        out << "node=" << m_name << "\nrole=entry\nmachineClass=front\nserves=front\nip=" << this->ip
            << "\nzone=z1\nregion=region\nzones.z1=region\nlisten.front=" << this->ip << ":" << front
            << "\nlisten.ready=" << this->ip << ":" << ready
            << "\ninternalPorts=7420,7435\nseeds=\nbootstrap=true\nlossCounts=false\nlimits.cpuShare="
            << machineLimits.cpuShare << "\nlimits.cores=1\nlimits.memoryMb=" << machineLimits.memoryMb
            << "\nlimits.maxFds=4100\nlimits.linkMbps=" << machineLimits.linkMbps
            << "\nlimits.diskMb=0\n"
               "discovery=platform\nentry=vip\nheartbeatMs=1500\n"
               "contracts=base,drain,config,cost,recover,sched,tenants,quota,platform,advice,upkeep,sharing\n"
               "faultTolerance.machines=1\nfaultTolerance.zones=0\nfaultTolerance.regions=0\nbounds.seedLagS=3\n"
               "bounds.addrReuseS=2\nbounds.contactMs=3000\nbounds.ackMs=4000\nbounds.catchUpS=4\n"
               "bounds.drainMs=2000\nbounds.graceS=6\nbounds.lossSlackMs=200\nbounds.configApplyMs=2000\n"
               "bounds.rollbackSlackMs=250\nbounds.maxStretchMs=5000\nbounds.strictRevoke=true\n"
               "bounds.revokeMs=5000\nbounds.quotaWindowS=5\nbounds.quotaOverage=0.1\nbounds.quotaSlack=20\n"
               "bounds.recoveryS=12\nbounds.maxHoldMs=10000\nbounds.stopTimeoutMs=200\nbounds.gangTimeoutMs=3000\n"
               "bounds.cancel_ms=3000\nbounds.visible_ms=3000\nbounds.early_ms=250\nbounds.finish_s=14\n"
               "bounds.status_s=120\nbounds.farFactor=2\nbounds.checkpointS=0.5\nbounds.restoreMs=250\n"
               "bounds.noticeMs=4500\nbounds.moveS=1.5\nbounds.maintenanceS=2\nbounds.fencingRequired=true\n"
               "bounds.leaseMs=3000\nbounds.thawMs=300\nbounds.paceMs=100\nbounds.harmMs=4000\ncommands=rpc\n"
            << "advice=" << adviceAddress << "\nplatform.addr=" << storeAddress
            << "\nplatform.form=kv\nplatform.writesPerS=400\nplatform.readsPerS=2000\nplatform.historyS=20\n"
               "platform.valueBytes=1048576\nplatform.minTtlMs=1000\ncloud.addr="
            << cloudAddress << "\ncloud.ratePerS=60.0\ncloud.duties=\ncloud.dutiesPerS=60.0\n";
    }
    ~Entry() { kill(SIGKILL); }

    void start()
    {
        m_pid = fork();
        if (m_pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(log, 1);
            dup2(log, 2);
            for (int fd = 3; fd < 1024; ++fd)
                close(fd);
            const std::string variable = "LYCHEELEDGE_CONFIG=" + m_settings;
            const std::string path = "PATH=" + std::string(std::getenv("PATH") != nullptr ? std::getenv("PATH") : "");
            char* const arguments[] = { const_cast<char*>("target/lycheeledge-entry"), nullptr };
            char* const environment[]
                = { const_cast<char*>(variable.c_str()), const_cast<char*>(path.c_str()), nullptr };
            execve("target/lycheeledge-entry", arguments, environment);
            _exit(127);
        }
        record("%s starts", m_name.c_str());
    }

    /** @brief Signals the process; after SIGKILL, waits for its end. */
    void kill(int signal)
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, signal);
        if (signal != SIGSTOP && signal != SIGCONT)
            record("%s gets signal %d", m_name.c_str(), signal);
        if (signal == SIGKILL) {
            waitpid(m_pid, nullptr, 0);
            m_pid = 0;
        }
    }
    bool alive()
    {
        if (m_pid <= 0)
            return false;
        if (waitpid(m_pid, nullptr, WNOHANG) == m_pid)
            m_pid = 0;
        return m_pid > 0;
    }
    bool isReady() const { return call(ip, ready, "GET", "/v1/ready", { { "Host", ip } }, "", 500).status == 200; }
    const std::string& name() const { return m_name; }
    pid_t pid() const { return m_pid; }

private:
    std::string m_name;

public:
    std::string ip;
    int front = 0;
    int ready = 0;

private:
    std::string m_settings;
    std::string m_log;
    pid_t m_pid = 0;
};

/** @brief Folder for settings and logs of this run, removed at the end unless KEEP is set. */
class Folder {
public:
    Folder()
    {
        char pattern[] = "/tmp/review-3-XXXXXX";
        path = mkdtemp(pattern);
    }
    ~Folder()
    {
        if (std::getenv("KEEP") == nullptr)
            std::filesystem::remove_all(path);
        else
            std::fprintf(stderr, "kept: %s\n", path.c_str());
    }
    std::string path;
};

/** @brief The entry that owns the jobs, by the record of its claim in the store; empty if there is none. */
inline std::string ownerOf(Store& store)
{
    const auto value = store.get("lycheeledge/owner");
    return value ? value->substr(0, value->find(' ')) : std::string();
}

inline bool eventually(std::int64_t limitMs, const std::function<bool()>& condition, std::int64_t intervalMs = 20)
{
    const std::int64_t end = nowMs() + limitMs;
    while (!condition()) {
        if (nowMs() > end)
            return false;
        sleepMs(intervalMs);
    }
    return true;
}

/** @brief A client's call, with its key; written to the record. */
inline Answer client(const Entry& entry, const std::string& method, const std::string& path, const std::string& body,
    const std::string& key = "key-1", bool quiet = false)
{
    const Answer answer = call(entry.ip, entry.front, method, path,
        { { "Host", "jobs.example" }, { "Authorization", "Bearer " + key } }, body, 3000);
    if (!quiet)
        record("client: %s %s at %s -> %d %s", method.c_str(), path.c_str(), entry.name().c_str(), answer.status,
            answer.body.substr(0, 80).c_str());
    return answer;
}

inline std::string stateOf(const Entry& entry, const std::string& path)
{
    const Answer answer = client(entry, "GET", path, "", "key-1", true);
    rapidjson::Document body;
    body.Parse(answer.body.c_str());
    return answer.status == 200 && body.IsObject() ? text(body, "state") : std::to_string(answer.status);
}

/** @brief Starts the entries, and waits until all of them serve. */
inline std::vector<std::unique_ptr<Entry>> startEntries(int n, const Folder& folder, Store& store,
    const std::string& cloudAddress = {}, const std::string& adviceAddress = {})
{
    std::vector<std::unique_ptr<Entry>> entries;
    for (int i = 0; i < n; ++i) {
        entries.push_back(std::make_unique<Entry>("front-" + std::to_string(i), loopback(10 + i), folder.path,
            store.server.address(), cloudAddress, adviceAddress));
        entries.back()->start();
    }
    const bool ready = eventually(
        15000, [&] { return std::all_of(entries.begin(), entries.end(), [](auto& it) { return it->isReady(); }); });
    if (!ready) {
        record("the entries do not serve");
        entries.clear();
    }
    return entries;
}

inline Entry* find(std::vector<std::unique_ptr<Entry>>& entries, const std::string& name)
{
    const auto it = std::find_if(entries.begin(), entries.end(), [&name](auto& e) { return e->name() == name; });
    return it == entries.end() ? nullptr : it->get();
}

/** @brief A configuration with one tenant, whose key is "key-1", and these routes. */
inline std::string configuration(int version, const std::string& routes)
{
    return R"({"version":)" + std::to_string(version) + R"(,"services":[{"name":"pool"}],"limits":{},"routes":[)"
        + routes
        + R"(],"tenants":[{"name":"t1","apiKeys":["key-1"],"weight":10,"upperLimit":{"cpu":0,"memMb":0,"gpu":0}}]})";
}

inline const char* const batchRoute
    = R"({"name":"batch","host":"jobs.example","prefix":"/batch/","service":"pool","priority":2,"maxAttempts":2,)"
      R"("stretch":2.2,"targetLatencyMs":1200})";
inline const char* const watchRoute
    = R"({"name":"watch","host":"jobs.example","prefix":"/watch/","service":"pool","priority":1,"maxAttempts":2,)"
      R"("stretch":2.2,"targetLatencyMs":2500})";

/** @brief Begins the record, and ends the case if it takes too long. */
inline void beginCase(const char* file)
{
    recordFile = std::fopen(file, "w");
    std::signal(SIGPIPE, SIG_IGN);
    record("%s", trouble() ? "with the disruption" : "without the disruption (TROUBLE=0)");
}

/** @brief Exit codes of a case. */
inline constexpr int held = 0;
inline constexpr int broken = 1;
inline constexpr int notRun = 2;

} // namespace sim
