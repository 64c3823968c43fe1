// Starts the project's entry processes as the deploy file says, with the settings of a small deployment.
#pragma once

#include "Http.h"
#include "Record.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <random>
#include <string>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <vector>

namespace review {

/** @brief A loopback address of this run, so that runs side by side do not meet. */
inline std::string loopbackHost(int n)
{
    static const int net = [] {
        std::random_device random;
        return static_cast<int>(random() % 60000) + 256;
    }();
    return "127." + std::to_string(net / 256) + "." + std::to_string(net % 256) + "." + std::to_string(n);
}

inline int freePort(const std::string& host)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = detail::socketAddress(host, 0);
    bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    socklen_t size = sizeof(address);
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    close(fd);
    return ntohs(address.sin_port);
}

class Entry {
public:
    Entry(int n, const std::string& folder, const std::string& store, const std::string& cloud, Record& record)
        : m_name("front-cartago-" + std::to_string(n))
        , m_host(loopbackHost(n))
        , m_settingsFile(folder + "/" + m_name + ".conf")
        , m_log(folder + "/" + m_name + ".log")
        , m_record(record)
    {
        m_front = freePort(m_host);
        m_ready = freePort(m_host);
        const int internal = freePort(m_host);
        std::ofstream out(m_settingsFile);
        out << "node=" << m_name << "\nrole=entry\nmachineClass=front\nserves=front\nip=" << m_host
            << "\nzone=cartago\nregion=cr-central\nzones.cartago=cr-central\nlisten.front=" << m_host << ":" << m_front
            << "\nlisten.ready=" << m_host << ":" << m_ready << "\ninternalPorts=" << internal << "," << internal + 1
            << "\nbootstrap=true\nlossCounts=false\nlimits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260\n"
               "limits.maxFds=4100\nlimits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=platform\nentry=vip\n"
               "heartbeatMs=1500\ncontracts=base,drain,config,cost,recover,sched,tenants,quota,platform,advice,upkeep,"
               "sharing\nbounds.seedLagS=3\nbounds.addrReuseS=2\nbounds.contactMs=3000\nbounds.ackMs=4000\n"
               "bounds.catchUpS=4\nbounds.drainMs=2000\nbounds.graceS=6\nbounds.lossSlackMs=200\n"
               "bounds.configApplyMs=2000\nbounds.rollbackSlackMs=250\nbounds.maxStretchMs=5000\n"
               "bounds.strictRevoke=true\nbounds.revokeMs=5000\nbounds.recoveryS=12\nbounds.maxHoldMs=10000\n"
               "bounds.stopTimeoutMs=200\nbounds.gangTimeoutMs=3000\nbounds.cancel_ms=3000\nbounds.visible_ms=3000\n"
               "bounds.early_ms=250\nbounds.finish_s=14\nbounds.status_s=120\nbounds.farFactor=2\n"
               "bounds.checkpointS=0.5\nbounds.restoreMs=250\nbounds.noticeMs=4500\nbounds.moveS=1.5\n"
               "bounds.maintenanceS=2\nbounds.fencingRequired=true\nbounds.leaseMs=3000\nbounds.thawMs=300\n"
               "bounds.paceMs=100\nbounds.harmMs=4000\ncommands=rpc\nplatform.addr="
            << store
            << "\nplatform.form=kv\nplatform.writesPerS=400\nplatform.readsPerS=2000\nplatform.historyS=20\n"
               "platform.valueBytes=1048576\nplatform.minTtlMs=1000\n"
            << (cloud.empty() ? std::string() : "cloud.addr=" + cloud + "\ncloud.ratePerS=60.0\n")
            << "cloud.dutiesPerS=60.0\n";
    }
    ~Entry() { stop(SIGKILL); }
    Entry(const Entry&) = delete;
    Entry& operator=(const Entry&) = delete;

    void start()
    {
        m_record.line("process " + m_name + " starts");
        m_pid = fork();
        if (m_pid != 0)
            return;
        prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the script, however that ends
        const int log = open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, 1);
        dup2(log, 2);
        const std::string settings = "LYCHEELEDGE_CONFIG=" + m_settingsFile;
        const char* program = "target/lycheeledge-entry"; // `run` of the deploy file; the working directory is the root
        char* arguments[] = { const_cast<char*>(program), nullptr };
        std::string path = std::string("PATH=") + (std::getenv("PATH") != nullptr ? std::getenv("PATH") : "");
        char* environment[]
            = { path.data(), const_cast<char*>("LANG=C.UTF-8"), const_cast<char*>(settings.c_str()), nullptr };
        execve(program, arguments, environment);
        _exit(127);
    }
    void signal(int number)
    {
        if (m_pid <= 0)
            return;
        m_record.line("process " + m_name + " gets signal " + std::to_string(number));
        kill(m_pid, number);
    }
    void stop(int number)
    {
        if (m_pid <= 0)
            return;
        signal(number);
        if (number == SIGKILL)
            kill(m_pid, SIGCONT);
        int status = 0;
        waitpid(m_pid, &status, 0);
        m_pid = 0;
        if (WIFEXITED(status))
            m_record.line("process " + m_name + " exits with " + std::to_string(WEXITSTATUS(status)));
        else if (WTERMSIG(status) != number)
            m_record.line("process " + m_name + " crashes with signal " + std::to_string(WTERMSIG(status)));
    }
    /** @brief Whether the process has ended by itself. */
    bool hasEnded() { return m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) == m_pid && (m_pid = 0, true); }

    bool isReady() const
    {
        const auto response = call(m_host, m_ready, "GET", "/v1/ready", "Host: x\r\n", "", Milliseconds(500));
        return response && response->status == 200;
    }
    std::optional<Response> request(const std::string& method, const std::string& path, const std::string& body,
        Milliseconds timeout = Milliseconds(3000)) const
    {
        return call(m_host, m_front, method, path,
            "Host: nony24.example\r\nAuthorization: Bearer review-key-1\r\nX-Deadline-Ms: "
                + std::to_string(timeout.count()) + "\r\n",
            body, timeout);
    }
    const std::string& name() const { return m_name; }

private:
    std::string m_name;
    std::string m_host;
    std::string m_settingsFile;
    std::string m_log;
    Record& m_record;
    int m_front = 0;
    int m_ready = 0;
    pid_t m_pid = 0;
};

/** @brief Configuration with one queue at /lohu930/, served by the pool huvo11a. */
inline std::string configuration(int version, int maxAttempts, const std::string& upperLimit = "{}")
{
    return "{\"version\":" + std::to_string(version)
        + ",\"routes\":[{\"name\":\"r-ihhacru\",\"host\":\"nony24.example\",\"prefix\":\"/lohu930/\",\"kind\":"
          "\"unsafe\",\"timeoutMs\":3000,\"targetLatencyMs\":300,\"priority\":0,\"service\":\"huvo11a\","
          "\"maxAttempts\":"
        + std::to_string(maxAttempts)
        + ",\"stretch\":1.5,\"noAuth\":false}],\"services\":[{\"name\":\"huvo11a\",\"healthPath\":\"/health\","
          "\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,\"admissionCheck\":false,\"spare\":false}],\"limits\":{"
          "\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
          "\"tenants\":[{\"name\":\"kaje80\",\"apiKeys\":[\"review-key-1\"],\"priority\":1,\"weight\":12,"
          "\"upperLimit\":"
        + upperLimit + "}]}";
}

inline std::string submissionId(std::uint64_t n)
{
    char buf[17];
    std::snprintf(buf, sizeof(buf), "%016llx", static_cast<unsigned long long>(n));
    return buf;
}

} // namespace review
