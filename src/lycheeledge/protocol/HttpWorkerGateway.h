// Worker protocol over HTTP.
#pragma once

#include "../coordination/WorkerGateway.h"
#include "../transport/HttpClient.h"
#include "CompletionExecutor.h"

#include <chrono>
#include <memory>
#include <string>

namespace lycheeledge {

class UnreadableAnswers;

struct WorkerGatewaySettings {
    std::string scheme = "http";
    std::chrono::milliseconds commandTimeout { 2000 }; ///< for lease, start, stop, checkpoint and throttle
    std::chrono::milliseconds resultTimeout { 5000 }; ///< for each range of a large answer
    std::size_t rangeBytes = 1 << 20;
    std::size_t maxBodyBytes = 64 << 20; ///< larger answers are reported as `DATA_LOSS`

    bool operator==(const WorkerGatewaySettings&) const = default;
};

/**
 * @brief Sends commands to workers.
 *
 * An answer is checked against its length and digest and read again up to 5 times; then its task is reported as failed,
 * with a message that begins with "truncated" and without the answer, so that it does not block later ones. `client`
 * and `executor` must outlive this object, and `executor` must outlive `client`.
 */
class HttpWorkerGateway final : public WorkerGateway {
public:
    HttpWorkerGateway(HttpClient& client, CompletionExecutor& executor, WorkerGatewaySettings settings = {});

    void lease(const WorkerDescription& worker, LeaseRequest request,
        std::function<void(absl::StatusOr<LeaseReport>)> done) override;
    void start(const WorkerDescription& worker, StartCommand command,
        std::function<void(CommandOutcome, std::string message)> done) override;
    void act(const WorkerDescription& worker, TaskAction action, const TaskId& task, Epoch epoch,
        const std::string& session, std::function<void(CommandOutcome, std::string message)> done) override;
    void events(const WorkerDescription& worker, Epoch epoch, const std::string& session, std::uint64_t after,
        Duration wait, std::function<void(absl::StatusOr<WorkerEvents>)> done) override;

private:
    void command(const WorkerDescription& worker, const char* path, std::string body,
        std::function<void(CommandOutcome, std::string message)> done);

    HttpClient& m_client;
    CompletionExecutor& m_executor;
    WorkerGatewaySettings m_settings;
    std::shared_ptr<UnreadableAnswers> m_unreadable; // used on the client's thread
};

} // namespace lycheeledge
