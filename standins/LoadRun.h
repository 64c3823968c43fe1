// Submits a plan to the entry processes and tracks every submission to its outcome.
#pragma once

#include "LoadEvents.h"
#include "LoadPlan.h"

#include <lycheeledge/daemon/EventLoop.h>
#include <lycheeledge/protocol/ApiCodec.h>
#include <lycheeledge/protocol/JsonObject.h>
#include <lycheeledge/protocol/JsonRpc.h>
#include <lycheeledge/transport/HttpClient.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace lycheeledge::standin {

/** @brief Outcome of a submission as its caller sees it. */
enum class LoadOutcome {
    Pending, ///< no outcome yet
    Answered, ///< request: the expected response arrived; job: all tasks finished; service: ended after its
              ///< cancellation
    RefusedNotRun,
    Failed, ///< the work ran and failed
    Unknown, ///< according to the response the work may have run
    Unfinished, ///< accepted job that still waited or ran when the drain time was over
    Lost, ///< no final response to a call that may have arrived, or an accepted job that is not found afterwards
    Wrong, ///< the response belongs to another submission, or its content is wrong
};

/** @brief A submission and its progress. */
struct LoadRecord {
    PlannedSubmission planned;
    LoadOutcome outcome = LoadOutcome::Pending;
    ErrorKind error = ErrorKind::None;
    std::string message; ///< reason of the outcome, or the last error or status
    TimePoint submitted; ///< time of the first attempt
    TimePoint answered; ///< time of the final response, or of the acceptance of a job
    std::uint32_t attempts = 0; ///< submit calls that were started
    bool accepted = false; ///< the job was acknowledged
    bool cancelled = false; ///< the cancellation of the service was acknowledged
    bool callInProgress = false; ///< a call about the work is in progress
    bool mayHaveArrived = false; ///< some attempt may have reached an owner
    std::size_t entry = 0; ///< index into LoadRunSettings::entries of the next call
};

struct LoadRunSettings {
    std::vector<std::string> entries; ///< URLs of the entry processes
    std::vector<std::string> keys; ///< of the teams, in the order of the plan
    Duration drain = std::chrono::seconds(30); ///< time for jobs to end after the last submission
    /// Time from the first attempt after which an unanswered submission is not retried and counts as lost.
    Duration giveUp = std::chrono::seconds(20);
    Duration callTimeout = std::chrono::seconds(8); ///< of one attempt
    std::uint64_t seed = 1; ///< for the choice of entry processes and the jitter of retries
    bool recordEvents = false; ///< whether LoadRun::events() collects events

    bool operator==(const LoadRunSettings&) const = default;
};

/** @brief Submits the plan and tracks it. Runs on the thread of the event loop. */
class LoadRun {
public:
    LoadRun(EventLoop& loop, HttpClient& client, LoadRunSettings settings, std::vector<PlannedSubmission> submissions)
        : m_loop(loop)
        , m_client(client)
        , m_settings(std::move(settings))
        , m_random(m_settings.seed)
        , m_events(m_settings.recordEvents)
    {
        m_records.reserve(submissions.size());
        for (auto& submission : submissions)
            m_records.push_back({ std::move(submission), LoadOutcome::Pending, ErrorKind::None, {}, {}, {}, 0, false,
                false, false, false, m_random() % m_settings.entries.size() });
    }

    /** @brief Submits the plan, waits for all outcomes, and stops the loop. */
    void start()
    {
        m_start = m_loop.now();
        m_loop.post([this] { submitDue(); });
    }

    const std::vector<LoadRecord>& records() const { return m_records; }
    LoadEvents& events() { return m_events; }

private:
    using ResponseHandler = std::function<void(LoadRecord&, const HttpResult&, const RpcResponse&)>;

    // Submissions do not wait for responses: an open loop keeps up the load when the system slows down.
    void submitDue()
    {
        const auto elapsed = m_loop.now() - m_start;
        while (m_nextSubmission < m_records.size() && m_records[m_nextSubmission].planned.offset <= elapsed)
            submit(m_records[m_nextSubmission++]);
        if (m_nextSubmission < m_records.size())
            m_loop.after(m_records[m_nextSubmission].planned.offset - elapsed, [this] { submitDue(); });
        else
            beginDrain();
    }

    void submit(LoadRecord& record)
    {
        if (record.attempts == 0)
            record.submitted = m_loop.now();
        ++record.attempts;
        record.callInProgress = true;
        const auto& spec = record.planned.spec;
        const auto expected = spec.kind == WorkKind::Request
            ? std::optional(expectedBody(record.planned.bodySeed, record.planned.bodyLength))
            : std::nullopt;
        m_events.submitted(
            m_loop.now(), spec, m_settings.keys[record.planned.team], m_settings.entries[record.entry], expected);
        call(record, "work.submit", encodeWorkSpec(spec),
            [this](LoadRecord& it, const HttpResult& http, const RpcResponse& response) {
                handleSubmitResponse(it, http, response);
            });
    }

    void call(LoadRecord& record, std::string method, const std::string& params, ResponseHandler done)
    {
        const auto id = std::to_string(++m_lastCallId);
        HttpRequest request { "POST", m_settings.entries[record.entry] + "/rpc",
            { { "content-type", "application/json" },
                { "authorization", "Bearer " + m_settings.keys[record.planned.team] } },
            writeRpcRequest(id, method, params) };
        const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.callTimeout);
        // The client may invoke the callback after this object is destroyed, but not after the loop is destroyed.
        m_client.send(
            std::move(request), timeout, [&loop = m_loop, &record, id, done = std::move(done)](HttpResult result) {
                loop.postCompletion([&record, id, done, result = std::move(result)] {
                    auto response = parseRpcResponse(result.response.body);
                    if (response.ok() && response.id != id)
                        response = { id,
                            ApiError { ErrorKind::Internal, "response to another call", "", RunState::Unknown } };
                    done(record, result, response);
                });
            });
    }

    void handleSubmitResponse(LoadRecord& record, const HttpResult& http, const RpcResponse& response)
    {
        record.callInProgress = false;
        recordResponse(record, http, response);
        if (!http.status.ok() || (!response.ok() && isRetryable(response.error()))) {
            retry(record, http, response);
            return;
        }
        record.answered = m_loop.now();
        if (!response.ok()) {
            fail(record, response.error());
            return;
        }
        WorkResult result;
        if (const auto error = decodeWorkResult(response.result(), result)) {
            finish(record, LoadOutcome::Wrong, error->message);
            return;
        }
        if (result.id != record.planned.spec.id)
            finish(record, LoadOutcome::Wrong, "response to another submission");
        else if (record.planned.spec.kind != WorkKind::Request)
            record.accepted = true;
        else if (result.body != expectedBody(record.planned.bodySeed, record.planned.bodyLength))
            finish(record, LoadOutcome::Wrong, "the response body is not the expected one");
        else
            finish(record, LoadOutcome::Answered, "");
    }

    void recordResponse(const LoadRecord& record, const HttpResult& http, const RpcResponse& response)
    {
        const auto& entry = m_settings.entries[record.entry];
        const auto& id = record.planned.spec.id;
        if (!http.status.ok()) {
            const auto run = http.notSent ? RunState::NotRun : RunState::Unknown;
            m_events.answered(m_loop.now(), id, entry, run, ErrorKind::Unavailable, std::nullopt, true);
        } else if (!response.ok()) {
            const auto& error = response.error();
            m_events.answered(m_loop.now(), id, entry, error.run, error.kind, std::nullopt, false);
        } else {
            WorkResult result;
            const auto error = decodeWorkResult(response.result(), result);
            const bool hasBody = record.planned.spec.kind == WorkKind::Request;
            m_events.answered(m_loop.now(), id, entry, result.run, error ? error->kind : ErrorKind::None,
                hasBody ? std::optional(result.body) : std::nullopt, false);
        }
    }

    static bool isRetryable(const ApiError& error)
    {
        return error.kind == ErrorKind::Unavailable || error.kind == ErrorKind::Truncated;
    }

    // Submits the same work id to another address. `attempt` tells the owner that it may have received the work before.
    void retry(LoadRecord& record, const HttpResult& http, const RpcResponse& response)
    {
        const bool refused = http.status.ok() && response.error().run == RunState::NotRun;
        record.message = http.status.ok() ? response.error().message : std::string(http.status.message());
        record.error = http.status.ok() ? response.error().kind : ErrorKind::Unavailable;
        if (!http.notSent && !refused)
            record.mayHaveArrived = true;
        if (m_loop.now() - record.submitted >= m_settings.giveUp) {
            finish(record, record.mayHaveArrived ? LoadOutcome::Lost : LoadOutcome::RefusedNotRun, record.message);
            return;
        }
        if (!http.notSent)
            ++record.planned.spec.attempt;
        record.entry = (record.entry + 1) % m_settings.entries.size();
        const auto base = std::chrono::milliseconds(20) * (1 << std::min<std::uint32_t>(record.attempts - 1, 6));
        const auto jitter = static_cast<double>(m_random() >> 11) * 0x1p-53;
        m_loop.after(
            std::chrono::duration_cast<Duration>(base * (0.5 + jitter / 2)), [this, &record] { submit(record); });
    }

    static void fail(LoadRecord& record, const ApiError& error)
    {
        record.error = error.kind;
        if (error.run == RunState::NotRun)
            finish(record, LoadOutcome::RefusedNotRun, error.message);
        else if (error.run == RunState::Unknown)
            finish(record, LoadOutcome::Unknown, error.message);
        else
            finish(record, LoadOutcome::Failed, error.message);
    }

    static void finish(LoadRecord& record, LoadOutcome outcome, std::string message)
    {
        record.outcome = outcome;
        record.message = std::move(message);
    }

    void beginDrain()
    {
        m_drainEnd = m_loop.now() + m_settings.drain + m_settings.giveUp;
        m_loop.after(m_settings.drain, [this] { m_awaitJobs = false; });
        drain();
    }

    void drain()
    {
        constexpr std::size_t maxCallsPerRound = 200;
        std::size_t pending = 0;
        std::size_t calls = 0;
        for (auto& record : m_records) {
            if (record.outcome != LoadOutcome::Pending)
                continue;
            if (record.accepted && !m_awaitJobs && !record.callInProgress) {
                finish(record, LoadOutcome::Unfinished, record.message);
                continue;
            }
            ++pending;
            if (record.accepted && !record.callInProgress && calls < maxCallsPerRound) {
                ++calls;
                poll(record);
            }
        }
        if (pending > 0 && m_loop.now() < m_drainEnd) {
            m_loop.after(std::chrono::milliseconds(200), [this] { drain(); });
            return;
        }
        for (auto& record : m_records) {
            if (record.outcome == LoadOutcome::Pending)
                finishPending(record);
        }
        m_loop.stop();
    }

    static void finishPending(LoadRecord& record)
    {
        const bool mayHaveArrived = record.mayHaveArrived || record.callInProgress;
        if (record.accepted)
            finish(record, LoadOutcome::Unfinished, record.message);
        else
            finish(record, mayHaveArrived ? LoadOutcome::Lost : LoadOutcome::RefusedNotRun, record.message);
    }

    // Cancels a service, which would run on otherwise, and then polls its status like that of a job.
    void poll(LoadRecord& record)
    {
        record.callInProgress = true;
        const auto& id = record.planned.spec.id;
        const bool isService = record.planned.spec.kind == WorkKind::Service;
        const std::string params = lycheeledge::detail::JsonBuilder()
                                       .begin()
                                       .field("team", id.team.value())
                                       .field("requestId", id.request.value())
                                       .end()
                                       .text();
        const bool cancel = isService && !record.cancelled;
        call(record, cancel ? "work.cancel" : "work.status", params,
            [this, cancel](LoadRecord& it, const HttpResult& http, const RpcResponse& response) {
                handlePollResponse(it, cancel, http, response);
            });
    }

    void handlePollResponse(LoadRecord& record, bool cancel, const HttpResult& http, const RpcResponse& response)
    {
        record.callInProgress = false;
        if (!http.status.ok() || (!response.ok() && isRetryable(response.error()))) {
            record.entry = (record.entry + 1) % m_settings.entries.size();
            return;
        }
        if (!response.ok()) {
            record.error = response.error().kind;
            finish(record, record.error == ErrorKind::NotFound ? LoadOutcome::Lost : LoadOutcome::Unknown,
                response.error().message);
            return;
        }
        const auto status = decodeWorkStatus(response.result());
        record.message = status.reason;
        record.cancelled = record.cancelled || cancel;
        if (status.id != record.planned.spec.id)
            finish(record, LoadOutcome::Wrong, "status of another submission");
        else if (status.phase == WorkPhase::Finished)
            finish(record, LoadOutcome::Answered, status.reason);
    }

    EventLoop& m_loop;
    HttpClient& m_client;
    LoadRunSettings m_settings;
    std::mt19937_64 m_random;
    LoadEvents m_events;
    std::vector<LoadRecord> m_records; // never resized after construction: callbacks hold references to its elements
    std::size_t m_nextSubmission = 0;
    std::uint64_t m_lastCallId = 0;
    TimePoint m_start;
    TimePoint m_drainEnd;
    bool m_awaitJobs = true;
};

} // namespace lycheeledge::standin
