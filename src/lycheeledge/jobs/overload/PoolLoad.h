// Work that a pool has accepted, and the capacity that serves it.
#pragma once

#include "../ClusterConfiguration.h"

#include <map>
#include <string>
#include <vector>

namespace lycheeledge::jobs {

/** @brief Amounts of work: resources multiplied by the seconds for which they are held. */
struct PoolWork {
    double milliCpuSeconds = 0;
    double memoryMbSeconds = 0;
    double acceleratorSeconds = 0;

    bool operator==(const PoolWork&) const = default;

    PoolWork& operator+=(const PoolWork& other);
    /** @brief Seconds for which this work fills the capacity, by the dominant resource. */
    double secondsOn(const Resources& capacity) const;
};

/** @brief Work of `count` tasks that hold `reserved` for `duration`. */
PoolWork workOf(const Resources& reserved, Duration duration, double count = 1);

/** @brief The part of a job that waits, in the terms of the scheduling order. */
struct WaitingWork {
    bool beyondRate = false; ///< ordered after all work within the rate
    std::uint32_t priority = 0;
    AccountId account;
    TimePoint objective;
    TimePoint resultExpiry;
    Duration remaining {}; ///< expected run time of the remaining steps
    PoolWork work; ///< of all tasks that have not started, of later steps too
    Duration admissionTime {}; ///< of the admission calls that its waiting steps still need

    bool operator==(const WaitingWork&) const = default;

    bool isExpired(TimePoint now) const { return now + remaining > resultExpiry; }
    bool isLate(TimePoint now) const { return now + remaining > objective; }
};

/** @brief Tasks that run, with similar times until they end. */
struct RunningWork {
    PoolWork work; ///< until their expected ends
    double seconds = 0; ///< longest time until one of them is expected to end

    bool operator==(const RunningWork&) const = default;
};

/** @brief Properties of a client account that bound what it uses. */
struct AccountBounds {
    double weight = 0; ///< 0: its share is not limited (queues open to all)
    Resources upperLimit; ///< 0 means no limit for a resource

    bool operator==(const AccountBounds&) const = default;
};

/** @brief Load of one pool at one time. Every owner computes the same value from the same jobs and reports. */
struct PoolLoad {
    TimePoint builtAt;
    bool hasReports = false; ///< a worker of the pool has reported to this owner
    Resources capacity; ///< of the workers that take tasks, without what long-running tasks hold
    /// Largest amount of each resource that one of them has.
    Resources largestWorker;
    Resources free; ///< sum over those workers
    Resources largestFree; ///< largest amount of each resource that is free on one of them
    std::size_t admissionRelays = 0;
    std::map<int, RunningWork> running; ///< by the binary logarithm of the time until they end
    std::vector<WaitingWork> waiting;
    std::map<AccountId, AccountBounds> accounts; ///< that have waiting work

    bool operator==(const PoolLoad&) const = default;

    /** @brief Adds a task that runs and is expected to end after `left`. */
    void addRunning(const Resources& reserved, Duration left);
    /** @brief Adds work that waits, and its account. */
    void addWaiting(WaitingWork work, const AccountBounds& account);

    /**
     * @brief Whether the free resources show that work does not wait for them: at least a quarter is free, and a task
     * of this size fits.
     */
    bool hasRoomFor(const Resources& request) const;
};

} // namespace lycheeledge::jobs
