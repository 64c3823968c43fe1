// What a client submits: jobs of ordered steps, each of one or more tasks.
#pragma once

#include "../state/Ids.h"
#include "../state/Resources.h"
#include "../state/Time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace lycheeledge::jobs {

using JobId = StrongId<struct JobTag>;
using AccountId = StrongId<struct ClientAccountTag>;
/** @brief One life of a VM that runs tasks; a restarted worker may keep its id. */
using WorkerId = StrongId<struct WorkerTag>;

/** @brief Names a task: one index of one step of one occurrence of a job. */
struct TaskKey {
    JobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator<=>(const TaskKey&) const = default;
    bool operator==(const TaskKey&) const = default;

    template <typename H> friend H AbslHashValue(H h, const TaskKey& key)
    {
        return H::combine(std::move(h), key.job, key.occurrence, key.step, key.index);
    }
};

/** @brief Names a step of one occurrence of a job. */
struct StepKey {
    JobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;

    auto operator<=>(const StepKey&) const = default;
    bool operator==(const StepKey&) const = default;

    template <typename H> friend H AbslHashValue(H h, const StepKey& key)
    {
        return H::combine(std::move(h), key.job, key.occurrence, key.step);
    }
};

inline StepKey stepOf(const TaskKey& task) { return { task.job, task.occurrence, task.step }; }

/** @brief Number of a start of a task; later starts have higher numbers. */
using RunNumber = std::uint64_t;

/** @brief Identity of one start of one task. */
struct RunKey {
    TaskKey task;
    RunNumber run = 0;

    auto operator<=>(const RunKey&) const = default;
    bool operator==(const RunKey&) const = default;

    template <typename H> friend H AbslHashValue(H h, const RunKey& key)
    {
        return H::combine(std::move(h), key.task, key.run);
    }
};

/** @brief One step of a job: equal tasks that become ready together. */
struct StepSpec {
    std::uint32_t taskCount = 1;
    Resources request; ///< of each task
    Duration estimatedRunTime {}; ///< as declared; may be far off
    std::vector<std::uint32_t> after; ///< earlier steps that must be done first
    std::string requiredLabel; ///< empty: any worker
    std::string preferredRack; ///< rack that holds the data; empty: none
    std::string image; ///< tasks of one image behave alike
    std::uint32_t maxTasksPerWorker = 0; ///< 0: no limit
    std::uint32_t maxUnavailable = 0; ///< tasks that our own actions may keep from work at a time; 0: not stated
    Duration latencyTarget {}; ///< of tasks that serve users; 0: none
    bool checkpoints = false;
    bool gang = false; ///< tasks work only while all of one run are present
    bool sameRack = false;
    bool speculative = false; ///< copies may run side by side
    bool longRunning = false; ///< runs until the job is cancelled
    bool usesIdleCpu = false; ///< its processors do not count against a worker's capacity

    bool operator==(const StepSpec&) const = default;
};

/** @brief A submission. */
struct JobSpec {
    std::string payload; ///< opaque text that each task receives
    std::vector<StepSpec> steps;
    std::uint32_t repetitions = 0; ///< 0: the job runs once, at once
    std::int64_t firstDueUnixMs = 0; ///< of occurrence 0
    std::int64_t intervalMs = 0; ///< between due times

    bool operator==(const JobSpec&) const = default;

    bool isScheduled() const { return repetitions > 0; }
    std::uint32_t occurrenceCount() const { return isScheduled() ? repetitions : 1; }
};

/** @brief Whether any step runs until the job is cancelled. */
bool isLongRunning(const JobSpec& spec);

/** @brief Longest chain of estimated run times through the steps. */
Duration estimatedChain(const JobSpec& spec);

} // namespace lycheeledge::jobs
