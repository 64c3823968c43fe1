// A simulated worker with its own HTTP server.
#pragma once

#include "StandinServer.h"
#include "WorkerModel.h"

#include <lycheeledge/transport/Url.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>
#include <glog/logging.h>

#include <algorithm>
#include <deque>
#include <iterator>
#include <list>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace lycheeledge::standin {

/** @brief Faults set by `POST /faults`. Fields that are absent from a call keep their values. */
struct WorkerFaults {
    bool failAll = false; ///< every task that completes fails
    bool paused = false; ///< calls wait and no task ends until the pause is over
    bool dropAnswers = false; ///< calls take effect and get no response
    bool corruptResults = false; ///< result bodies in events and ranges end in a wrong byte, against their digest
    std::int64_t delayMs = 0; ///< delay of responses
};

/** @brief Worker that runs on the thread of the event loop. */
class SimulatedWorker {
public:
    SimulatedWorker(EventLoop& loop, WorkerDescription description, std::string session)
        : m_loop(loop)
        , m_description(std::move(description))
        , m_model(m_description.id, m_description.capacity, std::move(session))
    {
    }

    /** @brief Starts the server. @return the port listened on. */
    absl::StatusOr<std::uint16_t> start()
    {
        HttpServerSettings settings;
        settings.address = m_description.address.host;
        settings.port = m_description.address.port;
        settings.maxBodyBytes = 4 << 20;
        m_server = std::make_unique<HttpServer>(settings,
            onLoop(m_loop, [this](const HttpRequest& request, const auto& respond) { handle(request, respond); }));
        auto port = m_server->start();
        if (port.ok())
            m_description.address.port = *port;
        return port;
    }

    void stop()
    {
        if (m_server)
            m_server->stop();
    }

    const WorkerDescription& description() const { return m_description; }
    bool paused() const { return m_faults.paused; }

private:
    // A long poll for finished tasks that has not been answered.
    struct EventPoll {
        Epoch epoch = 0;
        std::string session;
        std::uint64_t after = 0; // sequence number of the last event that the caller has
        HttpServer::Respond respond;
        Runtime::TimerId timer = 0;
    };

    static constexpr std::size_t maxPolls = 64;
    static constexpr std::int64_t maxWaitMs = 60000;

    void handle(const HttpRequest& request, const HttpServer::Respond& respond)
    {
        const UrlTarget target = parseTarget(request.target);
        if (target.path == "/faults")
            respond(setFaults(request.body));
        else if (target.path == "/history")
            respond(showHistory());
        else if (target.path == "/violations")
            respond(showViolations());
        else if (m_faults.paused)
            m_deferredRequests.emplace_back(request, respond);
        else
            dispatch(request, target, respond);
        scheduleNextEnd();
    }

    void dispatch(const HttpRequest& request, const UrlTarget& target, const HttpServer::Respond& respond)
    {
        const TimePoint now = m_loop.now();
        if (target.path == "/v1/events")
            waitForEvents(target, respond);
        else if (target.path == "/v1/result")
            respondWithFaults(respond, sendResult(request, target));
        else if (target.path == "/v1/lease")
            respondWithFaults(respond, lease(now, request.body));
        else if (target.path == "/v1/start")
            respondWithFaults(respond, startTask(now, request.body));
        else if (target.path == "/v1/stop")
            respondWithFaults(respond, applyAction(now, TaskAction::Stop, request.body));
        else if (target.path == "/v1/checkpoint")
            respondWithFaults(respond, applyAction(now, TaskAction::Checkpoint, request.body));
        else if (target.path == "/v1/throttle")
            respondWithFaults(respond, applyAction(now, TaskAction::Throttle, request.body));
        else
            respondWithFaults(respond, errorResponse(404, "no such path"));
        flushPolls();
    }

    void respondWithFaults(const HttpServer::Respond& respond, HttpResponse response)
    {
        if (m_faults.dropAnswers)
            m_unanswered.push_back(respond);
        else if (m_faults.delayMs <= 0)
            respond(std::move(response));
        else
            m_loop.after(std::chrono::milliseconds(m_faults.delayMs),
                [respond, response = std::move(response)] { respond(response); });
    }

    HttpResponse lease(TimePoint now, const std::string& body)
    {
        const auto request = decodeLeaseRequest(body);
        if (!request.ok())
            return errorResponse(400, std::string(request.status().message()));
        return jsonResponse(encodeLeaseReport(m_model.lease(now, *request)));
    }

    static HttpResponse commandResponse(const CommandResponse& response)
    {
        return jsonResponse(encodeCommandResponse(response), response.accepted ? 200 : 409);
    }

    HttpResponse startTask(TimePoint now, const std::string& body)
    {
        const auto command = decodeStartCommand(body);
        if (!command.ok())
            return errorResponse(400, std::string(command.status().message()));
        return commandResponse(m_model.start(now, *command));
    }

    HttpResponse applyAction(TimePoint now, TaskAction action, const std::string& body)
    {
        const auto command = decodeTaskActionCommand(body);
        if (!command.ok())
            return errorResponse(400, std::string(command.status().message()));
        return commandResponse(m_model.applyAction(now, action, *command));
    }

    /** @brief Returns a query parameter as a number; 0 if it is absent or malformed. */
    static std::uint64_t number(const UrlTarget& target, const char* name)
    {
        const auto it = target.query.find(name);
        std::uint64_t result = 0;
        return it != target.query.end() && absl::SimpleAtoi(it->second, &result) ? result : 0;
    }

    static std::string text(const UrlTarget& target, const char* name)
    {
        const auto it = target.query.find(name);
        return it == target.query.end() ? std::string() : it->second;
    }

    void waitForEvents(const UrlTarget& target, const HttpServer::Respond& respond)
    {
        EventPoll poll { number(target, "epoch"), text(target, "session"), number(target, "after"), respond };
        const auto waitMs = std::min<std::uint64_t>(number(target, "waitMs"), maxWaitMs);
        if (answerPoll(poll, waitMs == 0 || m_polls.size() >= maxPolls))
            return;
        m_polls.push_back(std::move(poll));
        const auto it = std::prev(m_polls.end());
        it->timer = m_loop.after(std::chrono::milliseconds(waitMs), [this, it] {
            answerPoll(*it, true);
            m_polls.erase(it);
        });
    }

    /** @brief Answers a poll if it is refused, has events or must not wait. @return whether it was answered. */
    bool answerPoll(const EventPoll& poll, bool mustAnswer)
    {
        auto events = m_model.events(m_loop.now(), poll.epoch, poll.session, poll.after);
        if (!events.ok()) {
            respondWithFaults(poll.respond, errorResponse(409, std::string(events.status().message())));
            return true;
        }
        if (events->finished.empty() && !mustAnswer)
            return false;
        if (m_faults.corruptResults) {
            for (auto& item : events->finished)
                corrupt(item.task.body);
        }
        respondWithFaults(poll.respond, jsonResponse(encodeEvents(*events)));
        return true;
    }

    void flushPolls()
    {
        for (auto it = m_polls.begin(); it != m_polls.end();) {
            const auto current = it++;
            if (!answerPoll(*current, false))
                continue;
            m_loop.cancel(current->timer);
            m_polls.erase(current);
        }
    }

    static void corrupt(std::string& body)
    {
        if (!body.empty())
            body.back() = static_cast<char>(body.back() ^ 1);
    }

    HttpResponse sendResult(const HttpRequest& request, const UrlTarget& target)
    {
        const TaskId id { { TeamId(text(target, "team")), RequestId(text(target, "request")) },
            static_cast<std::uint32_t>(number(target, "index")), static_cast<std::uint32_t>(number(target, "run")) };
        const std::string* body = m_model.result(id, text(target, "session"));
        if (body == nullptr)
            return errorResponse(404, "no such result");
        const auto range = request.headers.find("range");
        if (range == request.headers.end())
            return { 200, {}, *body };
        const std::pair<std::string, std::string> bounds
            = absl::StrSplit(absl::StripPrefix(range->second, "bytes="), absl::MaxSplits('-', 1));
        std::uint64_t first = 0;
        std::uint64_t last = 0;
        if (!absl::SimpleAtoi(bounds.first, &first) || !absl::SimpleAtoi(bounds.second, &last) || first > last
            || first >= body->size())
            return errorResponse(416, "range not satisfiable");
        last = std::min<std::uint64_t>(last, body->size() - 1);
        HttpResponse response { 206, {}, body->substr(first, last - first + 1) };
        response.headers["content-range"] = absl::StrCat("bytes ", first, "-", last, "/", body->size());
        if (m_faults.corruptResults && last == body->size() - 1)
            corrupt(response.body);
        return response;
    }

    HttpResponse setFaults(const std::string& body)
    {
        rapidjson::Document document;
        absl::Status status = parseJson(body.empty() ? "{}" : body, document);
        if (!status.ok())
            return errorResponse(400, std::string(status.message()));
        const JsonFields fields(document, "faults", status);
        WorkerFaults faults = m_faults;
        const auto set = [&fields](const char* name, bool& value) {
            if (fields.has(name))
                value = fields.boolean(name);
        };
        set("failAll", faults.failAll);
        set("paused", faults.paused);
        set("dropAnswers", faults.dropAnswers);
        set("corruptResults", faults.corruptResults);
        if (fields.has("delayMs"))
            faults.delayMs = fields.amount("delayMs");
        const bool restart = fields.boolean("restart");
        set("leaving", m_description.leaving);
        if (!status.ok())
            return errorResponse(400, std::string(status.message()));
        m_faults = faults;
        m_model.setFailing(faults.failAll);
        if (restart)
            restartWorker();
        if (!faults.dropAnswers)
            m_unanswered.clear();
        if (!faults.paused)
            handleDeferredRequests();
        LOG(INFO) << "[worker] Faults set for " << m_description.id << ": " << body;
        return jsonResponse("{}");
    }

    void restartWorker()
    {
        m_model.restart(m_loop.now(), absl::StrCat(m_description.id.value(), "-", ++m_restarts, "-", m_loop.random()));
        for (const auto& poll : m_polls)
            m_loop.cancel(poll.timer);
        m_polls.clear();
    }

    void handleDeferredRequests()
    {
        std::deque<std::pair<HttpRequest, HttpServer::Respond>> deferred;
        deferred.swap(m_deferredRequests);
        for (const auto& [request, respond] : deferred)
            dispatch(request, parseTarget(request.target), respond);
        flushPolls();
    }

    void scheduleNextEnd()
    {
        if (m_timer != 0)
            m_loop.cancel(m_timer);
        m_timer = 0;
        const auto next = m_model.nextChange();
        if (!next || m_faults.paused)
            return;
        m_timer = m_loop.after(std::max(Duration::zero(), *next - m_loop.now()), [this] {
            m_timer = 0;
            m_model.advance(m_loop.now());
            flushPolls();
            scheduleNextEnd();
        });
    }

    static std::int64_t microseconds(TimePoint time)
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
    }

    HttpResponse showHistory()
    {
        if (!m_faults.paused)
            m_model.advance(m_loop.now());
        rapidjson::StringBuffer buf;
        JsonWriter writer(buf);
        writer.StartObject();
        writeText(writer, "worker", m_description.id.value());
        writeText(writer, "session", m_model.session());
        writeInteger(writer, "nowUs", microseconds(m_loop.now()));
        writer.Key("entries");
        writer.StartArray();
        for (const auto& entry : m_model.history()) {
            writer.StartObject();
            writeInteger(writer, "timeUs", microseconds(entry.time));
            writeText(writer, "event", entry.start ? "start" : "end");
            writeTaskId(writer, "task", entry.task);
            writeUnsigned(writer, "epoch", entry.epoch);
            if (!entry.start)
                writeText(writer, "reason", entry.reason);
            writer.EndObject();
        }
        writer.EndArray();
        writer.EndObject();
        return jsonResponse({ buf.GetString(), buf.GetSize() });
    }

    HttpResponse showViolations() const
    {
        rapidjson::StringBuffer buf;
        JsonWriter writer(buf);
        writer.StartObject();
        writeText(writer, "worker", m_description.id.value());
        writer.Key("violations");
        writer.StartArray();
        for (const auto& violation : m_model.violations()) {
            writer.StartObject();
            writeInteger(writer, "timeUs", microseconds(violation.time));
            writeText(writer, "kind", violation.kind);
            writeTaskId(writer, "task", violation.task);
            writeText(writer, "message", violation.message);
            writer.EndObject();
        }
        writer.EndArray();
        writer.EndObject();
        return jsonResponse({ buf.GetString(), buf.GetSize() });
    }

    EventLoop& m_loop;
    WorkerDescription m_description;
    WorkerModel m_model;
    WorkerFaults m_faults;
    std::unique_ptr<HttpServer> m_server;
    std::list<EventPoll> m_polls;
    std::deque<std::pair<HttpRequest, HttpServer::Respond>> m_deferredRequests; // arrived during a pause
    std::vector<HttpServer::Respond> m_unanswered; // keeps the calls open that get no response
    Runtime::TimerId m_timer = 0; // of the next end of a task
    std::uint64_t m_restarts = 0;
};

} // namespace lycheeledge::standin
