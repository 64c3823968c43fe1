// Simulations of whole cells with faults, in which a task must never run on two workers at once.

#include "support/FixedSeed.h"
#include "support/ManualRuntime.h"
#include "support/SimulatedMember.h"

#include <absl/strings/str_join.h>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <array>
#include <map>
#include <memory>

using namespace lycheeledge;
using namespace lycheeledge::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int taskCount = 8;

/** @brief A cell of three members and five workers. Records a violation when a task runs on two workers at once. */
struct Cell {
    ManualRuntime clock;
    FakeOwnershipStore store { clock };
    FakeFleet fleet;
    TaskObserver observer;
    std::vector<std::unique_ptr<SimulatedMember>> members;
    std::vector<std::size_t> alive { 0, 1, 2 }; ///< indexes of the members whose process has not died
    std::map<int, std::set<VmId>> running;
    int starts = 0;
    std::vector<std::string> violations;

    Cell()
    {
        observer.began = [this](const VmId& worker, const TaskId& task) { taskStarted(worker, task); };
        observer.ended = [this](const VmId& worker, const TaskId& task) { running[numberOf(task)].erase(worker); };
        for (int n = 1; n <= 5; ++n)
            fleet.add(clock, absl::StrCat("w", n), &observer);
        for (std::size_t n = 0; n < alive.size(); ++n)
            addMember();
        clock.advance(seconds(5));
    }

    static int numberOf(const TaskId& task) { return std::stoi(task.work.request.value().substr(1)); }

    void taskStarted(const VmId& worker, const TaskId& task)
    {
        ++starts;
        auto& workers = running[numberOf(task)];
        if (!workers.empty())
            violations.push_back(absl::StrCat("task ", numberOf(task), " run ", task.run, " starts on ", worker.value(),
                " while it runs on ", workers.begin()->value()));
        workers.insert(worker);
    }

    void addMember()
    {
        members.push_back(std::make_unique<SimulatedMember>(
            clock, store, fleet, members, absl::StrCat("m", members.size()), taskCount));
    }

    SimulatedMember& member(int n) { return *members[alive[static_cast<std::size_t>(n) % alive.size()]]; }
    SimulatedMember* activeMember()
    {
        for (const std::size_t n : alive) {
            if (members[n]->isActive())
                return members[n].get();
        }
        return nullptr;
    }
    /** @brief Member to apply a fault to: mostly the active one, if any. */
    SimulatedMember& target(int n) { return n % 3 != 0 && activeMember() ? *activeMember() : member(n); }

    /** @brief Kills a process and starts a replacement. The object stays, since messages may still be in flight. */
    void replaceMember(int n)
    {
        const std::size_t slot = static_cast<std::size_t>(n) % alive.size();
        members[alive[slot]]->runtime.pause();
        alive[slot] = members.size();
        addMember();
    }

    void pause(SimulatedMember& member, Duration duration)
    {
        member.runtime.pause();
        clock.after(duration, [this, &member] {
            if (std::any_of(alive.begin(), alive.end(), [&](std::size_t n) { return members[n].get() == &member; }))
                member.runtime.resume();
        });
    }

    void clearFaults()
    {
        store.isDown = false;
        for (const std::size_t n : alive) {
            members[n]->runtime.resume();
            members[n]->store.isDisconnected = false;
            members[n]->store.faults.clear();
            for (const auto& [worker, unused] : fleet.workers)
                members[n]->gateway.link(worker.value()) = {};
        }
    }

    bool allRunOnce() const
    {
        int count = 0;
        for (const auto& [task, workers] : running)
            count += workers.size() == 1 ? 1 : 0;
        return count == taskCount;
    }
};

/** @brief Applies one fault. `subject` selects the member, `strength` the worker, duration or variant. */
void applyFault(Cell& cell, int kind, int subject, int strength)
{
    SimulatedMember& member = cell.target(subject);
    const std::string worker = absl::StrCat("w", 1 + strength % 5);
    FakeLink& link = member.gateway.link(worker);
    switch (kind) {
    case 0:
        return cell.pause(member, milliseconds(200 * strength));
    case 1:
        member.gateway.pauseBeforeStart = [&cell, &member, strength] {
            const Duration pause = milliseconds(200 * strength);
            cell.pause(member, pause);
            return pause;
        };
        return;
    case 2:
        link.isDisconnected = !link.isDisconnected;
        return;
    case 3:
        link.losesResponses = !link.losesResponses;
        return;
    case 4:
        link.delay = milliseconds(9 * strength);
        return;
    case 5:
        member.store.isDisconnected = !member.store.isDisconnected;
        return;
    case 6:
        cell.store.isDown = !cell.store.isDown;
        return;
    case 7:
        member.store.faults.push_back(static_cast<CommitFault>(strength % 4));
        return;
    case 8:
        if (strength % 4 == 0)
            cell.fleet.at(worker).restart();
        return;
    case 9:
        if (strength % 4 == 0)
            cell.replaceMember(subject);
        return;
    case 10:
        for (const int n : { 1, 2, 3 }) {
            if (strength % 4 == n)
                cell.clearFaults();
        }
        return;
    case 11: // the member is paused, and the others cannot reach one worker that it reaches
        for (const std::size_t n : cell.alive)
            cell.members[n]->gateway.link(worker).isDisconnected = cell.members[n].get() != &member;
        return cell.pause(member, milliseconds(400 * strength));
    default: // the member is disconnected from two workers, which subject successor may reach
        for (const int n : { strength, strength + 1 })
            member.gateway.link(absl::StrCat("w", 1 + n % 5)).isDisconnected = true;
    }
}

} // namespace

TEST_CASE("Eight tasks run in a cell without faults", "[ownership-simulation]")
{
    Cell cell;
    cell.clock.advance(seconds(10));
    CHECK(cell.allRunOnce());
    CHECK(cell.starts == taskCount);
}

TEST_CASE("An owner that cannot reach the store is fenced by the workers", "[ownership-simulation]")
{
    Cell cell;
    cell.clock.advance(seconds(5));
    SimulatedMember& former = *cell.activeMember();
    former.store.isDisconnected = true;
    while (former.isActive())
        cell.clock.advance(milliseconds(10));
    CHECK_FALSE(former.ownership->epoch()); // it resigned without having read the new owner's record
    cell.clock.advance(milliseconds(600));
    REQUIRE(cell.activeMember());
    CHECK(cell.activeMember() != &former);
    CHECK(cell.starts == taskCount);
    CHECK(cell.allRunOnce());
}

TEST_CASE("Store outages do not interrupt or replace the owner", "[ownership-simulation]")
{
    Cell cell;
    cell.clock.advance(seconds(5));
    SimulatedMember& owner = *cell.activeMember();
    for (int outage = 0; outage < 2; ++outage) {
        cell.store.isDown = true;
        cell.clock.advance(seconds(120));
        CHECK(owner.isActive());
        cell.store.isDown = false;
        cell.clock.advance(seconds(20));
    }
    CHECK(owner.isActive());
    CHECK(owner.log.size() == 1);
    CHECK(cell.starts == taskCount);
}

TEST_CASE("A task never runs on two workers at once while owners change", "[ownership-simulation]")
{
    int takeovers = 0;
    int restarts = 0;
    checkWithSeed("faults and takeovers", 20261205, 150, [&] {
        const auto faults = *rc::gen::container<std::vector<std::tuple<int, int, int, int>>>(40,
            rc::gen::tuple(
                rc::gen::inRange(0, 13), rc::gen::inRange(0, 100), rc::gen::inRange(0, 100), rc::gen::inRange(0, 100)));
        Cell cell;
        cell.clock.advance(seconds(5));
        for (const auto& [kind, a, b, wait] : faults) {
            applyFault(cell, kind, a, b);
            cell.clock.advance(milliseconds(wait * 60));
        }
        cell.clearFaults();
        cell.clock.advance(seconds(90));
        RC_ASSERT(absl::StrJoin(cell.violations, "; ").empty());
        RC_ASSERT(static_cast<bool>(cell.activeMember()));
        RC_ASSERT(cell.allRunOnce());
        for (const auto& member : cell.members)
            takeovers += static_cast<int>(member->log.size());
        restarts += cell.starts - taskCount;
    });
    std::cout << "ownership changes: " << takeovers << ", tasks started again: " << restarts << '\n';
    CHECK(takeovers > 100); // fewer would mean that the faults hardly exercise takeovers
    CHECK(restarts > 100);
}

TEST_CASE("A task never runs on two workers at once while workers restart under their ids and owners change",
    "[ownership-simulation]")
{
    int takeovers = 0;
    int restarts = 0;
    checkWithSeed("restarts and takeovers", 20261206, 100, [&] {
        const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int, int>>>(40,
            rc::gen::tuple(
                rc::gen::inRange(0, 12), rc::gen::inRange(0, 100), rc::gen::inRange(0, 100), rc::gen::inRange(0, 100)));
        Cell cell;
        cell.clock.advance(seconds(5));
        for (const auto& [kind, a, b, wait] : steps) {
            constexpr std::array faults { 0, 1, 2, 3, 4, 9, 10,
                11 }; // pauses, cut paths, late orders, deaths of owners
            if (kind < static_cast<int>(faults.size())) {
                applyFault(cell, faults.at(static_cast<std::size_t>(kind)), a, b);
            } else {
                cell.fleet.at(absl::StrCat("w", 1 + b % 5)).restart();
                ++restarts;
            }
            cell.clock.advance(milliseconds(wait * 30));
        }
        cell.clearFaults();
        cell.clock.advance(seconds(90));
        RC_ASSERT(absl::StrJoin(cell.violations, "; ").empty());
        RC_ASSERT(static_cast<bool>(cell.activeMember()));
        RC_ASSERT(cell.allRunOnce());
        for (const auto& member : cell.members)
            takeovers += static_cast<int>(member->log.size());
    });
    std::cout << "ownership changes: " << takeovers << ", restarts of workers: " << restarts << '\n';
    CHECK(takeovers > 100);
    CHECK(restarts > 100);
}
