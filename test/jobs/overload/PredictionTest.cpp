// Decisions about submissions, without a cluster.

#include <lycheeledge/jobs/overload/RunTimeRatios.h>
#include <lycheeledge/jobs/overload/SubmissionGate.h>

#include <catch2/catch.hpp>

#include <limits>

using namespace lycheeledge;
using namespace lycheeledge::jobs;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint start(seconds(1000));

/** @brief Work that fills a pool of 10 cores for `length`. */
WaitingWork waitingWork(Duration length, const std::string& account = "a", std::uint32_t priority = 0)
{
    WaitingWork result;
    result.priority = priority;
    result.account = AccountId(account);
    result.objective = start + seconds(2);
    result.resultExpiry = start + seconds(6);
    result.remaining = seconds(1);
    Resources all;
    all.milliCpu = 10000;
    result.work = workOf(all, length);
    return result;
}

PoolLoad fullPool()
{
    PoolLoad load;
    load.builtAt = start;
    load.hasReports = true;
    load.capacity.milliCpu = 10000;
    return load;
}

/** @brief A job of one second that is of use for 6 s. */
SubmittedWork submittedJob(const std::string& account = "a", std::uint32_t priority = 0)
{
    SubmittedWork result;
    result.waiting = waitingWork(milliseconds(100), account, priority);
    result.criticalPath = seconds(1);
    result.lastStep = seconds(1);
    result.largestReservation.milliCpu = 1000;
    return result;
}

bool isRefused(const PoolLoad& load, const SubmittedWork& job)
{
    return SubmissionGate::decide(load, job, start, 0).refusal.has_value();
}

Duration predictedWait(const PoolLoad& load, const SubmittedWork& job)
{
    return std::chrono::round<milliseconds>(ServicePrediction(load, start).of(job).wait);
}

AccountBounds weighted(double weight, std::int64_t limit = 0)
{
    AccountBounds result;
    result.weight = weight;
    result.upperLimit.milliCpu = limit;
    return result;
}

} // namespace

TEST_CASE("a job is refused only if its end is over 1.2 times the time of use away", "[jobs][overload]")
{
    // 6 s of use: the limit is a wait of 6.2 s and 1 s of run time.
    PoolLoad load = fullPool();
    load.addWaiting(waitingWork(milliseconds(6150)), weighted(1));
    CHECK_FALSE(isRefused(load, submittedJob()));
    load.addWaiting(waitingWork(milliseconds(100)), weighted(1));
    CHECK(isRefused(load, submittedJob()));
    load.hasReports = false;
    CHECK_FALSE(isRefused(load, submittedJob()));
}

TEST_CASE("nothing is refused while nothing waits or a quarter of the pool is free", "[jobs][overload]")
{
    PoolLoad load = fullPool();
    load.addRunning(load.capacity, seconds(60));
    CHECK_FALSE(isRefused(load, submittedJob()));
    load.addWaiting(waitingWork(seconds(100)), weighted(1));
    CHECK(isRefused(load, submittedJob()));
    load.free.milliCpu = 2500;
    CHECK(isRefused(load, submittedJob())); // only in pieces that are too small
    load.largestFree.milliCpu = 1000;
    CHECK_FALSE(isRefused(load, submittedJob()));
    load.free.milliCpu = 2400;
    CHECK(isRefused(load, submittedJob()));
}

TEST_CASE("the predicted wait follows the scheduling order", "[jobs][overload]")
{
    PoolLoad load = fullPool();
    SECTION("work of a higher priority goes first, also if its result has expired")
    {
        auto expired = waitingWork(seconds(3));
        expired.resultExpiry = start - seconds(100);
        load.addWaiting(expired, weighted(1));
        CHECK(predictedWait(load, submittedJob("a", 1)) == seconds(3));
    }
    SECTION("work of a lower priority and work beyond the rate go later")
    {
        load.addWaiting(waitingWork(seconds(100), "a", 1), weighted(1));
        auto beyond = waitingWork(seconds(100));
        beyond.beyondRate = true;
        load.addWaiting(beyond, weighted(1));
        CHECK(predictedWait(load, submittedJob()) == seconds(0));
    }
    SECTION("work with a later objective goes later")
    {
        auto later = waitingWork(seconds(100));
        later.objective += seconds(1);
        load.addWaiting(later, weighted(1));
        CHECK(predictedWait(load, submittedJob()) == seconds(0));
    }
    SECTION("late work goes later until the job is late, too")
    {
        auto late = waitingWork(seconds(100));
        late.objective = start;
        load.addWaiting(late, weighted(1));
        CHECK(predictedWait(load, submittedJob()) == seconds(0));
        load.addWaiting(waitingWork(milliseconds(1500)), weighted(1));
        CHECK(predictedWait(load, submittedJob()) == milliseconds(101500));
    }
    SECTION("expired work shows that late work is overtaken, unless it expired long ago")
    {
        auto expired = waitingWork(seconds(100));
        expired.resultExpiry = start - seconds(3);
        load.addWaiting(expired, weighted(1));
        CHECK(predictedWait(load, submittedJob()) == seconds(0));
        load.addWaiting(waitingWork(milliseconds(1500)), weighted(1));
        CHECK(predictedWait(load, submittedJob()) == milliseconds(101500));
        load.waiting.front().resultExpiry = start - seconds(32);
        CHECK(predictedWait(load, submittedJob()) == milliseconds(1500));
    }
}

TEST_CASE("the predicted wait follows fair shares and upper limits", "[jobs][overload]")
{
    PoolLoad load = fullPool();
    SECTION("an account waits for its own work at its fair share at most")
    {
        load.addWaiting(waitingWork(seconds(100), "b"), weighted(3));
        load.addWaiting(waitingWork(milliseconds(200), "a"), weighted(1));
        CHECK(predictedWait(load, submittedJob("a")) == milliseconds(800));
    }
    SECTION("an account that has nothing waiting does not wait")
    {
        load.addWaiting(waitingWork(seconds(100), "b"), weighted(3));
        CHECK(predictedWait(load, submittedJob("a")) == seconds(0));
    }
    SECTION("an account waits for its own work at its upper limit at least")
    {
        load.addWaiting(waitingWork(seconds(1), "a"), weighted(1, 2000));
        CHECK(predictedWait(load, submittedJob("a")) == seconds(5));
    }
    SECTION("work that its account's limit holds back leaves capacity to others")
    {
        load.addWaiting(waitingWork(seconds(100), "b"), weighted(1, 5000));
        CHECK(predictedWait(load, submittedJob("a", 1)) == seconds(0));
        load.addWaiting(waitingWork(seconds(1), "c"), weighted(1));
        CHECK(predictedWait(load, submittedJob("a", 1)) == seconds(2));
    }
    SECTION("long tasks that run take only their part of the pool")
    {
        Resources half;
        half.milliCpu = 5000;
        load.addRunning(half, seconds(600));
        load.addWaiting(waitingWork(milliseconds(500), "a"), weighted(1));
        CHECK(predictedWait(load, submittedJob("a")) == seconds(1));
    }
}

TEST_CASE("admission calls ahead are shared by the relays", "[jobs][overload]")
{
    PoolLoad load = fullPool();
    load.admissionRelays = 4;
    load.free = load.capacity;
    load.largestFree = load.capacity;
    auto waiting = waitingWork(milliseconds(1));
    waiting.admissionTime = seconds(2);
    load.addWaiting(waiting, weighted(1));
    auto job = submittedJob();
    CHECK(predictedWait(load, job) == seconds(0)); // its queue has no admission
    job.admission = milliseconds(400);
    CHECK(predictedWait(load, job) == milliseconds(500));
}

TEST_CASE("Retry-After is the time until service and up to half of it more, within 1 to 30 s", "[jobs][overload]")
{
    constexpr auto highest = std::numeric_limits<std::uint64_t>::max();
    CHECK(SubmissionGate::retryAfter(milliseconds(4100), 0) == 5);
    CHECK(SubmissionGate::retryAfter(milliseconds(4000), highest) == 6);
    CHECK(SubmissionGate::retryAfter(milliseconds(1), 0) == 1);
    CHECK(SubmissionGate::retryAfter(seconds(29), highest) == 30);
    CHECK(SubmissionGate::retryAfter(seconds(1000000), 0) == 30);
}

TEST_CASE("run time ratios are known after three runs, bounded, and forgotten after 60 s", "[jobs][overload]")
{
    RunTimeRatios ratios;
    const auto record = [&](const std::string& image, Duration estimate, Duration runTime, int count) {
        for (int i = 0; i < count; ++i)
            ratios.record("pool", image, estimate, { WorkerId("w"), "kind", runTime }, start);
    };
    record("image", seconds(1), seconds(4), 2);
    CHECK(ratios.ratio("pool", "image", start) == 1);
    record("image", seconds(1), seconds(4), 1);
    CHECK(ratios.ratio("pool", "image", start) == Approx(4));
    CHECK(ratios.expected("pool", "image", seconds(2), start) == seconds(8));
    CHECK(ratios.ratio("other", "image", start) == 1);
    CHECK(ratios.ratio("pool", "image", start + seconds(60)) == Approx(4));
    CHECK(ratios.ratio("pool", "image", start + seconds(61)) == 1);
    record("short", seconds(1), milliseconds(1), 3);
    CHECK(ratios.ratio("pool", "short", start) == Approx(0.125));
    record("long", seconds(1), seconds(1000), 3);
    CHECK(ratios.ratio("pool", "long", start) == Approx(8));
    record("zero", Duration::zero(), milliseconds(200), 3);
    CHECK(ratios.ratio("pool", "zero", start) == Approx(2));
    record("huge", std::chrono::hours(1000), seconds(600), 3);
    CHECK(ratios.ratio("pool", "huge", start) == Approx(1));
}

TEST_CASE("run time ratios evict the least recently used key", "[jobs][overload]")
{
    RunTimeRatios ratios;
    const auto record = [&](std::size_t n) {
        for (int i = 0; i < 3; ++i)
            ratios.record("pool", std::to_string(n), seconds(1), { WorkerId("w"), "kind", seconds(2) }, start);
    };
    for (std::size_t n = 0; n < RunTimeRatios::maxKeys; ++n)
        record(n);
    CHECK(ratios.ratio("pool", "0", start) == Approx(2));
    record(1000);
    CHECK(ratios.size() == RunTimeRatios::maxKeys);
    CHECK(ratios.ratio("pool", "0", start) == Approx(2));
    CHECK(ratios.ratio("pool", "1", start) == 1);
}
