// The set of data centres under evacuation, and the age of the owner's view of it.

#include <lycheeledge/jobs/evacuation/Evacuations.h>
#include <lycheeledge/jobs/evacuation/OperatorView.h>

#include <catch2/catch.hpp>

using namespace lycheeledge;
using namespace lycheeledge::jobs;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("changes that are told twice, late or out of order have no effect", "[evacuation]")
{
    Evacuations evacuations;
    CHECK(evacuations.apply({ "north", 5, true }));
    CHECK_FALSE(evacuations.apply({ "north", 5, true }));
    CHECK_FALSE(evacuations.apply({ "north", 4, false }));
    CHECK_FALSE(evacuations.apply({ "north", 6, true })); // written again
    CHECK(evacuations.contains("north"));
    CHECK(evacuations.apply({ "north", 7, false }));
    CHECK_FALSE(evacuations.apply({ "north", 6, true }));
    CHECK_FALSE(evacuations.contains("north"));
    CHECK(evacuations.size() == 0);
    CHECK_FALSE(evacuations.apply({ "", 9, true })); // a worker without a known data centre
}

TEST_CASE("a list replaces the set, except for what is newer than the list", "[evacuation]")
{
    Evacuations evacuations;
    evacuations.apply({ "north", 5, true });
    evacuations.apply({ "south", 12, true });
    evacuations.apply({ "east", 13, false });
    using Changes = std::vector<EvacuationChange>;
    CHECK(evacuations.replace({ { "west", 8 }, { "east", 9 } }, 10)
        == Changes { { "west", 8, true }, { "north", 10, false } });
    CHECK(evacuations.contains("south"));
    CHECK_FALSE(evacuations.contains("east"));
    // The watch that follows tells of what the list contained already.
    CHECK_FALSE(evacuations.apply({ "north", 5, true }));
    CHECK_FALSE(evacuations.apply({ "north", 10, true }));
    CHECK(evacuations.replace({}, 9).empty());
    CHECK(evacuations.replace({ { "west", 8 } }, 20) == Changes { { "south", 20, false } });
    CHECK(evacuations.size() == 1);
}

TEST_CASE("only listed names are valid if the settings list any", "[evacuation]")
{
    Evacuations evacuations({ "north" });
    CHECK_FALSE(evacuations.apply({ "south", 5, true }));
    CHECK(evacuations.replace({ { "south", 6 }, { "north", 7 } }, 8).size() == 1);
    CHECK_FALSE(evacuations.contains("south"));
}

TEST_CASE("a view is stale only if the store has worked since, and only with a limit", "[evacuation]")
{
    const auto isStale = [](std::optional<Duration> limit, Duration age, Duration confirmed) {
        OperatorView view(limit);
        const TimePoint seen = TimePoint() + seconds(100);
        view.completeUpTo(seen);
        view.completeUpTo(seen - seconds(1));
        return view.isStale(seen + age, seen + confirmed);
    };
    CHECK_FALSE(isStale(seconds(5), milliseconds(3990), milliseconds(3900)));
    CHECK(isStale(seconds(5), milliseconds(4000), milliseconds(2000)));
    CHECK_FALSE(isStale(seconds(5), seconds(60), milliseconds(1900)));
    CHECK_FALSE(isStale(std::nullopt, seconds(60), seconds(59)));
    // A limit of 0 can't be met; starts are not held back for ever.
    CHECK_FALSE(isStale(Duration(), milliseconds(400), milliseconds(400)));
}
