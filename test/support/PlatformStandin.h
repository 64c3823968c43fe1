// Stand-ins of the platform's store and of one worker, for tests of lycheeledge-entry.
#pragma once

#include "../../platform/Json.h"
#include "../../standins/StandinServer.h"

#include <lycheeledge/transport/Url.h>

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <atomic>
#include <map>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace lycheeledge::test {

/** @brief Key-value store of the platform. Leases do not expire, because its only client is the process under test. */
class StoreStandin {
public:
    explicit StoreStandin(EventLoop& loop)
        : m_loop(loop)
    {
    }

    /** @brief Writes a record without conditions. Called before the loop runs. */
    void put(const std::string& key, const std::string& value) { write(++m_revision, key, value, 0); }

    void handle(const HttpRequest& request, const HttpServer::Respond& respond)
    {
        const UrlTarget target = parseTarget(request.target);
        if (target.path == "/v1/kv-key")
            respond(get(target.query.at("key")));
        else if (target.path == "/v1/kv-range")
            respond(list(target));
        else if (target.path == "/v1/kv-watch")
            watch(target, respond);
        else if (target.path == "/v1/kv-txn")
            respond(commit(request.body));
        else if (target.path == "/v1/kv-lease")
            respond(standin::jsonResponse(absl::StrCat("{\"lease\":", ++m_lastLease, "}")));
        else if (target.path.starts_with("/v1/kv-keep/"))
            respond(standin::jsonResponse("{\"ttlMs\":2000}"));
        else if (target.path.starts_with("/v1/kv-lease-end/"))
            respond(endLease(target.path.substr(target.path.rfind('/') + 1)));
        else
            respond({ 404, {}, "no such path" });
    }

private:
    using JsonBuilder = lycheeledge::detail::JsonBuilder;

    struct Record {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t lease = 0;
    };
    struct Event {
        std::int64_t revision = 0;
        std::string key;
        std::optional<std::string> value;
    };
    struct Watch {
        std::string prefix;
        std::int64_t after = 0;
        HttpServer::Respond respond;
    };

    void write(
        std::int64_t revision, const std::string& key, const std::optional<std::string>& value, std::int64_t lease)
    {
        if (value)
            m_records[key] = { *value, revision, lease };
        else
            m_records.erase(key);
        m_events.push_back({ revision, key, value });
    }

    static void writeItem(JsonBuilder& out, const std::string& key, const Record& record)
    {
        out.field("key", key).field("value", absl::Base64Escape(record.value)).field("rev", record.revision);
    }

    HttpResponse get(const std::string& key) const
    {
        JsonBuilder out;
        out.begin().field("asOf", m_revision);
        const auto it = m_records.find(key);
        if (it != m_records.end())
            writeItem(out, key, it->second);
        return standin::jsonResponse(out.end().text(), it != m_records.end() ? 200 : 404);
    }

    /** @brief One page of about 500 items or 1 MB, as the platform's. */
    HttpResponse list(const UrlTarget& target) const
    {
        const std::string& prefix = target.query.at("prefix");
        constexpr std::size_t maxItems = 500;
        constexpr std::size_t maxBytes = 1 << 20;
        JsonBuilder out;
        out.begin().field("asOf", m_revision).key("items").beginArray();
        const auto after = target.query.find("after");
        auto it = after == target.query.end() ? m_records.lower_bound(prefix) : m_records.upper_bound(after->second);
        std::size_t n = 0;
        std::size_t bytes = 0;
        for (; it != m_records.end() && it->first.starts_with(prefix) && n < maxItems && bytes < maxBytes; ++it) {
            writeItem(out.begin(), it->first, it->second);
            out.end();
            ++n;
            bytes += it->second.value.size();
        }
        const bool truncated = it != m_records.end() && it->first.starts_with(prefix);
        return standin::jsonResponse(out.endArray().field("truncated", truncated).end().text());
    }

    void watch(const UrlTarget& target, const HttpServer::Respond& respond)
    {
        Watch watch { target.query.at("prefix"), 0, respond };
        int waitMs = 0;
        if (!absl::SimpleAtoi(target.query.at("after"), &watch.after)
            || !absl::SimpleAtoi(target.query.at("waitMs"), &waitMs)) {
            respond({ 400, {}, "malformed watch" });
            return;
        }
        if (answer(watch, false))
            return;
        const int id = ++m_lastWatch;
        m_watches.emplace(id, std::move(watch));
        m_loop.after(std::chrono::milliseconds(waitMs), [this, id] {
            if (const auto node = m_watches.extract(id))
                answer(node.mapped(), true);
        });
    }

    /** @return false if there is no event and the watch waits for one. */
    bool answer(const Watch& watch, bool empty) const
    {
        JsonBuilder out;
        out.begin().field("asOf", m_revision).key("events").beginArray();
        for (const auto& event : m_events) {
            if (event.revision <= watch.after || !event.key.starts_with(watch.prefix))
                continue;
            writeItem(out.begin(), event.key, { event.value.value_or(""), event.revision, 0 });
            out.field("removed", !event.value.has_value()).end();
            empty = true;
        }
        if (empty)
            watch.respond(standin::jsonResponse(out.endArray().end().text()));
        return empty;
    }

    void answerWatches()
    {
        std::erase_if(m_watches, [this](const auto& it) { return answer(it.second, false); });
    }

    HttpResponse commit(const std::string& body)
    {
        const auto document = platform::parseJsonObject(body);
        if (!document.ok())
            return { 400, {}, "malformed transaction" };
        bool holds = true;
        JsonBuilder current;
        current.begin().key("items").beginArray();
        for (const auto& condition : (*document)["precondition"].GetArray()) {
            const std::string key = condition["key"].GetString();
            const auto it = m_records.find(key);
            const Record record = it != m_records.end() ? it->second : Record {};
            holds = holds && record.revision == condition["rev"].GetInt64();
            writeItem(current.begin(), key, record);
            current.end();
        }
        if (!holds)
            return standin::jsonResponse(current.endArray().end().text(), 412);
        ++m_revision;
        for (const auto& put : (*document)["writes"].GetArray()) {
            std::string value;
            absl::Base64Unescape(put["value"].GetString(), &value);
            write(m_revision, put["key"].GetString(), value, platform::detail::integer(put, "lease"));
        }
        for (const auto& key : (*document)["remove"].GetArray())
            write(m_revision, key.GetString(), std::nullopt, 0);
        answerWatches();
        return standin::jsonResponse(absl::StrCat("{\"rev\":", m_revision, "}"));
    }

    HttpResponse endLease(const std::string& id)
    {
        ++m_revision;
        std::vector<std::string> keys;
        for (const auto& [key, record] : m_records) {
            if (std::to_string(record.lease) == id)
                keys.push_back(key);
        }
        for (const auto& key : keys)
            write(m_revision, key, std::nullopt, 0);
        answerWatches();
        return standin::jsonResponse("{}");
    }

    EventLoop& m_loop;
    std::int64_t m_revision = 0;
    std::int64_t m_lastLease = 0;
    int m_lastWatch = 0;
    std::map<std::string, Record> m_records;
    std::vector<Event> m_events; // complete history
    std::map<int, Watch> m_watches; // waiting for an event, by number
};

/** @brief Worker on which each task is done as soon as it has started. */
class WorkerStandin {
public:
    explicit WorkerStandin(EventLoop& loop)
        : m_loop(loop)
    {
    }

    void handle(const HttpRequest& request, const HttpServer::Respond& respond)
    {
        const auto body = platform::parseJsonObject(request.body);
        if (!body.ok())
            respond({ 400, {}, "{}" });
        else if (request.target == "/v1/run-start")
            start(*body, respond);
        else if (request.target == "/v1/hold")
            poll(*body, respond);
        else
            respond(standin::jsonResponse(absl::StrCat("{\"clockMs\":", clockMs(), "}")));
    }

    /** @brief Number of different runs that were started. May be called from any thread. */
    std::size_t starts() const { return m_starts; }

private:
    using JsonBuilder = lycheeledge::detail::JsonBuilder;

    struct End {
        std::int64_t sequence = 0;
        std::string task;
        std::int64_t run = 0;
    };

    std::int64_t clockMs() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(m_loop.now().time_since_epoch()).count();
    }

    void start(const rapidjson::Value& order, const HttpServer::Respond& respond)
    {
        const std::string task = order["task"].GetString();
        const std::int64_t run = order["run"].GetInt64();
        if (m_started.emplace(task, run).second) {
            m_ends.push_back({ static_cast<std::int64_t>(++m_starts), task, run });
            for (const auto& waiting : std::exchange(m_polls, {}))
                report(waiting.second);
        }
        respond(standin::jsonResponse(absl::StrCat("{\"clockMs\":", clockMs(), "}")));
    }

    void poll(const rapidjson::Value& request, const HttpServer::Respond& respond)
    {
        const std::int64_t acknowledged = platform::detail::integer(request, "lastSeen");
        std::erase_if(m_ends, [acknowledged](const End& it) { return it.sequence <= acknowledged; });
        const std::int64_t waitMs = platform::detail::integer(request, "waitMs");
        if (!m_ends.empty() || waitMs == 0) {
            report(respond);
            return;
        }
        const int id = ++m_lastPoll;
        m_polls.emplace(id, respond);
        m_loop.after(std::chrono::milliseconds(waitMs), [this, id] {
            if (const auto node = m_polls.extract(id))
                report(node.mapped());
        });
    }

    void report(const HttpServer::Respond& respond) const
    {
        JsonBuilder out;
        out.begin()
            .field("clockMs", clockMs())
            .key("runningTasks")
            .beginArray()
            .endArray()
            .key("finished")
            .beginArray();
        for (const auto& it : m_ends)
            out.beginArray().value(it.sequence).value(it.task).value(it.run).value("done").value("").endArray();
        respond(standin::jsonResponse(out.endArray().end().text()));
    }

    EventLoop& m_loop;
    std::atomic<std::size_t> m_starts { 0 };
    std::set<std::pair<std::string, std::int64_t>> m_started;
    std::vector<End> m_ends; // not yet acknowledged
    int m_lastPoll = 0;
    std::map<int, HttpServer::Respond> m_polls; // waiting for an end, by number
};

} // namespace lycheeledge::test
