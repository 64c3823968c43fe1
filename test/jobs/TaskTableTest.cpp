// Memory of the tasks of a step.

#include "support/JobClusterHelpers.h"

#include <lycheeledge/jobs/TaskTable.h>

#include <catch2/catch.hpp>

using namespace lycheeledge;
using namespace lycheeledge::jobs;
using namespace lycheeledge::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

using Indices = std::vector<std::uint32_t>;

TEST_CASE("tasks that have not started have no state of their own", "[memory]")
{
    TaskTable tasks(100000);
    CHECK(tasks.size() == 100000);
    CHECK(tasks[99999].phase == TaskPhase::Waiting);
    CHECK(tasks.states().empty());
    REQUIRE(tasks.find(1) != nullptr);
    tasks.find(1)->phase = TaskPhase::Running;
    CHECK(tasks.states().size() == 1);
    CHECK(tasks.untouched() == 99999);
    CHECK(tasks.untouchedTasks(3) == Indices { 0, 2, 3 });
    CHECK(tasks.find(100000) == nullptr);
}

TEST_CASE("done tasks keep no state but that they are done", "[memory]")
{
    TaskTable tasks(20);
    for (std::uint32_t i = 0; i < 10; ++i)
        tasks.find(i)->phase = i < 9 ? TaskPhase::Done : TaskPhase::Running;
    tasks.eraseDone();
    CHECK(tasks.states().size() == 1);
    CHECK(tasks.isDone(8));
    CHECK_FALSE(tasks.isDone(9));
    CHECK(tasks.find(8) == nullptr);
    CHECK(tasks.untouched() == 10);
    CHECK(tasks.untouchedTasks(2) == Indices { 10, 11 });
    CHECK_FALSE(tasks.markDone(8));
    CHECK(tasks.markDone(9));
    CHECK(tasks.markDone(19));
    tasks.eraseDone();
    CHECK(tasks.untouched() == 9);
    CHECK(tasks.untouchedTasks(20).back() == 18);
    tasks.markAllDone();
    CHECK(tasks.untouched() == 0);
    CHECK(tasks.untouchedTasks(20).empty());
}

TEST_CASE("done tasks without state are in the stored progress", "[memory][takeover]")
{
    const std::uint32_t doneTasks = GENERATE(10, 300); // as entries, and as bits
    Job job;
    job.id = JobId(jobName(1));
    job.submission.spec = { .payload = {}, .steps = { simpleStep(1000, 1000) } };
    job.state = JobState::Running;
    Step& step = job.openOccurrence(0, TimePoint(seconds(1))).steps[0];
    for (std::uint32_t i = 0; i < doneTasks; ++i)
        step.tasks.markDone(3 * i);
    step.done = doneTasks;
    step.tasks.find(1)->failedRuns = { 7 };
    Job next;
    next.id = job.id;
    next.submission = job.submission;
    next.restore(job.progress(), TimePoint(seconds(2)));
    const Step& restored = next.open.at(0).steps[0];
    CHECK(restored.done == doneTasks);
    CHECK(restored.tasks.states().size() == 1);
    CHECK(restored.tasks[1].failedRuns == std::vector<RunNumber> { 7 });
    for (std::uint32_t i = 0; i < 1000; ++i)
        REQUIRE(restored.tasks.isDone(i) == (i % 3 == 0 && i < 3 * doneTasks));
}

// Guards against a state for each task of a job that has ended, for as long as its end can be asked for.
TEST_CASE("the tasks of ended jobs take no memory", "[memory]")
{
    JobCluster cluster(1);
    addWorkers(cluster, 2);
    cluster.workers.runTime = [](const TaskKey&) { return milliseconds(100); };
    REQUIRE(cluster.submit("m0", "batch", 1, { .payload = {}, .steps = { simpleStep(40, 1000) } }));
    REQUIRE(cluster.submit("m0", "batch", 2, { .payload = {}, .steps = { simpleStep(1000, 1000) } }));
    REQUIRE(cluster.waitForState(1, "batch", JobState::Completed, seconds(10)));
    const auto cancel = cluster.call("m0", CallVerb::Cancel, "/batch/" + jobName(2));
    cluster.advance(seconds(2));
    REQUIRE(cancel->has_value());
    for (const int n : { 1, 2 }) {
        const Job* job = cluster.member("m0").node.session().scheduler().job(JobId(jobName(n)));
        REQUIRE(job != nullptr);
        CHECK(isFinal(job->storedState));
        CHECK(job->open.empty());
    }
}
