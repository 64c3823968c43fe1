// Stand-in for the platform's metadata store.
#pragma once

#include "Http.h"
#include "Json.h"
#include "Record.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace review {

class Store {
public:
    static constexpr std::size_t valueBytes = 1048576;

    explicit Store(const std::string& host)
        : m_server(host, [this](const Request& request) { return handle(request); })
    {
        m_server.up();
    }

    std::string address() const { return m_server.address(); }
    /** @brief Number of calls that were refused because a value was longer than `valueBytes`. */
    int refusedValues() const { return m_refusedValues; }
    /** @brief The next calls are refused and have no effect. */
    void setDown(bool down) { m_down = down; }
    /** @brief Called before each call is carried out; a response that it returns is sent instead. */
    using Filter = std::function<std::optional<Response>(const Request&)>;
    void setFilter(Filter filter)
    {
        const std::lock_guard lock(m_mutex);
        m_filter = std::move(filter);
    }

    /** @brief Writes as the operator or as an executor. */
    void put(const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(m_mutex);
        expire();
        write(key, value, 0, ++m_revision);
        m_changed.notify_all();
    }
    void remove(const std::string& key)
    {
        const std::lock_guard lock(m_mutex);
        erase(key, ++m_revision);
        m_changed.notify_all();
    }
    std::string get(const std::string& key)
    {
        const std::lock_guard lock(m_mutex);
        expire();
        const auto it = m_items.find(key);
        return it == m_items.end() ? std::string() : it->second.value;
    }

private:
    struct Item {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct Event {
        std::string key;
        std::int64_t revision = 0;
        bool removed = false;
        Item item;
    };
    struct Lease {
        Clock::time_point end;
        Milliseconds timeToLive {};
    };

    static std::string encode(const std::string& in)
    {
        static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string out;
        for (std::size_t i = 0; i < in.size(); i += 3) {
            std::uint32_t n = 0;
            for (std::size_t k = 0; k < 3; ++k)
                n = n << 8 | (i + k < in.size() ? static_cast<unsigned char>(in[i + k]) : 0);
            for (std::size_t k = 0; k < 4; ++k)
                out += i + k <= in.size() ? digits[n >> (18 - 6 * k) & 63] : '=';
        }
        return out;
    }
    static std::string decode(const std::string& in)
    {
        std::string out;
        std::uint32_t n = 0;
        int bits = 0;
        for (const char c : in) {
            int digit = 0;
            if (c >= 'A' && c <= 'Z')
                digit = c - 'A';
            else if (c >= 'a' && c <= 'z')
                digit = c - 'a' + 26;
            else if (c >= '0' && c <= '9')
                digit = c - '0' + 52;
            else if (c == '+')
                digit = 62;
            else if (c == '/')
                digit = 63;
            else
                break;
            n = n << 6 | static_cast<std::uint32_t>(digit);
            bits += 6;
            if (bits >= 8) {
                bits -= 8;
                out += static_cast<char>(n >> bits & 255);
            }
        }
        return out;
    }

    static void writeItem(Writer& out, const std::string& key, const Item& item)
    {
        out.StartObject();
        out.Key("key");
        out.String(key.c_str());
        out.Key("value");
        out.String(encode(item.value).c_str());
        out.Key("rev");
        out.Int64(item.revision);
        out.Key("createdAt");
        out.Int64(item.created);
        out.Key("lease");
        out.Int64(item.lease);
        out.EndObject();
    }

    void write(const std::string& key, const std::string& value, std::int64_t lease, std::int64_t revision)
    {
        Item& item = m_items[key];
        item.value = value;
        item.lease = lease;
        item.revision = revision;
        if (item.created == 0)
            item.created = revision;
        m_events.push_back({ key, revision, false, item });
        trim();
    }
    void erase(const std::string& key, std::int64_t revision)
    {
        if (m_items.erase(key) == 0)
            return;
        m_events.push_back({ key, revision, true, {} });
        trim();
    }
    // Keeps the history that fits into some memory; the store may discard it sooner than `historyS`.
    void trim()
    {
        m_historyBytes += m_events.back().item.value.size() + 200;
        while (m_historyBytes > (64 << 20)) {
            m_historyBytes -= m_events.front().item.value.size() + 200;
            m_forgotten = m_events.front().revision;
            m_events.pop_front();
        }
    }
    void endLease(std::int64_t lease)
    {
        m_leases.erase(lease);
        std::vector<std::string> keys;
        for (const auto& [key, item] : m_items) {
            if (item.lease == lease)
                keys.push_back(key);
        }
        if (keys.empty())
            return;
        ++m_revision;
        for (const auto& key : keys)
            erase(key, m_revision);
        m_changed.notify_all();
    }
    void expire()
    {
        const auto now = Clock::now();
        std::vector<std::int64_t> ended;
        for (const auto& [id, lease] : m_leases) {
            if (lease.end <= now)
                ended.push_back(id);
        }
        for (const auto id : ended)
            endLease(id);
    }

    Response handle(const Request& request)
    {
        std::unique_lock lock(m_mutex);
        if (m_down)
            return { 503, "{}" };
        if (m_filter) {
            const Filter filter = m_filter;
            lock.unlock();
            const auto instead = filter(request);
            lock.lock();
            if (instead)
                return *instead;
        }
        expire();
        const std::string& path = request.path;
        if (path == "/v1/kv-key")
            return read(request);
        if (path == "/v1/kv-range")
            return list(request);
        if (path == "/v1/kv-watch")
            return watch(request, lock);
        if (path == "/v1/kv-txn")
            return commit(request);
        if (path == "/v1/kv-lease") {
            const auto timeToLive = Milliseconds(number(parse(request.body), "ttlMs", 1500));
            const std::int64_t id = ++m_lastLease;
            m_leases[id] = { Clock::now() + timeToLive, timeToLive };
            return { 200,
                "{\"lease\":" + std::to_string(id) + ",\"ttlMs\":" + std::to_string(timeToLive.count()) + "}" };
        }
        const std::string keep = "/v1/kv-keep/";
        if (path.starts_with(keep)) {
            const auto it = m_leases.find(std::atoll(path.c_str() + keep.size()));
            if (it == m_leases.end())
                return { 404, "{}" };
            it->second.end = Clock::now() + it->second.timeToLive;
            return { 200, "{\"ttlMs\":" + std::to_string(it->second.timeToLive.count()) + "}" };
        }
        const std::string end = "/v1/kv-lease-end/";
        if (path.starts_with(end)) {
            endLease(std::atoll(path.c_str() + end.size()));
            return { 200, "{}" };
        }
        return { 400, "{}" };
    }

    Response read(const Request& request)
    {
        const std::string key = parameter(request, "key");
        const auto it = m_items.find(key);
        rapidjson::StringBuffer buf;
        Writer out(buf);
        out.StartObject();
        out.Key("asOf");
        out.Int64(m_revision);
        if (it != m_items.end()) {
            out.Key("key");
            out.String(key.c_str());
            out.Key("value");
            out.String(encode(it->second.value).c_str());
            out.Key("rev");
            out.Int64(it->second.revision);
            out.Key("createdAt");
            out.Int64(it->second.created);
            out.Key("lease");
            out.Int64(it->second.lease);
        }
        out.EndObject();
        return { it == m_items.end() ? 404 : 200, buf.GetString() };
    }

    Response list(const Request& request)
    {
        const std::string prefix = parameter(request, "prefix");
        const std::string after = parameter(request, "after");
        rapidjson::StringBuffer buf;
        Writer out(buf);
        out.StartObject();
        out.Key("items");
        out.StartArray();
        std::size_t n = 0;
        bool truncated = false;
        for (auto it = after.empty() ? m_items.lower_bound(prefix) : m_items.upper_bound(std::max(after, prefix));
             it != m_items.end() && it->first.starts_with(prefix); ++it) {
            if (n == 500) {
                truncated = true;
                break;
            }
            writeItem(out, it->first, it->second);
            ++n;
        }
        out.EndArray();
        out.Key("truncated");
        out.Bool(truncated);
        out.Key("asOf");
        out.Int64(m_revision);
        out.EndObject();
        return { 200, buf.GetString() };
    }

    Response watch(const Request& request, std::unique_lock<std::mutex>& lock)
    {
        const std::string prefix = parameter(request, "prefix");
        const std::int64_t after = std::atoll(parameter(request, "after").c_str());
        const auto deadline = Clock::now() + Milliseconds(std::atoll(parameter(request, "waitMs").c_str()));
        while (true) {
            expire();
            if (m_down)
                return { 503, "{}" };
            if (after < m_forgotten)
                return { 410, "{}" };
            rapidjson::StringBuffer buf;
            Writer out(buf);
            out.StartObject();
            out.Key("events");
            out.StartArray();
            bool found = false;
            auto it = std::upper_bound(m_events.begin(), m_events.end(), after,
                [](std::int64_t revision, const Event& event) { return revision < event.revision; });
            for (; it != m_events.end(); ++it) {
                const Event& event = *it;
                if (!event.key.starts_with(prefix))
                    continue;
                found = true;
                if (!event.removed) {
                    writeItem(out, event.key, event.item);
                    continue;
                }
                out.StartObject();
                out.Key("key");
                out.String(event.key.c_str());
                out.Key("rev");
                out.Int64(event.revision);
                out.Key("removed");
                out.Bool(true);
                out.EndObject();
            }
            out.EndArray();
            out.Key("asOf");
            out.Int64(m_revision);
            out.EndObject();
            if (found || Clock::now() >= deadline)
                return { 200, buf.GetString() };
            m_changed.wait_until(lock, std::min(deadline, Clock::now() + Milliseconds(50)));
        }
    }

    Response commit(const Request& request)
    {
        const auto body = parse(request.body);
        const auto rows = [&body](const char* name) {
            const auto it = body.FindMember(name);
            return it != body.MemberEnd() && it->value.IsArray() ? &it->value : nullptr;
        };
        bool holds = true;
        rapidjson::StringBuffer buf;
        Writer out(buf);
        out.StartObject();
        out.Key("items");
        out.StartArray();
        if (const auto* conditions = rows("precondition")) {
            for (const auto& condition : conditions->GetArray()) {
                const std::string key = text(condition, "key");
                const auto it = m_items.find(key);
                const Item current = it == m_items.end() ? Item {} : it->second;
                holds = holds && current.revision == number(condition, "rev");
                writeItem(out, key, current);
            }
        }
        out.EndArray();
        out.Key("asOf");
        out.Int64(m_revision);
        out.EndObject();
        if (!holds)
            return { 412, buf.GetString() };
        if (const auto* writes = rows("writes")) {
            for (const auto& entry : writes->GetArray()) {
                const auto lease = number(entry, "lease");
                if (lease != 0 && m_leases.count(lease) == 0)
                    return { 404, "{}" };
                if (text(entry, "value").size() > valueBytes / 3 * 4 + 4 && ++m_refusedValues > 0)
                    return { 400, "{\"error\":\"value is longer than valueBytes\"}" };
            }
        }
        ++m_revision;
        if (const auto* writes = rows("writes")) {
            for (const auto& entry : writes->GetArray())
                write(text(entry, "key"), decode(text(entry, "value")), number(entry, "lease"), m_revision);
        }
        if (const auto* removed = rows("remove")) {
            for (const auto& key : removed->GetArray())
                erase(key.GetString(), m_revision);
        }
        m_changed.notify_all();
        return { 200, "{\"rev\":" + std::to_string(m_revision) + "}" };
    }

    static std::string parameter(const Request& request, const char* name)
    {
        const auto it = request.query.find(name);
        return it == request.query.end() ? std::string() : it->second;
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::deque<Event> m_events;
    std::map<std::int64_t, Lease> m_leases;
    std::int64_t m_revision = 1;
    std::int64_t m_forgotten = 0;
    std::size_t m_historyBytes = 0;
    std::int64_t m_lastLease = 0;
    std::atomic<bool> m_down { false };
    std::atomic<int> m_refusedValues { 0 };
    Filter m_filter;
    Server m_server; ///< last, so that its threads end before the rest goes
};

} // namespace review
