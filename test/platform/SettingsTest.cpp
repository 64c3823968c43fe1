// Tests of the platform's settings file.

#include <catch2/catch.hpp>

#include <platform/PlatformSettings.h>

using namespace lycheeledge;
using namespace lycheeledge::platform;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string completeSettings
    = "node=front-1\nip=10.1.0.17\nzone=north\nlisten.front=10.1.0.17:8183\n"
      "listen.ready=10.1.0.17:8184\ninternalPorts=7420,7435\nplatform.addr=10.2.0.1:80\n"
      "limits.cpuShare=0.25\nbounds.graceS=6\nbounds.revokeMs=5000\nbounds.configApplyMs=3000\nadvice=10.2.0.2:80\n"
      "something.new=1\n";

} // namespace

TEST_CASE("settings are parsed from lines of name and value", "[settings]")
{
    const auto settings = parsePlatformSettings(completeSettings);
    REQUIRE(settings.ok());
    CHECK(settings->member == "front-1");
    CHECK(settings->ingress == Endpoint { "10.1.0.17", 8183 });
    CHECK(settings->firstInternalPort == 7420);
    CHECK(settings->cpuShare == 0.25);
    CHECK(settings->stopGracePeriod == seconds(6));
    CHECK(settings->keyWithdrawalLimit == milliseconds(5000));
    CHECK(settings->configurationLimit == milliseconds(3000));
    CHECK(settings->admissionAddress == "10.2.0.2:80");
}

TEST_CASE("the error for a missing or malformed field names the field", "[settings]")
{
    const auto errorWithout = [](const std::string& line) {
        std::string text = completeSettings;
        text.erase(text.find(line), line.size() + 1);
        return std::string(parsePlatformSettings(text).status().message());
    };
    CHECK(errorWithout("node=front-1") == "node is missing");
    CHECK(errorWithout("platform.addr=10.2.0.1:80") == "platform.addr is missing");
    CHECK(parsePlatformSettings(completeSettings + "listen.front=10.1.0.17\n").status().message()
        == "listen.front must have the form HOST:PORT");
    CHECK(parsePlatformSettings(completeSettings + "listen.front=10.1.0.17:99999\n").status().message()
        == "listen.front must name a port from 1 to 65535");
    CHECK(parsePlatformSettings(completeSettings + "bounds.graceS=soon\n").status().message()
        == "bounds.graceS must be a number that is not negative");
}

TEST_CASE("data centres and the limit of evacuations are read where the file has them", "[settings]")
{
    const auto without = parsePlatformSettings(completeSettings);
    CHECK(without->dataCentres.empty());
    CHECK(without->evacuationLimit == std::nullopt);
    const auto with
        = parsePlatformSettings(completeSettings + "zones.south=east\nzones.north=east\nbounds.evacuateMs=5000\n");
    CHECK(with->dataCentres == std::vector<std::string> { "north", "south" });
    CHECK(with->evacuationLimit == milliseconds(5000));
    CHECK(parsePlatformSettings(completeSettings + "bounds.evacuateMs=-1\n").status().message()
        == "bounds.evacuateMs must be a number that is not negative");
}

// Guards against limits of the VM that nothing reads, and against a value that overflows.
TEST_CASE("limits of memory and descriptors are read", "[settings]")
{
    CHECK(parsePlatformSettings(completeSettings)->memoryBytes == 0);
    CHECK(parsePlatformSettings(completeSettings)->maxDescriptors == 0);
    const auto settings = parsePlatformSettings(completeSettings + "limits.memoryMb=120\nlimits.maxFds=3075\n");
    REQUIRE(settings.ok());
    CHECK(settings->memoryBytes == std::size_t { 120 } << 20);
    CHECK(settings->maxDescriptors == 3075);
    CHECK(parsePlatformSettings(completeSettings + "limits.memoryMb=1e300\n").status().message()
        == "limits.memoryMb is out of range");
}

TEST_CASE("a missing settings file is an error", "[settings]")
{
    CHECK(readPlatformSettings("no-such-file").status().code() == absl::StatusCode::kNotFound);
}
