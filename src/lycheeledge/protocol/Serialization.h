// cereal serialization functions for the value types, the journal records and the messages between entry processes.
#pragma once

#include "../coordination/JobJournal.h"
#include "../coordination/PeerMessages.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <string>

namespace lycheeledge {

template <typename Archive, typename Tag> std::string save_minimal(const Archive&, const StrongId<Tag>& id)
{
    return id.value();
}

template <typename Archive, typename Tag> void load_minimal(const Archive&, StrongId<Tag>& id, const std::string& value)
{
    id = StrongId<Tag>(value);
}

template <typename Archive> void serialize(Archive& archive, Address& value) { archive(value.host, value.port); }

template <typename Archive> void serialize(Archive& archive, WorkId& value) { archive(value.team, value.request); }

template <typename Archive> void serialize(Archive& archive, TaskId& value)
{
    archive(value.work, value.index, value.run);
}

template <typename Archive> void serialize(Archive& archive, Resources& value)
{
    archive(value.milliCpu, value.memoryMb, value.accelerators, value.slots, value.connections);
}

template <typename Archive> void serialize(Archive& archive, WorkSpec& value)
{
    archive(value.id, value.queue, value.kind, value.perTask, value.taskCount, value.gang, value.repeatable,
        value.urgent, value.deadline, value.declaredRunTime, value.preferredZone, value.attempt, value.payload);
}

template <typename Archive> void serialize(Archive& archive, WorkResult& value)
{
    archive(value.id, value.run, value.error, value.message, value.body);
}

template <typename Archive> void serialize(Archive& archive, WorkStatus& value)
{
    archive(value.id, value.kind, value.phase, value.tasksRunning, value.tasksFinished, value.taskCount, value.reason);
}

template <typename Archive> void serialize(Archive& archive, WorkerDescription& value)
{
    archive(value.id, value.address, value.zone, value.rack, value.capacity, value.leaving);
}

template <typename Archive> void serialize(Archive& archive, OwnedCell& value)
{
    archive(value.cell, value.epoch, value.active);
}

template <typename Archive> void serialize(Archive& archive, Gossip& value)
{
    archive(value.member, value.incarnation, value.sequence, value.appliedRevision, value.storeContactAge, value.owned,
        value.stopping, value.silentMembers, value.echoIncarnation, value.echoSequence);
}

template <typename Archive> void serialize(Archive& archive, SubmitMessage& value)
{
    archive(value.call, value.cell, value.spec, value.traceparent);
}

template <typename Archive> void serialize(Archive& archive, SubmitReply& value)
{
    archive(value.call, value.notOwner, value.result);
}

template <typename Archive> void serialize(Archive& archive, CancelMessage& value)
{
    archive(value.call, value.cell, value.work);
}

template <typename Archive> void serialize(Archive& archive, StatusMessage& value)
{
    archive(value.call, value.cell, value.work);
}

template <typename Archive> void serialize(Archive& archive, StatusReply& value)
{
    archive(value.call, value.notOwner, value.found, value.status);
}

template <typename Archive> void serialize(Archive& archive, OverviewMessage& value)
{
    archive(value.call, value.cell);
}

template <typename Archive> void serialize(Archive& archive, OverviewReply& value)
{
    archive(value.call, value.notOwner, value.json);
}

template <typename Archive> void serialize(Archive& archive, JobSubmitted& value) { archive(value.spec); }

template <typename Archive> void serialize(Archive& archive, JobCancelled& value) { archive(value.id); }

template <typename Archive> void serialize(Archive& archive, TaskStarting& value) { archive(value.id); }

template <typename Archive> void serialize(Archive& archive, TaskEnded& value) { archive(value.id, value.succeeded); }

template <typename Archive> void serialize(Archive& archive, JobEnded& value) { archive(value.result); }

template <typename Archive> void serialize(Archive& archive, WorkerJoined& value)
{
    archive(value.worker, value.session);
}

template <typename Archive> void serialize(Archive& archive, WorkerRemoved& value)
{
    archive(value.worker, value.unknownTasks);
}

} // namespace lycheeledge
