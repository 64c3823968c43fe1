// Stand-in for the platform: key-value store and VM list, with fault injection.

#include "Platform.h"

#include <gflags/gflags.h>
#include <glog/logging.h>

DEFINE_string(address, "127.0.0.1", "IP number to listen on");
DEFINE_uint32(port, 2379, "port to listen on; 0 for any");
DEFINE_uint32(vm_lag_ms, 2000, "time until a change of a VM is listed");
DEFINE_uint32(vm_ttl_ms, 10000, "time without a report after which a VM is removed");

namespace lycheeledge::standin {

namespace {

    int runPlatform()
    {
        EventLoop loop(1);
        Platform platform(loop, std::chrono::milliseconds(FLAGS_vm_lag_ms), std::chrono::milliseconds(FLAGS_vm_ttl_ms));
        HttpServerSettings settings;
        settings.address = FLAGS_address;
        settings.port = static_cast<std::uint16_t>(FLAGS_port);
        settings.maxBodyBytes = 3 << 20;
        HttpServer server(settings, onLoop(loop, [&platform](const HttpRequest& request, const auto& respond) {
            platform.handle(request, respond);
        }));
        const auto port = server.start();
        if (!port.ok()) {
            LOG(ERROR) << "[platform] Cannot start the server: " << port.status().message();
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
    lycheeledge::standin::raiseFileLimit();
    return lycheeledge::standin::runPlatform();
}
