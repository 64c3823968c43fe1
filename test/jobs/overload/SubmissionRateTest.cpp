// Token buckets of client accounts, and the order of steps beyond the rate.

#include <lycheeledge/jobs/StepOrder.h>
#include <lycheeledge/jobs/overload/SubmissionRate.h>

#include <catch2/catch.hpp>

#include <limits>

using namespace lycheeledge;
using namespace lycheeledge::jobs;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const AccountId account("a");
const TimePoint start(seconds(100));

/** @brief Number of submissions that find a token, of `count` at the same time. */
int taken(SubmissionRate& rate, double perSecond, TimePoint now, int count = 100)
{
    int result = 0;
    for (int i = 0; i < count; ++i)
        result += rate.take(account, perSecond, now) ? 1 : 0;
    return result;
}

} // namespace

TEST_CASE("a bucket holds one second's worth, at least one token, and refills at the rate", "[rate]")
{
    SubmissionRate rate;
    CHECK(taken(rate, 10, start) == 10);
    CHECK(rate.isExceeded(account, 10, start));
    CHECK(taken(rate, 10, start + milliseconds(250)) == 2);
    CHECK(taken(rate, 10, start + seconds(100)) == 10);
    SubmissionRate fraction;
    CHECK(taken(fraction, 0.1, start) == 1);
    CHECK(taken(fraction, 0.1, start + milliseconds(9990)) == 0);
    CHECK(taken(fraction, 0.1, start + seconds(10)) == 1);
}

TEST_CASE("submissions at exactly the rate all find a token", "[rate]")
{
    // Guards against rounding: 0.1 times 10 refills of 1 s is less than 1.
    SubmissionRate rate;
    CHECK(taken(rate, 0.1, start) == 1);
    for (int i = 1; i <= 1000; ++i) {
        CHECK_FALSE((i % 10 != 0 && rate.take(account, 0.1, start + seconds(i))));
        CHECK((i % 10 != 0 || rate.take(account, 0.1, start + seconds(i))));
    }
}

TEST_CASE("rates that are zero, invalid or huge are bounded", "[rate]")
{
    for (const double none : { 0.0, -1.0, std::numeric_limits<double>::quiet_NaN() }) {
        SubmissionRate rate;
        CHECK(taken(rate, none, start) == 0);
        CHECK(taken(rate, none, start + seconds(1000)) == 0);
    }
    for (const double huge : { 1e9, 1e300, std::numeric_limits<double>::infinity() }) {
        SubmissionRate rate;
        CHECK(taken(rate, huge, start) == 100);
        CHECK(taken(rate, huge, start) == 100);
        CHECK(taken(rate, 1, start) == 1); // the weight is lowered: effective from the next submission
    }
}

TEST_CASE("a clock that steps back refills no time twice", "[rate]")
{
    SubmissionRate rate;
    CHECK(taken(rate, 10, start) == 10);
    CHECK(taken(rate, 10, start - seconds(50)) == 0);
    CHECK(taken(rate, 10, start) == 0);
    CHECK(taken(rate, 10, start + milliseconds(100)) == 1);
}

TEST_CASE("a changed rate is effective from the next submission, and a dropped one returns its token", "[rate]")
{
    SubmissionRate rate;
    CHECK(taken(rate, 2, start) == 2);
    CHECK(taken(rate, 20, start + milliseconds(500)) == 10);
    rate.putBack(account);
    CHECK(taken(rate, 20, start + milliseconds(500)) == 1);
    CHECK(taken(rate, 0, start + seconds(1)) == 0);
    rate.putBack(account); // never over the capacity
    CHECK(taken(rate, 0, start + seconds(1)) == 0);
    CHECK(taken(rate, 20, start + seconds(1)) == 0);
    CHECK(taken(rate, 20, start + seconds(2)) == 20);
    rate.retain({});
    rate.putBack(account);
    CHECK(taken(rate, 20, start + seconds(2)) == 20); // a new account
}

TEST_CASE("a bucket is rebuilt from accept times in any order", "[rate]")
{
    SubmissionRate original;
    SubmissionRate rebuilt;
    std::vector<TimePoint> accepted;
    for (int i = 0; i < 300; ++i) {
        const TimePoint at = start + milliseconds(13 * i);
        if (original.take(account, 10, at))
            accepted.push_back(at);
    }
    for (auto it = accepted.rbegin(); it != accepted.rend(); ++it)
        rebuilt.recover(account, *it);
    const TimePoint now = start + milliseconds(4250);
    CHECK(taken(rebuilt, 10, now) == taken(original, 10, now));
    SubmissionRate ahead; // accept times of a clock that is ahead count as now
    for (int i = 0; i < 300; ++i)
        ahead.recover(account, now + seconds(i));
    CHECK(taken(ahead, 10, now) == 0);
    CHECK(taken(ahead, 10, now + seconds(1)) == 10);
}

TEST_CASE("steps beyond the rate come after all others, in the same order among them", "[rate][order]")
{
    const TimePoint now = start;
    const ObjectiveOrder order(0.2);
    StepUrgency batch { .priority = 5, .objective = now + seconds(10), .resultExpiry = now - seconds(1) };
    batch.accountShare = 1;
    StepUrgency urgent { .priority = 0, .objective = now + seconds(10), .resultExpiry = now + seconds(30) };
    auto surplus = urgent;
    surplus.beyondRate = true;
    CHECK(order.before(batch, surplus, now)); // although it is expired and over its share
    CHECK_FALSE(order.before(surplus, batch, now));
    auto batchSurplus = batch;
    batchSurplus.beyondRate = true;
    CHECK(order.before(surplus, batchSurplus, now));
}
