// Tests of the history checker on a right history and on histories that are wrong in each of the eleven ways.

#include <catch2/catch.hpp>

#include <set>
#include <standins/HistoryChecker.h>
#include <string>

using namespace lycheeledge;
using namespace lycheeledge::standin;

namespace {

constexpr Microseconds second = 1'000'000;
const WorkId work { TeamId("t"), RequestId("r") };
const TaskId task { work, 0, 1 };
const VmId worker("w1");
const Resources size { 1000, 100, 0, 1, 1 };

History rightHistory()
{
    return { { 0, WorkerSeen { worker, { 2000, 1000, 0, 2, 8 } } }, { 0, KeyGiven { "k", TeamId("t") } },
        { 0, LimitSet { TeamId("t"), 1 } }, { 10 * second, Submitted { work, false, "k", "a", "digest" } },
        { 11 * second, TaskStarted { task, worker, size } }, { 12 * second, TaskStopped { task, worker } },
        { 13 * second, Answered { work, RunState::Run, ErrorKind::None, "digest", "a", false } } };
}

// Guarantees broken by the right history with further events.
std::set<int> brokenBy(History events, CheckerBounds bounds = {})
{
    History history = rightHistory();
    history.insert(history.end(), events.begin(), events.end());
    std::set<int> broken;
    for (const Violation& violation : HistoryChecker(bounds).check(history)) {
        CHECK_FALSE(violation.evidence.empty());
        broken.insert(violation.guarantee);
    }
    return broken;
}

TaskStarted startOf(const std::string& request, const std::string& vm = "w1", Resources amount = size)
{
    return { { { TeamId("t"), RequestId(request) }, 0, 1 }, VmId(vm), amount };
}

Submitted submission(const std::string& request, const std::string& key = "k", bool repeatable = false)
{
    return { { TeamId("t"), RequestId(request) }, repeatable, key, "a", "digest" };
}

} // namespace

TEST_CASE("A right history has no violation", "[history]") { CHECK(brokenBy({}).empty()); }

TEST_CASE("1: work over the capacity of a VM", "[history]")
{
    CHECK(brokenBy({ { 20 * second, submission("b") }, { 21 * second, startOf("b", "w1", { 3000, 1, 0, 1, 1 }) } })
        == std::set { 1 });
}

TEST_CASE("2: one task in two places", "[history]")
{
    CHECK(brokenBy({ { 20 * second, submission("b", "k", true) }, { 21 * second, startOf("b") },
              { 22 * second, startOf("b", "w2") }, { 0, LimitSet { TeamId("t"), 2 } } })
        == std::set { 2 });
}

TEST_CASE("3: work started with the key of another team", "[history]")
{
    CHECK(brokenBy({ { 0, KeyGiven { "other", TeamId("u") } }, { 20 * second, submission("b", "other") },
              { 21 * second, startOf("b") } })
        == std::set { 3 });
    CHECK(brokenBy(
        { { 0, QueueOpened { TeamId("t") } }, { 20 * second, submission("b", "") }, { 21 * second, startOf("b") } })
              .empty());
}

TEST_CASE("4: work submitted long after its key was withdrawn", "[history]")
{
    CHECK(brokenBy({ { 14 * second, KeyWithdrawn { "k" } }, { 20 * second, submission("b") },
              { 21 * second, startOf("b") } })
        == std::set { 4 });
    CHECK(brokenBy(
        { { 19 * second, KeyWithdrawn { "k" } }, { 20 * second, submission("b") }, { 21 * second, startOf("b") } })
              .empty());
}

TEST_CASE("5: more running than the team's limit", "[history]")
{
    CHECK(brokenBy({ { 20 * second, submission("b") }, { 20 * second, submission("c") }, { 21 * second, startOf("b") },
              { 22 * second, startOf("c", "w2") } })
        == std::set { 5 });
}

TEST_CASE("6: an answer of another request, or a short one", "[history]")
{
    const WorkId b { TeamId("t"), RequestId("b") };
    CHECK(brokenBy({ { 20 * second, submission("b") },
              { 22 * second, Answered { b, RunState::Run, ErrorKind::None, "another", "a", false } } })
        == std::set { 6 });
    CHECK(brokenBy({ { 22 * second, Answered { b, RunState::Run, ErrorKind::None, "", "a", false } } })
        == std::set { 6 });
}

TEST_CASE("7: refused as not run, although it was started before or afterwards", "[history]")
{
    const WorkId b { TeamId("t"), RequestId("b") };
    const Answered refusal { b, RunState::NotRun, ErrorKind::Overloaded, "", "a", false };
    CHECK(brokenBy({ { 20 * second, submission("b") }, { 21 * second, startOf("b") }, { 22 * second, refusal } })
        == std::set { 7 });
    CHECK(brokenBy({ { 20 * second, submission("b") }, { 21 * second, refusal }, { 22 * second, startOf("b") } })
        == std::set { 7 });
    CHECK(brokenBy({ { 20 * second, submission("b") }, { 21 * second, refusal }, { 22 * second, submission("b") },
                       { 23 * second, startOf("b") } })
              .empty());
}

TEST_CASE("8: work that is not repeatable started twice", "[history]")
{
    CHECK(brokenBy({ { 20 * second, TaskStarted { { work, 0, 2 }, worker, size } } }) == std::set { 8 });
}

TEST_CASE("9: new work on a leaving VM", "[history]")
{
    CHECK(brokenBy({ { 14 * second, WorkerLeaving { worker } }, { 20 * second, submission("b") },
              { 21 * second, startOf("b") } })
        == std::set { 9 });
}

TEST_CASE("10: a call cut by a planned stop", "[history]")
{
    const WorkId b { TeamId("t"), RequestId("b") };
    const Answered cut { b, RunState::Unknown, ErrorKind::Truncated, "", "a", true };
    CHECK(brokenBy({ { 20 * second, submission("b") }, { 21 * second, StopRequested { "a" } }, { 22 * second, cut } })
        == std::set { 10 });
    CHECK(brokenBy({ { 20 * second, submission("b") }, { 22 * second, cut } }).empty());
}

TEST_CASE("11: a configuration that reverts, or is not in force in time", "[history]")
{
    CHECK(brokenBy({ { 14 * second, ConfigurationObserved { "a", "team/t", 9 } },
              { 15 * second, ConfigurationObserved { "a", "team/t", 8 } } })
        == std::set { 11 });
    CHECK(brokenBy({ { 14 * second, ConfigurationAcknowledged { "team/t", 9 } },
              { 20 * second, ConfigurationObserved { "b", "team/t", 8 } } })
        == std::set { 11 });
}
