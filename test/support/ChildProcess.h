// A program that a test starts and observes through /proc.
#pragma once

#include <csignal>
#include <cstddef>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

namespace lycheeledge::test {

/** @brief Runs a program until the destructor kills it. The kernel kills it if the test program ends first. */
class ChildProcess {
public:
    /**
     * @param logFile receives standard output and error.
     * @param maxDescriptors limit of the program's open descriptors, which it cannot raise.
     */
    ChildProcess(const std::vector<std::string>& command, const std::string& logFile, std::size_t maxDescriptors)
        : m_logFile(logFile)
    {
        std::vector<char*> arguments;
        arguments.reserve(command.size() + 1);
        for (const auto& it : command)
            arguments.push_back(const_cast<char*>(it.c_str()));
        arguments.push_back(nullptr);
        const int log = open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        m_pid = fork();
        if (m_pid == 0) {
            // Only async-signal-safe calls: the test program has several threads.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const rlimit limit { maxDescriptors, maxDescriptors };
            setrlimit(RLIMIT_NOFILE, &limit);
            dup2(log, STDOUT_FILENO);
            dup2(log, STDERR_FILENO);
            execv(arguments[0], arguments.data());
            _exit(127);
        }
        close(log);
        if (m_pid < 0)
            throw std::runtime_error("cannot start " + command.front());
    }

    ~ChildProcess()
    {
        if (isAlive()) {
            kill(m_pid, SIGKILL);
            waitpid(m_pid, nullptr, 0);
        }
    }
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    bool isAlive()
    {
        if (!m_exited)
            m_exited = waitpid(m_pid, nullptr, WNOHANG) != 0;
        return !m_exited;
    }

    /** @brief Asks the program to stop, as an operator does. */
    void requestStop() { kill(m_pid, SIGTERM); }

    /** @brief Peak resident memory (VmHWM) in KiB; 0 if the process has ended. */
    std::size_t peakMemoryKb() const
    {
        std::ifstream in("/proc/" + std::to_string(m_pid) + "/status");
        for (std::string line; std::getline(in, line);) {
            if (line.starts_with("VmHWM:"))
                return std::stoul(line.substr(line.find_first_of("0123456789")));
        }
        return 0;
    }

    /** @brief Number of open descriptors. */
    std::size_t descriptors() const
    {
        std::error_code ec;
        std::size_t n = 0;
        for (std::filesystem::directory_iterator it("/proc/" + std::to_string(m_pid) + "/fd", ec), end; it != end;
             it.increment(ec))
            ++n;
        return n;
    }

    /** @brief The last 2,000 bytes of the output. */
    std::string logEnd() const
    {
        constexpr std::size_t maxBytes = 2000;
        std::ifstream in(m_logFile);
        std::ostringstream text;
        text << in.rdbuf();
        const std::string result = text.str();
        return result.size() > maxBytes ? result.substr(result.size() - maxBytes) : result;
    }

private:
    std::string m_logFile;
    pid_t m_pid = -1;
    bool m_exited = false;
};

} // namespace lycheeledge::test
