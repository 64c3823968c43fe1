// HTTP client of the worker protocol.

#include "HttpWorkerGateway.h"

#include "../transport/Url.h"
#include "ResultFetcher.h"
#include "WorkerCodec.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <memory>
#include <utility>

namespace lycheeledge {

namespace {

    using std::chrono::milliseconds;

    std::string workerUrl(const WorkerGatewaySettings& settings, const Address& address)
    {
        const bool v6 = absl::StrContains(address.host, ':');
        return absl::StrCat(settings.scheme, "://", v6 ? "[" : "", address.host, v6 ? "]:" : ":", address.port);
    }

    HttpRequest makePost(std::string url, std::string body)
    {
        HttpRequest request;
        request.method = "POST";
        request.target = std::move(url);
        request.headers["content-type"] = "application/json";
        request.body = std::move(body);
        return request;
    }

    /** @brief Status of a lease or events call: OK if the worker responded with HTTP status 200. */
    absl::Status checkResponse(const HttpResult& result)
    {
        if (absl::IsDeadlineExceeded(result.status))
            return absl::DeadlineExceededError(absl::StrCat("worker: ", result.status.message()));
        if (!result.status.ok())
            return absl::UnavailableError(absl::StrCat("worker: ", result.status.message()));
        if (result.response.status != 200)
            return absl::UnavailableError(absl::StrCat(
                "worker answered with status ", result.response.status, ": ", result.response.body.substr(0, 200)));
        return absl::OkStatus();
    }

    absl::Status asUnavailable(const absl::Status& status)
    {
        return absl::UnavailableError(absl::StrCat("worker: ", status.message()));
    }

    /** @brief Whether a response with this HTTP status guarantees that the command was not executed. */
    bool isRefusalStatus(int status)
    {
        switch (status) {
        case 400: // malformed
        case 404: // unknown path
        case 405: // method not allowed
        case 413: // too large
        case 414: // URI too long
        case 431: // header fields too large
            return true;
        default:
            return false;
        }
    }

    std::pair<CommandOutcome, std::string> interpretCommand(const HttpResult& result)
    {
        if (result.notSent)
            return { CommandOutcome::NotDelivered, std::string(result.status.message()) };
        if (!result.status.ok())
            return { CommandOutcome::Unknown, std::string(result.status.message()) };
        const HttpResponse& response = result.response;
        const std::string text = absl::StrCat("status ", response.status, ": ", response.body.substr(0, 200));
        if (isRefusalStatus(response.status))
            return { CommandOutcome::Refused, text };
        if (response.status != 200 && response.status != 409)
            return { CommandOutcome::Unknown, text };
        const auto decoded = decodeCommandResponse(response.body);
        if (!decoded.ok())
            return { CommandOutcome::Unknown, std::string(decoded.status().message()) };
        return { decoded->accepted ? CommandOutcome::Accepted : CommandOutcome::Refused, decoded->message };
    }

    absl::StatusOr<WireLeaseReport> interpretLease(const HttpResult& result, const VmId& worker)
    {
        if (absl::Status status = checkResponse(result); !status.ok())
            return status;
        auto decoded = decodeLeaseReport(result.response.body);
        if (!decoded.ok())
            return asUnavailable(decoded.status());
        // The address of a replaced VM may have been reassigned to another VM.
        if (decoded->report.worker != worker)
            return absl::UnavailableError(absl::StrCat(
                "worker \"", decoded->report.worker.value(), "\" answers at the address of \"", worker.value(), "\""));
        return decoded;
    }

    absl::StatusOr<WireEvents> interpretEvents(const HttpResult& result, std::uint64_t after)
    {
        if (absl::Status status = checkResponse(result); !status.ok())
            return status;
        auto decoded = decodeEvents(result.response.body);
        if (!decoded.ok())
            return asUnavailable(decoded.status());
        if (decoded->lastSequence < after
            || (!decoded->finished.empty() && decoded->finished.front().sequence <= after))
            return absl::UnavailableError("worker: events that were acknowledged before");
        return decoded;
    }

} // namespace

HttpWorkerGateway::HttpWorkerGateway(HttpClient& client, CompletionExecutor& executor, WorkerGatewaySettings settings)
    : m_client(client)
    , m_executor(executor)
    , m_settings(std::move(settings))
    , m_unreadable(std::make_shared<UnreadableResults>())
{
}

void HttpWorkerGateway::lease(
    const WorkerDescription& worker, LeaseRequest request, std::function<void(absl::StatusOr<LeaseReport>)> done)
{
    const std::string url = workerUrl(m_settings, worker.address);
    auto complete = [&executor = m_executor, done = std::move(done)](absl::StatusOr<LeaseReport> report) {
        executor.execute([done, report = std::move(report)]() mutable { done(std::move(report)); });
    };
    m_client.send(makePost(url + "/v1/lease", encodeLeaseRequest(request)), m_settings.commandTimeout,
        [&client = m_client, settings = m_settings, unreadable = m_unreadable, url, id = worker.id, complete](
            const HttpResult& result) {
            auto decoded = interpretLease(result, id);
            if (!decoded.ok()) {
                complete(decoded.status());
                return;
            }
            const std::string session = decoded->report.session;
            auto finished = std::move(decoded->finished);
            auto fetched = [complete, report = std::move(decoded->report)](
                               absl::StatusOr<std::vector<FinishedTask>> tasks) mutable {
                if (!tasks.ok()) {
                    complete(absl::IsDeadlineExceeded(tasks.status()) ? tasks.status() : asUnavailable(tasks.status()));
                    return;
                }
                report.finished = std::move(*tasks);
                complete(std::move(report));
            };
            std::make_shared<ResultFetcher>(
                client, settings, url, session, unreadable, std::move(finished), std::move(fetched))
                ->run();
        });
}

void HttpWorkerGateway::sendCommand(const WorkerDescription& worker, const char* path, std::string body,
    std::function<void(CommandOutcome, std::string message)> done)
{
    m_client.send(makePost(workerUrl(m_settings, worker.address) + path, std::move(body)), m_settings.commandTimeout,
        [&executor = m_executor, done = std::move(done)](const HttpResult& result) {
            executor.execute([done, outcome = interpretCommand(result)] { done(outcome.first, outcome.second); });
        });
}

void HttpWorkerGateway::start(const WorkerDescription& worker, StartCommand command,
    std::function<void(CommandOutcome, std::string message)> done)
{
    sendCommand(worker, "/v1/start", encodeStartCommand(command), std::move(done));
}

void HttpWorkerGateway::applyAction(const WorkerDescription& worker, TaskAction action, const TaskId& task, Epoch epoch,
    const std::string& session, std::function<void(CommandOutcome, std::string message)> done)
{
    const char* path = "/v1/stop";
    if (action == TaskAction::Checkpoint)
        path = "/v1/checkpoint";
    else if (action == TaskAction::Throttle)
        path = "/v1/throttle";
    sendCommand(worker, path, encodeTaskActionCommand({ task, epoch, session }), std::move(done));
}

void HttpWorkerGateway::events(const WorkerDescription& worker, Epoch epoch, const std::string& session,
    std::uint64_t after, Duration wait, std::function<void(absl::StatusOr<WorkerEvents>)> done)
{
    const std::string url = workerUrl(m_settings, worker.address);
    const auto waitMs = std::chrono::ceil<milliseconds>(wait);
    HttpRequest request;
    request.target = absl::StrCat(url, "/v1/events?epoch=", epoch, "&session=", percentEncode(session),
        "&after=", after, "&waitMs=", waitMs.count());
    auto complete = [&executor = m_executor, done = std::move(done)](absl::StatusOr<WorkerEvents> events) {
        executor.execute([done, events = std::move(events)]() mutable { done(std::move(events)); });
    };
    m_client.send(std::move(request), waitMs + m_settings.commandTimeout,
        [&client = m_client, settings = m_settings, unreadable = m_unreadable, url, session, after, complete](
            const HttpResult& result) {
            auto decoded = interpretEvents(result, after);
            if (!decoded.ok()) {
                complete(decoded.status());
                return;
            }
            auto fetched = [complete, last = decoded->lastSequence](absl::StatusOr<std::vector<FinishedTask>> tasks) {
                if (tasks.ok())
                    complete(WorkerEvents { std::move(*tasks), last });
                else
                    complete(tasks.status());
            };
            std::make_shared<ResultFetcher>(
                client, settings, url, session, unreadable, std::move(decoded->finished), std::move(fetched))
                ->run();
        });
}

} // namespace lycheeledge
