// Main program of the scheduler daemon.

#include <lycheeledge/daemon/EntryProcess.h>
#include <lycheeledge/daemon/Signals.h>

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <chrono>
#include <iostream>
#include <sys/resource.h>

DEFINE_string(settings, "", "settings file (JSON with comments)");
DEFINE_bool(check_settings, false, "check the settings file and exit");
DEFINE_uint64(seed, 0, "random seed; 0 derives it from the current time");

namespace {

constexpr int exitBadSettings = 2;
constexpr int exitUnavailable = 3;

std::uint64_t wallClockMicroseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

// Each client connection uses a file descriptor; the usual soft limit of 1024 is below the default maximum of
// connections.
void raiseOpenFileLimit()
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

int toGlogSeverity(lycheeledge::LogLevel level)
{
    switch (level) {
    case lycheeledge::LogLevel::Warning:
        return google::GLOG_WARNING;
    case lycheeledge::LogLevel::Error:
        return google::GLOG_ERROR;
    case lycheeledge::LogLevel::Info:
        break;
    }
    return google::GLOG_INFO;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("lycheeledged --settings=FILE [--check_settings]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    FLAGS_logtostderr = true; // the VM has no disk
    google::InitGoogleLogging(argv[0]);

    auto settings = lycheeledge::readSettings(FLAGS_settings);
    if (!settings.ok()) {
        std::cerr << "lycheeledged: " << settings.status().message() << '\n';
        return exitBadSettings;
    }
    if (FLAGS_check_settings) {
        std::cout << FLAGS_settings << ": ok\n";
        return 0;
    }
    FLAGS_minloglevel = toGlogSeverity(settings->logLevel);

    raiseOpenFileLimit();
    const sigset_t signals = lycheeledge::blockSignals();

    const std::uint64_t startedUnixUs = wallClockMicroseconds();
    lycheeledge::EntryProcess process(
        *std::move(settings), FLAGS_seed != 0 ? FLAGS_seed : startedUnixUs, startedUnixUs);
    if (const auto status = process.start(); !status.ok()) {
        std::cerr << "lycheeledged: " << status.message() << '\n';
        return exitUnavailable;
    }
    lycheeledge::handleSignals(
        signals, [&process] { process.requestStop(); }, [&process] { process.reloadCertificate(); });
    process.run();
    LOG(INFO) << "[daemon] Stopped.";
    return 0;
}
