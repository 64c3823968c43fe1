// cereal serialization functions for jobs, their records and the messages between members.
#pragma once

#include "../jobs/JobRecord.h"
#include "../jobs/MemberMessages.h"
#include "Serialization.h"

#include <cereal/types/chrono.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

namespace lycheeledge::jobs {

template <typename Archive> void serialize(Archive& archive, StepSpec& value)
{
    archive(value.taskCount, value.request, value.estimatedRunTime, value.after, value.requiredLabel,
        value.preferredRack, value.image, value.maxTasksPerWorker, value.maxUnavailable, value.latencyTarget,
        value.checkpoints, value.gang, value.sameRack, value.speculative, value.longRunning, value.usesIdleCpu);
}

template <typename Archive> void serialize(Archive& archive, JobSpec& value)
{
    archive(value.payload, value.steps, value.repetitions, value.firstDueUnixMs, value.intervalMs);
}

// The flag is omitted if it is false, so that such records keep the form that earlier builds read and write.
template <typename Archive> void serialize(Archive& archive, SubmissionRecord& value)
{
    archive(value.account, value.queue, value.spec, value.acceptedUnixMs);
    bool hasFlag = value.beyondRate;
    if constexpr (Archive::is_loading::value)
        hasFlag = !archive.atEnd();
    if (hasFlag)
        archive(value.beyondRate);
}

template <typename Archive> void serialize(Archive& archive, TaskProgress& value)
{
    archive(value.index, value.done, value.failedRuns, value.checkpoint);
}

template <typename Archive> void serialize(Archive& archive, StepProgress& value)
{
    archive(value.failedGangRuns, value.allDone, value.tasks);
}

template <typename Archive> void serialize(Archive& archive, OccurrenceProgress& value)
{
    archive(value.occurrence, value.steps);
}

template <typename Archive> void serialize(Archive& archive, CrashCount& value)
{
    archive(value.occurrence, value.step, value.index, value.crashes, value.interruptions);
}

template <typename Archive> void serialize(Archive& archive, CrashTally& value)
{
    archive(value.occurrence, value.step, value.index, value.crashes, value.unexplainedLosses, value.interruptions);
}

template <typename Archive> void serialize(Archive& archive, DoneTasks& value)
{
    archive(value.occurrence, value.step, value.bits);
}

template <typename Archive> void serialize(Archive& archive, RunPlacement& value)
{
    archive(value.occurrence, value.step, value.index, value.run, value.worker);
}

template <typename Archive> void serialize(Archive& archive, RunUsage& value)
{
    archive(value.reserved, value.charged);
}

// Trailing fields are omitted from the last one that is empty on. Records of jobs under which no worker crashed, that
// ended without runs, and that have neither long-running nor many tasks keep the form that earlier builds read and
// write.
template <typename Archive> void serialize(Archive& archive, ProgressRecord& value)
{
    archive(value.state, value.account, value.queue, value.endedUnixMs, value.nextOccurrence, value.open);
    bool hasCrashTallies = !value.crashTallies.empty();
    bool hasDoneTasks = hasCrashTallies || !value.doneTasks.empty();
    bool hasPlacements = hasDoneTasks || !value.placements.empty();
    bool hasRunsAtEnd = hasPlacements || value.runsAtEnd != RunUsage {};
    bool hasCrashCounts = hasRunsAtEnd || !value.crashCounts.empty();
    if constexpr (Archive::is_loading::value)
        hasCrashCounts = !archive.atEnd();
    if (hasCrashCounts)
        archive(value.crashCounts);
    if constexpr (Archive::is_loading::value)
        hasRunsAtEnd = !archive.atEnd();
    if (hasRunsAtEnd)
        archive(value.runsAtEnd);
    if constexpr (Archive::is_loading::value)
        hasPlacements = !archive.atEnd();
    if (hasPlacements)
        archive(value.placements);
    if constexpr (Archive::is_loading::value)
        hasDoneTasks = !archive.atEnd();
    if (hasDoneTasks)
        archive(value.doneTasks);
    if constexpr (Archive::is_loading::value)
        hasCrashTallies = !archive.atEnd();
    if (hasCrashTallies)
        archive(value.crashTallies);
}

// The capacities are in a record of their own.
template <typename Archive> void serialize(Archive& archive, KnownWorker& value) { archive(value.id, value.address); }

template <typename Archive> void serialize(Archive& archive, WorkerSetRecord& value) { archive(value.workers); }

template <typename Archive> void serialize(Archive& archive, StepKey& value)
{
    archive(value.job, value.occurrence, value.step);
}

template <typename Archive> void serialize(Archive& archive, ClientCall& value)
{
    archive(value.verb, value.host, value.path, value.key, value.timeoutMs, value.body);
}

template <typename Archive> void serialize(Archive& archive, ClientReply& value)
{
    archive(value.kind, value.state, value.count, value.retryAfterS, value.reason);
}

template <typename Archive> void serialize(Archive& archive, AdmissionRequest& value)
{
    archive(value.step, value.workers);
}

template <typename Archive> void serialize(Archive& archive, AdmissionGrant& value)
{
    archive(value.worker, value.ticket);
}

template <typename Archive> void serialize(Archive& archive, Handshake& value)
{
    archive(value.member, value.cpuShare);
}

template <typename Archive> void serialize(Archive& archive, OwnerStatus& value)
{
    archive(value.epoch, value.active, value.largestCpuShare);
}

template <typename Archive> void serialize(Archive& archive, CallMessage& value) { archive(value.id, value.call); }

template <typename Archive> void serialize(Archive& archive, CallReply& value) { archive(value.id, value.reply); }

template <typename Archive> void serialize(Archive& archive, AdmissionMessage& value)
{
    archive(value.id, value.request, value.timeoutMs);
}

template <typename Archive> void serialize(Archive& archive, AdmissionReply& value)
{
    archive(value.id, value.answered, value.grants, value.error);
}

template <typename Archive> void serialize(Archive& archive, Ping& value) { archive(value.number, value.reply); }

template <typename Archive> void serialize(Archive& archive, TaskKey& value)
{
    archive(value.job, value.occurrence, value.step, value.index);
}

template <typename Archive> void serialize(Archive& archive, RunKey& value) { archive(value.task, value.run); }

// The data centre only selects the way of a call, so it is not sent.
template <typename Archive> void serialize(Archive& archive, WorkerTarget& value) { archive(value.id, value.address); }

template <typename Archive> void serialize(Archive& archive, StartOrder& value)
{
    archive(value.task, value.run, value.payload, value.checkpoint, value.ticket, value.epoch, value.leaseUntilMs);
}

template <typename Archive> void serialize(Archive& archive, StopOrder& value)
{
    archive(value.task, value.run, value.epoch);
}

template <typename Archive> void serialize(Archive& archive, PaceOrder& value)
{
    archive(value.task, value.run, value.percent, value.epoch);
}

template <typename Archive> void serialize(Archive& archive, PollRequest& value)
{
    archive(value.epoch, value.acknowledged, value.leaseUntilMs, value.wait);
}

template <typename Archive> void serialize(Archive& archive, RunningTask& value)
{
    archive(value.run, value.checkpoint, value.progressPercent, value.usage);
}

template <typename Archive> void serialize(Archive& archive, EndedTask& value)
{
    archive(value.sequence, value.run, value.kind, value.checkpoint);
}

template <typename Archive> void serialize(Archive& archive, PollReport& value)
{
    archive(value.clockMs, value.incarnationStartUnixMs, value.running, value.ended);
}

template <typename Archive> void serialize(Archive& archive, HandoverRequest& value) { archive(value.epoch); }

template <typename Archive> void serialize(Archive& archive, RelayOffer& value)
{
    archive(value.dataCentre, value.memberClockMs);
}

template <typename Archive> void serialize(Archive& archive, WorkerCall& value)
{
    archive(value.id, value.target, value.timeoutMs, value.request);
}

template <typename Archive> void serialize(Archive& archive, WorkerCallBatch& value)
{
    archive(value.memberClockMs, value.heldMs, value.calls);
}

template <typename Archive> void serialize(Archive& archive, WorkerReply& value)
{
    archive(value.id, value.outcome, value.hasClock, value.clockMs, value.report);
}

template <typename Archive> void serialize(Archive& archive, WorkerReplyBatch& value)
{
    archive(value.memberClockMs, value.replies);
}

} // namespace lycheeledge::jobs
