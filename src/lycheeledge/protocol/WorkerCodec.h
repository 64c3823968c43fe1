// JSON form of the worker protocol. Both directions, so that stand-ins and tests can use it.
#pragma once

#include "../coordination/WorkerGateway.h"
#include "../state/Worker.h"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace lycheeledge {

/** @brief Largest answer that is sent inside events and reports; larger ones are fetched by `GET /v1/result`. */
constexpr std::size_t maxInlineBodyBytes = 64 << 10;

/** @brief Finished task as it is sent: with its sequence number, and perhaps without its answer. */
struct WireFinishedTask {
    std::uint64_t sequence = 0;
    bool bodyPending = false; ///< the answer has to be fetched
    bool acknowledged = false; ///< taken over before; the answer is not kept any more
    FinishedTask task;

    bool operator==(const WireFinishedTask&) const = default;
};

/** @brief Lease report as it is sent. `report.finished` is empty; `finished` takes its place. */
struct WireLeaseReport {
    LeaseReport report;
    std::vector<WireFinishedTask> finished;

    bool operator==(const WireLeaseReport&) const = default;
};

struct WireEvents {
    std::vector<WireFinishedTask> finished;
    std::uint64_t lastSequence = 0;

    bool operator==(const WireEvents&) const = default;
};

/** @brief Answer to a command. */
struct CommandAnswer {
    bool accepted = false;
    std::string message;

    bool operator==(const CommandAnswer&) const = default;
};

/** @brief Stop, checkpoint or throttle command. */
struct ActCommand {
    TaskId id;
    Epoch epoch = 0;
    std::string session;

    bool operator==(const ActCommand&) const = default;
};

std::string encodeLeaseRequest(const LeaseRequest& request);
std::string encodeLeaseReport(const WireLeaseReport& report);
std::string encodeStartCommand(const StartCommand& command);
std::string encodeActCommand(const ActCommand& command);
std::string encodeCommandAnswer(const CommandAnswer& answer);
std::string encodeEvents(const WireEvents& events);

// The decoders report malformed input as INVALID_ARGUMENT. Answers whose length or digest does not match are
// reported as DATA_LOSS.

absl::StatusOr<LeaseRequest> decodeLeaseRequest(const std::string& body);
absl::StatusOr<WireLeaseReport> decodeLeaseReport(const std::string& body);
absl::StatusOr<StartCommand> decodeStartCommand(const std::string& body);
absl::StatusOr<ActCommand> decodeActCommand(const std::string& body);
absl::StatusOr<CommandAnswer> decodeCommandAnswer(const std::string& body);
absl::StatusOr<WireEvents> decodeEvents(const std::string& body);

/** @brief Checks an answer against the length and digest announced. Errors: `DATA_LOSS`. */
absl::Status checkBody(const FinishedTask& task);

} // namespace lycheeledge
