// Tests of the limits on connections to the members' listener that have not sent a valid message.

#include "support/RawClient.h"

#include <lycheeledge/transport/PeerTransport.h>

#include <catch2/catch.hpp>

#include <atomic>
#include <string>
#include <sys/resource.h>
#include <thread>
#include <vector>

using namespace lycheeledge;
using namespace lycheeledge::test;
using namespace std::chrono_literals;

namespace {

std::string header(std::size_t n)
{
    return { static_cast<char>(n >> 24), static_cast<char>(n >> 16), static_cast<char>(n >> 8), static_cast<char>(n) };
}

std::string frame(const std::string& text) { return header(text.size()) + text; }

/** @brief Listener that confirms senders of frames that begin with "member", and answers them with "welcome". */
struct Fixture {
    explicit Fixture(const PeerTransportSettings& settings)
        : transport(settings,
            { .datagram = [](const std::string&) {},
                .accepted = [this](PeerTransport::ConnectionId) { ++accepted; },
                .connected = [](PeerTransport::ConnectionId) {},
                .frame =
                    [this](PeerTransport::ConnectionId id, const std::string& text) {
                        ++frames;
                        if (text.rfind("member", 0) != 0)
                            return;
                        transport.confirm(id);
                        transport.sendFrame(id, "welcome");
                    },
                .closed = [this](PeerTransport::ConnectionId) { ++closed; } })
    {
        const auto started = transport.start();
        REQUIRE(started.ok());
        port = *started;
    }
    ~Fixture() { transport.stop(); }

    static bool isServed(const RawClient& client, const std::string& text = "member")
    {
        client.send(frame(text));
        return client.receiveUntil("welcome").find("welcome") != std::string::npos;
    }
    static void waitUntil(const std::atomic<int>& count, int n)
    {
        for (int i = 0; i < 1000 && count < n; ++i)
            std::this_thread::sleep_for(10ms);
        REQUIRE(count >= n);
    }

    std::atomic<int> accepted { 0 };
    std::atomic<int> closed { 0 };
    std::atomic<int> frames { 0 };
    std::uint16_t port = 0;
    PeerTransport transport;
};

} // namespace

// Guards against strangers that occupy all places, or take those of members.
TEST_CASE("A connection at capacity takes the place of the oldest unconfirmed one", "[peer-limits]")
{
    Fixture fixture({ .maxConnections = 3 });
    const RawClient member(fixture.port);
    CHECK(Fixture::isServed(member));
    const RawClient stranger(fixture.port);
    Fixture::waitUntil(fixture.accepted, 2);
    const RawClient second(fixture.port);
    CHECK(Fixture::isServed(second));
    const RawClient third(fixture.port);
    CHECK(Fixture::isServed(third));
    CHECK(stranger.receiveAll().empty());
    CHECK(fixture.transport.counts() == PeerTransport::Counts { .refused = 0, .closed = 1 });
    const RawClient refused(fixture.port);
    CHECK(refused.receiveAll().empty());
    CHECK(fixture.transport.counts() == PeerTransport::Counts { .refused = 1, .closed = 1 });
    for (const RawClient* client : { &member, &second, &third })
        CHECK(Fixture::isServed(*client));
    CHECK(fixture.closed == 1);
}

// Guards against unfinished frames of strangers without a common limit, and against a limit on confirmed members.
TEST_CASE("Unfinished frames of unconfirmed connections share a memory limit", "[peer-limits]")
{
    Fixture fixture({ .maxUnconfirmedBytes = 64 << 10 });
    const RawClient member(fixture.port);
    CHECK(Fixture::isServed(member));
    const RawClient stranger(fixture.port);
    Fixture::waitUntil(fixture.accepted, 2);
    stranger.send(header(1 << 20) + std::string(20000, 'x'));
    const RawClient second(fixture.port);
    second.send(header(1 << 20) + std::string(60000, 'x'));
    CHECK(stranger.receiveAll().empty());
    CHECK(Fixture::isServed(member, "member" + std::string(500000, 'x')));
    const RawClient newMember(fixture.port);
    CHECK(Fixture::isServed(newMember));
    CHECK(Fixture::isServed(member));
}

// Guards against memory that stays counted for connections which were closed while data of them was being handled, so
// that the limit closes each new member.
TEST_CASE("Memory of closed unconfirmed connections is no longer counted", "[peer-limits]")
{
    Fixture fixture({ .maxUnconfirmedBytes = 64 << 10 });
    std::vector<std::thread> strangers;
    strangers.reserve(16);
    for (int n = 0; n < 16; ++n) {
        strangers.emplace_back([port = fixture.port] {
            for (int i = 0; i < 8; ++i) {
                const RawClient client(port);
                client.send(header(1 << 24) + std::string(1 << 20, 'x'));
                client.receiveAll();
            }
        });
    }
    for (auto& thread : strangers)
        thread.join();
    for (int n = 0; n < 3; ++n) {
        const RawClient member(fixture.port);
        CHECK(Fixture::isServed(member, "member" + std::string(10000, 'x')));
    }
}

// Guards against a sender of invalid frames that fills the queue of their receiver.
TEST_CASE("An unconfirmed connection delivers its next frame only when it is resumed", "[peer-limits]")
{
    Fixture fixture({});
    const RawClient client(fixture.port);
    client.send(frame("other") + frame("other") + frame("member") + frame("other"));
    Fixture::waitUntil(fixture.frames, 1);
    std::this_thread::sleep_for(50ms);
    CHECK(fixture.frames == 1);
    fixture.transport.resume(1);
    Fixture::waitUntil(fixture.frames, 2);
    fixture.transport.resume(1);
    // The third one is confirmed, so the fourth one follows.
    Fixture::waitUntil(fixture.frames, 4);
    CHECK(Fixture::isServed(client));
}

// Guards against a listener that accepts nothing more after its process had no free descriptors.
TEST_CASE("Connections are accepted again after descriptors ran out", "[peer-limits]")
{
    Fixture fixture({});
    const RawClient member(fixture.port);
    CHECK(Fixture::isServed(member));
    rlimit previous {};
    REQUIRE(getrlimit(RLIMIT_NOFILE, &previous) == 0);
    const rlimit lowered { 128, previous.rlim_max };
    REQUIRE(setrlimit(RLIMIT_NOFILE, &lowered) == 0);
    std::vector<int> descriptors;
    for (int fd = dup(0); fd >= 0; fd = dup(0))
        descriptors.push_back(fd);
    REQUIRE(descriptors.size() > 1);
    close(descriptors.back());
    descriptors.pop_back();
    // Takes the last descriptor; the kernel establishes the connection before it is accepted.
    const RawClient waiting(fixture.port);
    std::this_thread::sleep_for(300ms);
    const int acceptedMeanwhile = fixture.accepted;
    const bool memberServed = Fixture::isServed(member);
    for (const int fd : descriptors)
        close(fd);
    setrlimit(RLIMIT_NOFILE, &previous);
    CHECK(acceptedMeanwhile == 1);
    CHECK(memberServed);
    CHECK(Fixture::isServed(waiting));
}
