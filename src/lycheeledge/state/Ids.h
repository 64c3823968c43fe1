// Identifiers used throughout the library.
#pragma once

#include "StrongId.h"

#include <cstdint>
#include <string>

namespace lycheeledge {

using TeamId = StrongId<struct TeamTag>;
using QueueId = StrongId<struct QueueTag>;
using KeyId = StrongId<struct KeyTag>;
using RequestId = StrongId<struct RequestTag>;
using VmId = StrongId<struct VmTag>;
using ZoneId = StrongId<struct ZoneTag>;
using RackId = StrongId<struct RackTag>;
using CellId = StrongId<struct CellTag>;
using MemberId = StrongId<struct MemberTag>;

/** @brief Ownership epoch of a cell. Incremented by one at each change of owner. */
using Epoch = std::uint64_t;

/** @brief Revision of the platform's store. Totally orders its changes. */
using Revision = std::int64_t;

/** @brief Identifies a work item. The request id is chosen by the caller and unique within its team. */
struct WorkId {
    TeamId team;
    RequestId request;

    auto operator<=>(const WorkId&) const = default;
    bool operator==(const WorkId&) const = default;

    template <typename H> friend H AbslHashValue(H h, const WorkId& id)
    {
        return H::combine(std::move(h), id.team, id.request);
    }
};

/**
 * @brief Identifies one run of a task.
 *
 * (work, index) identifies the task; `run` numbers its starts from 1. Two runs of the same task must never overlap.
 */
struct TaskId {
    WorkId work;
    std::uint32_t index = 0;
    std::uint32_t run = 1;

    auto operator<=>(const TaskId&) const = default;
    bool operator==(const TaskId&) const = default;

    template <typename H> friend H AbslHashValue(H h, const TaskId& id)
    {
        return H::combine(std::move(h), id.work, id.index, id.run);
    }
};

} // namespace lycheeledge
