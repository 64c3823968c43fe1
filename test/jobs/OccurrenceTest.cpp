// Jobs with many occurrences.

#include "support/JobClusterHelpers.h"

#include <catch2/catch.hpp>

using namespace lycheeledge;
using namespace lycheeledge::jobs;
using namespace lycheeledge::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a job with millions of overdue occurrences does not exhaust its owner", "[jobs]")
{
    JobCluster cluster(0);
    cluster.settings.scheduler.maxOpenTasks = 10;
    cluster.startMember("m0");
    cluster.workers.runTime = [](const TaskKey&) { return milliseconds(100); };
    addWorkers(cluster, 1);
    JobSpec spec { .payload = {}, .steps = { simpleStep(2, 500) } };
    spec.repetitions = 4'000'000'000;
    REQUIRE(cluster.submit("m0", "batch", 1, spec));
    cluster.advance(seconds(2));
    const Job* job = cluster.member("m0").node.session().scheduler().job(JobId(jobName(1)));
    REQUIRE(job != nullptr);
    CHECK(job->open.size() <= 5);
    CHECK(job->nextOccurrence > 20); // occurrences follow as earlier ones end
    CHECK(cluster.workers.violations().empty());
}
