// Messages between the owner and the other members.
#pragma once

#include "AdmissionDispatcher.h"
#include "ClientCall.h"
#include "relay/RelayMessages.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace lycheeledge::jobs {

/** @brief First message that a member sends to the owner. */
struct Handshake {
    std::string member;
    double cpuShare = 1; ///< of its VM, in cores

    bool operator==(const Handshake&) const = default;
};

/** @brief Sent by the owner in response to a Handshake, when it becomes active and when the largest share grows. */
struct OwnerStatus {
    Epoch epoch = 0;
    bool active = false; ///< whether the owner accepts calls
    double largestCpuShare = 0; ///< among the owner and its members, in cores

    bool operator==(const OwnerStatus&) const = default;
};

/** @brief A client's call, forwarded to the owner. */
struct CallMessage {
    std::uint64_t id = 0;
    ClientCall call;

    bool operator==(const CallMessage&) const = default;
};

struct CallReply {
    std::uint64_t id = 0;
    ClientReply reply;

    bool operator==(const CallReply&) const = default;
};

/** @brief Sent by the owner; the member calls the admission service on the owner's behalf. */
struct AdmissionMessage {
    std::uint64_t id = 0;
    AdmissionRequest request;
    std::int64_t timeoutMs = 0;

    bool operator==(const AdmissionMessage&) const = default;
};

struct AdmissionReply {
    std::uint64_t id = 0;
    bool answered = false;
    std::vector<AdmissionGrant> grants; ///< if answered
    std::string error; ///< if not answered

    bool operator==(const AdmissionReply&) const = default;
};

/** @brief Checks that a connection is alive; the receiver replies with the same number. */
struct Ping {
    std::uint64_t number = 0;
    bool reply = false;

    bool operator==(const Ping&) const = default;
};

/**
 * @brief Sent by an owner to which the store does not answer: a member to which it answers shall take over. Such a
 * member returns the message.
 */
struct HandoverRequest {
    Epoch epoch = 0;

    bool operator==(const HandoverRequest&) const = default;
};

// Alternatives are encoded by position, so new ones are added at the end.
using MemberMessage = std::variant<Handshake, OwnerStatus, CallMessage, CallReply, AdmissionMessage, AdmissionReply,
    Ping, RelayOffer, WorkerCallBatch, WorkerReplyBatch, HandoverRequest>;

using MemberConnection = std::uint64_t;

/** @brief Connections to other members. Messages arrive complete and in order, or the connection is closed. */
class MemberPort {
public:
    virtual ~MemberPort() = default;

    virtual MemberConnection connect(const std::string& host, std::uint16_t port) = 0;
    virtual void send(MemberConnection connection, const MemberMessage& message) = 0;
    virtual void close(MemberConnection connection) = 0;
};

/** @brief Called on the coordination thread. */
class MemberListener {
public:
    virtual ~MemberListener() = default;

    virtual void received(MemberConnection connection, const MemberMessage& message) = 0;
    virtual void closed(MemberConnection connection) = 0; ///< also called if the connection could not be opened
};

} // namespace lycheeledge::jobs
