// Submissions to a cluster that cannot serve all of them in time.

#include "support/JobClusterHelpers.h"
#include "support/LoadPlay.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace lycheeledge;
using namespace lycheeledge::jobs;
using namespace lycheeledge::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Three times the objective of a job of two steps of 0.5 s: 1.5 x 1 s + 0.3 s.
constexpr Duration usefulTime = milliseconds(5400);

/** @brief Jobs of two steps of two tasks of one core for 0.5 s each; 16 cores serve eight of them a second. */
Load twoStepLoad(Duration interval, Duration length)
{
    Load load;
    load.spec = { .payload = {}, .steps = { simpleStep(2, 1000), simpleStep(2, 1000, { 0 }) } };
    load.interval = interval;
    load.length = length;
    return load;
}

void print(const char* name, const LoadOutcome& outcome)
{
    std::cout << name << ": " << outcome.submitted << " submitted, " << outcome.useful << " useful, " << outcome.failed
              << " failed, " << outcome.refused << " refused, " << outcome.unknown << " unknown, Retry-After "
              << outcome.shortestRetryS << " to " << outcome.longestRetryS << " s\n";
}

LoadOutcome playOverload(JobCluster& cluster)
{
    addWorkers(cluster, 2);
    cluster.advance(seconds(4));
    LoadPlay play(cluster, usefulTime);
    play.add(twoStepLoad(milliseconds(40), seconds(20)));
    play.advance(seconds(30));
    return play.outcome();
}

} // namespace

TEST_CASE("an overload that is accepted as a whole makes most jobs end too late", "[jobs][overload]")
{
    // The loss that the refusal of submissions prevents, at three times the capacity for 20 s.
    JobCluster cluster(1);
    const auto outcome = playOverload(cluster);
    print("accepted as a whole", outcome);
    CHECK(outcome.submitted == 500);
    CHECK(outcome.refused == 0);
    CHECK(outcome.failed > outcome.submitted / 2);
    CHECK(cluster.workers.violations().empty());
}
