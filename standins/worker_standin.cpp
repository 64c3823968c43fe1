// Stand-in for the workers: simulates many workers in one process, each on its own port.

#include "SimulatedWorker.h"

#include <lycheeledge/protocol/HttpVmDirectory.h>
#include <lycheeledge/transport/HttpClient.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <gflags/gflags.h>
#include <glog/logging.h>

#include <memory>
#include <random>
#include <string>
#include <vector>

DEFINE_uint32(workers, 50, "number of workers");
DEFINE_string(address, "127.0.0.1", "IP number to listen on");
DEFINE_uint32(first_port, 7000, "port of the first worker; the others follow");
DEFINE_string(name_prefix, "w", "workers are named by this prefix and a number from 0");
DEFINE_string(zones, "a,b,c,d", "zones, separated by commas, to which the workers are assigned in turn");
DEFINE_uint32(per_rack, 6, "workers per rack");
DEFINE_string(platform, "", "URL of the platform to which the workers report, for example http://127.0.0.1:2379");
DEFINE_uint32(report_ms, 2000, "interval of the reports to the platform");
DEFINE_int64(milli_cpu, 32000, "processors of a worker, in thousandths of a core");
DEFINE_int64(memory_mb, 131072, "memory of a worker, in MB");
DEFINE_int64(accelerators, 0, "accelerators of a worker");
DEFINE_int64(slots, 8, "slots of a worker");
DEFINE_int64(connections, 64, "connections of a worker");

namespace lycheeledge::standin {

namespace {

    WorkerDescription describe(std::size_t n, const std::vector<std::string>& zones)
    {
        WorkerDescription result;
        result.id = VmId(absl::StrCat(FLAGS_name_prefix, n));
        result.address = { FLAGS_address, static_cast<std::uint16_t>(FLAGS_first_port + n) };
        const std::size_t zone = n % zones.size();
        result.zone = ZoneId(zones[zone]);
        result.rack = RackId(absl::StrCat(zones[zone], "-", n / zones.size() / FLAGS_per_rack));
        result.capacity = { FLAGS_milli_cpu, FLAGS_memory_mb, FLAGS_accelerators, FLAGS_slots, FLAGS_connections };
        return result;
    }

    /** @brief Reports the workers to the platform periodically. A paused worker does not report. */
    class VmReporter {
    public:
        VmReporter(EventLoop& loop, const std::vector<std::unique_ptr<SimulatedWorker>>& workers)
            : m_loop(loop)
            , m_workers(workers)
        {
        }

        void reportAll()
        {
            for (const auto& worker : m_workers) {
                if (!worker->paused())
                    report(worker->description());
            }
            m_loop.after(std::chrono::milliseconds(FLAGS_report_ms), [this] { reportAll(); });
        }

    private:
        void report(const WorkerDescription& worker)
        {
            HttpRequest request;
            request.method = "POST";
            request.target = FLAGS_platform + "/v1/vms";
            request.body = encodeVm(worker);
            m_client.send(std::move(request), std::chrono::seconds(2), [](const HttpResult& result) {
                LOG_IF_EVERY_N(WARNING, !result.status.ok(), 100)
                    << "[worker] Report to the platform failed: " << result.status.message();
            });
        }

        EventLoop& m_loop;
        const std::vector<std::unique_ptr<SimulatedWorker>>& m_workers;
        HttpClient m_client;
    };

    int runWorkers()
    {
        const std::vector<std::string> zones = absl::StrSplit(FLAGS_zones, ',', absl::SkipEmpty());
        if (zones.empty() || FLAGS_per_rack == 0) {
            LOG(ERROR) << "[worker] --zones must not be empty and --per_rack must not be 0.";
            return 2;
        }
        // The seed is random because session ids must differ between runs of this program.
        EventLoop loop(std::random_device {}());
        std::vector<std::unique_ptr<SimulatedWorker>> workers;
        for (std::size_t n = 0; n < FLAGS_workers; ++n) {
            const WorkerDescription description = describe(n, zones);
            const std::string session = absl::StrCat(description.id.value(), "-0-", loop.random());
            workers.push_back(std::make_unique<SimulatedWorker>(loop, description, session));
            if (const auto port = workers.back()->start(); !port.ok()) {
                LOG(ERROR) << "[worker] Cannot start the server of a worker: " << port.status().message();
                return 1;
            }
        }
        LOG(INFO) << "[worker] " << workers.size() << " workers listen on ports from " << FLAGS_first_port << ".";
        stopOnSignals(loop);
        VmReporter reporter(loop, workers);
        if (!FLAGS_platform.empty())
            reporter.reportAll();
        loop.run();
        for (const auto& worker : workers)
            worker->stop();
        return 0;
    }

} // namespace

} // namespace lycheeledge::standin

int main(int argc, char** argv)
{
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    lycheeledge::standin::raiseFileLimit();
    return lycheeledge::standin::runWorkers();
}
