// Members that talk to workers on the owner's behalf: selection, loss, freezes and cut paths.

#include "support/JobCluster.h"

#include <lycheeledge/jobs/relay/RelaySelection.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace lycheeledge;
using namespace lycheeledge::jobs;
using namespace lycheeledge::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** @brief A cluster whose owner relays all calls to workers. */
struct RelayCluster {
    explicit RelayCluster(std::size_t members, int workers, std::uint64_t seed = 1)
        : cluster(0, seed)
    {
        cluster.settings.relay.maxDirectWorkers = 0;
        for (std::size_t i = 0; i < members; ++i)
            cluster.startMember("m" + std::to_string(i));
        for (int i = 0; i < workers; ++i)
            cluster.addWorker("w" + std::to_string(i), 8000, "r" + std::to_string(i / 2));
        cluster.advance(seconds(3));
    }

    std::string owner() { return *cluster.owner(); }
    /** @brief A member, not the owner, that relays calls. */
    std::string busiestRelay()
    {
        std::string result;
        std::uint64_t most = 0;
        for (const auto& name : cluster.memberNames()) {
            const std::uint64_t calls = cluster.member(name).node.workerRelay().calls();
            if (name != owner() && calls > most) {
                most = calls;
                result = name;
            }
        }
        return result;
    }
    std::size_t leasesExpired() const
    {
        const auto& starts = cluster.workers.starts();
        return static_cast<std::size_t>(std::count_if(
            starts.begin(), starts.end(), [](const auto& start) { return start.end == EndKind::LeaseExpired; }));
    }

    JobCluster cluster;
};

/** @brief Records polls. Nothing answers them. */
class SilentWorkers final : public WorkerPort {
public:
    std::vector<PollRequest> polls;

    void start(const WorkerTarget&, const StartOrder&, Duration, std::function<void(OrderResult)>) override { }
    void stop(const WorkerTarget&, const StopOrder&, Duration, std::function<void(OrderResult)>) override { }
    void pace(const WorkerTarget&, const PaceOrder&, Duration, std::function<void(OrderResult)>) override { }
    void poll(const WorkerTarget&, const PollRequest& request, Duration, std::function<void(PollResult)>) override
    {
        polls.push_back(request);
    }
};

class SilentMembers final : public MemberPort {
public:
    MemberConnection connect(const std::string&, std::uint16_t) override { return 0; }
    void send(MemberConnection, const MemberMessage&) override { }
    void close(MemberConnection) override { }
};

std::vector<RelayCandidate> threeRelays()
{
    return { { 1, "a", "dc1", 0.5 }, { 2, "b", "dc1", 0.5 }, { 3, "c", "dc2", 0.5 } };
}

} // namespace

TEST_CASE("a relay in the worker's data centre is preferred, and small VMs are left out", "[relay]")
{
    const auto relays = threeRelays();
    CHECK(selectRelay(WorkerId("w"), "dc2", relays) == 3);
    for (int i = 0; i < 50; ++i)
        CHECK(selectRelay(WorkerId("w" + std::to_string(i)), "dc1", relays) != 3);
    CHECK(selectRelay(WorkerId("w"), "dc3", relays).has_value());
    CHECK(selectRelay(WorkerId("w"), "dc2", { { 1, "a", "dc1", 0.5 }, { 2, "b", "dc2", 0.12 } }) == 1);
    CHECK_FALSE(selectRelay(WorkerId("w"), "dc1", {}).has_value());
}

TEST_CASE("when a relay goes, only its own workers move", "[relay]")
{
    const auto all = threeRelays();
    const std::vector<RelayCandidate> rest { all[0], all[2] };
    int moved = 0;
    for (int i = 0; i < 300; ++i) {
        const WorkerId worker("w" + std::to_string(i));
        const auto before = selectRelay(worker, {}, all);
        if (before == 2)
            ++moved;
        else
            CHECK(selectRelay(worker, {}, rest) == before);
    }
    CHECK(moved > 60);
    CHECK(moved < 140);
}

TEST_CASE("the members talk to the workers of a large fleet, and the owner to none", "[relay]")
{
    RelayCluster relays(3, 6);
    JobCluster& cluster = relays.cluster;
    const std::string owner = relays.owner();
    const std::size_t before = cluster.member(owner).workers.starts;
    REQUIRE(cluster.submit("m0", "urgent", 1, { .payload = {}, .steps = { simpleStep(12, 1000) } }));
    CHECK(cluster.waitForState(1, "urgent", JobState::Completed, seconds(5)));
    CHECK(cluster.member(owner).workers.starts == before);
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("the owner talks to a small fleet, and to any fleet while it is alone", "[relay]")
{
    JobCluster small(3);
    small.addWorker("w0", 8000);
    small.advance(seconds(3));
    REQUIRE(small.submit("m0", "urgent", 1, { .payload = {}, .steps = { simpleStep(2, 1000) } }));
    CHECK(small.waitForState(1, "urgent", JobState::Completed, seconds(5)));
    CHECK(small.member(*small.owner()).workers.starts == 2);
    RelayCluster alone(1, 2);
    REQUIRE(alone.cluster.submit("m0", "urgent", 1, { .payload = {}, .steps = { simpleStep(2, 1000) } }));
    CHECK(alone.cluster.waitForState(1, "urgent", JobState::Completed, seconds(5)));
}

TEST_CASE("a poll made again after its relay was lost acknowledges no ends and grants no lease", "[relay]")
{
    // The worker may have restarted since: its ends are then numbered anew, and its clock shows other times.
    ManualRuntime runtime(1);
    SilentWorkers direct;
    SilentMembers members;
    RecordingLog log;
    RelayedWorkers workers(runtime, direct, members, log, { .maxDirectWorkers = 0 });
    workers.setWorkerCount([] { return std::size_t(1); });
    workers.addMember(7, "m1", 1);
    workers.received(7, RelayOffer { "dc1", 0 });
    const PollRequest request { .epoch = 4, .acknowledged = 57, .leaseUntilMs = 486000, .wait = milliseconds(800) };
    workers.poll({ WorkerId("w0"), "w0:80", "dc1" }, request, seconds(1), [](const PollResult&) {});
    REQUIRE(direct.polls.empty());
    workers.removeMember(7);
    REQUIRE(direct.polls.size() == 1);
    CHECK(direct.polls.front() == PollRequest { .epoch = 4, .acknowledged = 0, .leaseUntilMs = {}, .wait = {} });
}

TEST_CASE("no lease of a healthy worker expires when its relay is killed", "[relay]")
{
    RelayCluster relays(3, 6);
    JobCluster& cluster = relays.cluster;
    cluster.workers.runTime = [](const TaskKey&) { return seconds(12); };
    REQUIRE(cluster.submit("m0", "batch", 1, { .payload = {}, .steps = { simpleStep(12, 1000) } }));
    cluster.advance(seconds(1));
    REQUIRE(cluster.workers.running() == 12);
    cluster.kill(relays.busiestRelay());
    cluster.advance(milliseconds(300));
    const std::size_t polls = cluster.member(relays.owner()).node.relayedWorkers().counters().repeatedPolls;
    CHECK(polls > 0);
    CHECK(cluster.waitForState(1, "batch", JobState::Completed, seconds(15)));
    CHECK(relays.leasesExpired() == 0);
    CHECK(cluster.workers.starts().size() == 12);
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("a frozen relay is replaced, and sends no outdated order when it wakes", "[relay]")
{
    RelayCluster relays(3, 6);
    JobCluster& cluster = relays.cluster;
    cluster.workers.runTime = [](const TaskKey&) { return seconds(3); };
    const std::string relay = relays.busiestRelay();
    REQUIRE(cluster.submit("m0", "batch", 1, { .payload = {}, .steps = { simpleStep(12, 1000) } }));
    cluster.advance(milliseconds(200));
    cluster.member(relay).runtime.pause();
    const std::size_t startsBefore = cluster.member(relay).workers.starts;
    // Orders are under way to the relay when it freezes, and they time out.
    REQUIRE(cluster.submit(relays.owner(), "urgent", 2, { .payload = {}, .steps = { simpleStep(18, 1000) } }));
    cluster.advance(seconds(9));
    CHECK(cluster.workers.startsOf({ JobId(jobName(2)), 0, 0, 0 }) == 1);
    cluster.member(relay).runtime.resume();
    cluster.advance(milliseconds(50));
    CHECK(cluster.member(relay).workers.starts == startsBefore);
    CHECK(cluster.member(relay).node.workerRelay().expiredCalls() > 0);
    CHECK(cluster.waitForState(2, "urgent", JobState::Completed, seconds(15)));
    CHECK(relays.leasesExpired() == 0);
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("a relay that falls silent is replaced within 1.3 s although no order is under way", "[relay]")
{
    RelayCluster relays(3, 6);
    JobCluster& cluster = relays.cluster;
    cluster.member(relays.busiestRelay()).runtime.pause();
    cluster.advance(milliseconds(1300));
    const auto& counters = cluster.member(relays.owner()).node.relayedWorkers().counters();
    CHECK(counters.silences == 1);
    CHECK(counters.repeatedPolls > 0);
}

TEST_CASE("a worker that its relay cannot reach is called directly", "[relay]")
{
    RelayCluster relays(3, 6);
    JobCluster& cluster = relays.cluster;
    cluster.workers.runTime = [](const TaskKey&) { return seconds(10); };
    REQUIRE(cluster.submit("m0", "batch", 1, { .payload = {}, .steps = { simpleStep(12, 1000) } }));
    cluster.advance(seconds(1));
    cluster.member(relays.busiestRelay()).workers.isCutOff = [](const std::string&) { return true; };
    CHECK(cluster.waitForState(1, "batch", JobState::Completed, seconds(15)));
    CHECK(relays.leasesExpired() == 0);
    CHECK(cluster.workers.starts().size() == 12);
}

TEST_CASE("the next owner finds all running tasks through its relays", "[relay]")
{
    RelayCluster relays(4, 8);
    JobCluster& cluster = relays.cluster;
    cluster.workers.runTime = [](const TaskKey&) { return seconds(6); };
    REQUIRE(cluster.submit("m0", "batch", 1, { .payload = {}, .steps = { simpleStep(16, 1000) } }));
    cluster.advance(seconds(1));
    cluster.kill(relays.owner());
    CHECK(cluster.waitForState(1, "batch", JobState::Completed, seconds(12)));
    CHECK(cluster.workers.starts().size() == 16);
    CHECK(cluster.workers.violations().empty());
}

TEST_CASE("under freezes, kills and cut paths no task runs twice and all jobs complete", "[relay][property]")
{
    const bool holds = rc::check("relays under faults", [] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1000000);
        RelayCluster relays(5, 8, seed);
        JobCluster& cluster = relays.cluster;
        cluster.workers.runTime = [](const TaskKey& task) { return milliseconds(300 + 170 * (task.index % 7)); };
        int orders = 0;
        cluster.workers.startFault = [&orders](const std::string&) {
            ++orders;
            if (orders % 23 == 0)
                return FakeJobWorkers::OrderFault::Late;
            return orders % 17 == 0 ? FakeJobWorkers::OrderFault::AnswerLost : FakeJobWorkers::OrderFault::None;
        };
        std::uint64_t job = 0;
        for (int round = 0; round < 6; ++round) {
            const auto names = cluster.memberNames();
            const std::string name = names[*rc::gen::inRange<std::size_t>(0, names.size())];
            auto& member = cluster.member(name);
            switch (*rc::gen::inRange(0, 4)) {
            case 0:
                member.runtime.pause();
                break;
            case 1:
                if (names.size() > 3)
                    cluster.kill(name);
                break;
            case 2: {
                const int remainder = *rc::gen::inRange(0, 3);
                member.workers.isCutOff
                    = [remainder](const std::string& worker) { return std::stoi(worker.substr(1)) % 3 == remainder; };
                break;
            }
            default:
                cluster.startMember("n" + std::to_string(round));
            }
            ++job;
            const std::string body = "body-" + std::to_string(job);
            cluster.submissions.specs[body]
                = { .payload = {}, .steps = { simpleStep(6, 1000), simpleStep(3, 1000, { 0 }) } };
            for (const auto& entry : cluster.memberNames()) {
                if (!cluster.member(entry).runtime.isPaused())
                    (void)cluster.call(entry, CallVerb::Submit, "/urgent/" + jobName(job), body);
            }
            cluster.advance(milliseconds(*rc::gen::inRange(100, 3000)));
            for (const auto& entry : cluster.memberNames()) {
                if (*rc::gen::inRange(0, 2) == 0)
                    cluster.member(entry).runtime.resume();
            }
        }
        for (const auto& entry : cluster.memberNames()) {
            cluster.member(entry).runtime.resume();
            cluster.member(entry).workers.isCutOff = [](const std::string&) { return false; };
        }
        for (std::uint64_t n = 1; n <= job; ++n) {
            for (const auto& entry : cluster.memberNames())
                (void)cluster.call(entry, CallVerb::Submit, "/urgent/" + jobName(n), "body-" + std::to_string(n));
        }
        cluster.advance(seconds(12));
        for (std::uint64_t n = 1; n <= job; ++n) {
            for (const auto& entry : cluster.memberNames())
                (void)cluster.call(entry, CallVerb::Submit, "/urgent/" + jobName(n), "body-" + std::to_string(n));
            RC_ASSERT(cluster.waitForState(n, "urgent", JobState::Completed, seconds(30)));
        }
        RC_ASSERT(cluster.workers.violations().empty());
    });
    CHECK(holds);
}
