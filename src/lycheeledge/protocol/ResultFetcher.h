// Fetches large task results from a worker in ranges.
#pragma once

#include "../transport/HttpClient.h"
#include "HttpWorkerGateway.h"
#include "WorkerCodec.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lycheeledge {

/**
 * @brief Counts the failed attempts (`DATA_LOSS`) to read each task result. Used only on the client's thread.
 *
 * A worker delivers its task results in order, so a result that can never be read completely would block all later
 * ones. After `maxAttempts` failed attempts its task is reported as failed.
 */
class UnreadableResults {
public:
    static constexpr int maxAttempts = 5;

    /** @return whether `maxAttempts` is reached; the count of the task is reset then. */
    bool recordFailure(const TaskId& task);
    void recordSuccess(const TaskId& task) { m_attempts.erase(task); }

private:
    std::map<TaskId, int> m_attempts;
};

/** @brief Completes a list of finished tasks: fetches pending results one after the other and verifies all of them. */
class ResultFetcher : public std::enable_shared_from_this<ResultFetcher> {
public:
    /** @brief Called once, on the client's thread. Errors: `UNAVAILABLE`, `DEADLINE_EXCEEDED`, `DATA_LOSS`. */
    using Done = std::function<void(absl::StatusOr<std::vector<FinishedTask>>)>;

    /** @param baseUrl of the worker. @param session sent with each request, so that a restarted worker refuses it. */
    ResultFetcher(HttpClient& client, WorkerGatewaySettings settings, std::string baseUrl, std::string session,
        std::shared_ptr<UnreadableResults> unreadable, std::vector<WireFinishedTask> finished, Done done);

    /** @brief Starts fetching. Pending requests hold a reference to this object until `done` has been called. */
    void run();

private:
    absl::Status checkNext() const; // also OK while the result is incomplete
    void fetchRange();
    void handleDataLoss(const absl::Status& status);
    void handleRange(const HttpResult& result);
    void finish(absl::Status status);

    HttpClient& m_client;
    const WorkerGatewaySettings m_settings;
    const std::string m_baseUrl;
    const std::string m_session;
    const std::shared_ptr<UnreadableResults> m_unreadable;
    std::vector<WireFinishedTask> m_finished;
    std::size_t m_next = 0; // index of the first task whose result is not complete
    Done m_done;
};

} // namespace lycheeledge
