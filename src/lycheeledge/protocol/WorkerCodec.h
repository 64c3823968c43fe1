// JSON encoding of the worker protocol. Covers both directions, for the worker stand-in and the tests.
#pragma once

#include "../coordination/WorkerGateway.h"
#include "../state/Worker.h"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace lycheeledge {

/** @brief Largest task result that events and reports contain; larger ones are fetched with `GET /v1/result`. */
constexpr std::size_t maxInlineBodyBytes = 64 << 10;

/** @brief Finished task as transmitted: with its sequence number, and without its result if that is large. */
struct WireFinishedTask {
    std::uint64_t sequence = 0;
    bool bodyPending = false; ///< the result has to be fetched with `GET /v1/result`
    bool acknowledged = false; ///< acknowledged earlier; the worker no longer stores the result
    FinishedTask task;

    bool operator==(const WireFinishedTask&) const = default;
};

/** @brief Lease report as transmitted. `report.finished` is empty; `finished` replaces it. */
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

/** @brief Response to a command. */
struct CommandResponse {
    bool accepted = false;
    std::string message;

    bool operator==(const CommandResponse&) const = default;
};

/** @brief Stop, checkpoint or throttle command. */
struct TaskActionCommand {
    TaskId id;
    Epoch epoch = 0;
    std::string session;

    bool operator==(const TaskActionCommand&) const = default;
};

std::string encodeLeaseRequest(const LeaseRequest& request);
std::string encodeLeaseReport(const WireLeaseReport& report);
std::string encodeStartCommand(const StartCommand& command);
std::string encodeTaskActionCommand(const TaskActionCommand& command);
std::string encodeCommandResponse(const CommandResponse& response);
std::string encodeEvents(const WireEvents& events);

// The decoders report malformed input as INVALID_ARGUMENT. They do not verify task results; see verifyTaskResult().

absl::StatusOr<LeaseRequest> decodeLeaseRequest(const std::string& body);
absl::StatusOr<WireLeaseReport> decodeLeaseReport(const std::string& body);
absl::StatusOr<StartCommand> decodeStartCommand(const std::string& body);
absl::StatusOr<TaskActionCommand> decodeTaskActionCommand(const std::string& body);
absl::StatusOr<CommandResponse> decodeCommandResponse(const std::string& body);
absl::StatusOr<WireEvents> decodeEvents(const std::string& body);

/** @brief Verifies a task result against its announced length and digest. Errors: `DATA_LOSS`. */
absl::Status verifyTaskResult(const FinishedTask& task);

} // namespace lycheeledge
