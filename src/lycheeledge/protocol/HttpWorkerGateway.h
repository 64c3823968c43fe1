// HTTP client of the worker protocol.
#pragma once

#include "../coordination/WorkerGateway.h"
#include "../transport/HttpClient.h"
#include "CompletionExecutor.h"

#include <chrono>
#include <memory>
#include <string>

namespace lycheeledge {

class UnreadableResults;

struct WorkerGatewaySettings {
    std::string scheme = "http";
    std::chrono::milliseconds commandTimeout { 2000 }; ///< for lease, start, stop, checkpoint and throttle
    std::chrono::milliseconds resultTimeout { 5000 }; ///< for each range of a large task result
    std::size_t rangeBytes = 1 << 20;
    std::size_t maxBodyBytes = 64 << 20; ///< larger task results are reported as `DATA_LOSS`

    bool operator==(const WorkerGatewaySettings&) const = default;
};

/**
 * @brief Sends commands to workers and receives task results from them.
 *
 * Each task result is checked against its announced length and digest. A result that fails the check is read up to 5
 * times in all; then its task is reported as failed, with a message that begins with "truncated" and an empty result,
 * so that it does not block later results. `client` and `executor` must outlive this object, and `executor` must
 * outlive `client`.
 */
class HttpWorkerGateway final : public WorkerGateway {
public:
    HttpWorkerGateway(HttpClient& client, CompletionExecutor& executor, WorkerGatewaySettings settings = {});

    void lease(const WorkerDescription& worker, LeaseRequest request,
        std::function<void(absl::StatusOr<LeaseReport>)> done) override;
    void start(const WorkerDescription& worker, StartCommand command,
        std::function<void(CommandOutcome, std::string message)> done) override;
    void applyAction(const WorkerDescription& worker, TaskAction action, const TaskId& task, Epoch epoch,
        const std::string& session, std::function<void(CommandOutcome, std::string message)> done) override;
    void events(const WorkerDescription& worker, Epoch epoch, const std::string& session, std::uint64_t after,
        Duration wait, std::function<void(absl::StatusOr<WorkerEvents>)> done) override;

private:
    void sendCommand(const WorkerDescription& worker, const char* path, std::string body,
        std::function<void(CommandOutcome, std::string message)> done);

    HttpClient& m_client;
    CompletionExecutor& m_executor;
    WorkerGatewaySettings m_settings;
    std::shared_ptr<UnreadableResults> m_unreadable; // accessed only on the client's thread
};

} // namespace lycheeledge
