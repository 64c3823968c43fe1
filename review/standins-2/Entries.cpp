// Starts the project's own processes with the command of the deploy file, as the platform does.

#include "Entries.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace standins {

namespace {

    constexpr std::uint16_t metricsPort = 9464; // of the deploy file
    constexpr std::int64_t restartDelayMs = 500;

    std::vector<std::string> commandOfDeployFile()
    {
        std::ifstream in("deploy/system.toml");
        std::vector<std::string> words;
        for (std::string line; std::getline(in, line);) {
            if (!line.starts_with("run"))
                continue;
            const std::size_t begin = line.find('"') + 1;
            std::istringstream text(line.substr(begin, line.rfind('"') - begin));
            for (std::string word; text >> word;)
                words.push_back(word);
        }
        return words;
    }

} // namespace

Entries::Entries(Store& store, Record& record, int count)
    : m_store(store)
    , m_record(record)
    , m_command(commandOfDeployFile())
{
    m_machines.resize(static_cast<std::size_t>(count));
}

bool Entries::start()
{
    char folder[] = "/tmp/review-2-XXXXXX";
    if (m_command.empty() || mkdtemp(folder) == nullptr)
        return false;
    m_folder = folder;
    const auto isUsable = [&](int network, std::uint16_t port) {
        for (int i = 0; i < count(); ++i) {
            const std::string ip = "127.3." + std::to_string(network) + "." + std::to_string(i + 1);
            for (const int it : { port + 0, port + 1, port + 2, port + 3, static_cast<int>(metricsPort) }) {
                if (!isFree(ip, static_cast<std::uint16_t>(it)))
                    return false;
            }
        }
        return true;
    };
    int network = static_cast<int>(getpid() % 250);
    m_frontPort = static_cast<std::uint16_t>(20000 + getpid() % 5000 * 4);
    for (int tries = 0; !isUsable(network, m_frontPort); ++tries) {
        if (tries == 100)
            return false;
        network = (network + 1) % 250;
    }
    std::string seeds;
    for (int i = 0; i < count(); ++i)
        m_machines[static_cast<std::size_t>(i)].ip = "127.3." + std::to_string(network) + "." + std::to_string(i + 1);
    for (int i = 0; i < count(); ++i) {
        Machine& machine = m_machines[static_cast<std::size_t>(i)];
        machine.name = "front-zone-a-" + std::to_string(i + 1);
        machine.settings = m_folder + "/" + machine.name + ".conf";
        const auto address = [&](int offset) { return machine.ip + ":" + std::to_string(m_frontPort + offset); };
        std::ofstream out(machine.settings);
        out << "node=" << machine.name << "\nrole=entry\nmachineClass=front\nserves=front\nip=" << machine.ip
            << "\nzone=zone-a\nregion=region-a\nzones.zone-a=region-a\nlisten.front=" << address(0)
            << "\nlisten.ready=" << address(1) << "\nlisten.control=" << address(2)
            << "\ninternalPorts=" << m_frontPort + 3 << "," << m_frontPort + 3 << "\nseeds=" << m_machines[0].ip << ":"
            << m_frontPort + 2
            << "\nbootstrap=true\nlimits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260\nlimits.maxFds=4100\n"
               "limits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=platform\nentry=vip\nheartbeatMs=1500\n"
               "contracts=base,drain,config,cost,recover,sched,tenants,quota,platform\n"
               "bounds.contactMs=3000\nbounds.ackMs=4000\nbounds.drainMs=2000\nbounds.graceS=6\n"
               "bounds.configApplyMs=2000\nbounds.strictRevoke=true\nbounds.revokeMs=5000\nbounds.maxHoldMs=10000\n"
               "bounds.stopTimeoutMs=200\nbounds.gangTimeoutMs=3000\nbounds.cancel_ms=3000\nbounds.visible_ms=3000\n"
               "bounds.finish_s=14\nbounds.status_s=120\nbounds.maintenanceS=2\nbounds.fencingRequired=true\n"
               "bounds.leaseMs=3000\ncommands=rpc\nplatform.addr=127.0.0.1:"
            << m_store.port()
            << "\nplatform.form=kv\nplatform.writesPerS=400\nplatform.readsPerS=2000\nplatform.historyS=20\n"
               "platform.valueBytes=1048576\nplatform.minTtlMs=1000\n";
    }
    for (auto& machine : m_machines)
        spawn(machine);
    std::thread([this] { watch(); }).detach();
    return true;
}

void Entries::spawn(Machine& machine)
{
    std::vector<char*> words;
    for (auto& word : m_command)
        words.push_back(word.data());
    words.push_back(nullptr);
    const std::string log = machine.settings + ".log";
    std::string variable = "LYCHEELEDGE_CONFIG=" + machine.settings;
    std::string path = std::string("PATH=") + (std::getenv("PATH") != nullptr ? std::getenv("PATH") : "");
    char* const environment[] = { variable.data(), path.data(), nullptr };
    const pid_t parent = getpid();
    const pid_t process = fork();
    if (process == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent)
            _exit(1);
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(out, 1);
        dup2(out, 2);
        execve(words.front(), words.data(), environment);
        _exit(127);
    }
    machine.process = process;
    machine.killed = false;
    m_record.line(machine.name + ": process starts");
}

void Entries::watch()
{
    while (true) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
        const std::lock_guard lock(m_mutex);
        if (m_ended)
            return;
        for (auto& machine : m_machines) {
            int status = 0;
            if (machine.process > 0 && waitpid(machine.process, &status, WNOHANG) == machine.process) {
                machine.process = -1;
                machine.startAtMs = steadyMs() + restartDelayMs;
                const std::string how = WIFSIGNALED(status) ? std::string("signal ") + strsignal(WTERMSIG(status))
                                                            : "exit code " + std::to_string(WEXITSTATUS(status));
                if (!machine.killed)
                    ++machine.ownEnds;
                m_record.line(
                    machine.name + ": process ended " + (machine.killed ? "(killed), " : "BY ITSELF, ") + how);
            }
            if (machine.process < 0 && !machine.removed && steadyMs() >= machine.startAtMs)
                spawn(machine);
        }
    }
}

bool Entries::awaitReady(int limitMs)
{
    const std::int64_t end = steadyMs() + limitMs;
    while (steadyMs() < end) {
        bool all = true;
        for (int i = 0; i < count(); ++i)
            all = all && isReady(i);
        if (all)
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    return false;
}

bool Entries::isReady(int machine) const
{
    const Request request { "GET", "/v1/ready", { { "Host", "ready" } }, {} };
    const auto& it = m_machines[static_cast<std::size_t>(machine)];
    return standins::call(it.ip, static_cast<std::uint16_t>(m_frontPort + 1), request, 1000).status == 200;
}

void Entries::kill(int machine)
{
    const std::lock_guard lock(m_mutex);
    Machine& it = m_machines[static_cast<std::size_t>(machine)];
    if (it.process <= 0)
        return;
    it.killed = true;
    ::kill(it.process, SIGKILL);
    m_record.line(it.name + ": killed");
}

void Entries::remove(int machine)
{
    kill(machine);
    const std::lock_guard lock(m_mutex);
    m_machines[static_cast<std::size_t>(machine)].removed = true;
}

void Entries::freeze(int machine, bool isFrozen)
{
    const std::lock_guard lock(m_mutex);
    const Machine& it = m_machines[static_cast<std::size_t>(machine)];
    ::kill(it.process, isFrozen ? SIGSTOP : SIGCONT);
    m_record.line(it.name + (isFrozen ? ": frozen" : ": wakes"));
}

std::unique_ptr<Channel> Entries::open(int machine) const
{
    return std::make_unique<Channel>(m_machines[static_cast<std::size_t>(machine)].ip, m_frontPort);
}

int Entries::lastWriter()
{
    const std::string text = m_store.lastTransaction();
    for (int i = 0; i < count(); ++i) {
        if (text.find(name(i)) != std::string::npos)
            return i;
    }
    return -1;
}

int Entries::ownEnds(int machine)
{
    const std::lock_guard lock(m_mutex);
    return m_machines[static_cast<std::size_t>(machine)].ownEnds;
}

Response Entries::call(int machine, const Request& request, int limitMs) const
{
    return standins::call(m_machines[static_cast<std::size_t>(machine)].ip, m_frontPort, request, limitMs);
}

void Entries::end()
{
    const std::lock_guard lock(m_mutex);
    if (std::exchange(m_ended, true))
        return;
    for (auto& machine : m_machines) {
        if (machine.process > 0) {
            ::kill(machine.process, SIGKILL);
            waitpid(machine.process, nullptr, 0);
        }
    }
}

} // namespace standins
