// Offers a plan to the entry processes and follows every submission to its end.
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

/** @brief How a submission ended, as its caller sees it. */
enum class LoadEnd {
    Open, ///< not ended
    Answered, ///< request: its own answer arrived; job: all tasks finished, or the service was cancelled
    RefusedNotRun,
    Failed, ///< it ran and failed
    Unknown, ///< the answer says that it may have run
    Unfinished, ///< accepted job that still waits or runs
    Lost, ///< no answer at all, or an accepted job that nobody knows
    Wrong, ///< the answer belongs to another submission, or its content is wrong
};

/** @brief A submission and what became of it. */
struct LoadRecord {
    LoadItem item;
    LoadEnd end = LoadEnd::Open;
    ErrorKind error = ErrorKind::None;
    std::string message;
    TimePoint submitted; ///< first sending
    TimePoint answered; ///< final answer, or acceptance of a job
    std::uint32_t sendings = 0;
    bool accepted = false; ///< job that was acknowledged
    bool cancelled = false; ///< service whose cancellation was acknowledged
    bool asking = false; ///< a call about the work is under way
    bool mayHaveArrived = false; ///< some sending may have reached an owner
    std::size_t entry = 0; ///< index of the address used last
};

struct LoadRunSettings {
    std::vector<std::string> entries; ///< URLs
    std::vector<std::string> keys; ///< of the teams, in the order of the plan
    Duration drain = std::chrono::seconds(30); ///< time for jobs to end after the last submission
    Duration giveUp = std::chrono::seconds(20); ///< time from submission after which an unanswered one is lost
    Duration callTimeout = std::chrono::seconds(8); ///< for one sending
    std::uint64_t seed = 1; ///< of entry choice and backoff
    bool recordEvents = false;

    bool operator==(const LoadRunSettings&) const = default;
};

/** @brief Runs on the thread of the event loop. */
class LoadRun {
public:
    LoadRun(EventLoop& loop, HttpClient& client, LoadRunSettings settings, std::vector<LoadItem> items)
        : m_loop(loop)
        , m_client(client)
        , m_settings(std::move(settings))
        , m_random(m_settings.seed)
        , m_events(m_settings.recordEvents)
    {
        m_records.reserve(items.size());
        for (auto& item : items)
            m_records.push_back({ std::move(item), LoadEnd::Open, ErrorKind::None, {}, {}, {}, 0, false, false, false,
                false, m_random() % m_settings.entries.size() });
    }

    /** @brief Offers the plan, waits for the ends, and stops the loop. */
    void start()
    {
        m_start = m_loop.now();
        m_loop.post([this] { submitDue(); });
    }

    const std::vector<LoadRecord>& records() const { return m_records; }
    LoadEvents& events() { return m_events; }

private:
    using Answer = std::function<void(LoadRecord&, const HttpResult&, const RpcResponse&)>;

    // Submissions do not wait for answers: an open loop keeps offering load when the system slows down.
    void submitDue()
    {
        const auto elapsed = m_loop.now() - m_start;
        while (m_next < m_records.size() && m_records[m_next].item.at <= elapsed)
            submit(m_records[m_next++]);
        if (m_next < m_records.size())
            m_loop.after(m_records[m_next].item.at - elapsed, [this] { submitDue(); });
        else
            beginDrain();
    }

    void submit(LoadRecord& record)
    {
        if (record.sendings == 0)
            record.submitted = m_loop.now();
        ++record.sendings;
        record.asking = true;
        const auto& spec = record.item.spec;
        const auto expected = spec.kind == WorkKind::Request
            ? std::optional(expectedBody(record.item.bodySeed, record.item.bodyLength))
            : std::nullopt;
        m_events.submitted(
            m_loop.now(), spec, m_settings.keys[record.item.team], m_settings.entries[record.entry], expected);
        call(record, "work.submit", encodeWorkSpec(spec),
            [this](
                LoadRecord& it, const HttpResult& http, const RpcResponse& response) { answered(it, http, response); });
    }

    void call(LoadRecord& record, std::string method, const std::string& params, Answer done)
    {
        const auto id = std::to_string(++m_lastId);
        HttpRequest request { "POST", m_settings.entries[record.entry] + "/rpc",
            { { "content-type", "application/json" },
                { "authorization", "Bearer " + m_settings.keys[record.item.team] } },
            writeRpcRequest(id, method, params) };
        const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.callTimeout);
        // The client may call back after this object is gone, but not after the loop is.
        m_client.send(
            std::move(request), timeout, [&loop = m_loop, &record, id, done = std::move(done)](HttpResult result) {
                loop.postCompletion([&record, id, done, result = std::move(result)] {
                    auto response = parseRpcResponse(result.response.body);
                    if (response.ok() && response.id != id)
                        response
                            = { id, ApiError { ErrorKind::Internal, "answer to another call", "", RunState::Unknown } };
                    done(record, result, response);
                });
            });
    }

    void answered(LoadRecord& record, const HttpResult& http, const RpcResponse& response)
    {
        record.asking = false;
        recordAnswer(record, http, response);
        if (!http.status.ok() || (!response.ok() && isWorthRepeating(response.error()))) {
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
            end(record, LoadEnd::Wrong, error->message);
            return;
        }
        if (result.id != record.item.spec.id)
            end(record, LoadEnd::Wrong, "answer to another submission");
        else if (record.item.spec.kind != WorkKind::Request)
            record.accepted = true;
        else if (result.body != expectedBody(record.item.bodySeed, record.item.bodyLength))
            end(record, LoadEnd::Wrong, "the body is not that of this request");
        else
            end(record, LoadEnd::Answered, "");
    }

    void recordAnswer(const LoadRecord& record, const HttpResult& http, const RpcResponse& response)
    {
        const auto& entry = m_settings.entries[record.entry];
        const auto& id = record.item.spec.id;
        if (!http.status.ok()) {
            const auto run = http.notSent ? RunState::NotRun : RunState::Unknown;
            m_events.answered(m_loop.now(), id, entry, run, ErrorKind::Unavailable, std::nullopt, true);
        } else if (!response.ok()) {
            const auto& error = response.error();
            m_events.answered(m_loop.now(), id, entry, error.run, error.kind, std::nullopt, false);
        } else {
            WorkResult result;
            const auto error = decodeWorkResult(response.result(), result);
            const bool hasBody = record.item.spec.kind == WorkKind::Request;
            m_events.answered(m_loop.now(), id, entry, result.run, error ? error->kind : ErrorKind::None,
                hasBody ? std::optional(result.body) : std::nullopt, false);
        }
    }

    static bool isWorthRepeating(const ApiError& error)
    {
        return error.kind == ErrorKind::Unavailable || error.kind == ErrorKind::Truncated;
    }

    // The same identity goes to another address. `attempt` tells the owner that it may have seen it before.
    void retry(LoadRecord& record, const HttpResult& http, const RpcResponse& response)
    {
        const bool refused = http.status.ok() && response.error().run == RunState::NotRun;
        record.message = http.status.ok() ? response.error().message : std::string(http.status.message());
        record.error = http.status.ok() ? response.error().kind : ErrorKind::Unavailable;
        if (!http.notSent && !refused)
            record.mayHaveArrived = true;
        if (m_loop.now() - record.submitted >= m_settings.giveUp) {
            end(record, record.mayHaveArrived ? LoadEnd::Lost : LoadEnd::RefusedNotRun, record.message);
            return;
        }
        if (!http.notSent)
            ++record.item.spec.attempt;
        record.entry = (record.entry + 1) % m_settings.entries.size();
        const auto base = std::chrono::milliseconds(20) * (1 << std::min<std::uint32_t>(record.sendings - 1, 6));
        const auto jitter = static_cast<double>(m_random() >> 11) * 0x1p-53;
        m_loop.after(
            std::chrono::duration_cast<Duration>(base * (0.5 + jitter / 2)), [this, &record] { submit(record); });
    }

    static void fail(LoadRecord& record, const ApiError& error)
    {
        record.error = error.kind;
        if (error.run == RunState::NotRun)
            end(record, LoadEnd::RefusedNotRun, error.message);
        else if (error.run == RunState::Unknown)
            end(record, LoadEnd::Unknown, error.message);
        else
            end(record, LoadEnd::Failed, error.message);
    }

    static void end(LoadRecord& record, LoadEnd how, std::string message)
    {
        record.end = how;
        record.message = std::move(message);
    }

    void beginDrain()
    {
        m_drainEnd = m_loop.now() + m_settings.drain + m_settings.giveUp;
        m_loop.after(m_settings.drain, [this] { m_jobsMayWait = false; });
        drain();
    }

    void drain()
    {
        constexpr std::size_t maxAsked = 200; // calls a round
        std::size_t open = 0;
        std::size_t asked = 0;
        for (auto& record : m_records) {
            if (record.end != LoadEnd::Open)
                continue;
            if (record.accepted && !m_jobsMayWait && !record.asking) {
                end(record, LoadEnd::Unfinished, record.message);
                continue;
            }
            ++open;
            if (record.accepted && !record.asking && asked < maxAsked) {
                ++asked;
                ask(record);
            }
        }
        if (open > 0 && m_loop.now() < m_drainEnd) {
            m_loop.after(std::chrono::milliseconds(200), [this] { drain(); });
            return;
        }
        for (auto& record : m_records) {
            if (record.end == LoadEnd::Open)
                endOpen(record);
        }
        m_loop.stop();
    }

    static void endOpen(LoadRecord& record)
    {
        const bool mayHaveArrived = record.mayHaveArrived || record.asking;
        if (record.accepted)
            end(record, LoadEnd::Unfinished, record.message);
        else
            end(record, mayHaveArrived ? LoadEnd::Lost : LoadEnd::RefusedNotRun, record.message);
    }

    // Services run until they are cancelled; jobs are asked about until they end.
    void ask(LoadRecord& record)
    {
        record.asking = true;
        const auto& id = record.item.spec.id;
        const bool isService = record.item.spec.kind == WorkKind::Service;
        const std::string params = lycheeledge::detail::JsonBuilder()
                                       .begin()
                                       .field("team", id.team.value())
                                       .field("requestId", id.request.value())
                                       .end()
                                       .text();
        const bool cancel = isService && !record.cancelled;
        call(record, cancel ? "work.cancel" : "work.status", params,
            [this, cancel](LoadRecord& it, const HttpResult& http, const RpcResponse& response) {
                told(it, cancel, http, response);
            });
    }

    void told(LoadRecord& record, bool cancel, const HttpResult& http, const RpcResponse& response)
    {
        record.asking = false;
        if (!http.status.ok() || (!response.ok() && isWorthRepeating(response.error()))) {
            record.entry = (record.entry + 1) % m_settings.entries.size();
            return;
        }
        if (!response.ok()) {
            record.error = response.error().kind;
            end(record, record.error == ErrorKind::NotFound ? LoadEnd::Lost : LoadEnd::Unknown,
                response.error().message);
            return;
        }
        const auto status = decodeWorkStatus(response.result());
        record.message = status.reason;
        record.cancelled = record.cancelled || cancel;
        if (status.id != record.item.spec.id)
            end(record, LoadEnd::Wrong, "status of another submission");
        else if (status.phase == WorkPhase::Finished)
            end(record, LoadEnd::Answered, status.reason);
    }

    EventLoop& m_loop;
    HttpClient& m_client;
    LoadRunSettings m_settings;
    std::mt19937_64 m_random;
    LoadEvents m_events;
    std::vector<LoadRecord> m_records; // not resized after construction: callbacks refer to its elements
    std::size_t m_next = 0;
    std::uint64_t m_lastId = 0;
    TimePoint m_start;
    TimePoint m_drainEnd;
    bool m_jobsMayWait = true;
};

} // namespace lycheeledge::standin
