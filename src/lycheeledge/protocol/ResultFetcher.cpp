// Fetches large task results from a worker in ranges.

#include "ResultFetcher.h"

#include "../transport/Url.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace lycheeledge {

bool UnreadableResults::recordFailure(const TaskId& task)
{
    // Limits memory use: counts for tasks of removed workers are never erased one by one.
    constexpr std::size_t maxTasks = 10000;
    if (m_attempts.size() >= maxTasks)
        m_attempts.clear();
    if (++m_attempts[task] < maxAttempts)
        return false;
    m_attempts.erase(task);
    return true;
}

ResultFetcher::ResultFetcher(HttpClient& client, WorkerGatewaySettings settings, std::string baseUrl,
    std::string session, std::shared_ptr<UnreadableResults> unreadable, std::vector<WireFinishedTask> finished,
    Done done)
    : m_client(client)
    , m_settings(std::move(settings))
    , m_baseUrl(std::move(baseUrl))
    , m_session(std::move(session))
    , m_unreadable(std::move(unreadable))
    , m_finished(std::move(finished))
    , m_done(std::move(done))
{
}

void ResultFetcher::run()
{
    for (; m_next < m_finished.size(); ++m_next) {
        const WireFinishedTask& item = m_finished[m_next];
        if (item.acknowledged)
            continue;
        if (absl::Status status = checkNext(); !status.ok()) {
            handleDataLoss(status);
            return;
        }
        if (item.bodyPending && item.task.body.size() < item.task.bodyLength) {
            fetchRange();
            return;
        }
        m_unreadable->recordSuccess(item.task.id);
    }
    finish(absl::OkStatus());
}

absl::Status ResultFetcher::checkNext() const
{
    const WireFinishedTask& item = m_finished[m_next];
    if (item.task.bodyLength > m_settings.maxBodyBytes)
        return absl::DataLossError("the answer is over the size limit");
    if (item.bodyPending && item.task.body.size() < item.task.bodyLength)
        return absl::OkStatus();
    return verifyTaskResult(item.task);
}

void ResultFetcher::handleDataLoss(const absl::Status& status)
{
    WireFinishedTask& item = m_finished[m_next];
    if (!m_unreadable->recordFailure(item.task.id)) {
        finish(status);
        return;
    }
    item.task.succeeded = false;
    item.task.message = absl::StrCat("truncated: ", status.message());
    item.task.body.clear();
    ++m_next;
    run();
}

void ResultFetcher::fetchRange()
{
    const FinishedTask& task = m_finished[m_next].task;
    const std::uint64_t first = task.body.size();
    const std::uint64_t last = std::min<std::uint64_t>(first + m_settings.rangeBytes, task.bodyLength) - 1;
    HttpRequest request;
    request.target = absl::StrCat(m_baseUrl, "/v1/result?team=", percentEncode(task.id.work.team.value()),
        "&request=", percentEncode(task.id.work.request.value()), "&index=", task.id.index, "&run=", task.id.run,
        "&session=", percentEncode(m_session));
    request.headers["range"] = absl::StrCat("bytes=", first, "-", last);
    m_client.send(std::move(request), m_settings.resultTimeout,
        [self = shared_from_this()](const HttpResult& result) { self->handleRange(result); });
}

void ResultFetcher::handleRange(const HttpResult& result)
{
    if (absl::IsDataLoss(result.status)) {
        handleDataLoss(result.status);
        return;
    }
    if (!result.status.ok()) {
        finish(
            absl::IsDeadlineExceeded(result.status) ? result.status : absl::UnavailableError(result.status.message()));
        return;
    }
    if (result.response.status == 404) {
        handleDataLoss(absl::DataLossError("the worker does not have the answer"));
        return;
    }
    if (result.response.status != 206) {
        finish(absl::UnavailableError(absl::StrCat("result: answered with status ", result.response.status)));
        return;
    }
    FinishedTask& task = m_finished[m_next].task;
    const std::uint64_t first = task.body.size();
    const std::string& range = result.response.body;
    const auto header = result.response.headers.find("content-range");
    const std::string expected = absl::StrCat("bytes ", first, "-", first + range.size() - 1, "/", task.bodyLength);
    const bool validSize
        = !range.empty() && range.size() <= std::min<std::uint64_t>(m_settings.rangeBytes, task.bodyLength - first);
    if (!validSize || header == result.response.headers.end() || header->second != expected) {
        handleDataLoss(absl::DataLossError(absl::StrCat("expected range \"", expected, "\" of the answer")));
        return;
    }
    task.body += range;
    run();
}

void ResultFetcher::finish(absl::Status status)
{
    if (!status.ok()) {
        m_done(std::move(status));
        return;
    }
    std::vector<FinishedTask> tasks;
    tasks.reserve(m_finished.size());
    for (auto& item : m_finished)
        tasks.push_back(std::move(item.task));
    m_done(std::move(tasks));
}

} // namespace lycheeledge
