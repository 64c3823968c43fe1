// Fetches large answers from a worker in ranges.

#include "ResultFetcher.h"

#include "../transport/Url.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace lycheeledge {

ResultFetcher::ResultFetcher(HttpClient& client, WorkerGatewaySettings settings, std::string baseUrl,
    std::string session, std::vector<WireFinishedTask> finished, Done done)
    : m_client(client)
    , m_settings(std::move(settings))
    , m_baseUrl(std::move(baseUrl))
    , m_session(std::move(session))
    , m_finished(std::move(finished))
    , m_done(std::move(done))
{
}

void ResultFetcher::run()
{
    while (m_next < m_finished.size()) {
        const WireFinishedTask& item = m_finished[m_next];
        if (item.bodyPending && !item.acknowledged) {
            if (item.task.bodyLength > m_settings.maxBodyBytes) {
                finish(absl::DataLossError("the answer is over the size limit"));
                return;
            }
            if (item.task.body.size() < item.task.bodyLength) {
                fetchRange();
                return;
            }
        }
        const absl::Status status = item.acknowledged ? absl::OkStatus() : checkBody(item.task);
        if (!status.ok()) {
            finish(status);
            return;
        }
        ++m_next;
    }
    finish(absl::OkStatus());
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
        [self = shared_from_this()](const HttpResult& result) { self->rangeReceived(result); });
}

void ResultFetcher::rangeReceived(const HttpResult& result)
{
    if (!result.status.ok()) {
        finish(absl::IsDeadlineExceeded(result.status) || absl::IsDataLoss(result.status)
                ? result.status
                : absl::UnavailableError(result.status.message()));
        return;
    }
    if (result.response.status != 206) {
        finish(absl::UnavailableError(absl::StrCat("result: answered with status ", result.response.status)));
        return;
    }
    FinishedTask& task = m_finished[m_next].task;
    const std::uint64_t first = task.body.size();
    const std::string& part = result.response.body;
    const auto header = result.response.headers.find("content-range");
    const std::string expected = absl::StrCat("bytes ", first, "-", first + part.size() - 1, "/", task.bodyLength);
    const bool fits
        = !part.empty() && part.size() <= std::min<std::uint64_t>(m_settings.rangeBytes, task.bodyLength - first);
    if (!fits || header == result.response.headers.end() || header->second != expected) {
        finish(absl::DataLossError(absl::StrCat("result: expected range \"", expected, "\" of the answer")));
        return;
    }
    task.body += part;
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
