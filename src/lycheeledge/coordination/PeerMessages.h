// Messages between entry processes.
#pragma once

#include "../state/Ids.h"
#include "../state/Outcome.h"
#include "../state/Work.h"
#include "../state/Worker.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace lycheeledge {

/** @brief Cell that a member owns. */
struct OwnedCell {
    CellId cell;
    Epoch epoch = 0;
    bool active = false; ///< a majority of workers accepted the epoch recently

    bool operator==(const OwnedCell&) const = default;
};

/** @brief Periodic state of a member, sent to all others by datagram. */
struct Gossip {
    MemberId member;
    std::uint64_t incarnation = 0; ///< differs for each start of the process
    std::uint64_t sequence = 0; ///< increases by one with each gossip of an incarnation
    Revision appliedRevision = 0; ///< configuration revision in force at the member
    Duration storeContactAge {}; ///< time since the member's last successful read of the store was issued
    std::vector<OwnedCell> owned;
    bool stopping = false;
    std::uint64_t echoIncarnation = 0; ///< incarnation of the recipient that `echoSequence` belongs to
    std::uint64_t echoSequence = 0; ///< last gossip received from the recipient, which bounds the age of this message
    std::vector<MemberId>
        silentMembers; ///< members of the roster from which the sender has not received gossip recently

    bool operator==(const Gossip&) const = default;
};

/** @brief Submits work to the owner of a cell. A repeated submission joins the first one and gets its result. */
struct SubmitMessage {
    std::uint64_t call = 0; ///< chosen by the sender and echoed in the reply
    CellId cell;
    WorkSpec spec;
    std::string traceparent;

    bool operator==(const SubmitMessage&) const = default;
};

struct SubmitReply {
    std::uint64_t call = 0;
    bool notOwner = false; ///< the receiver does not own the cell and did nothing
    WorkResult result;

    bool operator==(const SubmitReply&) const = default;
};

struct CancelMessage {
    std::uint64_t call = 0;
    CellId cell;
    WorkId work;

    bool operator==(const CancelMessage&) const = default;
};

struct StatusMessage {
    std::uint64_t call = 0;
    CellId cell;
    WorkId work;

    bool operator==(const StatusMessage&) const = default;
};

/** @brief Reply to CancelMessage and StatusMessage. */
struct StatusReply {
    std::uint64_t call = 0;
    bool notOwner = false;
    bool found = false;
    WorkStatus status;

    bool operator==(const StatusReply&) const = default;
};

/** @brief Requests the owner's overview of its cell. */
struct OverviewMessage {
    std::uint64_t call = 0;
    CellId cell;

    bool operator==(const OverviewMessage&) const = default;
};

struct OverviewReply {
    std::uint64_t call = 0;
    bool notOwner = false;
    std::string json;

    bool operator==(const OverviewReply&) const = default;
};

using PeerMessage = std::variant<SubmitMessage, SubmitReply, CancelMessage, StatusMessage, StatusReply, OverviewMessage,
    OverviewReply>;

} // namespace lycheeledge
