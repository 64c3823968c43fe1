// Ends are acknowledged to a worker in their order, each after it is stored.

#include <lycheeledge/jobs/EndAcknowledgements.h>

#include <catch2/catch.hpp>

using namespace lycheeledge::jobs;

TEST_CASE("ends stored out of order are acknowledged in order", "[acknowledgements]")
{
    // Under a backlog of commits, a later end may be stored first. Acknowledging it would also forget the earlier
    // ones, which are lost if the owner dies before their commit.
    EndAcknowledgements ends;
    ends.listed(5);
    ends.listed(6);
    ends.listed(9);
    CHECK(ends.stored(6) == 0);
    CHECK(ends.stored(5) == 6);
    CHECK(ends.stored(9) == 9);
}

TEST_CASE("a new life of the worker begins a new count", "[acknowledgements]")
{
    EndAcknowledgements ends;
    ends.listed(5);
    ends.reset();
    ends.listed(1);
    CHECK(ends.stored(5) == 0);
    CHECK(ends.stored(1) == 1);
}
