// Fetches large answers from a worker in ranges.
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
 * @brief Counts attempts to read an answer that ended with `DATA_LOSS`. Used only on the client's thread.
 *
 * A worker delivers its outcomes in order, so that an answer which can never be read whole would block all later ones.
 * After `limit` attempts its task is reported as failed.
 */
class UnreadableAnswers {
public:
    static constexpr int limit = 5;

    /** @return whether the limit is reached; the task is forgotten then. */
    bool failedAgain(const TaskId& task);
    void readWhole(const TaskId& task) { m_attempts.erase(task); }

private:
    std::map<TaskId, int> m_attempts;
};

/** @brief Completes a list of finished tasks: fetches pending answers one after the other and checks all of them. */
class ResultFetcher : public std::enable_shared_from_this<ResultFetcher> {
public:
    /** @brief Called once, on the client's thread. Errors: `UNAVAILABLE`, `DEADLINE_EXCEEDED`, `DATA_LOSS`. */
    using Done = std::function<void(absl::StatusOr<std::vector<FinishedTask>>)>;

    /** @param baseUrl of the worker. @param session sent with each request, so that a restarted worker refuses. */
    ResultFetcher(HttpClient& client, WorkerGatewaySettings settings, std::string baseUrl, std::string session,
        std::shared_ptr<UnreadableAnswers> unreadable, std::vector<WireFinishedTask> finished, Done done);

    /** @brief Begins; the object keeps itself alive until it is done. */
    void run();

private:
    absl::Status checkNext() const; // OK also while ranges are missing
    void fetchRange();
    void dataLost(const absl::Status& status);
    void rangeReceived(const HttpResult& result);
    void finish(absl::Status status);

    HttpClient& m_client;
    const WorkerGatewaySettings m_settings;
    const std::string m_baseUrl;
    const std::string m_session;
    const std::shared_ptr<UnreadableAnswers> m_unreadable;
    std::vector<WireFinishedTask> m_finished;
    std::size_t m_next = 0; // first task that is not complete
    Done m_done;
};

} // namespace lycheeledge
