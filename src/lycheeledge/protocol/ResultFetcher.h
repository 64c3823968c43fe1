// Fetches large answers from a worker in ranges.
#pragma once

#include "../transport/HttpClient.h"
#include "HttpWorkerGateway.h"
#include "WorkerCodec.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lycheeledge {

/** @brief Completes a list of finished tasks: fetches pending answers one after the other and checks all of them. */
class ResultFetcher : public std::enable_shared_from_this<ResultFetcher> {
public:
    /** @brief Called once, on the client's thread. Errors: `UNAVAILABLE`, `DEADLINE_EXCEEDED`, `DATA_LOSS`. */
    using Done = std::function<void(absl::StatusOr<std::vector<FinishedTask>>)>;

    /** @param baseUrl of the worker. @param session sent with each request, so that a restarted worker refuses. */
    ResultFetcher(HttpClient& client, WorkerGatewaySettings settings, std::string baseUrl, std::string session,
        std::vector<WireFinishedTask> finished, Done done);

    /** @brief Begins; the object keeps itself alive until it is done. */
    void run();

private:
    void fetchRange();
    void rangeReceived(const HttpResult& result);
    void finish(absl::Status status);

    HttpClient& m_client;
    const WorkerGatewaySettings m_settings;
    const std::string m_baseUrl;
    const std::string m_session;
    std::vector<WireFinishedTask> m_finished;
    std::size_t m_next = 0; // first task that is not complete
    Done m_done;
};

} // namespace lycheeledge
