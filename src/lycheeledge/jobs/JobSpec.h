// Job submissions: a job consists of ordered steps of one or more tasks each.
#pragma once

#include "../state/Ids.h"
#include "../state/Resources.h"
#include "../state/Time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <numeric>
#include <string>
#include <vector>

namespace lycheeledge::jobs {

using JobId = StrongId<struct JobTag>;
using AccountId = StrongId<struct ClientAccountTag>;
/** @brief Identifies one incarnation of a VM that runs tasks, although a restarted worker may keep its id. */
using WorkerId = StrongId<struct WorkerTag>;

/** @brief Identifies a task by job, occurrence, step and index within the step. */
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

/** @brief Identifies a step of one occurrence of a job. */
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

/** @brief Number of a run of a task. Later runs have higher numbers. */
using RunNumber = std::uint64_t;

/** @brief Identifies one run of one task. */
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

/** @brief One step of a job: a set of equal tasks that become ready at the same time. */
struct StepSpec {
    std::uint32_t taskCount = 1;
    Resources request; ///< of each task
    Duration estimatedRunTime {}; ///< declared by the client; may be inaccurate by a large factor
    std::vector<std::uint32_t> after; ///< earlier steps that this step depends on
    std::string requiredLabel; ///< label that a worker must have; empty: any worker
    std::string preferredRack; ///< rack that holds the data; empty: none
    std::string image; ///< tasks with the same image behave alike
    std::uint32_t maxTasksPerWorker = 0; ///< 0: no limit
    std::uint32_t maxUnavailable = 0; ///< tasks that the scheduler may make unavailable at a time; 0: no limit
    Duration latencyTarget {}; ///< of tasks that serve users; 0: none
    bool checkpoints = false;
    bool gang = false; ///< tasks make progress only while all tasks of the same run exist
    bool sameRack = false;
    bool speculative = false; ///< several runs of a task may exist at the same time
    bool longRunning = false; ///< runs until the job is cancelled
    bool usesIdleCpu = false; ///< uses only idle CPU, which does not count against a worker's capacity

    bool operator==(const StepSpec&) const = default;
};

/** @brief Specification of a job, as submitted. */
struct JobSpec {
    std::string payload; ///< opaque text that each task receives
    std::vector<StepSpec> steps;
    std::uint32_t repetitions = 0; ///< number of scheduled occurrences; 0: the job runs once, immediately
    std::int64_t firstDueUnixMs = 0; ///< due time of occurrence 0
    std::int64_t intervalMs = 0; ///< between due times

    bool operator==(const JobSpec&) const = default;

    bool isScheduled() const { return repetitions > 0; }
    std::uint32_t occurrenceCount() const { return isScheduled() ? repetitions : 1; }
    /** @brief Number of tasks of one occurrence. */
    std::size_t taskCount() const
    {
        return std::accumulate(
            steps.begin(), steps.end(), std::size_t { 0 }, [](auto n, const auto& step) { return n + step.taskCount; });
    }
};

/** @brief Resources that a task reserves on its worker. A task that uses idle CPU reserves no CPU. */
Resources reservationOf(const StepSpec& step);

/** @brief Whether any step runs until the job is cancelled. */
bool isLongRunning(const JobSpec& spec);

/** @brief Length of the critical path through the steps, by estimated run times. */
Duration estimatedCriticalPath(const JobSpec& spec);

} // namespace lycheeledge::jobs
