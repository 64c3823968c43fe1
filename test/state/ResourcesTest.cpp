// Tests of the arithmetic on resource amounts.

#include <lycheeledge/state/Resources.h>

#include <catch2/catch.hpp>

using namespace lycheeledge;

TEST_CASE("A demand that exceeds one dimension does not fit", "[resources]")
{
    const Resources capacity { 4000, 8192, 1, 8, 64 };
    CHECK(Resources { 4000, 8192, 1, 8, 64 }.fitsIn(capacity));
    CHECK_FALSE(Resources { 1, 1, 2, 1, 1 }.fitsIn(capacity));
    CHECK_FALSE(Resources { 1, 8193, 0, 0, 0 }.fitsIn(capacity));
}

TEST_CASE("The dominant share is the largest quotient and skips empty totals", "[resources]")
{
    const Resources total { 10000, 1000, 0, 10, 0 };
    CHECK(Resources { 1000, 500, 3, 1, 7 }.dominantShare(total) == Approx(0.5));
}

TEST_CASE("Subtracting more than there is shows as negative", "[resources]")
{
    CHECK((Resources { 1, 1, 0, 0, 0 } - Resources { 2, 0, 0, 0, 0 }).hasNegative());
}
